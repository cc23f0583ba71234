//! `daisynotch standin`: runs a fake of one service that the routers depend on.
//!
//! The fakes let an operator try out a fleet by hand without the platform. They keep
//! their state in memory only.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use daisynotch_standins::{Engine, EngineSettings, KeyValueStandin, PlainService};

use super::CommandError;
use crate::printer::Printer;

/// The path prefix of the bookings service.
const BOOKINGS_PATH: &str = "/bookings";
/// How long a booking takes.
const BOOKING_DURATION: Duration = Duration::from_millis(50);

/// The service to fake.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StandinKind {
    /// The platform's key-value service.
    KeyValue,
    /// A model engine.
    Engine,
    /// A plain HTTP service whose calls must not be executed twice.
    Bookings,
}

impl FromStr for StandinKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "key-value" => Ok(Self::KeyValue),
            "engine" => Ok(Self::Engine),
            "bookings" => Ok(Self::Bookings),
            _ => Err(format!(
                "unknown fake `{text}`: use `key-value`, `engine` or `bookings`"
            )),
        }
    }
}

/// Runs a fake until the process is interrupted.
pub(crate) async fn run(
    kind: StandinKind,
    listen: SocketAddr,
    printer: &Printer,
) -> Result<(), CommandError> {
    let listen_failed =
        |error: std::io::Error| CommandError::Failed(format!("can't listen on {listen}: {error}"));
    match kind {
        StandinKind::KeyValue => {
            let standin = KeyValueStandin::start_at(listen)
                .await
                .map_err(listen_failed)?;
            wait_for_interrupt(standin.address(), printer).await
        }
        StandinKind::Engine => {
            let engine = Engine::start_at(listen, EngineSettings::default()).await;
            wait_for_interrupt(engine.map_err(listen_failed)?.address(), printer).await
        }
        StandinKind::Bookings => {
            let service = PlainService::start_at(listen, BOOKINGS_PATH, BOOKING_DURATION).await;
            wait_for_interrupt(service.map_err(listen_failed)?.address(), printer).await
        }
    }
}

async fn wait_for_interrupt(address: SocketAddr, printer: &Printer) -> Result<(), CommandError> {
    printer.result(
        &format!("listening on {address}"),
        &serde_json::json!({ "listen": address }),
    );
    let interrupted = tokio::signal::ctrl_c().await;
    interrupted.map_err(|error| CommandError::Failed(error.to_string()))
}
