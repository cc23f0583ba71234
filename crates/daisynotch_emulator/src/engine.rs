//! A batch engine: steps, prompts read in chunks, one memory, least recently used parts.

use std::collections::VecDeque;

use daisynotch_core::direct::Part;

use crate::experiment::Engines;

/// A request at an engine.
#[derive(Debug, Clone)]
pub(crate) struct Sequence {
    /// Which attempt it is.
    pub(crate) attempt: usize,
    pub(crate) parts: Vec<Part>,
    pub(crate) prompt_tokens: u64,
    pub(crate) answer_tokens: u64,
    pub(crate) tokens_per_event: u64,
    /// Prompt tokens that are read, or were kept.
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

/// What a step gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Made {
    /// A piece of an answer.
    Event(usize),
    /// The last piece.
    Last(usize),
}

/// What an engine has done.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Work {
    pub(crate) read_tokens: u64,
    /// Those of parts that this engine had kept before and had to yield.
    pub(crate) read_again_tokens: u64,
    pub(crate) kept_tokens: u64,
    pub(crate) preemptions: u64,
}

/// A part of a prompt that is kept; it is of use only behind all parts before it.
#[derive(Debug)]
struct Kept {
    /// Names the part with all before it.
    chain: u64,
    tokens: u64,
    used_at: u64,
}

/// One engine.
#[derive(Debug)]
pub(crate) struct Engine {
    limits: Engines,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    kept: Vec<Kept>,
    yielded: std::collections::HashSet<u64>,
    uses: u64,
    pub(crate) work: Work,
    /// How many times slower than usual it is.
    pub(crate) slowness: f64,
    /// Counts its crashes, so that steps of before are told apart.
    pub(crate) incarnation: u32,
    /// The part of its requests that fail.
    pub(crate) failing_part: f64,
    pub(crate) is_down: bool,
}

impl Engine {
    pub(crate) fn new(limits: &Engines) -> Self {
        Self {
            limits: limits.clone(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            kept: Vec::new(),
            yielded: std::collections::HashSet::new(),
            uses: 0,
            work: Work::default(),
            slowness: 1.0,
            incarnation: 0,
            failing_part: 0.0,
            is_down: false,
        }
    }

    /// Takes a request, behind those that wait.
    pub(crate) fn push(&mut self, sequence: Sequence) {
        self.waiting.push_back(sequence);
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Drops a request whose caller left.
    pub(crate) fn cancel(&mut self, attempt: usize) {
        self.waiting.retain(|sequence| sequence.attempt != attempt);
        self.running.retain(|sequence| sequence.attempt != attempt);
    }

    /// Loses all that it runs and keeps; gives the attempts.
    pub(crate) fn crash(&mut self) -> Vec<usize> {
        self.incarnation += 1;
        self.kept.clear();
        let lost = self.waiting.drain(..).chain(self.running.drain(..));
        lost.map(|sequence| sequence.attempt).collect()
    }

    /// Does one step; gives what it made and the time that it took, in microseconds.
    pub(crate) fn step(&mut self) -> (Vec<Made>, u64) {
        self.admit();
        let mut made = Vec::new();
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
                if sequence.generated_tokens == sequence.answer_tokens {
                    made.push(Made::Last(sequence.attempt));
                } else if sequence.generated_tokens % sequence.tokens_per_event == 0 {
                    made.push(Made::Event(sequence.attempt));
                }
            }
        }
        let read_tokens = self.limits.chunk_tokens - chunk;
        self.work.read_tokens += read_tokens;
        let step_ms = self.limits.step_ms
            + self.limits.step_ms_per_request * self.running.len() as f64
            + read_tokens as f64 / self.limits.read_tokens_per_ms;
        let is_over = |sequence: &Sequence| sequence.generated_tokens == sequence.answer_tokens;
        let ended: Vec<Sequence> = self.running.extract_if(.., |of| is_over(of)).collect();
        for sequence in ended {
            self.keep(&sequence);
        }
        self.preempt();
        (made, (step_ms * self.slowness * 1e3) as u64)
    }

    fn running_tokens(&self) -> u64 {
        self.running.iter().map(Sequence::memory_tokens).sum()
    }

    fn admit(&mut self) {
        while self.running.len() < self.limits.slots {
            let Some(next) = self.waiting.front() else {
                return;
            };
            let needed = self.running_tokens() + next.memory_tokens();
            if needed > self.limits.memory_tokens && !self.running.is_empty() {
                return;
            }
            let mut next = self.waiting.pop_front().expect("it was looked at");
            let kept = self.kept_tokens(&next.parts);
            // The last token is always read, since it gives the first of the answer.
            next.read_tokens = kept.min(next.prompt_tokens - 1);
            self.work.kept_tokens += next.read_tokens;
            self.count_read_again(&next);
            self.running.push(next);
            self.make_room();
        }
    }

    /// Lets the least recently used parts yield until running requests have room.
    fn make_room(&mut self) {
        let mut kept: u64 = self.kept.iter().map(|kept| kept.tokens).sum();
        let room = self
            .limits
            .memory_tokens
            .saturating_sub(self.running_tokens());
        while kept > room {
            let oldest = (0..self.kept.len()).min_by_key(|index| self.kept[*index].used_at);
            let Some(oldest) = oldest else { return };
            let part = self.kept.swap_remove(oldest);
            kept -= part.tokens;
            self.yielded.insert(part.chain);
        }
    }

    /// Takes the newest requests back while memory is short; they are read anew.
    fn preempt(&mut self) {
        self.make_room();
        while self.running_tokens() > self.limits.memory_tokens && self.running.len() > 1 {
            let mut newest = self.running.pop().expect("there are two");
            newest.read_tokens = 0;
            self.work.preemptions += 1;
            self.waiting.push_front(newest);
        }
    }

    fn kept_tokens(&mut self, parts: &[Part]) -> u64 {
        let mut tokens = 0;
        self.uses += 1;
        for chain in chains(parts) {
            let Some(kept) = self.kept.iter_mut().find(|kept| kept.chain == chain) else {
                break;
            };
            kept.used_at = self.uses;
            tokens += kept.tokens;
        }
        tokens
    }

    fn count_read_again(&mut self, sequence: &Sequence) {
        let mut before = 0;
        for (part, chain) in sequence.parts.iter().zip(chains(&sequence.parts)) {
            if before >= sequence.read_tokens && self.yielded.contains(&chain) {
                self.work.read_again_tokens += u64::from(part.tokens);
            }
            before += u64::from(part.tokens);
        }
    }

    fn keep(&mut self, sequence: &Sequence) {
        self.uses += 1;
        for (part, chain) in sequence.parts.iter().zip(chains(&sequence.parts)) {
            if let Some(kept) = self.kept.iter_mut().find(|kept| kept.chain == chain) {
                kept.used_at = self.uses;
                continue;
            }
            self.kept.push(Kept {
                chain,
                tokens: u64::from(part.tokens),
                used_at: self.uses,
            });
        }
        self.make_room();
    }
}

/// Names each part with all parts before it.
fn chains(parts: &[Part]) -> impl Iterator<Item = u64> + '_ {
    parts.iter().scan(0_u64, |chain, part| {
        *chain = xxhash_rust::xxh3::xxh3_64_with_seed(&part.id.to_le_bytes(), *chain);
        Some(*chain)
    })
}

#[cfg(test)]
mod tests;
