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
        speeds: Vec::new(),
        slow_moments: None,
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

/// Steps until the engine is idle and returns each output with its time in microseconds.
fn run(engine: &mut Engine) -> Vec<(u64, StepOutput)> {
    let (mut now_us, mut timed_outputs) = (0, Vec::new());
    while !engine.is_idle() {
        let (outputs, duration_us) = engine.step();
        now_us += duration_us;
        timed_outputs.extend(outputs.into_iter().map(|output| (now_us, output)));
    }
    timed_outputs
}

#[test]
fn chunked_prefill_delays_all_running_requests() {
    let mut engine = Engine::new(&limits(), 0);
    engine.push(sequence(0, &[(1, 10)], 4));
    engine.push(sequence(1, &[(2, 500)], 2));
    // Both prompts, 10 and 500 tokens, take chunks of 200, 200 and 110: 7 ms, 7 ms and 6.1 ms.
    let outputs = run(&mut engine);
    let at = |wanted: StepOutput| {
        outputs
            .iter()
            .find(|(_, output)| *output == wanted)
            .unwrap()
            .0
    };
    assert_eq!(at(StepOutput::Event(0)), 14_000);
    assert_eq!(at(StepOutput::LastEvent(0)), 14_000 + 6_100 + 5_000);
    assert_eq!(at(StepOutput::LastEvent(1)), 14_000 + 6_100 + 5_000);
    assert_eq!(engine.counters.read_tokens, 510);
}

#[test]
fn cached_parts_are_not_prefilled_again() {
    let mut engine = Engine::new(&limits(), 0);
    engine.push(sequence(0, &[(1, 300), (2, 50)], 2));
    run(&mut engine);
    engine.push(sequence(1, &[(1, 300), (3, 50)], 2));
    run(&mut engine);
    assert_eq!(engine.counters.read_tokens, 400);
    assert_eq!(engine.counters.cached_tokens, 300);
    assert_eq!(engine.counters.read_again_tokens, 0);
}

#[test]
fn a_cached_part_is_reused_only_after_the_same_preceding_parts() {
    let mut engine = Engine::new(&limits(), 0);
    engine.push(sequence(0, &[(1, 100), (2, 100)], 2));
    run(&mut engine);
    engine.push(sequence(1, &[(9, 100), (2, 100)], 2));
    run(&mut engine);
    assert_eq!(engine.counters.cached_tokens, 0);
}

#[test]
fn the_least_recently_used_part_is_evicted() {
    let mut engine = Engine::new(&limits(), 0);
    for (attempt, part) in [1, 2, 1, 3].into_iter().enumerate() {
        engine.push(sequence(attempt, &[(part, 400)], 2));
        run(&mut engine);
    }
    // Part 3 evicted part 2, which was used least recently.
    engine.push(sequence(4, &[(2, 400)], 2));
    run(&mut engine);
    assert_eq!(engine.counters.read_again_tokens, 400);
}

#[test]
fn the_newest_request_is_preempted_when_memory_runs_out() {
    let mut engine = Engine::new(&limits(), 0);
    engine.push(sequence(0, &[(1, 480)], 60));
    engine.push(sequence(1, &[(2, 480)], 60));
    let outputs = run(&mut engine);
    assert!(engine.counters.preemptions >= 1);
    let ends: Vec<usize> = outputs
        .iter()
        .filter_map(|(_, output)| match output {
            StepOutput::LastEvent(attempt) => Some(*attempt),
            StepOutput::Event(_) => None,
        })
        .collect();
    assert_eq!(ends, [0, 1]);
}

#[test]
fn requests_start_in_arrival_order() {
    let mut engine = Engine::new(&limits(), 0);
    for attempt in 0..4 {
        engine.push(sequence(attempt, &[(attempt as u32, 10)], 2));
    }
    let outputs = run(&mut engine);
    let ends: Vec<StepOutput> = outputs.into_iter().map(|(_, output)| output).collect();
    assert_eq!(ends, [0, 1, 2, 3].map(StepOutput::LastEvent));
}

#[test]
fn a_crash_loses_running_requests_and_the_prefix_cache() {
    let mut engine = Engine::new(&limits(), 0);
    engine.push(sequence(0, &[(1, 300)], 2));
    run(&mut engine);
    engine.push(sequence(1, &[(1, 300)], 2));
    assert_eq!(engine.crash(), [1]);
    engine.push(sequence(2, &[(1, 300)], 2));
    run(&mut engine);
    assert_eq!(engine.counters.cached_tokens, 0);
}
