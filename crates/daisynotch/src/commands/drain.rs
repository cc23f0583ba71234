//! `daisynotch drain`: makes a router leave the fleet.

use std::net::SocketAddr;

use daisynotch_router::OperatorRpcClient;

use super::{CommandError, operator_client};
use crate::printer::Printer;

pub(crate) async fn run(router: SocketAddr, printer: &Printer) -> Result<(), CommandError> {
    let is_first = operator_client(router)?.drain().await;
    let is_first = is_first.map_err(|error| CommandError::router_call(router, &error))?;
    let text = if is_first {
        "leaving: the router finishes its open requests and then exits"
    } else {
        "the router is already leaving"
    };
    printer.result(
        text,
        &serde_json::json!({ "leaving": true, "first": is_first }),
    );
    Ok(())
}
