//! The HTTP API for operators, served on a separate address.
//!
//! Callers must neither see other teams' metrics nor make a router leave, so metrics,
//! status and drain are not served on the caller address. Status and drain are JSON-RPC
//! methods at `/rpc`; see `docs/operations/http.md`.

mod rpc;
mod status;

use std::sync::Arc;

use jsonrpsee::RpcModule;
use tokio::sync::mpsc;
use viz::header::{CONTENT_TYPE, HeaderValue};
use viz::{Body, IntoResponse, Request, RequestExt, Response, Result, Router, StatusCode};

pub use rpc::OperatorRpcClient;
pub use status::{LiveRouter, RouterStatus, ScheduledShard};

use crate::core_task::CoreHandle;
use crate::metrics::Metrics;
use crate::settings::Settings;
use rpc::{OperatorRpcServer, OperatorService};

/// The state of the daemon that the operator API uses.
#[derive(Debug, Clone)]
pub(crate) struct OperatorContext {
    pub(crate) settings: Settings,
    pub(crate) core: CoreHandle,
    pub(crate) metrics: Arc<Metrics>,
    /// Receives operators' requests to leave.
    pub(crate) leave_requests: mpsc::Sender<()>,
}

/// Builds the routes that are served on the operator address.
pub(crate) fn routes(context: &OperatorContext) -> Router {
    let metrics = Arc::clone(&context.metrics);
    let service = OperatorService::new(context.clone());
    let module = Arc::new(service.into_rpc());
    Router::new()
        .get("/metrics", move |_request: Request| {
            let response = serve_metrics(&metrics);
            async move { Ok::<_, viz::Error>(response) }
        })
        .post("/rpc", move |request: Request| {
            serve_rpc(Arc::clone(&module), request)
        })
}

fn serve_metrics(metrics: &Metrics) -> Response {
    let text = metrics
        .to_text()
        .expect("registered metrics can be encoded as text");
    response_with_type("text/plain; version=0.0.4", text)
}

async fn serve_rpc(
    module: Arc<RpcModule<OperatorService>>,
    mut request: Request,
) -> Result<Response> {
    let call = request.text().await?;
    let Ok((response, _)) = module.raw_json_request(&call, 1).await else {
        return Ok((StatusCode::BAD_REQUEST, "the body is no JSON-RPC request").into_response());
    };
    Ok(response_with_type(
        "application/json",
        response.get().as_bytes().to_vec(),
    ))
}

fn response_with_type(content_type: &'static str, body: Vec<u8>) -> Response {
    let mut response = Response::new(Body::from(http_body_util::Full::from(body)));
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
