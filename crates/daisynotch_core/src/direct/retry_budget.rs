//! The budget that limits retries.
//!
//! When many endpoints fail, all routers retry at the same time, and the retries themselves become
//! the overload. All routers draw on one budget without coordination: each may use its part of the
//! fixed allowance, plus a ratio of the requests that it received itself. A router that restarts does
//! not know what it has spent, so for one window it gets little of its part.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::time::Timestamp;

/// Fraction of the budget that is used. The rest covers routers that restart and lose count of
/// what they spent, and windows that differ slightly between routers.
const USABLE_FRACTION: f64 = 0.75;
/// Number of restarts of one router within a window that the rest of the budget covers: routers may be
/// restarted in turn once more before the window of the first time is over.
const RESTARTS_COVERED: f64 = 2.0;
/// Fraction of its usable part that a router gets within one window of its start: as much as the rest of
/// the budget covers if it had spent its part before.
const STARTING_FRACTION: f64 = (1.0 - USABLE_FRACTION) / USABLE_FRACTION / RESTARTS_COVERED;

/// The budget that all routers share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries allowed per request received.
    pub ratio: f64,
    /// Retries allowed in addition, per window and on all routers together.
    pub allowance: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            allowance: 10.0,
            window: Duration::from_secs(10),
        }
    }
}

/// The times of one service's requests and retries within the sliding window.
#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

/// This router's part of the budget, for each service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    services: HashMap<Arc<str>, Window>,
}

impl RetryBudget {
    /// Creates a budget of which nothing is spent.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            services: HashMap::new(),
        }
    }

    /// Records a caller's request.
    pub fn on_request(&mut self, service: &Arc<str>, now: Timestamp) {
        let window = self.services.entry(Arc::clone(service)).or_default();
        window.requests.push_back(now);
        window.trim(now, self.settings.window);
    }

    /// Takes one retry from the budget; returns `false` if the budget is spent.
    pub fn try_take(&mut self, service: &Arc<str>, routers: usize, now: Timestamp) -> bool {
        let is_allowed = self.has_retry(service, routers, now);
        if is_allowed && let Some(window) = self.services.get_mut(service) {
            window.retries.push_back(now);
        }
        is_allowed
    }

    /// Returns whether a retry is left in the budget.
    pub fn has_retry(&mut self, service: &Arc<str>, routers: usize, now: Timestamp) -> bool {
        let settings = self.settings;
        let window = self.services.entry(Arc::clone(service)).or_default();
        window.trim(now, settings.window);
        let own_allowance = settings.allowance / routers.max(1) as f64;
        let usable = USABLE_FRACTION * earned_fraction(settings.window, now);
        let budget = usable * (settings.ratio * window.requests.len() as f64 + own_allowance);
        ((window.retries.len() + 1) as f64) <= budget
    }
}

/// Returns the fraction of its part that a router may use. Its clock starts with the process.
fn earned_fraction(window: Duration, now: Timestamp) -> f64 {
    if now.since(Timestamp::default()) >= window {
        1.0
    } else {
        STARTING_FRACTION
    }
}

impl Window {
    /// Drops times that are older than `length`.
    fn trim(&mut self, now: Timestamp, length: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > length) {
                times.pop_front();
            }
        }
    }
}

#[cfg(test)]
mod tests;
