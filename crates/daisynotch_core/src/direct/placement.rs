//! What sending a request to one endpoint would cost.
//!
//! Load pattern: requests share long prompts with others, and engines are busy in uneven
//! measure. An engine that keeps the prompt is worth a wait, but not any wait; all
//! routers choose at once on slightly old loads and must not choose alike by accident.
//! A long prompt makes the events of all requests that run beside it pause.

use daisynotch_objects::EndpointId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::engine::EndpointLoad;
use super::pace::EnginePace;
use super::request::RequestSpec;
use crate::time::Timestamp;

/// What reading counts for against waiting: it takes the engine from those that come after.
const READING_WEIGHT: f64 = 6.0;
/// What it counts for more with each request that runs there: its events pause meanwhile.
const READING_WEIGHT_PER_RUNNING: f64 = 0.2;
/// What the choice between equal endpoints is spread over, so that all routers pick
/// the same home for a prompt that none of them keeps.
const HOME_SPREAD_MS: f64 = 15.0;
/// The same for endpoints without prompts: less than one open request counts for.
const CHANCE_SPREAD_MS: f64 = 1.0;
/// What another availability zone costs for each kilobyte of the request.
const FAR_MS_PER_KB: f64 = 0.15;
/// What a share of failures of 1 adds to an endpoint's cost.
const FAILURE_COST_MS: f64 = 400.0;
/// The part of an engine's memory that running requests may fill.
const MEMORY_USED_PART: f64 = 0.85;
/// A plain service's time before its first answer was seen.
const PLAIN_FIRST_MS: f64 = 30.0;

/// How long the work of one service takes.
#[derive(Debug, Default)]
pub(crate) struct ServicePace {
    pub(crate) engine: EnginePace,
    /// The time that a plain request takes where it need not queue.
    pub(crate) plain_ms: Option<f64>,
}

/// A candidate with what sending there would cost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Choice {
    pub(crate) endpoint: EndpointId,
    pub(crate) cost_ms: f64,
    pub(crate) backlog_ms: f64,
    pub(crate) expected_ms: f64,
    pub(crate) cached_tokens: u32,
    pub(crate) tokens_ahead: u64,
    /// Rounds of work that a plain request takes there, its own included; 1 at engines.
    pub(crate) rounds: f64,
}

/// Gives what another availability zone costs a request.
pub(crate) fn far_cost_ms(spec: &RequestSpec) -> f64 {
    FAR_MS_PER_KB * spec.body_bytes as f64 / 1e3
}

/// Decides between equal endpoints: engines by the session, which returns; others by chance.
pub(crate) fn tie_break_ms(
    id: EndpointId,
    load: &EndpointLoad,
    session: u32,
    now: Timestamp,
) -> f64 {
    let (seed, spread_ms) = match load.engine {
        Some(_) => (u64::from(session), HOME_SPREAD_MS),
        None => (now.0, CHANCE_SPREAD_MS),
    };
    let hash = xxh3_64_with_seed(&id.0.to_le_bytes(), seed);
    spread_ms * f64::from(hash as u32) / f64::from(u32::MAX)
}

/// Works out what sending a request to an endpoint costs; none if it has no room.
pub(crate) fn choice(
    id: EndpointId,
    load: &EndpointLoad,
    spec: &RequestSpec,
    pace: &ServicePace,
) -> Option<Choice> {
    let total = load.total();
    let slowdown = load.slowdown.0;
    let failure_ms = FAILURE_COST_MS * load.health.failure_share();
    let Some(engine) = load.engine else {
        let usual_ms = pace.plain_ms.unwrap_or(PLAIN_FIRST_MS) * slowdown;
        let busy = f64::from(total.running) / f64::from(load.entry.slots.max(1));
        // Below its slots an endpoint answers at its usual speed; beyond them work queues.
        let backlog_ms = usual_ms * (busy - 1.0).max(0.0).ceil();
        return Some(Choice {
            endpoint: id,
            cost_ms: usual_ms * (1.0 + busy) + failure_ms,
            backlog_ms,
            expected_ms: usual_ms * (1.0 + busy.floor()),
            cached_tokens: 0,
            tokens_ahead: 0,
            rounds: 1.0 + busy.floor(),
        });
    };
    let memory =
        total.memory_tokens + u64::from(spec.prompt_tokens) + u64::from(spec.answer_tokens);
    let is_full = total.running >= engine.slots
        || memory as f64 > engine.memory_tokens as f64 * MEMORY_USED_PART;
    // A request larger than what is left may still run alone.
    if is_full && total.running > 0 {
        return None;
    }
    let cached_tokens = load.cache.cached_tokens(&spec.parts);
    let unread = f64::from(spec.prompt_tokens.saturating_sub(cached_tokens));
    let backlog_ms = pace.engine.reading_ms(total.unread_tokens as f64) * slowdown;
    let own_ms = pace.engine.reading_ms(unread) * slowdown;
    let base_ms = pace.engine.base_ms();
    let weight = READING_WEIGHT + READING_WEIGHT_PER_RUNNING * f64::from(total.running);
    Some(Choice {
        endpoint: id,
        cost_ms: backlog_ms + weight * own_ms + base_ms * slowdown + failure_ms,
        backlog_ms,
        expected_ms: backlog_ms + own_ms + base_ms,
        cached_tokens,
        tokens_ahead: total.unread_tokens,
        rounds: 1.0,
    })
}
