//! Baseline policies. They send every request at once and never refuse one.

use std::collections::HashMap;

use daisynotch_core::direct::Part;
use rand::RngExt;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};

/// The largest ratio between the outstanding requests of a session's last engine and those of the
/// least loaded engine.
const PREFIX_IMBALANCE_MAX: f64 = 1.5;
/// The outstanding requests that a session's last engine may have on top of that ratio.
const PREFIX_IMBALANCE_FREE_REQUESTS: f64 = 4.0;

/// A policy that decides which engine serves a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyName {
    /// The production dispatcher, `daisynotch_core::direct::Dispatcher`.
    Direct,
    /// The production dispatcher without evidence on prompt parts.
    NoDetection,
    /// The same, with each prompt part refused after three crashes of engines that had it.
    BlockAfterCrashes,
    /// A random engine.
    Random,
    /// The engine with the fewest outstanding requests of the same router.
    LeastOutstanding,
    /// The engine that the session's id hashes to.
    PrefixOnly,
    /// The engine that last served the session, unless it has many more outstanding requests than
    /// the least loaded one.
    PrefixLeastOutstanding,
}

impl PolicyName {
    /// Returns whether the policy uses the production dispatcher.
    pub(crate) fn has_dispatcher(self) -> bool {
        matches!(
            self,
            Self::Direct | Self::NoDetection | Self::BlockAfterCrashes
        )
    }

    /// Returns the policy's name in experiment files and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::NoDetection => "no_detection",
            Self::BlockAfterCrashes => "block_after_crashes",
            Self::Random => "random",
            Self::LeastOutstanding => "least_outstanding",
            Self::PrefixOnly => "prefix_only",
            Self::PrefixLeastOutstanding => "prefix_least_outstanding",
        }
    }
}

/// A router that uses a baseline policy.
#[derive(Debug)]
pub(crate) struct Baseline {
    policy: PolicyName,
    outstanding: Vec<u32>,
    /// The engine that last served each session, by the id of the session's prompt part.
    last_engines: HashMap<u32, usize>,
}

impl Baseline {
    pub(crate) fn new(policy: PolicyName, engines: usize) -> Self {
        Self {
            policy,
            outstanding: vec![0; engines],
            last_engines: HashMap::new(),
        }
    }

    /// Chooses an engine and counts the request as outstanding there.
    pub(crate) fn choose(&mut self, parts: &[Part], rng: &mut StdRng) -> usize {
        let engines = self.outstanding.len();
        let session = parts.iter().rev().nth(1).or(parts.first());
        let session = session.map_or(0, |part| part.id);
        let least_loaded = || {
            let offset = self.last_engines.len() % engines;
            let rotated = (0..engines).map(|index| (index + offset) % engines);
            rotated
                .min_by_key(|index| self.outstanding[*index])
                .expect("an experiment has one engine or more")
        };
        let engine = match self.policy {
            PolicyName::Random => rng.random_range(0..engines),
            PolicyName::PrefixOnly => {
                let hash = xxhash_rust::xxh3::xxh3_64(&session.to_le_bytes());
                (hash % engines as u64) as usize
            }
            PolicyName::PrefixLeastOutstanding => {
                let least_loaded = least_loaded();
                let allowed = f64::from(self.outstanding[least_loaded]) * PREFIX_IMBALANCE_MAX
                    + PREFIX_IMBALANCE_FREE_REQUESTS;
                let last_engine = self.last_engines.get(&session).copied();
                last_engine
                    .filter(|last_engine| f64::from(self.outstanding[*last_engine]) <= allowed)
                    .unwrap_or(least_loaded)
            }
            _ => least_loaded(),
        };
        self.last_engines.insert(session, engine);
        self.outstanding[engine] += 1;
        engine
    }

    pub(crate) fn on_ended(&mut self, engine: usize) {
        self.outstanding[engine] -= 1;
    }
}
