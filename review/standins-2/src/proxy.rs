//! A proxy whose open connections can go silent while new ones work.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    /// Connections with a lower number are silent.
    silent_below: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            silent_below: Arc::default(),
            opened: Arc::default(),
        };
        let accepting = proxy.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = accepting.opened.fetch_add(1, Ordering::SeqCst);
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let (Ok(client), Ok(back)) = (stream.try_clone(), server.try_clone()) else {
                    continue;
                };
                accepting.clone().pass(stream, server, number);
                accepting.clone().pass(back, client, number);
            }
        });
        proxy
    }

    /// Silences the connections that are open: nothing that is sent on them arrives any more.
    pub fn silence_open_connections(&self) {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_below.store(opened, Ordering::SeqCst);
    }

    fn pass(self, mut from: TcpStream, mut to: TcpStream, number: u64) {
        let _ = to.set_nodelay(true);
        std::thread::spawn(move || {
            let mut buffer = [0; 65_536];
            loop {
                let length = from.read(&mut buffer).unwrap_or(0);
                if number < self.silent_below.load(Ordering::SeqCst) {
                    if length == 0 {
                        return;
                    }
                    continue;
                }
                if length == 0 || to.write_all(&buffer[..length]).is_err() {
                    let _ = to.shutdown(std::net::Shutdown::Write);
                    return;
                }
            }
        });
    }
}
