//! A TCP proxy that can silence its open connections while new ones work.

use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A TCP proxy; dropping it stops it from accepting connections.
#[derive(Debug)]
pub struct SilencingProxy {
    address: SocketAddr,
    silenced: watch::Sender<()>,
    task: JoinHandle<()>,
}

impl SilencingProxy {
    /// Listens on a free loopback port and forwards every connection to `target`.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (silenced, receiver) = watch::channel(());
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(forward(client, target, receiver.clone()));
            }
        });
        Ok(Self {
            address,
            silenced,
            task,
        })
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops forwarding data on all connections that are open now.
    ///
    /// They stay open without a FIN or RST; later connections work.
    pub fn silence_open_connections(&self) {
        self.silenced.send_replace(());
    }
}

impl Drop for SilencingProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(mut client: TcpStream, target: SocketAddr, mut silenced: watch::Receiver<()>) {
    silenced.mark_unchanged();
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        return;
    };
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut client, &mut upstream) => return,
        _ = silenced.changed() => {}
    }
    // Keeps both sockets open, so that neither peer sees the connection close.
    std::future::pending::<()>().await;
}
