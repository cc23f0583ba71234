//! Max-min fair sharing of the fleet's token capacity between teams.
//!
//! Protects teams with steady demand from a team that sends many times its usual. The tokens
//! that teams ask for in a sliding window are summed over all routers. Teams that ask for less
//! than an even share get all that they ask for, and all others get the same share. Requests
//! beyond the share are served only from idle capacity.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::time::Duration;

use daisynotch_objects::RouterId;

use super::digest::TeamDigest;
use crate::time::Timestamp;

/// Number of buckets of the sliding window.
const BUCKETS: usize = 8;
/// Interval at which shares are recomputed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Demand at this router, as a fraction of a window's tokens, that causes shares to be recomputed
/// early: a team's demand can surge within the interval.
const REFRESH_GROWTH_FRACTION: f64 = 0.02;
/// How many times as much as the least-served team another team may get before idle capacity is
/// reserved for the former: below the factor of 2 at which service counts as unfair.
const LEAD_FACTOR_MAX: f64 = 1.5;
/// Unserved demand, as a fraction of a share, above which a team counts as backlogged.
const BACKLOGGED_FRACTION: f64 = 0.1;
/// Fraction of its share that any team may start before it is held back in favour of a team that
/// got less; a single long prompt takes up to a tenth of a share.
const LEAD_FLOOR_FRACTION: f64 = 0.2;
/// Age at which another router's sums expire.
const PEER_SUMS_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Settings of the sharing between teams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareSettings {
    /// Tokens per second of all teams on all routers; `None` disables sharing.
    pub tokens_per_s: Option<u64>,
    /// Length of the sliding window over which tokens are counted.
    pub window: Duration,
}

/// What was charged to a team's share for a request.
#[derive(Debug, Clone, Copy)]
pub struct Charge {
    /// The tokens.
    pub tokens: u64,
    /// When they were added to the team's demand.
    pub asked_at: Timestamp,
    /// When they were added to its usage.
    pub begun_at: Timestamp,
}

/// A map keyed by the hash of a team's name, which needs no strong second hash.
type TeamMap<V> = HashMap<u32, V, BuildHasherDefault<IdHasher>>;

/// Spreads an identifier that is a 32-bit hash over the bits that the hash map uses.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct IdHasher(u64);

impl Hasher for IdHasher {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u32(u32::from(*byte));
        }
    }

    fn write_u32(&mut self, team: u32) {
        // Fibonacci hashing: 2^64 over the golden ratio.
        self.0 = (self.0 ^ u64::from(team)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

/// One team's tokens at this router, by bucket of the window.
#[derive(Debug, Default, Clone)]
struct Sums {
    asked: [u64; BUCKETS],
    begun: [u64; BUCKETS],
}

/// One team's tokens in the window, over several routers.
#[derive(Debug, Default, Clone, Copy)]
struct TeamTotal {
    /// Tokens asked for on all routers.
    asked: u64,
    /// Tokens begun on the other routers. Those begun here change with each decision and are
    /// added when needed.
    begun_elsewhere: u64,
}

/// The sums in another router's latest digest.
#[derive(Debug)]
struct PeerSums {
    heard_at: Timestamp,
    teams: Vec<TeamDigest>,
}

/// Demand, usage and shares of all teams.
#[derive(Debug)]
pub struct TeamShares {
    settings: ShareSettings,
    own: TeamMap<Sums>,
    bucket_index: u64,
    peers: HashMap<RouterId, PeerSums>,
    totals: TeamMap<TeamTotal>,
    /// Tokens that a team may begin in a window; `None` while capacity covers all demand.
    even_share: Option<u64>,
    refreshed_at: Option<Timestamp>,
    /// The share of the teams that ask for more than it; while capacity covers all demand, the
    /// lower bound of that share.
    reference_tokens: u64,
    /// What a team may get at most if the tokens that engines really begin are shared evenly;
    /// `None` while they cover all demand.
    served_share: Option<u64>,
    /// The smallest fraction of the share that any backlogged team has used.
    backlogged_least_used: Option<f64>,
    /// The smallest fraction of its entitlement that any backlogged team has begun; a team is
    /// entitled to its demand, but no more than the share.
    backlogged_least_served: Option<f64>,
    /// Tokens asked for here since the shares were last recomputed.
    asked_since_refresh: u64,
}

impl TeamShares {
    /// Creates shares without any demand.
    pub fn new(settings: ShareSettings) -> Self {
        Self {
            settings,
            own: TeamMap::default(),
            bucket_index: 0,
            peers: HashMap::new(),
            totals: TeamMap::default(),
            even_share: None,
            refreshed_at: None,
            reference_tokens: 0,
            served_share: None,
            backlogged_least_used: None,
            backlogged_least_served: None,
            asked_since_refresh: 0,
        }
    }

    /// Returns the length of the sliding window.
    pub fn window(&self) -> Duration {
        self.settings.window
    }

    /// Sets the capacity in tokens per second.
    pub fn set_tokens_per_s(&mut self, tokens_per_s: Option<u64>) {
        self.settings.tokens_per_s = tokens_per_s;
        self.refreshed_at = None;
    }

    /// Adds tokens to a team's demand.
    pub fn on_asked(&mut self, team: u32, tokens: u64, now: Timestamp) {
        let bucket = self.advance(now);
        self.own.entry(team).or_default().asked[bucket] += tokens;
        self.asked_since_refresh += tokens;
    }

    /// Adds the tokens of a request that was sent to an endpoint to its team's usage.
    pub fn on_begun(&mut self, team: u32, tokens: u64, now: Timestamp) {
        let bucket = self.advance(now);
        self.own.entry(team).or_default().begun[bucket] += tokens;
    }

    /// Replaces what was charged for a request by the `tokens` that it really took.
    ///
    /// Missing tokens are charged now. Excess ones are taken from the time at which they were
    /// charged and, once that has left the window, not at all: they would reduce what other
    /// requests were charged.
    pub fn settle(&mut self, team: u32, charge: &Charge, tokens: u64, now: Timestamp) {
        let bucket = self.advance(now);
        let bucket_us = self.bucket_us();
        let newest = self.bucket_index;
        let own = self.own.entry(team).or_default();
        for (sums, at) in [
            (&mut own.asked, charge.asked_at),
            (&mut own.begun, charge.begun_at),
        ] {
            let charged_in = at.0 / bucket_us;
            if tokens >= charge.tokens {
                sums[bucket] += tokens - charge.tokens;
            } else if newest.saturating_sub(charged_in) < BUCKETS as u64 {
                let sum = &mut sums[(charged_in % BUCKETS as u64) as usize];
                *sum = sum.saturating_sub(charge.tokens - tokens);
            }
        }
    }

    fn bucket_us(&self) -> u64 {
        (self.settings.window.as_micros() as u64 / BUCKETS as u64).max(1)
    }

    /// Replaces another router's sums.
    pub fn on_peer(&mut self, router: RouterId, teams: &[TeamDigest], now: Timestamp) {
        let teams = teams.to_vec();
        let heard_at = now;
        self.peers.insert(router, PeerSums { heard_at, teams });
    }

    /// Returns this router's sums over the window.
    pub fn own_sums(&mut self, now: Timestamp) -> Vec<TeamDigest> {
        self.advance(now);
        let clip = |sum: u64| u32::try_from(sum).unwrap_or(u32::MAX);
        let sums = self.own.iter().map(|(team, sums)| TeamDigest {
            team: *team,
            asked_tokens: clip(sums.asked.iter().sum()),
            begun_tokens: clip(sums.begun.iter().sum()),
        });
        sums.filter(|sums| sums.asked_tokens > 0).collect()
    }

    /// Returns the fraction of its share that a team would have used after `tokens` more.
    ///
    /// A team above 1 is beyond its share.
    pub fn used_fraction(&mut self, team: u32, tokens: u64, now: Timestamp) -> f64 {
        self.refresh_when_due(now);
        let (Some(share), Some(total)) = (self.even_share, self.totals.get(&team)) else {
            return 0.0;
        };
        let begun = self.begun_here(team) + total.begun_elsewhere + tokens;
        begun as f64 / share.max(1) as f64
    }

    fn begun_here(&self, team: u32) -> u64 {
        self.own.get(&team).map_or(0, |own| own.begun.iter().sum())
    }

    fn refresh_when_due(&mut self, now: Timestamp) {
        self.advance(now);
        let is_fresh = self
            .refreshed_at
            .is_some_and(|at| now.since(at) < REFRESH_INTERVAL);
        let has_grown =
            self.asked_since_refresh as f64 > self.capacity_tokens() * REFRESH_GROWTH_FRACTION;
        if !is_fresh || has_grown {
            self.refresh(now);
        }
    }

    /// Returns the capacity of one window, which is infinite if sharing is disabled.
    fn capacity_tokens(&self) -> f64 {
        let window_s = self.settings.window.as_secs_f64();
        let tokens_per_s = self.settings.tokens_per_s;
        tokens_per_s.map_or(f64::INFINITY, |tokens| tokens as f64 * window_s)
    }

    /// Returns how far a team with `tokens` more would lead the backlogged team that got the
    /// smallest fraction of its entitlement; above 1 it should let that team go first.
    ///
    /// This applies even while the window's tokens cover all demand: at the start of a rush none
    /// of them is used, and all are asked for within a second.
    pub fn lead(&mut self, team: u32, tokens: u64, now: Timestamp) -> f64 {
        self.refresh_when_due(now);
        let (Some(least_served), Some(total)) =
            (self.backlogged_least_served, self.totals.get(&team))
        else {
            return 0.0;
        };
        let begun = self.begun_here(team) + total.begun_elsewhere + tokens;
        let fraction = begun as f64 / self.reference_tokens.max(1) as f64;
        fraction / (LEAD_FACTOR_MAX * least_served.max(LEAD_FLOOR_FRACTION))
    }

    /// Returns the fraction of a team's demand that an even share of what engines really begin
    /// would cover.
    pub(crate) fn entitled_fraction(&mut self, team: u32, now: Timestamp) -> f64 {
        self.refresh_when_due(now);
        let (Some(share), Some(total)) = (self.served_share, self.totals.get(&team)) else {
            return 1.0;
        };
        (share as f64 / total.asked.max(1) as f64).min(1.0)
    }

    /// Returns whether a team that has used `used_fraction` of its share is so far ahead of a
    /// backlogged team that idle capacity should go to the latter.
    pub fn must_yield_idle_capacity(&self, used_fraction: f64) -> bool {
        let least_used = self.backlogged_least_used.unwrap_or(f64::INFINITY);
        used_fraction > LEAD_FACTOR_MAX * least_used.max(1.0)
    }

    /// Recomputes the share and the least-served backlogged teams from the sums of all routers.
    fn refresh(&mut self, now: Timestamp) {
        self.refreshed_at = Some(now);
        self.asked_since_refresh = 0;
        self.totals.clear();
        self.even_share = None;
        self.served_share = None;
        self.backlogged_least_used = None;
        self.backlogged_least_served = None;
        if self.settings.tokens_per_s.is_none() {
            return;
        }
        self.peers
            .retain(|_, peer| now.since(peer.heard_at) < PEER_SUMS_MAX_AGE);
        for (team, sums) in &self.own {
            self.totals.entry(*team).or_default().asked += sums.asked.iter().sum::<u64>();
        }
        for reported in self.peers.values().flat_map(|peer| &peer.teams) {
            let total = self.totals.entry(reported.team).or_default();
            total.asked += u64::from(reported.asked_tokens);
            total.begun_elsewhere += u64::from(reported.begun_tokens);
        }
        let capacity = self.capacity_tokens();
        let mut asked: Vec<u64> = self.totals.values().map(|total| total.asked).collect();
        asked.sort_unstable();
        self.even_share = even_share(&asked, capacity);
        let begun = self.totals.iter();
        let begun = begun.map(|(team, total)| self.begun_here(*team) + total.begun_elsewhere);
        self.served_share = even_share(&asked, begun.sum::<u64>() as f64);
        self.reference_tokens = self
            .even_share
            .unwrap_or((capacity / asked.len().max(1) as f64) as u64);
        for (team, total) in &self.totals {
            let begun = self.begun_here(*team) + total.begun_elsewhere;
            let unserved = total.asked.saturating_sub(begun) as f64;
            if unserved <= BACKLOGGED_FRACTION * self.reference_tokens as f64 {
                continue;
            }
            let fraction_of = |tokens: u64| begun as f64 / tokens.max(1) as f64;
            let least =
                |min: Option<f64>, value: f64| Some(min.map_or(value, |min| min.min(value)));
            if let Some(even) = self.even_share {
                self.backlogged_least_used = least(self.backlogged_least_used, fraction_of(even));
            }
            let entitled = self.reference_tokens.min(total.asked);
            self.backlogged_least_served =
                least(self.backlogged_least_served, fraction_of(entitled));
        }
    }

    /// Clears the buckets that have left the window and returns the index of the current one.
    fn advance(&mut self, now: Timestamp) -> usize {
        let bucket_us = self.bucket_us();
        let index = now.0 / bucket_us;
        let elapsed_buckets = (index - self.bucket_index.min(index)).min(BUCKETS as u64);
        for step in 1..=elapsed_buckets {
            let bucket = ((self.bucket_index + step) % BUCKETS as u64) as usize;
            for sums in self.own.values_mut() {
                sums.asked[bucket] = 0;
                sums.begun[bucket] = 0;
            }
        }
        if elapsed_buckets > 0 {
            self.bucket_index = index;
            self.own
                .retain(|_, sums| sums.asked.iter().chain(&sums.begun).any(|sum| *sum > 0));
        }
        (self.bucket_index % BUCKETS as u64) as usize
    }
}

/// Computes the max-min share, which caps the teams that ask for more than it; `None` if
/// `capacity` covers all demand.
///
/// `asked` holds the demand of each team in ascending order.
fn even_share(asked: &[u64], capacity: f64) -> Option<u64> {
    let mut left = capacity;
    for (position, team_asked) in asked.iter().enumerate() {
        let even = left / (asked.len() - position) as f64;
        if *team_asked as f64 > even {
            return Some(even as u64);
        }
        left -= *team_asked as f64;
    }
    None
}

#[cfg(test)]
mod tests;
