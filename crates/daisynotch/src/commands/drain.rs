//! `daisynotch drain`: makes a router leave.

use std::net::SocketAddr;

use daisynotch_router::OperatorRpcClient;

use super::{CommandError, operator_client};
use crate::printer::Printer;

pub(crate) async fn run(router: SocketAddr, printer: &Printer) -> Result<(), CommandError> {
    let is_first = operator_client(router)?.drain().await;
    let is_first = is_first.map_err(|error| CommandError::router(router, &error))?;
    let text = if is_first {
        "leaving: the router finishes every request and then ends"
    } else {
        "the router is leaving already"
    };
    printer.result(
        text,
        &serde_json::json!({ "leaving": true, "first": is_first }),
    );
    Ok(())
}
