use super::*;

const MAX_BYTES: usize = 8_000_000;
const SMALL_BYTES: usize = 2_000;

/// Grows bodies in steps, each until it is refused. Returns what each of them holds.
fn fill(memory: &BodyMemory, bodies: usize) -> Vec<HeldMemory> {
    let mut held: Vec<HeldMemory> = (0..bodies).map(|_| memory.hold()).collect();
    for step in 1..=1_000 {
        for body in &mut held {
            // A refused body keeps its size; a router drops it.
            let _ = body.resize(step * 10_000);
        }
    }
    held
}

#[test]
fn one_body_may_take_half_of_the_memory() {
    let memory = BodyMemory::new(MAX_BYTES);
    let mut body = memory.hold();
    assert_eq!(body.resize(MAX_BYTES / 2), Ok(()));
    let bytes = MAX_BYTES / 2 + 1;
    assert_eq!(body.resize(bytes), Err(NoBodyMemory { bytes }));
    assert_eq!(memory.used_bytes(), MAX_BYTES / 2);
}

/// Guards against many large bodies that leave no memory to the small ones of other requests.
#[test]
fn small_bodies_have_memory_beside_any_number_of_large_ones() {
    for bodies in [1, 10, 100, 1_000] {
        let memory = BodyMemory::new(MAX_BYTES);
        let _large = fill(&memory, bodies);
        assert!(memory.used_bytes() < MAX_BYTES);
        assert_eq!(memory.hold().resize(SMALL_BYTES), Ok(()), "{bodies}");
    }
}

#[test]
fn body_of_average_size_has_memory_where_a_large_one_is_refused() {
    let memory = BodyMemory::new(MAX_BYTES);
    let mut large = fill(&memory, 20).pop().unwrap();
    let mut others: Vec<HeldMemory> = (0..10).map(|_| memory.hold()).collect();
    for body in &mut others {
        assert_eq!(body.resize(300_000), Ok(()));
    }
    assert_eq!(large.resize(100_000), Ok(()), "a smaller size always fits");
    assert!(large.resize(3_000_000).is_err());
}

#[test]
fn memory_is_free_again_when_bodies_are_dropped() {
    let memory = BodyMemory::new(MAX_BYTES);
    drop(fill(&memory, 100));
    assert_eq!(memory.used_bytes(), 0);
    assert_eq!(memory.hold().resize(MAX_BYTES / 2), Ok(()));
}
