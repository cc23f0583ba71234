//! What the dispatcher does about limits that endpoints state for all routers together.

use super::Dispatcher;
use crate::direct::request::RunId;
use crate::direct::shared_limits::{LimitChange, RequestRate};
use crate::time::Timestamp;

impl Dispatcher {
    /// Records the limit that the response of a run states, or that it states none.
    pub fn on_stated_limit(
        &mut self,
        run: RunId,
        limit: Option<RequestRate>,
        now: Timestamp,
    ) -> Option<LimitChange> {
        let run = self.runs.get(&run)?;
        self.shared_limits
            .on_response(run.endpoint, limit, run.sent_at, now)
    }

    /// Returns the number of endpoints that state a limit.
    pub fn limited_endpoints_len(&self) -> usize {
        self.shared_limits.limited_len()
    }
}
