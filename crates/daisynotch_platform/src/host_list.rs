//! A client of the platform's host list.
//!
//! It reads the JSON form of Prometheus HTTP service discovery: a list of target
//! groups, whose labels `router`, `zone` and `state` describe their targets.

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

/// The path of the list.
const PATH: &str = "/targets";
/// The longest list that is read: 1,700 routers take about 300 KB.
const ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Why the host list could not be read.
#[derive(Debug, thiserror::Error)]
pub enum HostListError {
    /// The list was not answered.
    #[error("the host list at {address} did not answer: {reason}")]
    NoAnswer {
        /// Where the list was looked for.
        address: SocketAddr,
        /// What was seen.
        reason: String,
    },
    /// The answer is not a list of target groups.
    #[error("the host list at {address} can't be read: {reason}")]
    Malformed {
        /// Where the list was looked for.
        address: SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
}

/// Reads the list from one address.
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
    /// Makes a client; no connection is opened yet.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        Self {
            address,
            timeout,
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Reads the routers of the list.
    ///
    /// A target that can't be understood is left out, since one wrong entry should
    /// not hide the others.
    pub async fn read(&self) -> Result<Vec<ListedHost>, HostListError> {
        let fetched = tokio::time::timeout(self.timeout, self.fetch()).await;
        let body = fetched.map_err(|_| self.no_answer("it timed out"))??;
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
            return Err(self.no_answer(format_args!("it answered {status}")));
        }
        let body = Limited::new(response.into_body(), ANSWER_MAX_BYTES)
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
