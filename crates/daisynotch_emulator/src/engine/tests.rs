use super::*;

fn limits() -> Engines {
    Engines {
        count: 1,
        slots: 2,
        memory_tokens: 1_000,
        step_ms: 5.0,
        step_ms_per_request: 0.0,
        read_tokens_per_ms: 100.0,
        chunk_tokens: 200,
    }
}

fn sequence(attempt: usize, parts: &[(u32, u32)], answer_tokens: u64) -> Sequence {
    let parts: Vec<Part> = parts
        .iter()
        .map(|(id, tokens)| Part {
            id: *id,
            tokens: *tokens,
        })
        .collect();
    Sequence::new(attempt, &parts, answer_tokens, 2)
}

/// Steps until the engine is idle; gives what was made and when, in microseconds.
fn run(engine: &mut Engine) -> Vec<(u64, Made)> {
    let (mut now_us, mut all) = (0, Vec::new());
    while !engine.is_idle() {
        let (made, took_us) = engine.step();
        now_us += took_us;
        all.extend(made.into_iter().map(|made| (now_us, made)));
    }
    all
}

#[test]
fn prompts_are_read_in_chunks_that_delay_everyone() {
    let mut engine = Engine::new(&limits());
    engine.push(sequence(0, &[(1, 10)], 4));
    engine.push(sequence(1, &[(2, 500)], 2));
    // Three chunks of 200 tokens and less: 7 ms, 7 ms and 6.1 ms with the first prompt's 10.
    let made = run(&mut engine);
    let at = |made_wanted: Made| {
        made.iter()
            .find(|(_, made)| *made == made_wanted)
            .unwrap()
            .0
    };
    assert_eq!(at(Made::Event(0)), 14_000);
    assert_eq!(at(Made::Last(0)), 14_000 + 6_100 + 5_000);
    assert_eq!(at(Made::Last(1)), 14_000 + 6_100 + 5_000);
    assert_eq!(engine.work.read_tokens, 510);
}

#[test]
fn parts_that_are_kept_are_not_read_again() {
    let mut engine = Engine::new(&limits());
    engine.push(sequence(0, &[(1, 300), (2, 50)], 2));
    run(&mut engine);
    engine.push(sequence(1, &[(1, 300), (3, 50)], 2));
    run(&mut engine);
    assert_eq!(engine.work.read_tokens, 400);
    assert_eq!(engine.work.kept_tokens, 300);
    assert_eq!(engine.work.read_again_tokens, 0);
}

#[test]
fn a_part_is_of_use_only_behind_all_before_it() {
    let mut engine = Engine::new(&limits());
    engine.push(sequence(0, &[(1, 100), (2, 100)], 2));
    run(&mut engine);
    engine.push(sequence(1, &[(9, 100), (2, 100)], 2));
    run(&mut engine);
    assert_eq!(engine.work.kept_tokens, 0);
}

#[test]
fn the_least_recently_used_parts_yield() {
    let mut engine = Engine::new(&limits());
    for (attempt, part) in [1, 2, 1, 3].into_iter().enumerate() {
        engine.push(sequence(attempt, &[(part, 400)], 2));
        run(&mut engine);
    }
    // The second part gave way to the third one.
    engine.push(sequence(4, &[(2, 400)], 2));
    run(&mut engine);
    assert_eq!(engine.work.read_again_tokens, 400);
}

#[test]
fn the_newest_request_is_put_back_when_memory_runs_out() {
    let mut engine = Engine::new(&limits());
    engine.push(sequence(0, &[(1, 480)], 60));
    engine.push(sequence(1, &[(2, 480)], 60));
    let made = run(&mut engine);
    assert!(engine.work.preemptions >= 1);
    let ends: Vec<usize> = made
        .iter()
        .filter_map(|(_, made)| match made {
            Made::Last(attempt) => Some(*attempt),
            Made::Event(_) => None,
        })
        .collect();
    assert_eq!(ends, [0, 1]);
}

#[test]
fn requests_begin_in_the_order_of_arrival() {
    let mut engine = Engine::new(&limits());
    for attempt in 0..4 {
        engine.push(sequence(attempt, &[(attempt as u32, 10)], 2));
    }
    let made = run(&mut engine);
    let ends: Vec<Made> = made.into_iter().map(|(_, made)| made).collect();
    assert_eq!(ends, [0, 1, 2, 3].map(Made::Last));
}

#[test]
fn a_crash_loses_what_runs_and_what_is_kept() {
    let mut engine = Engine::new(&limits());
    engine.push(sequence(0, &[(1, 300)], 2));
    run(&mut engine);
    engine.push(sequence(1, &[(1, 300)], 2));
    assert_eq!(engine.crash(), [1]);
    engine.push(sequence(2, &[(1, 300)], 2));
    run(&mut engine);
    assert_eq!(engine.work.kept_tokens, 0);
}
