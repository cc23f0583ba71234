//! A model of an engine with continuous batching, chunked prefill and an LRU prefix cache.
//!
//! Running requests and cached prompt parts share one memory.

use std::collections::VecDeque;

use daisynotch_core::direct::Part;

use crate::experiment::Engines;

/// A queued or running request of an engine.
#[derive(Debug, Clone)]
pub(crate) struct Sequence {
    /// The index of the attempt in the emulation.
    pub(crate) attempt: usize,
    pub(crate) parts: Vec<Part>,
    pub(crate) prompt_tokens: u64,
    pub(crate) answer_tokens: u64,
    pub(crate) tokens_per_event: u64,
    /// Prompt tokens that are prefilled or were found in the prefix cache.
    read_tokens: u64,
    generated_tokens: u64,
}

impl Sequence {
    pub(crate) fn new(
        attempt: usize,
        parts: &[Part],
        answer_tokens: u64,
        tokens_per_event: u64,
    ) -> Self {
        Self {
            attempt,
            parts: parts.to_vec(),
            prompt_tokens: parts.iter().map(|part| u64::from(part.tokens)).sum(),
            answer_tokens,
            tokens_per_event,
            read_tokens: 0,
            generated_tokens: 0,
        }
    }

    fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.generated_tokens
    }
}

/// An event of a response that a step produced, with the index of its attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StepOutput {
    /// An event with more to follow.
    Event(usize),
    /// The event that completes the response.
    LastEvent(usize),
}

/// Counters of an engine since the start of the run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct EngineCounters {
    /// Prefilled prompt tokens.
    pub(crate) read_tokens: u64,
    /// Prefilled tokens of parts that this engine had cached before and evicted.
    pub(crate) read_again_tokens: u64,
    /// Prompt tokens that were found in the prefix cache.
    pub(crate) cached_tokens: u64,
    pub(crate) preemptions: u64,
    /// Generated tokens.
    pub(crate) generated_tokens: u64,
    /// The most tokens that the engine held, of running and of queued requests.
    pub(crate) held_tokens_max: u64,
}

/// A cached prompt part, which only a prompt with the same preceding parts can use.
#[derive(Debug)]
struct CachedPart {
    /// Identifies the part together with all preceding parts of its prompt.
    prefix_hash: u64,
    tokens: u64,
    used_at_tick: u64,
}

/// An engine that advances in discrete steps.
#[derive(Debug)]
pub(crate) struct Engine {
    limits: Engines,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    cache: Vec<CachedPart>,
    evicted: std::collections::HashSet<u64>,
    tick: u64,
    pub(crate) counters: EngineCounters,
    /// The speed relative to the limits.
    pub(crate) speed: f64,
    /// The factor by which steps take longer than usual.
    pub(crate) slowdown: f64,
    /// The number of crashes so far; a step that was scheduled before a crash is stale.
    pub(crate) incarnation: u32,
    /// The fraction of new requests that the engine answers with an error.
    pub(crate) error_fraction: f64,
    pub(crate) is_down: bool,
}

impl Engine {
    /// Creates the engine with an index, which decides on its speed.
    pub(crate) fn new(limits: &Engines, index: usize) -> Self {
        let speeds = &limits.speeds;
        let speed = speeds.get(index % speeds.len().max(1)).copied();
        Self {
            limits: limits.clone(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: Vec::new(),
            evicted: std::collections::HashSet::new(),
            tick: 0,
            counters: EngineCounters::default(),
            speed: speed.unwrap_or(1.0),
            slowdown: 1.0,
            incarnation: 0,
            error_fraction: 0.0,
            is_down: false,
        }
    }

    /// Appends a request to the queue.
    pub(crate) fn push(&mut self, sequence: Sequence) {
        self.waiting.push_back(sequence);
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Removes a request whose caller disconnected.
    pub(crate) fn cancel(&mut self, attempt: usize) {
        self.waiting.retain(|sequence| sequence.attempt != attempt);
        self.running.retain(|sequence| sequence.attempt != attempt);
    }

    /// Loses all requests and the prefix cache, and returns the attempts that were lost.
    pub(crate) fn crash(&mut self) -> Vec<usize> {
        self.incarnation += 1;
        self.cache.clear();
        let lost = self.waiting.drain(..).chain(self.running.drain(..));
        lost.map(|sequence| sequence.attempt).collect()
    }

    /// Runs one step and returns its outputs and its duration in microseconds.
    pub(crate) fn step(&mut self) -> (Vec<StepOutput>, u64) {
        self.admit();
        let waiting = self.waiting.iter().map(Sequence::memory_tokens);
        let held_tokens = self.running_tokens() + waiting.sum::<u64>();
        self.counters.held_tokens_max = self.counters.held_tokens_max.max(held_tokens);
        let mut outputs = Vec::new();
        let mut chunk = self.limits.chunk_tokens;
        for sequence in &mut self.running {
            let unread = sequence.prompt_tokens - sequence.read_tokens;
            if unread > 0 {
                let tokens = unread.min(chunk);
                sequence.read_tokens += tokens;
                chunk -= tokens;
            }
            if sequence.read_tokens == sequence.prompt_tokens {
                sequence.generated_tokens += 1;
                self.counters.generated_tokens += 1;
                if sequence.generated_tokens == sequence.answer_tokens {
                    outputs.push(StepOutput::LastEvent(sequence.attempt));
                } else if sequence.generated_tokens % sequence.tokens_per_event == 0 {
                    outputs.push(StepOutput::Event(sequence.attempt));
                }
            }
        }
        let read_tokens = self.limits.chunk_tokens - chunk;
        self.counters.read_tokens += read_tokens;
        let step_ms = self.limits.step_ms
            + self.limits.step_ms_per_request * self.running.len() as f64
            + read_tokens as f64 / self.limits.read_tokens_per_ms;
        let is_finished = |sequence: &Sequence| sequence.generated_tokens == sequence.answer_tokens;
        let finished: Vec<Sequence> = self
            .running
            .extract_if(.., |sequence| is_finished(sequence))
            .collect();
        for sequence in finished {
            self.cache_prompt(&sequence);
        }
        self.preempt();
        (outputs, (step_ms * self.slowdown / self.speed * 1e3) as u64)
    }

    fn running_tokens(&self) -> u64 {
        self.running.iter().map(Sequence::memory_tokens).sum()
    }

    /// Moves queued requests into the batch while slots and memory allow.
    ///
    /// An idle engine admits one request regardless of memory.
    fn admit(&mut self) {
        while self.running.len() < self.limits.slots {
            let Some(next) = self.waiting.front() else {
                return;
            };
            let needed = self.running_tokens() + next.memory_tokens();
            if needed > self.limits.memory_tokens && !self.running.is_empty() {
                return;
            }
            let mut next = self.waiting.pop_front().expect("the queue is not empty");
            let cached = self.look_up_prefix(&next.parts);
            // Prefilling the last prompt token produces the first output token, so it always runs.
            next.read_tokens = cached.min(next.prompt_tokens - 1);
            self.counters.cached_tokens += next.read_tokens;
            self.count_read_again(&next);
            self.running.push(next);
            self.evict_to_fit();
        }
    }

    /// Evicts the least recently used parts until the rest fits beside the running requests.
    fn evict_to_fit(&mut self) {
        let mut cached: u64 = self.cache.iter().map(|part| part.tokens).sum();
        let capacity = self
            .limits
            .memory_tokens
            .saturating_sub(self.running_tokens());
        while cached > capacity {
            let oldest = (0..self.cache.len()).min_by_key(|index| self.cache[*index].used_at_tick);
            let Some(oldest) = oldest else { return };
            let part = self.cache.swap_remove(oldest);
            cached -= part.tokens;
            self.evicted.insert(part.prefix_hash);
        }
    }

    /// Preempts the newest requests while memory is short; their prompts are prefilled again.
    fn preempt(&mut self) {
        self.evict_to_fit();
        while self.running_tokens() > self.limits.memory_tokens && self.running.len() > 1 {
            let mut newest = self
                .running
                .pop()
                .expect("two or more requests are running");
            newest.read_tokens = 0;
            self.counters.preemptions += 1;
            self.waiting.push_front(newest);
        }
    }

    /// Returns the cached tokens at the start of a prompt and marks their parts as used.
    fn look_up_prefix(&mut self, parts: &[Part]) -> u64 {
        let mut tokens = 0;
        self.tick += 1;
        for prefix_hash in prefix_hashes(parts) {
            let Some(cached) = self
                .cache
                .iter_mut()
                .find(|part| part.prefix_hash == prefix_hash)
            else {
                break;
            };
            cached.used_at_tick = self.tick;
            tokens += cached.tokens;
        }
        tokens
    }

    /// Counts the tokens that the request has to prefill again because their parts were evicted.
    fn count_read_again(&mut self, sequence: &Sequence) {
        let mut offset_tokens = 0;
        for (part, prefix_hash) in sequence.parts.iter().zip(prefix_hashes(&sequence.parts)) {
            if offset_tokens >= sequence.read_tokens && self.evicted.contains(&prefix_hash) {
                self.counters.read_again_tokens += u64::from(part.tokens);
            }
            offset_tokens += u64::from(part.tokens);
        }
    }

    /// Adds the prompt of a finished request to the prefix cache.
    fn cache_prompt(&mut self, sequence: &Sequence) {
        self.tick += 1;
        for (part, prefix_hash) in sequence.parts.iter().zip(prefix_hashes(&sequence.parts)) {
            if let Some(cached) = self
                .cache
                .iter_mut()
                .find(|part| part.prefix_hash == prefix_hash)
            {
                cached.used_at_tick = self.tick;
                continue;
            }
            self.cache.push(CachedPart {
                prefix_hash,
                tokens: u64::from(part.tokens),
                used_at_tick: self.tick,
            });
        }
        self.evict_to_fit();
    }
}

/// Returns a hash for each part that also covers all preceding parts.
fn prefix_hashes(parts: &[Part]) -> impl Iterator<Item = u64> + '_ {
    parts.iter().scan(0_u64, |prefix_hash, part| {
        *prefix_hash = xxhash_rust::xxh3::xxh3_64_with_seed(&part.id.to_le_bytes(), *prefix_hash);
        Some(*prefix_hash)
    })
}

#[cfg(test)]
mod tests;
