//! Rate limits that endpoints state for the whole fleet of routers.
//!
//! An endpoint that is short of capacity states in its responses how many requests per second it
//! accepts from all routers together. Responses arrive out of order, at different routers, and
//! some of them late. See `docs/design/shared-limits.md`.

use std::collections::HashMap;
use std::time::Duration;

use daisynotch_objects::EndpointId;

use crate::time::Timestamp;

/// How long a limit is remembered that no response confirms, and the end of one.
const STATEMENT_RETENTION: Duration = Duration::from_secs(60);

/// A request rate, in requests per 1,000 seconds.
#[daisynotch_macros::number]
pub struct RequestRate(pub u32);

impl RequestRate {
    /// Converts a number of requests per second; `None` if it is negative or not finite.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        let is_valid = per_s.is_finite() && per_s >= 0.0;
        is_valid.then_some(Self((per_s * 1e3) as u32))
    }

    /// Returns the number of requests per second.
    pub fn per_s(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

/// A change of the limit that an endpoint states.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct LimitChange {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The limit now; `None` if there is none any more.
    pub limit: Option<RequestRate>,
    /// The limit before.
    pub before: Option<RequestRate>,
}

/// What an endpoint last stated about its limit.
#[derive(Debug, Clone, Copy)]
struct Statement {
    limit: Option<RequestRate>,
    /// When the latest response that states this limit, or none, arrived at any router.
    confirmed_at: Timestamp,
}

impl Statement {
    /// Returns whether a limit is stricter than the stated one.
    fn is_tightened_by(&self, limit: Option<RequestRate>) -> bool {
        match (limit, self.limit) {
            (Some(limit), Some(known)) => limit < known,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }
}

/// The limits that endpoints state, as far as this router knows.
///
/// They are kept apart from the endpoints' load, which is dropped when an endpoint's entry lapses
/// for a moment.
#[derive(Debug, Default)]
pub(crate) struct SharedLimits {
    statements: HashMap<EndpointId, Statement>,
}

impl SharedLimits {
    /// Records what a response states, to a request that was sent at `sent_at`.
    ///
    /// A stricter limit holds at once. A looser one, or none, holds only if the request was sent
    /// after the known limit was last confirmed: any other response may be the older one.
    pub(crate) fn on_response(
        &mut self,
        endpoint: EndpointId,
        limit: Option<RequestRate>,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> Option<LimitChange> {
        let Some(known) = self.statements.get_mut(&endpoint) else {
            let limit = limit?;
            let statement = Statement {
                limit: Some(limit),
                confirmed_at: now,
            };
            self.statements.insert(endpoint, statement);
            return Some(LimitChange {
                endpoint,
                limit: Some(limit),
                before: None,
            });
        };
        let before = known.limit;
        if limit != before && !known.is_tightened_by(limit) && sent_at <= known.confirmed_at {
            return None;
        }
        known.limit = limit;
        known.confirmed_at = now;
        (limit != before).then_some(LimitChange {
            endpoint,
            limit,
            before,
        })
    }

    /// Returns the number of endpoints that state a limit.
    pub(crate) fn limited_len(&self) -> usize {
        let statements = self.statements.values();
        statements
            .filter(|statement| statement.limit.is_some())
            .count()
    }

    /// Forgets statements that no response has confirmed for long.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.statements
            .retain(|_, statement| now.since(statement.confirmed_at) < STATEMENT_RETENTION);
    }
}

#[cfg(test)]
mod tests;
