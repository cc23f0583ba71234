//! Generates the requests of callers and the slowdowns of engines.

use daisynotch_core::{Cost, LengthClass, PoolId, RequestSpec, TeamId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::engine::{CAPACITY_TOKENS_PER_S, PREFILL_TOKENS};

/// Mean length of short requests, which have 20 to 60 tokens.
const SHORT_TOKENS: u64 = 40;
pub(crate) const SHORT_TOKENS_MAX: u64 = 60;
const TEAMS: usize = 16;
pub(crate) const QUEUE_TIMEOUT_MS: u64 = 2_000;
pub(crate) const SECOND_US: u64 = 1_000_000;

#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) at_us: u64,
    pub(crate) router: usize,
    pub(crate) tokens: u64,
    pub(crate) spec: RequestSpec,
}

/// The input of one run; fleets of up to three routers have the 12 replicas of the requirements.
#[derive(Debug, Clone, Default)]
pub(crate) struct Load {
    pub(crate) routers: usize,
    pub(crate) zones: usize,
    pub(crate) engines: usize,
    pub(crate) requests: Vec<Request>,
    /// Start time, engine, and the factor by which the engine is slower from then on.
    pub(crate) slowdowns: Vec<(u64, usize, u64)>,
    pub(crate) until_us: u64,
}

impl Load {
    pub(crate) fn new(routers: usize, until_s: u64) -> Self {
        Self {
            routers,
            zones: if routers < 100 { routers.min(3) } else { 16 },
            engines: (routers * 4).max(12),
            until_us: until_s * SECOND_US,
            ..Self::default()
        }
    }

    pub(crate) fn capacity_tokens_per_s(&self) -> f64 {
        self.engines as f64 * CAPACITY_TOKENS_PER_S
    }

    /// Adds requests at a load that varies with time, as a fraction of capacity.
    ///
    /// A fraction `long_fraction` of them is 50 times longer, and one in five of those carries
    /// a hint for a short request; hints are wrong by up to a factor of four.
    pub(crate) fn add(&mut self, seed: u64, long_fraction: f64, load_at: impl Fn(f64) -> f64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mean_tokens =
            SHORT_TOKENS as f64 * (1.0 + 49.0 * long_fraction) + PREFILL_TOKENS as f64;
        let capacity_per_s = self.capacity_tokens_per_s() / mean_tokens;
        let mut at_s = 1.0;
        while at_s * 1e6 < self.until_us as f64 {
            at_s -= (1.0 - rng.random::<f64>()).ln() / (capacity_per_s * load_at(at_s));
            let request = self.draw_request(&mut rng, (at_s * 1e6) as u64, long_fraction);
            self.requests.push(request);
        }
    }

    fn draw_request(&self, rng: &mut StdRng, at_us: u64, long_fraction: f64) -> Request {
        let short = rng.random_range(SHORT_TOKENS / 2..=SHORT_TOKENS_MAX);
        let is_long = rng.random_bool(long_fraction);
        let tokens = if is_long { short * 50 } else { short };
        let is_hinted_long = is_long && rng.random_bool(0.8);
        let (class, guess) = if is_hinted_long {
            (LengthClass::Long, tokens)
        } else {
            (LengthClass::Short, short)
        };
        // The minimum of two draws favours low numbers, so a few teams are large.
        let team = rng.random_range(0..TEAMS).min(rng.random_range(0..TEAMS));
        let spec = RequestSpec {
            team: team_id(team),
            pool: PoolId::from(&"conseil-lm".parse().expect("a name")),
            hint: Cost(guess * rng.random_range(1..=16) / 4 + 1),
            class,
            prefix: None,
            idempotent: true,
        };
        Request {
            at_us,
            router: rng.random_range(0..self.routers),
            tokens,
            spec,
        }
    }

    /// Slows one engine of every six by a factor of 5; every 1 to 10 s one is drawn again.
    pub(crate) fn add_slowdowns(&mut self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        for group in 0..(self.engines / 6).max(1) {
            let mut at_us = 10 * SECOND_US;
            while at_us < self.until_us {
                let engine = group * 6 + rng.random_range(0..6);
                let end_us = at_us + rng.random_range(SECOND_US..=10 * SECOND_US);
                self.slowdowns
                    .extend([(at_us, engine, 5), (end_us - 1, engine, 1)]);
                at_us = end_us;
            }
        }
    }

    /// Returns the configuration objects of the fleet as TOML.
    pub(crate) fn objects(&self) -> String {
        let mut text = "[pool.conseil-lm]\nkind = \"inference\"\nslots = 8\n".to_owned();
        text += &format!("[limits.each]\nqueue_timeout_ms = {QUEUE_TIMEOUT_MS}\n");
        for team in 0..TEAMS {
            text += &format!("[team.team-{team}]\nlimits = \"each\"\n");
        }
        for engine in 0..self.engines {
            let zone = engine % self.zones;
            text += &format!("[endpoint.e-{engine}]\npool = \"conseil-lm\"\n");
            text += &format!("zone = \"zone-{zone}\"\naddress = \"127.0.0.1:9\"\n");
        }
        text
    }
}

pub(crate) fn team_id(team: usize) -> TeamId {
    TeamId::from(&format!("team-{team}").parse().expect("a name"))
}
