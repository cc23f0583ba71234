//! The HTTP server that the fakes share.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use viz::Router;

/// Any free loopback port.
pub(crate) const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A fake that listens; dropping it ends it.
#[derive(Debug)]
pub struct StandinServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl StandinServer {
    /// Listens on a free loopback port.
    pub async fn start(router: Router) -> std::io::Result<Self> {
        Self::start_at(ANY_PORT, router).await
    }

    /// Listens on a given address.
    pub async fn start_at(address: SocketAddr, router: Router) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            if let Err(error) = viz::serve(listener, router).await {
                eprintln!("the fake at {address} ended: {error}");
            }
        });
        Ok(Self { address, task })
    }

    /// Gives where the fake listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
