//! The TOML format of an experiment and the validation of its values.

use serde::{Deserialize, Serialize};

use crate::policy::PolicyName;

/// An experiment that can't be run.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The text is not TOML, or a key is unknown, missing or of another type.
    #[error("{0}")]
    Malformed(String),
    /// A value is outside its allowed range.
    #[error("`{key}` is {value}, but must be {allowed}")]
    OutOfRange {
        /// The full path of the key, such as `fleet.routers`.
        key: String,
        /// The value that was found.
        value: String,
        /// The allowed values.
        allowed: &'static str,
    },
}

/// A load that is simulated with several policies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The experiment's name in reports.
    pub name: String,
    /// The seeds of the arrivals; each is simulated with each policy.
    pub seeds: Vec<u64>,
    /// The duration for which new requests arrive, in seconds.
    pub length_s: f64,
    /// The policies to compare.
    pub policies: Vec<PolicyName>,
    /// The routers.
    pub fleet: Fleet,
    /// The engines.
    pub engines: Engines,
    /// The shared capacity and the teams.
    pub sharing: Sharing,
    /// The kinds of requests.
    pub demand: Vec<Demand>,
    /// The faults to inject.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// The routers and their network.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The number of routers.
    pub routers: usize,
    /// The interval at which each router sends its digest to its peers, in milliseconds.
    pub digest_ms: u64,
    /// The one-way delay between routers and between routers and engines, in milliseconds.
    pub link_ms: f64,
    /// The fraction of the teams whose callers all use a single router.
    pub pinned_teams_part: f64,
}

/// The engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// The number of engines.
    pub count: usize,
    /// The largest number of requests that an engine runs at once.
    pub slots: usize,
    /// The memory of an engine in tokens, for running requests and cached prompt parts.
    pub memory_tokens: u64,
    /// The base duration of a step without prefill, in milliseconds.
    pub step_ms: f64,
    /// The duration that each running request adds to a step, in milliseconds.
    pub step_ms_per_request: f64,
    /// The prefill rate, in prompt tokens per millisecond.
    pub read_tokens_per_ms: f64,
    /// The largest number of prompt tokens that are prefilled in one step.
    pub chunk_tokens: u64,
    /// The speeds of the engines, in turns; all have the speed 1 if there are none.
    #[serde(default)]
    pub speeds: Vec<f64>,
    /// The slow moments of engines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slow_moments: Option<SlowMoments>,
}

/// Moments in which some engines are slow; others take their place after each.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowMoments {
    /// The fraction of the engines that is slow.
    pub part: f64,
    /// The factor by which their steps take longer.
    pub times: f64,
    /// The duration of a moment, in milliseconds.
    pub for_ms: u64,
}

/// The capacity that teams share, and how their demand is distributed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sharing {
    /// The capacity shared by all teams, in tokens per second; a prompt token counts once, a
    /// generated token twice.
    pub tokens_per_s: u64,
    /// The window over which shares are enforced, in seconds.
    pub window_s: f64,
    /// The number of teams.
    pub teams: u32,
    /// The Zipf exponent of the teams' demand: the team of rank n sends requests in proportion to
    /// n to the power of minus this value.
    pub skew: f64,
}

/// A kind of request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// The kind's name in error messages.
    pub name: String,
    /// The arrival rate of all teams together, in requests per second.
    pub per_s: f64,
    /// The tokens of the first prompt part, which all requests of this kind share.
    pub shared_tokens: u32,
    /// The tokens of the prompt part that all requests of a session share.
    pub session_tokens: u32,
    /// The number of sessions of each team; each request belongs to a random one.
    pub sessions: u32,
    /// The average number of tokens in the rest of the prompt, which no other request shares.
    pub own_tokens: u32,
    /// The number of events in a response.
    pub events: u32,
    /// The standard deviation of the logarithm of the number of events, whose mean is `events`.
    #[serde(default)]
    pub events_deviation: f64,
    /// The standard deviation of the logarithm of what callers' hints are off by.
    #[serde(default)]
    pub hint_deviation: f64,
    /// When these requests begin to arrive, in seconds.
    #[serde(default)]
    pub from_s: f64,
    /// When they cease to arrive, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until_s: Option<f64>,
    /// The number of tokens in each event.
    pub tokens_per_event: u32,
    /// The latency objective: the time within which the first event should arrive, in milliseconds.
    pub objective_ms: u64,
    /// The longest pause between events of a response that is on time, in milliseconds.
    pub pause_max_ms: u64,
    /// The time after which the caller gives up, in milliseconds.
    pub deadline_ms: u64,
    /// The priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// The worth of a response that is on time.
    pub worth: f64,
    /// The worth of a complete response that is late.
    pub late_worth: f64,
}

/// A fault that is injected for a limited time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// The start of the fault, in seconds from the start of the run.
    pub at_s: f64,
    /// The duration of the fault, in seconds.
    pub for_s: f64,
    /// The magnitude, whose meaning depends on the [`FaultKind`].
    #[serde(default = "default_times")]
    pub times: f64,
    /// The rank of the affected team, starting at 0; only for [`FaultKind::HotTeam`].
    #[serde(default)]
    pub team: u32,
    /// The number of affected engines.
    #[serde(default)]
    pub engines: usize,
}

fn default_times() -> f64 {
    1.0
}

/// The kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// All teams send `times` as many requests.
    Burst,
    /// One team sends `times` as many requests.
    HotTeam,
    /// Engines lose their requests and are unreachable; they restart with an empty prefix cache.
    Crash,
    /// Engine steps take `times` as long.
    Slow,
    /// Engines answer a fraction `times` (0 to 1) of their requests with an error.
    Grey,
    /// A fraction `times` (0 to 1) of the first kind of request has a prompt part that crashes each
    /// engine which begins to answer it. The engine is back some seconds later.
    FatalPart,
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
        let require = |is_valid: bool, key: &str, value: &dyn std::fmt::Display, allowed| {
            if is_valid {
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
        let is_allowed_length = self.length_s > 0.0 && self.length_s <= 3_600.0;
        require(
            is_allowed_length,
            "length_s",
            &self.length_s,
            length_allowed,
        )?;
        let (fleet, engines, sharing) = (&self.fleet, &self.engines, &self.sharing);
        require(fleet.routers > 0, "fleet.routers", &fleet.routers, count)?;
        require(
            fleet.digest_ms > 0,
            "fleet.digest_ms",
            &fleet.digest_ms,
            count,
        )?;
        let pinned = fleet.pinned_teams_part;
        let fraction_range = "from 0 to 1";
        let is_fraction = (0.0..=1.0).contains(&pinned);
        require(
            is_fraction,
            "fleet.pinned_teams_part",
            &pinned,
            fraction_range,
        )?;
        let link = fleet.link_ms;
        require(link >= 0.0, "fleet.link_ms", &link, "0 or more")?;
        require(engines.count > 0, "engines.count", &engines.count, count)?;
        require(engines.slots > 0, "engines.slots", &engines.slots, count)?;
        for speed in &engines.speeds {
            require(*speed > 0.0, "engines.speeds", speed, positive)?;
        }
        if let Some(moments) = engines.slow_moments {
            let key = "engines.slow_moments.for_ms";
            require(moments.for_ms > 0, key, &moments.for_ms, count)?;
        }
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
            let fits_memory = u64::from(tokens) < engines.memory_tokens;
            let allowed = "so small that `shared_tokens + session_tokens + 2 * own_tokens` is \
                           below `engines.memory_tokens`";
            require(fits_memory, &key("own_tokens"), &demand.own_tokens, allowed)?;
        }
        for (index, fault) in self.faults.iter().enumerate() {
            let key = |field: &str| format!("faults.{index}.{field}");
            require(fault.for_s > 0.0, &key("for_s"), &fault.for_s, positive)?;
            require(fault.times > 0.0, &key("times"), &fault.times, positive)?;
            let engines_exist = fault.engines <= engines.count;
            let allowed = "at most `engines.count`";
            require(engines_exist, &key("engines"), &fault.engines, allowed)?;
            let is_fraction = fault.kind != FaultKind::FatalPart || fault.times <= 1.0;
            require(is_fraction, &key("times"), &fault.times, fraction_range)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
