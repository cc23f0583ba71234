//! `daisynotch blocked` and `daisynotch unblock`: prompt parts that routers refuse because they crash
//! endpoints.
//!
//! See `docs/design/crashing-parts.md`.

use std::fmt::Write as _;
use std::net::SocketAddr;

use bytes::Bytes;
use daisynotch_router::direct::BlockedParts;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use super::{CommandError, ROUTER_TIMEOUT};
use crate::printer::Printer;

/// Maximum size of a router's response: many times that of its largest list.
const RESPONSE_MAX_BYTES: usize = 1024 * 1024;

/// Prints the parts that a router refuses.
pub(crate) async fn list(router: SocketAddr, printer: &Printer) -> Result<(), CommandError> {
    let (status, body) = call(router, Method::GET, "/blocked-parts").await?;
    if status != StatusCode::OK {
        return Err(failed(router, &format!("it responded with {status}")));
    }
    let blocked: Vec<BlockedParts> =
        serde_json::from_slice(&body).map_err(|error| failed(router, &error))?;
    printer.result(to_text(&blocked).trim_end(), &blocked);
    Ok(())
}

/// Makes all routers send requests with a part again.
pub(crate) async fn unblock(
    part: &str,
    router: SocketAddr,
    printer: &Printer,
) -> Result<(), CommandError> {
    let path = format!("/blocked-parts/{part}");
    let (status, _) = call(router, Method::DELETE, &path).await?;
    let problem = match status {
        StatusCode::OK => {
            let text = format!("requests with part {part} are sent again");
            printer.result(&text, &serde_json::json!({ "unblocked": part }));
            return Ok(());
        }
        StatusCode::NOT_FOUND => {
            format!("part {part} is not blocked; `daisynotch blocked` lists those that are")
        }
        StatusCode::BAD_REQUEST => format!("`{part}` is no part: write it in hexadecimal"),
        other => format!("it responded with {other}"),
    };
    Err(failed(router, &problem))
}

fn to_text(blocked: &[BlockedParts]) -> String {
    if blocked.is_empty() {
        return "no part is blocked".to_owned();
    }
    let mut text = String::new();
    for block in blocked {
        let _ = writeln!(
            text,
            "{}: {} crashed ({}), the latest {} s ago; tried again in {} s",
            block.parts.join(" with "),
            block.crashed.len(),
            block.crashed.join(", "),
            block.age_ms / 1_000,
            block.trial_in_ms.div_ceil(1_000),
        );
    }
    text
}

fn failed(router: SocketAddr, problem: &dyn std::fmt::Display) -> CommandError {
    CommandError::Failed(format!(
        "router at {router}: {problem}; check that this is the router's `metrics_address`"
    ))
}

async fn call(
    router: SocketAddr,
    method: Method,
    path: &str,
) -> Result<(StatusCode, Bytes), CommandError> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{router}{path}"))
        .body(Empty::<Bytes>::new())
        .map_err(|error| failed(router, &error))?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let exchange = async {
        let response = client
            .request(request)
            .await
            .map_err(|error| failed(router, &error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES).collect();
        let body = body.await.map_err(|error| failed(router, &error))?;
        Ok((status, body.to_bytes()))
    };
    let exchange = tokio::time::timeout(ROUTER_TIMEOUT, exchange).await;
    exchange.unwrap_or_else(|_| Err(failed(router, &"it did not respond in time")))
}

#[cfg(test)]
mod tests;
