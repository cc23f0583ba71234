//! A stand-in for a plain HTTP service that takes bookings and counts how often each was run.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use viz::{IntoResponse, Request, RequestExt, Response, Result, Router, StatusCode};

use crate::server::{ANY_PORT, StandinServer};

type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// A service whose `POST` requests each book what their body names.
#[derive(Debug)]
pub struct PlainService {
    server: StandinServer,
    runs: Runs,
}

impl PlainService {
    /// Starts a service on a free loopback port that takes `duration` for each booking.
    pub async fn start(path_prefix: &str, duration: Duration) -> std::io::Result<Self> {
        Self::start_at(ANY_PORT, path_prefix, duration).await
    }

    /// Starts a service on the given address.
    pub async fn start_at(
        address: SocketAddr,
        path_prefix: &str,
        duration: Duration,
    ) -> std::io::Result<Self> {
        let runs = Runs::default();
        let book_runs = Arc::clone(&runs);
        let book = move |request| book(Arc::clone(&book_runs), duration, request);
        let router = Router::new()
            .any(path_prefix, book.clone())
            .any(format!("{path_prefix}/*"), book);
        let server = StandinServer::start_at(address, router).await?;
        Ok(Self { server, runs })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of times that a booking was run.
    pub fn runs_of(&self, booking: &str) -> u32 {
        let runs = self.runs.lock().expect("no holder of the lock panics");
        runs.get(booking).copied().unwrap_or(0)
    }

    /// Returns the number of bookings that were run more than once.
    pub fn doubled(&self) -> usize {
        let runs = self.runs.lock().expect("no holder of the lock panics");
        runs.values().filter(|count| **count > 1).count()
    }
}

async fn book(runs: Runs, duration: Duration, mut request: Request) -> Result<Response> {
    let booking = request.text().await?;
    {
        let mut runs = runs.lock().expect("no holder of the lock panics");
        *runs.entry(booking.clone()).or_default() += 1;
    }
    tokio::time::sleep(duration).await;
    Ok((StatusCode::CREATED, format!("booked {booking}")).into_response())
}
