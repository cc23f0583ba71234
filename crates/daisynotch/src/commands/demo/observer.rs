//! Measures fairness and utilization while the demo's callers run.
//!
//! A team is backlogged while one of its requests has waited for its first token for
//! longer than an engine with a free slot would take. The fairness gap between two teams
//! is the largest difference in weighted service that they receive over any period in
//! which both are backlogged throughout.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

use super::fleet::{ENGINE_BATCH, Fleet, TEAMS};

/// The interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// The wait after which a request makes its team backlogged: several times the time to first
/// token of an engine with a free slot.
const BACKLOGGED_AFTER: Duration = Duration::from_millis(100);

/// Identifies an open chat request of the demo.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct CallId(u64);

#[derive(Debug, Default)]
struct TeamState {
    served_tokens: AtomicU64,
    waiting_since: Mutex<HashMap<CallId, Instant>>,
}

/// The range of the difference between two teams' weighted service since both became backlogged.
#[derive(Debug, Clone, Copy)]
struct DifferenceRange {
    lowest: f64,
    highest: f64,
}

#[derive(Debug, Default)]
struct Aggregates {
    ranges: HashMap<(usize, usize), DifferenceRange>,
    fairness_gap: f64,
    backlogged_samples: u64,
    utilization_sum: f64,
}

/// Collects measurements of teams and engines.
#[derive(Debug, Default)]
pub(super) struct Observer {
    teams: [TeamState; TEAMS.len()],
    next_call: AtomicU64,
    aggregates: Mutex<Aggregates>,
}

impl Observer {
    /// Records that a request was sent and waits for its first token.
    pub(super) fn start_waiting(&self, team: usize) -> CallId {
        let call = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        self.lock_waiting(team).insert(call, Instant::now());
        call
    }

    /// Records that a request no longer waits for its first token.
    pub(super) fn stop_waiting(&self, team: usize, call: CallId) {
        self.lock_waiting(team).remove(&call);
    }

    /// Records tokens that a caller received.
    pub(super) fn add_tokens(&self, team: usize, tokens: u64) {
        self.teams[team]
            .served_tokens
            .fetch_add(tokens, Ordering::Relaxed);
    }

    /// Returns the number of tokens that all callers received.
    pub(super) fn served_tokens(&self) -> u64 {
        let tokens = |team: &TeamState| team.served_tokens.load(Ordering::Relaxed);
        self.teams.iter().map(tokens).sum()
    }

    /// Returns the largest fairness gap between any two teams, in tokens at weight 1.
    pub(super) fn fairness_gap(&self) -> f64 {
        self.lock_aggregates().fairness_gap
    }

    /// Returns the mean fraction of engine slots in use while any team was backlogged.
    pub(super) fn utilization(&self) -> Option<f64> {
        let aggregates = self.lock_aggregates();
        let count = aggregates.backlogged_samples;
        (count > 0).then(|| aggregates.utilization_sum / count as f64)
    }

    /// Takes a sample, unless no token was served yet.
    ///
    /// Until then the schedulers are in the grace period after their takeover and grant no slots.
    fn sample(&self, fleet: &Fleet) {
        if self.served_tokens() == 0 {
            return;
        }
        let now = Instant::now();
        let service: Vec<f64> = (0..TEAMS.len())
            .map(|team| self.weighted_service(team))
            .collect();
        let backlogged: Vec<bool> = (0..TEAMS.len())
            .map(|team| self.is_backlogged(team, now))
            .collect();
        let mut aggregates = self.lock_aggregates();
        for first in 0..TEAMS.len() {
            for second in first + 1..TEAMS.len() {
                let difference = service[first] - service[second];
                let both_backlogged = backlogged[first] && backlogged[second];
                aggregates.update_pair((first, second), both_backlogged.then_some(difference));
            }
        }
        if backlogged.contains(&true) {
            aggregates.backlogged_samples += 1;
            aggregates.utilization_sum += slot_utilization(fleet);
        }
    }

    fn weighted_service(&self, team: usize) -> f64 {
        let tokens = self.teams[team].served_tokens.load(Ordering::Relaxed);
        tokens as f64 / f64::from(TEAMS[team].weight)
    }

    fn is_backlogged(&self, team: usize, now: Instant) -> bool {
        let exceeds_threshold = |since: &Instant| now - *since > BACKLOGGED_AFTER;
        self.lock_waiting(team).values().any(exceeds_threshold)
    }

    fn lock_waiting(&self, team: usize) -> std::sync::MutexGuard<'_, HashMap<CallId, Instant>> {
        let waiting = self.teams[team].waiting_since.lock();
        waiting.expect("no thread panics while holding the lock")
    }

    fn lock_aggregates(&self) -> std::sync::MutexGuard<'_, Aggregates> {
        self.aggregates
            .lock()
            .expect("no thread panics while holding the lock")
    }
}

impl Aggregates {
    /// Updates the range of a pair of teams, or resets it if `difference` is `None` because one
    /// of them is not backlogged.
    fn update_pair(&mut self, pair: (usize, usize), difference: Option<f64>) {
        let Some(difference) = difference else {
            self.ranges.remove(&pair);
            return;
        };
        let range = self.ranges.entry(pair).or_insert(DifferenceRange {
            lowest: difference,
            highest: difference,
        });
        range.lowest = range.lowest.min(difference);
        range.highest = range.highest.max(difference);
        let gap = range.highest - range.lowest;
        self.fairness_gap = self.fairness_gap.max(gap);
    }
}

/// Takes samples until the task is aborted.
pub(super) async fn run(observer: Arc<Observer>, fleet: Arc<Fleet>) {
    loop {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        observer.sample(&fleet);
    }
}

/// Returns the fraction of all engine slots in use.
fn slot_utilization(fleet: &Fleet) -> f64 {
    let busy_slots = |engine: &daisynotch_standins::Engine| engine.running().min(ENGINE_BATCH);
    let busy_total: u32 = fleet.engines.iter().map(busy_slots).sum();
    f64::from(busy_total) / (f64::from(ENGINE_BATCH) * fleet.engines.len() as f64)
}
