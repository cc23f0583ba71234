//! The HTTP server that the stand-ins share.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use viz::Router;

/// Any free loopback port.
pub(crate) const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The HTTP server of a stand-in; dropping it stops it from accepting connections.
#[derive(Debug)]
pub struct StandinServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl StandinServer {
    /// Starts a server on a free loopback port.
    pub async fn start(router: Router) -> std::io::Result<Self> {
        Self::start_at(ANY_PORT, router).await
    }

    /// Starts a server on the given address.
    pub async fn start_at(address: SocketAddr, router: Router) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            if let Err(error) = viz::serve(listener, router).await {
                eprintln!("the stand-in at {address} stopped: {error}");
            }
        });
        Ok(Self { address, task })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
