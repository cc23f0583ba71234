//! What an experiment consists of, in TOML.

use serde::{Deserialize, Serialize};

use crate::policy::PolicyName;

/// A wrong experiment.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The text is not TOML, or a key is unknown, missing or of another type.
    #[error("{0}")]
    Malformed(String),
    /// A value is out of its range.
    #[error("`{key}` is {value}, but must be {allowed}")]
    OutOfRange {
        /// The key.
        key: String,
        /// What it holds.
        value: String,
        /// What it may hold.
        allowed: &'static str,
    },
}

/// A load to be played with several policies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Names it in reports.
    pub name: String,
    /// Each is played with each policy.
    pub seeds: Vec<u64>,
    /// The time in which requests arrive, in seconds.
    pub length_s: f64,
    /// What is compared.
    pub policies: Vec<PolicyName>,
    /// The routers.
    pub fleet: Fleet,
    /// The engines.
    pub engines: Engines,
    /// What teams share.
    pub sharing: Sharing,
    /// Kinds of requests.
    pub demand: Vec<Demand>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// The routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// How many there are.
    pub routers: usize,
    /// How often each tells the others its load, in milliseconds.
    pub digest_ms: u64,
    /// One way between routers and to engines, in milliseconds.
    pub link_ms: f64,
    /// The part of the teams whose callers all come to one router.
    pub pinned_teams_part: f64,
}

/// The engines, all alike.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// How many there are.
    pub count: usize,
    /// Requests that one runs at once.
    pub slots: usize,
    /// Tokens that running requests and kept parts of prompts share.
    pub memory_tokens: u64,
    /// The time of a step without prompts to read, in milliseconds.
    pub step_ms: f64,
    /// What each running request adds to a step, in milliseconds.
    pub step_ms_per_request: f64,
    /// Prompt tokens that are read in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Prompt tokens that are read in one step at most.
    pub chunk_tokens: u64,
}

/// What teams share.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sharing {
    /// Tokens a second of all teams; one read counts once, one generated twice.
    pub tokens_per_s: u64,
    /// The time over which shares are kept, in seconds.
    pub window_s: f64,
    /// Teams.
    pub teams: u32,
    /// How unequal they are: the share of the team of rank n is proportional to n to the
    /// power of minus this.
    pub skew: f64,
}

/// A kind of request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// Names it in reports.
    pub name: String,
    /// Requests a second, of all teams.
    pub per_s: f64,
    /// The first part of the prompt, which all requests of the kind have.
    pub shared_tokens: u32,
    /// The part that requests of one session have.
    pub session_tokens: u32,
    /// Sessions that are open at a time; a request belongs to any of them.
    pub sessions: u32,
    /// The rest of the prompt, on average.
    pub own_tokens: u32,
    /// Pieces of the answer.
    pub events: u32,
    /// Tokens in each.
    pub tokens_per_event: u32,
    /// The time within which the answer should begin, in milliseconds.
    pub objective_ms: u64,
    /// The longest pause in an answer that is on time, in milliseconds.
    pub pause_max_ms: u64,
    /// When the caller gives up, in milliseconds.
    pub deadline_ms: u64,
    /// Its rank; 0 is the most urgent.
    pub priority: u32,
    /// What an answer on time is worth.
    pub worth: f64,
    /// What a late one is worth.
    pub late_worth: f64,
}

/// Something that goes wrong for some time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What it is.
    pub kind: FaultKind,
    /// When it begins, in seconds.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    pub for_s: f64,
    /// How strong it is: times the usual demand, or times slower.
    #[serde(default = "one")]
    pub times: f64,
    /// The rank of the team, the first being 0.
    #[serde(default)]
    pub team: u32,
    /// Engines that it befalls.
    #[serde(default)]
    pub engines: usize,
}

fn one() -> f64 {
    1.0
}

/// Kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// All callers send `times` as much.
    Burst,
    /// One team sends `times` as much.
    HotTeam,
    /// Engines lose what they run and answer nothing; they come back empty.
    Crash,
    /// Engines take `times` as long.
    Slow,
    /// Engines fail `times` (0 to 1) of their requests.
    Grey,
}

impl std::str::FromStr for Experiment {
    type Err = ExperimentError;

    fn from_str(text: &str) -> Result<Self, ExperimentError> {
        let experiment: Self =
            toml::from_str(text).map_err(|error| ExperimentError::Malformed(error.to_string()))?;
        experiment.check()?;
        Ok(experiment)
    }
}

impl Experiment {
    fn check(&self) -> Result<(), ExperimentError> {
        let require = |is_good: bool, key: &str, value: &dyn std::fmt::Display, allowed| {
            if is_good {
                return Ok(());
            }
            Err(ExperimentError::OutOfRange {
                key: key.to_owned(),
                value: value.to_string(),
                allowed,
            })
        };
        let count = "1 or more";
        let positive = "above 0";
        require(
            !self.seeds.is_empty(),
            "seeds",
            &"empty",
            "one seed or more",
        )?;
        require(
            !self.policies.is_empty(),
            "policies",
            &"empty",
            "one or more",
        )?;
        require(!self.demand.is_empty(), "demand", &"empty", "one or more")?;
        let length_allowed = "above 0 and up to 3600";
        let is_length = self.length_s > 0.0 && self.length_s <= 3_600.0;
        require(is_length, "length_s", &self.length_s, length_allowed)?;
        let (fleet, engines, sharing) = (&self.fleet, &self.engines, &self.sharing);
        require(fleet.routers > 0, "fleet.routers", &fleet.routers, count)?;
        require(
            fleet.digest_ms > 0,
            "fleet.digest_ms",
            &fleet.digest_ms,
            count,
        )?;
        let pinned = fleet.pinned_teams_part;
        let part = "from 0 to 1";
        let is_part = (0.0..=1.0).contains(&pinned);
        require(is_part, "fleet.pinned_teams_part", &pinned, part)?;
        let link = fleet.link_ms;
        require(link >= 0.0, "fleet.link_ms", &link, "0 or more")?;
        require(engines.count > 0, "engines.count", &engines.count, count)?;
        require(engines.slots > 0, "engines.slots", &engines.slots, count)?;
        let chunk = engines.chunk_tokens;
        require(chunk > 0, "engines.chunk_tokens", &chunk, count)?;
        let step = engines.step_ms;
        require(step > 0.0, "engines.step_ms", &step, positive)?;
        let rate = engines.read_tokens_per_ms;
        require(rate > 0.0, "engines.read_tokens_per_ms", &rate, positive)?;
        require(sharing.teams > 0, "sharing.teams", &sharing.teams, count)?;
        let window = sharing.window_s;
        require(window > 0.0, "sharing.window_s", &window, positive)?;
        for demand in &self.demand {
            let key = |field: &str| format!("demand.{}.{field}", demand.name);
            require(demand.per_s > 0.0, &key("per_s"), &demand.per_s, positive)?;
            require(demand.events > 0, &key("events"), &demand.events, count)?;
            let sessions = demand.sessions;
            require(sessions > 0, &key("sessions"), &sessions, count)?;
            let tokens = demand.shared_tokens + demand.session_tokens + 2 * demand.own_tokens;
            let is_small = u64::from(tokens) < engines.memory_tokens;
            let allowed = "less than the memory of an engine, at twice its own tokens";
            require(is_small, &key("own_tokens"), &demand.own_tokens, allowed)?;
        }
        for (index, fault) in self.faults.iter().enumerate() {
            let key = |field: &str| format!("faults.{index}.{field}");
            require(fault.for_s > 0.0, &key("for_s"), &fault.for_s, positive)?;
            require(fault.times > 0.0, &key("times"), &fault.times, positive)?;
            let is_there = fault.engines <= engines.count;
            let allowed = "at most `engines.count`";
            require(is_there, &key("engines"), &fault.engines, allowed)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
