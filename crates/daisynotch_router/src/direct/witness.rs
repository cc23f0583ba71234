//! Connections that are opened before a response ends, and on which its sender is asked
//! afterwards.
//!
//! An answer on such a connection proves that the sender did not crash at the end of its response.
//! An engine says when it started, which proves as much on any connection, so only responses of
//! other services need one. See `docs/design/response-ends.md`.

use std::rc::Rc;
use std::time::Duration;

use daisynotch_core::direct::Grant;
use tokio::sync::oneshot;

use super::connections::Connection;
use super::forward::Call;
use super::state::Router;

/// How long a router expects further responses without a length or chunks from a service.
const UNFRAMED_MEMORY: Duration = Duration::from_secs(60);
/// Time in which the close of another connection is read if it arrived before a new one was open.
const SETTLE_TIME: Duration = Duration::from_millis(2);

/// A second connection to the endpoint that handles a request.
#[derive(Debug)]
pub(super) enum Witness {
    /// The connection was open while the response was.
    Open(Connection),
    /// The connection is being opened.
    Opening(oneshot::Receiver<Connection>),
    /// The connection could not be opened.
    Failed,
}

impl Witness {
    /// Opens a connection to an endpoint in the background.
    fn open(router: &Rc<Router>, grant: &Grant) -> Self {
        let (sender, receiver) = oneshot::channel();
        let (router, grant) = (Rc::clone(router), grant.clone());
        tokio::task::spawn_local(async move {
            router.metrics.connections_opened.inc();
            match Connection::open_to_endpoint(grant.address).await {
                Ok(connection) => {
                    tokio::time::sleep(SETTLE_TIME).await;
                    if let Err(unused) = sender.send(connection) {
                        router.connections.put(grant.endpoint, unused, router.now());
                    }
                }
                Err(error) => {
                    let name = &grant.endpoint_name;
                    log::debug!("can't open a second connection to endpoint {name}: {error}");
                }
            }
        });
        Self::Opening(receiver)
    }

    /// Waits for `exchange`, and notes whether the connection opens while `exchange` is still
    /// waiting for the endpoint.
    pub(super) async fn observe<T>(
        witness: &mut Option<Self>,
        exchange: impl Future<Output = T>,
    ) -> T {
        let mut exchange = std::pin::pin!(exchange);
        while let Some(Self::Opening(receiver)) = witness {
            let opened = tokio::select! {
                biased;
                output = exchange.as_mut() => return output,
                opened = receiver => opened,
            };
            *witness = Some(opened.map_or(Self::Failed, Self::Open));
        }
        exchange.await
    }

    /// Returns the connection if it was open while the response was.
    pub(super) fn into_connection(self) -> Option<Connection> {
        match self {
            Self::Open(connection) => Some(connection),
            Self::Opening(_) | Self::Failed => None,
        }
    }

    /// Leaves the connection to other requests. One that is not open yet follows when it is.
    pub(super) fn release(self, router: &Router, grant: &Grant) {
        if let Some(connection) = self.into_connection() {
            let now = router.now();
            router.connections.put(grant.endpoint, connection, now);
        }
    }
}

impl Call {
    /// Returns whether an endpoint of the request's service says when it started.
    pub(super) fn says_start(&self, grant: &Grant) -> bool {
        let is_engine = self
            .service()
            .is_some_and(|service| service.engine.is_some());
        grant.started_unix_ms != 0 && is_engine
    }

    /// Returns a connection on which the endpoint can be asked later, if its service has lately
    /// sent responses that end with their connection.
    pub(super) fn witness_for_request(&self, grant: &Grant) -> Option<Witness> {
        let services = self.router.unframed_services.borrow();
        let seen_at = services.get(&self.spec.service)?;
        let router = &self.router;
        let now = router.now();
        if now.since(*seen_at) >= UNFRAMED_MEMORY || self.says_start(grant) {
            return None;
        }
        let idle = router.connections.take(grant.endpoint, now);
        Some(idle.map_or_else(|| Witness::open(router, grant), Witness::Open))
    }

    /// Returns a connection on which the sender of a response can be asked when the response has
    /// ended, and remembers that its service sends responses that end with their connection.
    ///
    /// An idle connection is used only if it was opened before `sent_at`: the sender may have
    /// crashed and come back since.
    pub(super) fn witness_for_response(
        &self,
        grant: &Grant,
        sent_at: tokio::time::Instant,
    ) -> Option<Witness> {
        if self.says_start(grant) {
            return None;
        }
        let router = &self.router;
        let now = router.now();
        let service = self.spec.service.clone();
        router.unframed_services.borrow_mut().insert(service, now);
        let idle = router
            .connections
            .take_opened_before(grant.endpoint, sent_at, now);
        Some(idle.map_or_else(|| Witness::open(router, grant), Witness::Open))
    }
}
