//! The estimated cost of sending a request to an endpoint.
//!
//! Requests share long prompts, and engines are unevenly loaded. Waiting for an engine that
//! has the prompt cached pays off up to a point. All routers choose at the same time from
//! slightly stale loads, so they must not pick the same endpoint by accident. Prefilling a
//! long prompt stalls the streams of all requests that run on the same engine.

use daisynotch_objects::EndpointId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::engine::EndpointLoad;
use super::pace::FirstTokenModel;
use super::request::{CostModel, RequestSpec};
use crate::time::Timestamp;

/// Weight of a request's own prefill time relative to its queueing delay: prefill also delays
/// the requests that arrive later.
const PREFILL_WEIGHT: f64 = 6.0;
/// Weight added for each request running on the engine, whose stream stalls during the prefill.
const PREFILL_WEIGHT_PER_RUNNING: f64 = 0.2;
/// Range of the tie-break between engines, which makes all routers pick the same engine for a
/// prompt that none has cached.
const AFFINITY_SPREAD_MS: f64 = 15.0;
/// Range of the tie-break between endpoints of plain services: below the cost of one open
/// request.
const RANDOM_SPREAD_MS: f64 = 1.0;
/// Cost of sending a kilobyte of the request to another availability zone.
const CROSS_ZONE_MS_PER_KB: f64 = 0.15;
/// Cost added for an endpoint with a failure rate of 1.
const FAILURE_COST_MS: f64 = 400.0;
/// Fraction of an engine's memory that running requests may fill by the stated cost model.
const STATED_MEMORY_FRACTION: f64 = 0.85;
/// Weight of the time that an engine still generates, which a request shares with those that run
/// there.
const DECODE_WEIGHT: f64 = 0.3;
/// Upper bound of what that adds to the cost: what it costs to prefill a prompt of medium length
/// again.
const DECODE_COST_MAX_MS: f64 = 150.0;
/// Response time assumed for a plain service before its first answer.
const PLAIN_INITIAL_MS: f64 = 30.0;

/// Latency estimates of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceLatency {
    pub(crate) first_token: FirstTokenModel,
    /// Average time until a plain request's answer begins at an endpoint with a free slot;
    /// `None` before the first answer.
    pub(crate) plain_unqueued_ms: Option<f64>,
}

/// An endpoint that has room for a request, with the estimated cost of sending it there.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) endpoint: EndpointId,
    pub(crate) cost_ms: f64,
    pub(crate) backlog_ms: f64,
    /// The backlog by which the request is admitted: higher than `backlog_ms` if the endpoint
    /// accepts few more requests.
    pub(crate) admission_ms: f64,
    /// What the prefill of the request costs at an endpoint that is shared with many others.
    pub(crate) prefill_cost_ms: f64,
    pub(crate) expected_ms: f64,
    /// What would be expected of an engine of average speed; 0 for plain services.
    pub(crate) average_ms: f64,
    pub(crate) cached_tokens: u32,
    pub(crate) tokens_ahead: u64,
    /// Queueing rounds until a plain request's answer begins, its own included; 1 for engines.
    pub(crate) rounds: f64,
}

/// Returns the cost of sending a request to another availability zone.
pub(crate) fn cross_zone_cost_ms(spec: &RequestSpec) -> f64 {
    CROSS_ZONE_MS_PER_KB * spec.body_bytes as f64 / 1e3
}

/// Returns a cost that breaks ties between equal endpoints.
///
/// For engines it depends on the session, whose later requests then find its prompt cached; for
/// other endpoints it is pseudorandom.
pub(crate) fn tie_break_ms(
    id: EndpointId,
    load: &EndpointLoad,
    session: u32,
    now: Timestamp,
) -> f64 {
    let (seed, spread_ms) = match load.engine {
        Some(_) => (u64::from(session), AFFINITY_SPREAD_MS),
        None => (now.0, RANDOM_SPREAD_MS),
    };
    let hash = xxh3_64_with_seed(&id.0.to_le_bytes(), seed);
    spread_ms * f64::from(hash as u32) / f64::from(u32::MAX)
}

/// Estimates the cost of sending a request to an endpoint; `None` if the endpoint has no room.
///
/// `has_limit` is set if the endpoint limits the number of requests. Then its prefill delays few
/// others, so it gets the long prompts.
pub(crate) fn evaluate_endpoint(
    id: EndpointId,
    load: &EndpointLoad,
    has_limit: bool,
    spec: &RequestSpec,
    latency: &ServiceLatency,
    cost_model: CostModel,
    now: Timestamp,
) -> Option<Candidate> {
    let total = load.total();
    let slowdown = load.slowdown.factor(now);
    let failure_ms = FAILURE_COST_MS * load.health.failure_rate();
    let Some(engine) = load.engine else {
        let usual_ms = latency.plain_unqueued_ms.unwrap_or(PLAIN_INITIAL_MS) * slowdown;
        let busy = f64::from(total.running) / f64::from(load.entry.slots.max(1));
        // An endpoint answers at its usual speed until its slots are taken; then requests queue.
        let backlog_ms = usual_ms * (busy - 1.0).max(0.0).ceil();
        return Some(Candidate {
            endpoint: id,
            cost_ms: usual_ms * (1.0 + busy) + failure_ms,
            backlog_ms,
            admission_ms: backlog_ms,
            prefill_cost_ms: 0.0,
            expected_ms: usual_ms * (1.0 + busy.floor()),
            average_ms: 0.0,
            cached_tokens: 0,
            tokens_ahead: 0,
            rounds: 1.0 + busy.floor(),
        });
    };
    let is_learned = cost_model == CostModel::Learned;
    let memory = total.memory_tokens.saturating_add(spec.memory_tokens());
    let has_memory = if is_learned {
        load.arriving.leaves_room(engine, memory, now)
    } else {
        memory as f64 <= engine.memory_tokens as f64 * STATED_MEMORY_FRACTION
    };
    let is_full = total.running >= engine.slots || !has_memory;
    // An idle engine takes any request, even one that exceeds the memory limit.
    if is_full && total.running > 0 {
        return None;
    }
    let cached_tokens = load.cache.cached_tokens(&spec.parts);
    let unread = f64::from(spec.prompt_tokens.saturating_sub(cached_tokens));
    let average_backlog_ms = latency.first_token.prefill_ms(total.unread_tokens as f64);
    let average_own_ms = latency.first_token.prefill_ms(unread);
    let average_ms = average_backlog_ms + average_own_ms + latency.first_token.base_ms();
    let (placement_slowdown, decode_cost_ms) = if is_learned {
        let decode_ms = total.decode_ms(engine, load.slowdown.event_ms(now));
        let decode_cost_ms = (DECODE_WEIGHT * decode_ms).min(DECODE_COST_MAX_MS);
        (load.slowdown.placement_factor(now), decode_cost_ms)
    } else {
        (load.slowdown.stated_factor(), 0.0)
    };
    let backlog_ms = average_backlog_ms * placement_slowdown;
    let own_ms = average_own_ms * placement_slowdown;
    let base_ms = latency.first_token.base_ms() * placement_slowdown;
    let expected_ms = if is_learned {
        average_ms * slowdown
    } else {
        backlog_ms + own_ms + latency.first_token.base_ms()
    };
    let weight = if has_limit {
        1.0
    } else {
        PREFILL_WEIGHT + PREFILL_WEIGHT_PER_RUNNING * f64::from(total.running)
    };
    Some(Candidate {
        endpoint: id,
        cost_ms: backlog_ms + weight * own_ms + base_ms + decode_cost_ms + failure_ms,
        backlog_ms,
        admission_ms: backlog_ms,
        prefill_cost_ms: PREFILL_WEIGHT * own_ms,
        expected_ms,
        average_ms,
        cached_tokens,
        tokens_ahead: total.unread_tokens,
        rounds: 1.0,
    })
}
