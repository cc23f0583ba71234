//! Client for the platform's host list.
//!
//! The list has the JSON form of Prometheus HTTP service discovery: target groups whose
//! labels `router`, `zone` and `state` describe their targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::{ListedHost, RouterName, ZoneName};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

/// HTTP path of the list.
const PATH: &str = "/targets";
/// Maximum length of the list: 1,700 routers take about 300 KB.
const RESPONSE_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Why the host list could not be read.
#[derive(Debug, thiserror::Error)]
pub enum HostListError {
    /// The service could not be reached or returned no complete successful response.
    #[error("the host list could not be fetched from {address}: {reason}")]
    NoAnswer {
        /// The address of the service that publishes the list.
        address: SocketAddr,
        /// Why the call failed.
        reason: String,
    },
    /// The response body is not a JSON list of target groups.
    #[error("the host list at {address} is malformed: {reason}")]
    Malformed {
        /// The address of the service that publishes the list.
        address: SocketAddr,
        /// Why decoding failed.
        reason: String,
    },
}

/// Reads the host list from one address.
#[derive(Debug, Clone)]
pub struct HostListClient {
    address: SocketAddr,
    timeout: Duration,
    client: Client<HttpConnector, Empty<Bytes>>,
}

#[derive(Deserialize)]
struct TargetGroup {
    targets: Vec<String>,
    #[serde(default)]
    labels: BTreeMap<String, String>,
}

impl HostListClient {
    /// Creates a client without opening a connection.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        Self {
            address,
            timeout,
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Reads the list and returns its routers.
    ///
    /// Malformed targets are skipped so that a single bad entry doesn't hide the others.
    pub async fn read(&self) -> Result<Vec<ListedHost>, HostListError> {
        let fetched = tokio::time::timeout(self.timeout, self.fetch()).await;
        let body = fetched.map_err(|_| self.no_answer("the call timed out"))??;
        let groups: Vec<TargetGroup> =
            serde_json::from_slice(&body).map_err(|error| HostListError::Malformed {
                address: self.address,
                reason: error.to_string(),
            })?;
        Ok(groups.iter().flat_map(listed_hosts).collect())
    }

    async fn fetch(&self) -> Result<Bytes, HostListError> {
        let uri = format!("http://{}{PATH}", self.address)
            .parse()
            .expect("an address and a path make a valid URI");
        let response = self.client.get(uri).await;
        let response = response.map_err(|error| self.no_answer(error))?;
        let status = response.status();
        if !status.is_success() {
            return Err(self.no_answer(format_args!("the response status is {status}")));
        }
        let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES)
            .collect()
            .await;
        Ok(body.map_err(|error| self.no_answer(error))?.to_bytes())
    }

    fn no_answer(&self, reason: impl std::fmt::Display) -> HostListError {
        HostListError::NoAnswer {
            address: self.address,
            reason: reason.to_string(),
        }
    }
}

fn listed_hosts(group: &TargetGroup) -> Vec<ListedHost> {
    let label = |name: &str| group.labels.get(name).map_or("", String::as_str);
    let router: Result<RouterName, _> = label("router").parse();
    let zone: Result<ZoneName, _> = label("zone").parse();
    let (Ok(router), Ok(zone)) = (router, zone) else {
        return Vec::new();
    };
    let leaving = label("state") == "leaving";
    let addresses = group
        .targets
        .iter()
        .filter_map(|target| target.parse().ok());
    addresses
        .map(|peer_address| ListedHost {
            router: router.clone(),
            peer_address,
            zone: zone.clone(),
            leaving,
        })
        .collect()
}

#[cfg(test)]
mod tests;
