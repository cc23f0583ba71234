//! TCP connections between routers.
//!
//! A router dials a peer when it has something to say and no connection; a
//! connection carries messages both ways, whoever dialled it. A connection that
//! fails is closed and dialled again; the core resends what is outstanding.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use daisynotch_core::{Incarnation, Input, Peer, PeerMessage, RouterId};
use daisynotch_wire::{Frame, FrameCodec, FrameError, Hello, PROTOCOL_VERSION};
use futures::StreamExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec::{Encoder, FramedRead};

use crate::core_task::{CoreHandle, Outgoing};
use crate::metrics::Metrics;
use crate::settings::PeerSettings;
use crate::timer::Tick;

/// How often missing connections are dialled.
pub(crate) const DIAL_INTERVAL: Duration = Duration::from_millis(200);
/// The longest time that dialling and introductions may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The most messages that are put in one frame.
const BATCH_MAX_MESSAGES: usize = 256;

/// What every connection task shares.
#[derive(Clone)]
pub(crate) struct LinkContext {
    pub(crate) own: Hello,
    pub(crate) core: CoreHandle,
    pub(crate) metrics: Arc<Metrics>,
}

/// A connection that finished its introductions.
struct Established {
    peer: Hello,
    /// Whether this side dialled.
    is_dialled: bool,
    reader: FramedRead<OwnedReadHalf, FrameCodec>,
    writer: OwnedWriteHalf,
}

/// Runs all connections until the outgoing channel closes.
pub(crate) async fn run(
    context: LinkContext,
    listener: TcpListener,
    peers: Vec<PeerSettings>,
    mut outgoing: mpsc::UnboundedReceiver<Outgoing>,
    mut dial_ticks: mpsc::Receiver<Tick>,
) {
    let (established_sender, mut established) = mpsc::unbounded_channel();
    let mut links = Links {
        context,
        addresses: peers
            .iter()
            .map(|peer| (RouterId::from(&peer.router), peer.address))
            .collect(),
        links: HashMap::new(),
        established: established_sender,
    };
    links.dial_missing();
    loop {
        tokio::select! {
            message = outgoing.recv() => match message {
                Some(message) => links.send(message),
                None => return,
            },
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => links.introduce(stream),
                Err(error) => log::warn!("a router's connection could not be accepted: {error}"),
            },
            link = established.recv() => if let Some(link) = link {
                links.start(link);
            },
            tick = dial_ticks.recv() => match tick {
                Some(Tick) => links.dial_missing(),
                None => return,
            },
        }
    }
}

/// A connection in use.
struct Link {
    incarnation: Incarnation,
    /// Whether it is the one to keep when both sides dialled at the same time.
    is_preferred: bool,
    writer: mpsc::UnboundedSender<PeerMessage>,
}

struct Links {
    context: LinkContext,
    addresses: HashMap<RouterId, SocketAddr>,
    links: HashMap<RouterId, Link>,
    established: mpsc::UnboundedSender<Established>,
}

impl Links {
    fn send(&mut self, outgoing: Outgoing) {
        // A message without a connection is lost, which every receiver can bear.
        if let Some(link) = self.links.get(&outgoing.to)
            && link.writer.send(outgoing.message).is_err()
        {
            self.links.remove(&outgoing.to);
        }
    }

    fn dial_missing(&mut self) {
        self.links.retain(|_, link| !link.writer.is_closed());
        for (router, address) in &self.addresses {
            if self.links.contains_key(router) {
                continue;
            }
            let own = self.context.own.clone();
            let established = self.established.clone();
            let address = *address;
            tokio::spawn(async move {
                let dialled = tokio::time::timeout(CONNECT_TIMEOUT, dial(address, own)).await;
                match dialled {
                    Ok(Ok(link)) => {
                        let _ = established.send(link);
                    }
                    Ok(Err(error)) => log::debug!("router at {address} not reached: {error}"),
                    Err(_) => log::debug!("router at {address} not reached in time"),
                }
            });
        }
    }

    fn introduce(&self, stream: TcpStream) {
        let own = self.context.own.clone();
        let established = self.established.clone();
        tokio::spawn(async move {
            match tokio::time::timeout(CONNECT_TIMEOUT, shake_hands(stream, own, false)).await {
                Ok(Ok(link)) => {
                    let _ = established.send(link);
                }
                Ok(Err(error)) => log::warn!("a router's connection failed: {error}"),
                Err(_) => log::warn!("a router's connection was silent"),
            }
        });
    }

    /// Says whether a connection that is in use should be kept rather than a new one.
    ///
    /// When both sides dial at the same time, both must keep the same connection:
    /// the one that the router with the smaller identifier dialled.
    fn has_better(&self, peer: Peer, is_preferred: bool) -> bool {
        self.links.get(&peer.router).is_some_and(|link| {
            let is_same_start = link.incarnation == peer.incarnation;
            is_same_start && link.is_preferred && !is_preferred && !link.writer.is_closed()
        })
    }

    fn start(&mut self, link: Established) {
        let introduction = link.peer.introduction();
        let peer = introduction.peer;
        let own = RouterId::from(&self.context.own.router);
        let is_preferred = link.is_dialled == (own < peer.router);
        if self.has_better(peer, is_preferred) {
            return;
        }
        log::info!(router = link.peer.router.as_str(); "connected to router");
        let (writer, messages) = mpsc::unbounded_channel();
        let kept = Link {
            incarnation: peer.incarnation,
            is_preferred,
            writer,
        };
        self.links.insert(peer.router, kept);
        self.context.core.input(Input::Connected(introduction));
        let metrics = Arc::clone(&self.context.metrics);
        let write = tokio::spawn(write_messages(link.writer, messages, metrics));
        let core = self.context.core.clone();
        tokio::spawn(async move {
            let ended = read_messages(link.reader, peer, &core).await;
            write.abort();
            log::info!(router = link.peer.router.as_str(); "connection ended: {ended}");
        });
    }
}

async fn dial(address: SocketAddr, own: Hello) -> Result<Established, FrameError> {
    let stream = TcpStream::connect(address).await?;
    shake_hands(stream, own, true).await
}

async fn shake_hands(
    stream: TcpStream,
    own: Hello,
    is_dialled: bool,
) -> Result<Established, FrameError> {
    stream.set_nodelay(true)?;
    let (read, mut writer) = stream.into_split();
    let mut reader = FramedRead::new(read, FrameCodec::default());
    let mut buffer = BytesMut::new();
    FrameCodec::default().encode(&Frame::Hello(own), &mut buffer)?;
    writer.write_all(&buffer).await?;
    match reader.next().await {
        Some(Ok(Frame::Hello(peer))) if peer.version == PROTOCOL_VERSION => Ok(Established {
            peer,
            is_dialled,
            reader,
            writer,
        }),
        Some(Err(error)) => Err(error),
        Some(Ok(_)) => Err(std::io::Error::other("it speaks another protocol version").into()),
        None => Err(std::io::Error::other("it closed before introducing itself").into()),
    }
}

async fn write_messages(
    mut writer: OwnedWriteHalf,
    mut messages: mpsc::UnboundedReceiver<PeerMessage>,
    metrics: Arc<Metrics>,
) {
    let mut codec = FrameCodec::default();
    let mut buffer = BytesMut::new();
    let mut batch = Vec::new();
    while messages.recv_many(&mut batch, BATCH_MAX_MESSAGES).await > 0 {
        buffer.clear();
        let frame = Frame::Messages(std::mem::take(&mut batch));
        if let Err(error) = codec.encode(&frame, &mut buffer) {
            log::error!("a frame could not be written: {error}");
            return;
        }
        metrics.control_sent_bytes.inc_by(buffer.len() as u64);
        if writer.write_all(&buffer).await.is_err() {
            return;
        }
    }
}

async fn read_messages(
    mut reader: FramedRead<OwnedReadHalf, FrameCodec>,
    from: Peer,
    core: &CoreHandle,
) -> String {
    loop {
        match reader.next().await {
            Some(Ok(Frame::Messages(messages))) => {
                for message in messages {
                    core.input(Input::Message { from, message });
                }
            }
            Some(Ok(Frame::Hello(_))) => return "it introduced itself twice".to_owned(),
            Some(Err(error)) => return error.to_string(),
            None => return "it closed".to_owned(),
        }
    }
}
