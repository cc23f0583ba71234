//! The moment at which a leaving router answers the requests that it can't finish.
//!
//! A request may wait for its endpoint for longer than the router may live. Its caller gets an
//! answer while there is still time to deliver one, instead of a connection that breaks.

use tokio::sync::watch;
use tokio::time::Instant;

/// When the last answers are due; open until the router leaves.
#[derive(Debug, Default)]
pub(crate) struct LastAnswers {
    due_at: watch::Sender<Option<Instant>>,
}

impl LastAnswers {
    /// Sets when the last answers are due.
    pub(super) fn set_due(&self, due_at: Instant) {
        self.due_at.send_replace(Some(due_at));
    }

    /// Returns whether the last answers are due.
    pub(super) fn are_due(&self) -> bool {
        self.due_at.borrow().is_some_and(|at| Instant::now() >= at)
    }

    /// Waits until the last answers are due.
    pub(super) async fn until_due(&self) {
        let mut due_at = self.due_at.subscribe();
        let due_at = due_at.wait_for(Option::is_some).await.map(|at| *at);
        match due_at {
            Ok(Some(at)) => tokio::time::sleep_until(at).await,
            // The sender lives as long as the router.
            _ => std::future::pending().await,
        }
    }
}
