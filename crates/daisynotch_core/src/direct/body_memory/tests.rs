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

/// Guards against slow callers whose chunks take the memory that the responses of others need.
#[test]
fn waiting_chunks_leave_half_of_the_memory_to_bodies() {
    for callers in [1, 10, 100, 1_000] {
        let memory = BodyMemory::new(MAX_BYTES);
        let mut waiting: Vec<HeldMemory> = (0..callers).map(|_| memory.hold()).collect();
        for step in 1..=1_000 {
            for chunks in &mut waiting {
                if chunks.may_wait(step * 10_000) {
                    chunks.set(step * 10_000);
                }
            }
        }
        assert!(memory.used_bytes() <= MAX_BYTES / 2, "{callers}");
        assert_eq!(memory.hold().resize(MAX_BYTES / 4), Ok(()), "{callers}");
    }
}

/// Guards against a stream that stands still because the memory is taken: what must be passed on is
/// counted, and the excess shows.
#[test]
fn chunk_that_must_be_passed_on_is_counted_beyond_the_maximum() {
    let memory = BodyMemory::new(MAX_BYTES);
    let mut chunk = memory.hold();
    chunk.set(MAX_BYTES);
    assert!(!memory.is_exceeded());
    chunk.set(MAX_BYTES + 1);
    assert!(memory.is_exceeded());
    assert_eq!(chunk.bytes(), MAX_BYTES + 1);
    assert!(memory.hold().resize(1).is_err());
    chunk.set(0);
    assert_eq!(memory.used_bytes(), 0);
}
