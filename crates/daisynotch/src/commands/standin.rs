//! `daisynotch standin`: runs one fake of what surrounds the routers.
//!
//! With it a fleet can be tried by hand without the platform; nothing that a fake
//! holds outlives it.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use daisynotch_standins::{Engine, EngineSettings, KeyValueStandin, PlainService};

use super::CommandError;
use crate::printer::Printer;

/// The path prefix that the plain service takes.
const BOOKINGS_PATH: &str = "/bookings";
/// How long a booking takes.
const BOOKING_DURATION: Duration = Duration::from_millis(50);

/// What can be faked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StandinKind {
    /// The platform's key-value service.
    KeyValue,
    /// A model engine.
    Engine,
    /// A plain service whose calls may not run twice.
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
                "`{text}` is no fake: use `key-value`, `engine` or `bookings`"
            )),
        }
    }
}

/// Runs a fake until it is interrupted.
pub(crate) async fn run(
    kind: StandinKind,
    listen: SocketAddr,
    printer: &Printer,
) -> Result<(), CommandError> {
    let failed = |error: std::io::Error| CommandError::Failed(format!("{listen}: {error}"));
    match kind {
        StandinKind::KeyValue => {
            let standin = KeyValueStandin::start_at(listen).await.map_err(failed)?;
            wait(standin.address(), printer).await
        }
        StandinKind::Engine => {
            let engine = Engine::start_at(listen, EngineSettings::default()).await;
            wait(engine.map_err(failed)?.address(), printer).await
        }
        StandinKind::Bookings => {
            let service = PlainService::start_at(listen, BOOKINGS_PATH, BOOKING_DURATION).await;
            wait(service.map_err(failed)?.address(), printer).await
        }
    }
}

async fn wait(address: SocketAddr, printer: &Printer) -> Result<(), CommandError> {
    printer.result(
        &format!("listening on {address}"),
        &serde_json::json!({ "listen": address }),
    );
    let interrupted = tokio::signal::ctrl_c().await;
    interrupted.map_err(|error| CommandError::Failed(error.to_string()))
}
