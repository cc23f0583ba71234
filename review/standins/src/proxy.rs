//! A proxy before the store, which can fall silent: the cut of one machine from the store.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

pub struct Proxy {
    pub address: SocketAddr,
    is_cut: watch::Sender<bool>,
}

impl Proxy {
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (is_cut, receiver) = watch::channel(false);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, target, receiver.clone()));
            }
        });
        Ok(Self { address, is_cut })
    }

    /// Passes nothing on from now on, or passes on again.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.send_replace(is_cut);
    }
}

async fn pass(near: TcpStream, target: SocketAddr, is_cut: watch::Receiver<bool>) {
    let mut waiting = is_cut.clone();
    if waiting.wait_for(|is_cut| !is_cut).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        copy(near_read, far_write, is_cut.clone()),
        copy(far_read, near_write, is_cut)
    );
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    mut is_cut: watch::Receiver<bool>,
) {
    let mut bytes = [0; 16 * 1024];
    loop {
        let Ok(length) = from.read(&mut bytes).await else {
            return;
        };
        if is_cut.wait_for(|is_cut| !is_cut).await.is_err() || length == 0 {
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&bytes[..length]).await.is_err() {
            return;
        }
    }
}
