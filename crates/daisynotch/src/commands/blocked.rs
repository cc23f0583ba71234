//! `daisynotch blocked` and `daisynotch unblock`: prompt parts that routers refuse because they crash
//! endpoints.
//!
//! See `docs/design/crashing-parts.md`.

use std::fmt::Write as _;
use std::net::SocketAddr;

use daisynotch_router::direct::BlockedParts;
use hyper::{Method, StatusCode};

use super::CommandError;
use super::http_call::{call_metrics, metrics_call_failed, read_metrics_list};
use crate::printer::Printer;

/// Prints the parts that a router refuses.
pub(crate) async fn list(router: SocketAddr, printer: &Printer) -> Result<(), CommandError> {
    let blocked: Vec<BlockedParts> = read_metrics_list(router, "/blocked-parts").await?;
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
    let (status, _) = call_metrics(router, Method::DELETE, &path).await?;
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
    Err(metrics_call_failed(router, &problem))
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

#[cfg(test)]
mod tests;
