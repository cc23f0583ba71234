//! `daisynotch status`: prints what a router knows.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use super::CommandError;
use crate::printer::Printer;

pub(crate) async fn run(router: SocketAddr, printer: &Printer) -> Result<(), CommandError> {
    let failed = |error: &dyn std::fmt::Display| {
        CommandError::Failed(format!("router at {router}: {error}"))
    };
    let request = Request::get(format!("http://{router}/v1/status")).body(Empty::<Bytes>::new());
    let request = request.map_err(|error| failed(&error))?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client
        .request(request)
        .await
        .map_err(|error| failed(&error))?;
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|error| failed(&error))?
        .to_bytes();
    let value: serde_json::Value = serde_json::from_slice(&body).map_err(|error| failed(&error))?;
    let text = serde_json::to_string_pretty(&value).map_err(|error| failed(&error))?;
    printer.result(&text, &value);
    Ok(())
}
