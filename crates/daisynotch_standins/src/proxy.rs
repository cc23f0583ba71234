//! A TCP proxy that loses track of open connections while new ones work.

use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The proxy; dropping it ends it.
#[derive(Debug)]
pub struct SilencingProxy {
    address: SocketAddr,
    silenced: watch::Sender<()>,
    task: JoinHandle<()>,
}

impl SilencingProxy {
    /// Listens on a free loopback port and passes everything on to `target`.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (silenced, receiver) = watch::channel(());
        let task = tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(pass_on(near, target, receiver.clone()));
            }
        });
        Ok(Self {
            address,
            silenced,
            task,
        })
    }

    /// Gives where the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Passes no byte on any more on the connections that are open now.
    ///
    /// They stay open; connections made later work.
    pub fn silence_open_connections(&self) {
        self.silenced.send_replace(());
    }
}

impl Drop for SilencingProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn pass_on(mut near: TcpStream, target: SocketAddr, mut silenced: watch::Receiver<()>) {
    silenced.mark_unchanged();
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => return,
        _ = silenced.changed() => {}
    }
    // Both ends stay open for as long as anybody waits for them.
    std::future::pending::<()>().await;
}
