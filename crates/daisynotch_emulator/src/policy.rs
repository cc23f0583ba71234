//! Baselines to compare the product's decisions with. They send at once and never refuse.

use std::collections::HashMap;

use daisynotch_core::direct::Part;
use rand::RngExt;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};

/// How many times the least outstanding work an engine that keeps the prompt may have.
const PREFIX_IMBALANCE_MAX: f64 = 1.5;
/// Requests below which engines are not told apart by what is outstanding.
const PREFIX_IMBALANCE_FREE: f64 = 4.0;

/// What decides where requests go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyName {
    /// The product's decisions.
    Direct,
    /// Any engine.
    Random,
    /// The engine with the fewest open requests of the same router.
    LeastOutstanding,
    /// The engine that the session's name hashes to.
    PrefixOnly,
    /// The engine that had the session last, unless it has much more open than the least.
    PrefixLeastOutstanding,
}

impl PolicyName {
    /// Gives its word in files and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Random => "random",
            Self::LeastOutstanding => "least_outstanding",
            Self::PrefixOnly => "prefix_only",
            Self::PrefixLeastOutstanding => "prefix_least_outstanding",
        }
    }
}

/// One router that decides by a baseline.
#[derive(Debug)]
pub(crate) struct Baseline {
    policy: PolicyName,
    outstanding: Vec<u32>,
    homes: HashMap<u32, usize>,
}

impl Baseline {
    pub(crate) fn new(policy: PolicyName, engines: usize) -> Self {
        Self {
            policy,
            outstanding: vec![0; engines],
            homes: HashMap::new(),
        }
    }

    /// Chooses an engine and counts the request there.
    pub(crate) fn choose(&mut self, parts: &[Part], rng: &mut StdRng) -> usize {
        let engines = self.outstanding.len();
        let session = parts.iter().rev().nth(1).or(parts.first());
        let session = session.map_or(0, |part| part.id);
        let least = || {
            let offset = self.homes.len() % engines;
            let rotated = (0..engines).map(|index| (index + offset) % engines);
            rotated
                .min_by_key(|index| self.outstanding[*index])
                .expect("an experiment has an engine")
        };
        let engine = match self.policy {
            PolicyName::Random => rng.random_range(0..engines),
            PolicyName::PrefixOnly => {
                let hash = xxhash_rust::xxh3::xxh3_64(&session.to_le_bytes());
                (hash % engines as u64) as usize
            }
            PolicyName::PrefixLeastOutstanding => {
                let least = least();
                let allowed = f64::from(self.outstanding[least]) * PREFIX_IMBALANCE_MAX
                    + PREFIX_IMBALANCE_FREE;
                let home = self.homes.get(&session).copied();
                home.filter(|home| f64::from(self.outstanding[*home]) <= allowed)
                    .unwrap_or(least)
            }
            PolicyName::LeastOutstanding | PolicyName::Direct => least(),
        };
        self.homes.insert(session, engine);
        self.outstanding[engine] += 1;
        engine
    }

    pub(crate) fn on_ended(&mut self, engine: usize) {
        self.outstanding[engine] -= 1;
    }
}
