//! The HTTP API for callers.
//!
//! `docs/operations/http.md` describes every path, status and header.

mod chat;
mod entry_addresses;
mod health;
mod inbound;
mod inference;
mod keyed;
mod plain;
mod response;

use std::future::Future;
use std::sync::Arc;

use daisynotch_core::RouterId;
use daisynotch_objects::RouterName;
use daisynotch_platform::EndpointClient;
use viz::{Request, Response, Result, Router};

pub(crate) use keyed::IdempotencyKeys;

use crate::core_task::CoreHandle;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// The response header that states whether the work of a failed request ran: `not-run` or
/// `unknown`.
pub const OUTCOME_HEADER: &str = "daisynotch-outcome";

/// The state that all handlers share.
#[derive(Debug)]
pub(crate) struct App {
    pub(crate) settings: Settings,
    pub(crate) core: CoreHandle,
    pub(crate) client: EndpointClient,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) keys: IdempotencyKeys,
}

impl App {
    /// Returns this router's identifier.
    pub(crate) fn own(&self) -> RouterId {
        RouterId::from(self.own_name())
    }

    /// Returns this router's name.
    pub(crate) fn own_name(&self) -> &RouterName {
        &self.settings.router
    }
}

/// Builds the routes that are served on the caller address.
pub(crate) fn routes(app: &Arc<App>) -> Router {
    Router::new()
        .post("/v1/chat/completions", handler(app, inference::complete))
        .get("/v1/entry", handler(app, entry_addresses::get_entry))
        .get("/healthz", handler(app, health::healthz))
        .get("/readyz", handler(app, health::readyz))
        .any("/*", handler(app, plain::forward))
}

/// Binds a handler to the shared state.
fn handler<F, Fut>(
    app: &Arc<App>,
    run: F,
) -> impl Fn(Request) -> Fut + Clone + Send + Sync + use<F, Fut>
where
    F: Fn(Arc<App>, Request) -> Fut + Clone + Send + Sync,
    Fut: Future<Output = Result<Response>> + Send,
{
    let app = Arc::clone(app);
    move |request| run(Arc::clone(&app), request)
}
