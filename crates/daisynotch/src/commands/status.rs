//! `daisynotch status`: prints a router's state and its view of the fleet.

use std::fmt::Write as _;
use std::net::SocketAddr;

use daisynotch_router::{OperatorRpcClient, RouterStatus};

use super::{CommandError, operator_client};
use crate::printer::Printer;

pub(crate) async fn run(router: SocketAddr, printer: &Printer) -> Result<(), CommandError> {
    let status = operator_client(router)?.status().await;
    let status = status.map_err(|error| CommandError::router_call(router, &error))?;
    printer.result(to_text(&status).trim_end(), &status);
    Ok(())
}

fn to_text(status: &RouterStatus) -> String {
    let leaving = if status.leaving { ", leaving" } else { "" };
    let mut text = format!(
        "{} in {}: revision {}, {} open requests{leaving}\n",
        status.router, status.zone, status.revision, status.open_requests
    );
    for live_router in &status.live_routers {
        let leaving = if live_router.leaving { "  leaving" } else { "" };
        let load = live_router
            .open_requests
            .map_or_else(String::new, |open_requests| {
                format!("  {open_requests} open requests")
            });
        let _ = writeln!(
            text,
            "  router {}  revision {}{load}{leaving}",
            live_router.caller_address, live_router.revision
        );
    }
    for shard in &status.shards {
        let _ = writeln!(
            text,
            "  schedules {} in {}: {} waiting, {} running",
            shard.pool, shard.zone, shard.waiting, shard.granted
        );
    }
    text
}
