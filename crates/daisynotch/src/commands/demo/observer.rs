//! Watches fairness and utilisation while the demo's callers run.
//!
//! A team counts as backlogged while a request of it has waited for its first
//! token for longer than an engine with a free slot would take. The gap between
//! two teams is the largest difference in weighted service over any stretch of
//! time in which both were backlogged throughout.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

use super::fleet::{ENGINE_BATCH, Fleet, TEAMS};

/// How often a sample is taken.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// The wait from which a team counts as backlogged: several times the first-token time.
const BACKLOGGED_AFTER: Duration = Duration::from_millis(100);

/// Names one open request of the demo.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct CallId(u64);

#[derive(Debug, Default)]
struct TeamState {
    served_tokens: AtomicU64,
    waiting_since: Mutex<HashMap<CallId, Instant>>,
}

/// The lowest and highest difference of two teams' service since both are backlogged.
#[derive(Debug, Clone, Copy)]
struct Stretch {
    lowest: f64,
    highest: f64,
}

#[derive(Debug, Default)]
struct Samples {
    stretches: HashMap<(usize, usize), Stretch>,
    fairness_gap: f64,
    backlogged_samples: u64,
    busy_share_sum: f64,
}

/// What is seen of teams and engines.
#[derive(Debug, Default)]
pub(super) struct Observer {
    teams: [TeamState; TEAMS.len()],
    next_call: AtomicU64,
    samples: Mutex<Samples>,
}

impl Observer {
    /// Notes that a request was sent.
    pub(super) fn on_sent(&self, team: usize) -> CallId {
        let call = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        self.waiting(team).insert(call, Instant::now());
        call
    }

    /// Notes that a request waits no longer.
    pub(super) fn on_answered(&self, team: usize, call: CallId) {
        self.waiting(team).remove(&call);
    }

    /// Notes tokens that a caller received.
    pub(super) fn on_tokens(&self, team: usize, tokens: u64) {
        self.teams[team]
            .served_tokens
            .fetch_add(tokens, Ordering::Relaxed);
    }

    /// Gives the tokens that all callers received.
    pub(super) fn served_tokens(&self) -> u64 {
        let tokens = |team: &TeamState| team.served_tokens.load(Ordering::Relaxed);
        self.teams.iter().map(tokens).sum()
    }

    /// Gives the largest gap between two backlogged teams, in tokens at weight 1.
    pub(super) fn fairness_gap(&self) -> f64 {
        self.lock_samples().fairness_gap
    }

    /// Gives the share of the engines' slots that ran while any team was backlogged.
    pub(super) fn utilisation(&self) -> Option<f64> {
        let samples = self.lock_samples();
        let count = samples.backlogged_samples;
        (count > 0).then(|| samples.busy_share_sum / count as f64)
    }

    /// Takes a sample; before the first token, schedulers still wait out their takeover.
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
        let mut samples = self.lock_samples();
        for first in 0..TEAMS.len() {
            for second in first + 1..TEAMS.len() {
                let difference = service[first] - service[second];
                let both = backlogged[first] && backlogged[second];
                samples.add_pair((first, second), both.then_some(difference));
            }
        }
        if backlogged.contains(&true) {
            samples.backlogged_samples += 1;
            samples.busy_share_sum += busy_share(fleet);
        }
    }

    fn weighted_service(&self, team: usize) -> f64 {
        let tokens = self.teams[team].served_tokens.load(Ordering::Relaxed);
        tokens as f64 / f64::from(TEAMS[team].weight)
    }

    fn is_backlogged(&self, team: usize, now: Instant) -> bool {
        let is_late = |since: &Instant| now - *since > BACKLOGGED_AFTER;
        self.waiting(team).values().any(is_late)
    }

    fn waiting(&self, team: usize) -> std::sync::MutexGuard<'_, HashMap<CallId, Instant>> {
        let waiting = self.teams[team].waiting_since.lock();
        waiting.expect("no holder of the lock panics")
    }

    fn lock_samples(&self) -> std::sync::MutexGuard<'_, Samples> {
        self.samples.lock().expect("no holder of the lock panics")
    }
}

impl Samples {
    /// Takes in the difference of two teams, or that one of them is not backlogged.
    fn add_pair(&mut self, pair: (usize, usize), difference: Option<f64>) {
        let Some(difference) = difference else {
            self.stretches.remove(&pair);
            return;
        };
        let stretch = self.stretches.entry(pair).or_insert(Stretch {
            lowest: difference,
            highest: difference,
        });
        stretch.lowest = stretch.lowest.min(difference);
        stretch.highest = stretch.highest.max(difference);
        let gap = stretch.highest - stretch.lowest;
        self.fairness_gap = self.fairness_gap.max(gap);
    }
}

/// Takes samples until it is aborted.
pub(super) async fn run(observer: Arc<Observer>, fleet: Arc<Fleet>) {
    loop {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        observer.sample(&fleet);
    }
}

fn busy_share(fleet: &Fleet) -> f64 {
    let busy = |engine: &daisynotch_standins::Engine| engine.running().min(ENGINE_BATCH);
    let running: u32 = fleet.engines.iter().map(busy).sum();
    f64::from(running) / (f64::from(ENGINE_BATCH) * fleet.engines.len() as f64)
}
