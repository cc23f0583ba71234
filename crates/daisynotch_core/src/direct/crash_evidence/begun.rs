//! Answers that began too recently to prove the parts of their prompts.
//!
//! Load pattern: a fatal part crashes its engine some time after the first event of an answer, or
//! after a short answer that is whole, while sound answers with most of its other parts begin at
//! all engines. An answer proves its parts once its engine was heard after [`PROOF_DELAY`]; if the
//! engine crashes before, the parts are suspects. See `docs/design/crashing-parts.md`.

use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasherDefault;
use std::time::Duration;

use daisynotch_objects::EndpointId;
use smallvec::SmallVec;

use super::PartIds;
use crate::direct::shares::IdHasher;
use crate::time::Timestamp;

/// How long an engine has to outlive the first event of an answer before the answer proves
/// anything: a multiple of the time from one event to the next on a loaded engine.
pub(in crate::direct) const PROOF_DELAY: Duration = Duration::from_millis(300);
/// How long an answer is kept whose engine is not heard any more: small routers of a large fleet send
/// each engine a request every few seconds.
const BEGUN_RETENTION: Duration = Duration::from_millis(10_000);
/// Age up to which an answer whose engine was not heard since is a suspect of a crash.
const UNHEARD_SUSPECT_AGE_MAX: Duration = Duration::from_millis(3_000);
/// Maximum number of answers that are kept of one engine: several times those that one router
/// begins there in that time.
const BEGUN_MAX: usize = 256;

/// Time between the head of a response and its first event up to which they count as sent together.
const HEAD_GAP_MAX: Duration = Duration::from_millis(20);
/// Weight of one answer in the moving average of answers whose head came alone.
const LONE_HEAD_SMOOTHING: f64 = 0.02;
/// Fraction of such answers from which heads are taken to come alone.
const LONE_HEADS_MIN: f64 = 0.1;

/// Whether engines send the head of a response before its first event.
///
/// Most send both together, and then a request of which only the head has arrived is the likeliest
/// cause of a crash.
#[derive(Debug, Default)]
pub(super) struct LoneHeads {
    /// The fraction of the latest answers whose head came alone; `None` before the first one.
    fraction: Option<f64>,
}

impl LoneHeads {
    /// Records the time between the head of an answer and its first event.
    pub(super) fn observe(&mut self, gap: Duration) {
        let came_alone = f64::from(u8::from(gap > HEAD_GAP_MAX));
        let fraction = self.fraction.get_or_insert(came_alone);
        *fraction += LONE_HEAD_SMOOTHING * (came_alone - *fraction);
    }

    /// Returns whether a head without an event is usual, or nothing is known of it.
    pub(super) fn are_usual(&self) -> bool {
        self.fraction
            .is_none_or(|fraction| fraction >= LONE_HEADS_MIN)
    }
}

/// An answer of which an event has arrived.
#[derive(Debug, Clone)]
pub(super) struct BegunAnswer {
    /// When its first event arrived.
    pub(super) at: Timestamp,
    /// The shared parts of its prompt.
    pub(super) parts: PartIds,
    /// Whether the request is a trial of a suspect part.
    pub(super) is_trial: bool,
}

/// The answers that this router saw begin at each engine start, in order.
#[derive(Debug, Default)]
pub(super) struct BegunAnswers {
    by_endpoint: HashMap<EndpointId, VecDeque<BegunAnswer>, BuildHasherDefault<IdHasher>>,
}

impl BegunAnswers {
    pub(super) fn insert(&mut self, endpoint: EndpointId, answer: BegunAnswer) {
        let answers = self.by_endpoint.entry(endpoint).or_default();
        if answers.len() >= BEGUN_MAX {
            answers.pop_front();
        }
        answers.push_back(answer);
    }

    /// Removes the answers that the engine, which was heard at `heard_at`, has outlived.
    pub(super) fn take_outlived(
        &mut self,
        endpoint: EndpointId,
        heard_at: Timestamp,
    ) -> SmallVec<[BegunAnswer; 4]> {
        let mut outlived: SmallVec<[BegunAnswer; 4]> = SmallVec::new();
        let Some(answers) = self.by_endpoint.get_mut(&endpoint) else {
            return outlived;
        };
        while let Some(answer) = answers.pop_front_if(|first| first.at + PROOF_DELAY <= heard_at) {
            outlived.push(answer);
        }
        if answers.is_empty() {
            self.by_endpoint.remove(&endpoint);
        }
        outlived
    }

    /// Removes all answers of an engine that crashed, and returns those that are suspects.
    pub(super) fn take_suspects(
        &mut self,
        endpoint: EndpointId,
        crashed_at: Timestamp,
    ) -> VecDeque<BegunAnswer> {
        let mut answers = self.by_endpoint.remove(&endpoint).unwrap_or_default();
        answers.retain(|answer| crashed_at.since(answer.at) < UNHEARD_SUSPECT_AGE_MAX);
        answers
    }

    /// Returns whether an engine has begun an answer that it has not outlived yet.
    pub(super) fn has_any(&self, endpoint: EndpointId) -> bool {
        self.by_endpoint.contains_key(&endpoint)
    }

    /// Returns the engines with a trial that began to answer within [`PROOF_DELAY`].
    pub(super) fn trials(&self, now: Timestamp) -> impl Iterator<Item = EndpointId> {
        let has_trial = move |answers: &VecDeque<BegunAnswer>| {
            let mut answers = answers.iter();
            answers.any(|answer| answer.is_trial && now < answer.at + PROOF_DELAY)
        };
        let engines = self.by_endpoint.iter();
        engines
            .filter(move |(_, answers)| has_trial(answers))
            .map(|(endpoint, _)| *endpoint)
    }

    /// Removes the answers of engines that were not heard for long. No router saw these engines crash in
    /// that time, so they have outlived the answers.
    pub(super) fn take_expired(&mut self, now: Timestamp) -> SmallVec<[BegunAnswer; 4]> {
        let mut expired: SmallVec<[BegunAnswer; 4]> = SmallVec::new();
        let is_expired = |answer: &mut BegunAnswer| now.since(answer.at) >= BEGUN_RETENTION;
        self.by_endpoint.retain(|_, answers| {
            while let Some(answer) = answers.pop_front_if(is_expired) {
                expired.push(answer);
            }
            !answers.is_empty()
        });
        expired
    }
}
