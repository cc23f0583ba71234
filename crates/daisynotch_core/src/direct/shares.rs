//! Each team's max-min share of the tokens that all teams share.
//!
//! Load pattern: one team sends many times its usual while the others go on as
//! before. What teams ask in a window is summed over all routers, and capacity is
//! divided so that nobody who asks less than an even share is cut, and all who ask
//! more get the same. Work beyond the share is served only from idle capacity.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::time::Duration;

use daisynotch_objects::RouterId;

use super::digest::TeamDigest;
use crate::time::Timestamp;

/// Parts of the window in which sums are kept.
const BUCKETS: usize = 8;
/// How often shares are worked out anew.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// The part of a window's tokens that may be asked for here before shares are worked out
/// anew, since a team can turn hot within the interval.
const REFRESH_GROWTH_PART: f64 = 0.02;
/// How far a team may be ahead of the one that got least, before idle capacity is kept
/// for that one: less than the factor of two at which service counts as unfair.
const AHEAD_FACTOR: f64 = 1.5;
/// The part of a share that a team must still ask for to count as backlogged.
const BACKLOGGED_PART: f64 = 0.1;
/// The part of its share that every team may begin before anyone is held back for one that
/// got less; a single long prompt is up to a tenth of a share.
const LEAD_FLOOR_PART: f64 = 0.2;
/// Age from which another router's sums no longer count.
const PEER_SUMS_MAX_AGE: Duration = Duration::from_millis(1_500);

/// What teams share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareSettings {
    /// Tokens a second, of all teams on all routers; nothing is divided without it.
    pub tokens_per_s: Option<u64>,
    /// The time over which shares are kept.
    pub window: Duration,
}

/// Teams are known by hashes of their names, which need not be hashed again.
type TeamMap<V> = HashMap<u32, V, BuildHasherDefault<TeamHasher>>;

/// Spreads a team's hash over the bits that a map looks at.
#[derive(Debug, Default, Clone, Copy)]
struct TeamHasher(u64);

impl Hasher for TeamHasher {
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

#[derive(Debug, Default, Clone)]
struct Sums {
    asked: [u64; BUCKETS],
    begun: [u64; BUCKETS],
}

/// One team's tokens in the window.
#[derive(Debug, Default, Clone, Copy)]
struct TeamTotal {
    /// On all routers.
    asked: u64,
    /// On the other routers; what was begun here changes with each decision.
    begun_elsewhere: u64,
}

#[derive(Debug)]
struct PeerSums {
    heard_at: Timestamp,
    teams: Vec<TeamDigest>,
}

/// The sums and shares of all teams.
#[derive(Debug)]
pub struct TeamShares {
    settings: ShareSettings,
    own: TeamMap<Sums>,
    bucket_index: u64,
    peers: HashMap<RouterId, PeerSums>,
    totals: TeamMap<TeamTotal>,
    /// Tokens that one team may begin in a window; none while there is enough for all.
    even_share: Option<u64>,
    refreshed_at: Option<Timestamp>,
    /// The share of those who ask for more than it; what it would be at least while there is
    /// enough for all.
    reference_tokens: u64,
    /// The least used part of the share among teams that ask for much more than they got.
    backlogged_least_used: Option<f64>,
    /// The least part of the share, or of what the team asks if that is less, among the same.
    backlogged_least_served: Option<f64>,
    /// Tokens that were asked for here since the shares were worked out.
    asked_since: u64,
}

impl TeamShares {
    /// Starts with nothing asked.
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
            backlogged_least_used: None,
            backlogged_least_served: None,
            asked_since: 0,
        }
    }

    /// Gives the time over which shares are kept.
    pub fn window(&self) -> Duration {
        self.settings.window
    }

    /// Takes a new capacity.
    pub fn set_tokens_per_s(&mut self, tokens_per_s: Option<u64>) {
        self.settings.tokens_per_s = tokens_per_s;
        self.refreshed_at = None;
    }

    /// Notes what a team asks for.
    pub fn on_asked(&mut self, team: u32, tokens: u64, now: Timestamp) {
        let bucket = self.advance(now);
        self.own.entry(team).or_default().asked[bucket] += tokens;
        self.asked_since += tokens;
    }

    /// Notes that a team's request begins to run.
    pub fn on_begun(&mut self, team: u32, tokens: u64, now: Timestamp) {
        let bucket = self.advance(now);
        self.own.entry(team).or_default().begun[bucket] += tokens;
    }

    /// Takes another router's sums.
    pub fn on_peer(&mut self, router: RouterId, teams: &[TeamDigest], now: Timestamp) {
        let teams = teams.to_vec();
        let heard_at = now;
        self.peers.insert(router, PeerSums { heard_at, teams });
    }

    /// Gives the own sums of the window.
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

    /// Gives the part of its share that a team would have used with some more tokens.
    ///
    /// Above 1 it is beyond its share.
    pub fn used_part(&mut self, team: u32, tokens: u64, now: Timestamp) -> f64 {
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
        let has_grown = self.asked_since as f64 > self.capacity_tokens() * REFRESH_GROWTH_PART;
        if !is_fresh || has_grown {
            self.refresh(now);
        }
    }

    /// Gives the tokens of one window; without bound where nothing is divided.
    fn capacity_tokens(&self) -> f64 {
        let window_s = self.settings.window.as_secs_f64();
        let tokens_per_s = self.settings.tokens_per_s;
        tokens_per_s.map_or(f64::INFINITY, |tokens| tokens as f64 * window_s)
    }

    /// Gives how far a team with some more tokens would lead the one that got least of what
    /// it may have and still asks; above 1 it should let that one go first.
    ///
    /// This holds also while the window's tokens would do for all: at the start of a rush
    /// none of them is used, and all are asked for within a second.
    pub fn lead(&mut self, team: u32, tokens: u64, now: Timestamp) -> f64 {
        self.refresh_when_due(now);
        let (Some(least_served), Some(total)) =
            (self.backlogged_least_served, self.totals.get(&team))
        else {
            return 0.0;
        };
        let begun = self.begun_here(team) + total.begun_elsewhere + tokens;
        let part = begun as f64 / self.reference_tokens.max(1) as f64;
        part / (AHEAD_FACTOR * least_served.max(LEAD_FLOOR_PART))
    }

    /// Says whether a team with this used part is so far ahead of another one that still
    /// asks that idle capacity should go to that one.
    pub fn is_ahead(&self, used_part: f64) -> bool {
        let least_used = self.backlogged_least_used.unwrap_or(f64::INFINITY);
        used_part > AHEAD_FACTOR * least_used.max(1.0)
    }

    fn refresh(&mut self, now: Timestamp) {
        self.refreshed_at = Some(now);
        self.asked_since = 0;
        self.totals.clear();
        self.even_share = None;
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
        for there in self.peers.values().flat_map(|peer| &peer.teams) {
            let total = self.totals.entry(there.team).or_default();
            total.asked += u64::from(there.asked_tokens);
            total.begun_elsewhere += u64::from(there.begun_tokens);
        }
        let capacity = self.capacity_tokens();
        let mut asked: Vec<u64> = self.totals.values().map(|total| total.asked).collect();
        asked.sort_unstable();
        self.even_share = even_share(&asked, capacity);
        self.reference_tokens = self
            .even_share
            .unwrap_or((capacity / asked.len().max(1) as f64) as u64);
        for (team, total) in &self.totals {
            let begun = self.begun_here(*team) + total.begun_elsewhere;
            let unserved = total.asked.saturating_sub(begun) as f64;
            if unserved <= BACKLOGGED_PART * self.reference_tokens as f64 {
                continue;
            }
            let part_of = |tokens: u64| begun as f64 / tokens.max(1) as f64;
            let least =
                |slot: Option<f64>, part: f64| Some(slot.map_or(part, |slot| slot.min(part)));
            if let Some(even) = self.even_share {
                self.backlogged_least_used = least(self.backlogged_least_used, part_of(even));
            }
            let owed = self.reference_tokens.min(total.asked);
            self.backlogged_least_served = least(self.backlogged_least_served, part_of(owed));
        }
    }

    fn advance(&mut self, now: Timestamp) -> usize {
        let bucket_us = (self.settings.window.as_micros() as u64 / BUCKETS as u64).max(1);
        let index = now.0 / bucket_us;
        let passed = (index - self.bucket_index.min(index)).min(BUCKETS as u64);
        for step in 1..=passed {
            let bucket = ((self.bucket_index + step) % BUCKETS as u64) as usize;
            for sums in self.own.values_mut() {
                sums.asked[bucket] = 0;
                sums.begun[bucket] = 0;
            }
        }
        if passed > 0 {
            self.bucket_index = index;
            self.own
                .retain(|_, sums| sums.asked.iter().chain(&sums.begun).any(|sum| *sum > 0));
        }
        (self.bucket_index % BUCKETS as u64) as usize
    }
}

/// Gives the share of those who ask for more than it, of what teams ask in rising order; none
/// if there is enough for all.
fn even_share(asked: &[u64], capacity: f64) -> Option<u64> {
    let mut left = capacity;
    for (position, asked_by_one) in asked.iter().enumerate() {
        let even = left / (asked.len() - position) as f64;
        if *asked_by_one as f64 > even {
            return Some(even as u64);
        }
        left -= *asked_by_one as f64;
    }
    None
}

#[cfg(test)]
mod tests;
