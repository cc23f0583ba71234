//! TCP connections between routers.
//!
//! A router dials a peer when it has a message for the peer and no connection. A
//! connection carries messages in both directions, whichever side dialled it. Each side
//! sends a frame at least every second, so a connection without one for a few seconds is
//! considered dead even if TCP still reports it as open: it is closed and dialled again,
//! and the core resends what is outstanding. See `docs/design/membership.md`.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use daisynotch_core::{Incarnation, Input, Peer, PeerMessage, RouterId};
use daisynotch_wire::{Frame, FrameCodec, FrameError, Hello, PROTOCOL_VERSION};
use futures::StreamExt;
use rand::seq::IteratorRandom;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::{Encoder, FramedRead};

use crate::core_task::{CoreHandle, Outgoing};
use crate::metrics::Metrics;
use crate::settings::PeerSettings;
use crate::timer::Tick;

/// The interval at which the router checks whether it has to dial more peers.
pub(crate) const DIAL_INTERVAL: Duration = Duration::from_millis(200);
/// The timeout for connecting and exchanging `Hello` frames.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The time without messages after which a side sends an empty frame.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The time without received frames after which a new connection may replace this one.
const REPLACEABLE_AFTER: Duration = Duration::from_millis(1_500);
/// The time without received frames after which a connection is closed.
const READ_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The time without sent messages after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The number of connections below which seed routers are dialled without a message for them.
const SEED_LINKS_MIN: usize = 3;
/// The number of dial ticks after which one seed router is dialled regardless of the number of
/// connections, which joins groups of routers that have no connection to each other.
const SEED_DIAL_TICKS: u32 = 150;
/// The maximum number of messages in one frame.
const BATCH_MAX_MESSAGES: usize = 256;

/// The state that all connection tasks share.
#[derive(Clone)]
pub(crate) struct LinkContext {
    pub(crate) own: Hello,
    pub(crate) core: CoreHandle,
    pub(crate) metrics: Arc<Metrics>,
}

/// A connection whose handshake succeeded.
struct EstablishedConnection {
    peer: Hello,
    /// Whether this router dialled the connection.
    is_dialled: bool,
    reader: FramedRead<OwnedReadHalf, FrameCodec>,
    writer: OwnedWriteHalf,
}

/// Runs all connections until the channel of outgoing messages or of dial ticks closes.
pub(crate) async fn run(
    context: LinkContext,
    listener: TcpListener,
    peers: Vec<PeerSettings>,
    mut outgoing: mpsc::UnboundedReceiver<Outgoing>,
    mut dial_ticks: mpsc::Receiver<Tick>,
) {
    let (handshake_result_sender, mut handshake_results) = mpsc::unbounded_channel();
    let seeds = peers
        .iter()
        .map(|peer| (RouterId::from(&peer.router), peer.address));
    let mut links = Links {
        context,
        configured_peers: seeds.collect(),
        listed_peers: HashMap::new(),
        links: HashMap::new(),
        dialling: HashSet::new(),
        handshake_results: handshake_result_sender,
        started_at: Instant::now(),
        ticks: 0,
    };
    links.on_tick();
    loop {
        tokio::select! {
            message = outgoing.recv() => match message {
                Some(Outgoing::Message { to, address, message }) => {
                    links.send(to, address, message);
                }
                Some(Outgoing::Seeds(seeds)) => links.listed_peers = seeds.into_iter().collect(),
                None => return,
            },
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => links.accept_handshake(stream),
                Err(error) => log::warn!("could not accept a connection from a router: {error}"),
            },
            result = handshake_results.recv() => if let Some(result) = result {
                links.on_handshake_result(result);
            },
            tick = dial_ticks.recv() => match tick {
                Some(Tick) => links.on_tick(),
                None => return,
            },
        }
    }
}

/// A connection in use.
struct Link {
    incarnation: Incarnation,
    /// Whether both sides keep this connection if both dialled at the same time.
    is_preferred: bool,
    writer: mpsc::UnboundedSender<PeerMessage>,
    /// When the last frame was received, in milliseconds since the start of [`Links`].
    last_frame_at_ms: Arc<AtomicU64>,
}

/// The outcome of a handshake.
struct HandshakeResult {
    /// The router that was dialled, or `None` if the peer dialled.
    router: Option<RouterId>,
    /// The connection, or `None` if the handshake failed.
    link: Option<Box<EstablishedConnection>>,
}

/// The connections of this router, and the addresses at which it can dial peers.
struct Links {
    context: LinkContext,
    /// The seed routers from the settings.
    configured_peers: HashMap<RouterId, SocketAddr>,
    /// The seed routers from the platform's host list.
    listed_peers: HashMap<RouterId, SocketAddr>,
    links: HashMap<RouterId, Link>,
    dialling: HashSet<RouterId>,
    handshake_results: mpsc::UnboundedSender<HandshakeResult>,
    started_at: Instant,
    ticks: u32,
}

impl Links {
    /// Sends a message. Without a connection the message is dropped and the router is dialled.
    ///
    /// Every receiver tolerates lost messages: once connected, the core resends what is
    /// outstanding.
    fn send(&mut self, to: RouterId, address: Option<SocketAddr>, message: PeerMessage) {
        let link = self.links.get(&to);
        if link.is_some_and(|link| link.writer.send(message).is_ok()) {
            return;
        }
        self.links.remove(&to);
        let address = address
            .or_else(|| self.configured_peers.get(&to).copied())
            .or_else(|| self.listed_peers.get(&to).copied());
        if let Some(address) = address {
            self.dial(to, address);
        }
    }

    /// Dials random seed routers while there are too few connections, see [`SEED_LINKS_MIN`] and
    /// [`SEED_DIAL_TICKS`].
    fn on_tick(&mut self) {
        self.links.retain(|_, link| !link.writer.is_closed());
        self.ticks = self.ticks.wrapping_add(1);
        let needed = SEED_LINKS_MIN.saturating_sub(self.links.len());
        let count = needed.max(usize::from(self.ticks.is_multiple_of(SEED_DIAL_TICKS)));
        let own = RouterId::from(&self.context.own.router);
        let seeds = self.configured_peers.iter().chain(&self.listed_peers);
        let missing = seeds
            .filter(|(router, _)| **router != own && !self.links.contains_key(router))
            .map(|(router, address)| (*router, *address));
        for (router, address) in missing.sample(&mut rand::rng(), count) {
            self.dial(router, address);
        }
    }

    fn dial(&mut self, router: RouterId, address: SocketAddr) {
        if !self.dialling.insert(router) {
            return;
        }
        let own = self.context.own.clone();
        let results = self.handshake_results.clone();
        tokio::spawn(async move {
            let dialled = tokio::time::timeout(CONNECT_TIMEOUT, dial(address, own)).await;
            let link = match dialled {
                Ok(Ok(link)) => Some(Box::new(link)),
                Ok(Err(error)) => {
                    log::debug!("could not connect to the router at {address}: {error}");
                    None
                }
                Err(_) => {
                    log::debug!("connecting to the router at {address} timed out");
                    None
                }
            };
            let router = Some(router);
            let _ = results.send(HandshakeResult { router, link });
        });
    }

    fn accept_handshake(&self, stream: TcpStream) {
        let own = self.context.own.clone();
        let results = self.handshake_results.clone();
        tokio::spawn(async move {
            match tokio::time::timeout(CONNECT_TIMEOUT, handshake(stream, own, false)).await {
                Ok(Ok(link)) => {
                    let link = Some(Box::new(link));
                    let _ = results.send(HandshakeResult { router: None, link });
                }
                Ok(Err(error)) => log::warn!("the handshake with a peer failed: {error}"),
                Err(_) => log::warn!("the handshake with a peer timed out"),
            }
        });
    }

    fn on_handshake_result(&mut self, result: HandshakeResult) {
        if let Some(router) = result.router {
            self.dialling.remove(&router);
        }
        if let Some(link) = result.link {
            self.start(*link);
        }
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Reports whether to keep the existing connection to a peer instead of a new one.
    ///
    /// When both sides dial at the same time, both must keep the same connection: the one that
    /// the router with the smaller identifier dialled. A connection without frames for
    /// [`REPLACEABLE_AFTER`] is replaced all the same.
    fn should_keep_existing(&self, peer: Peer, is_preferred: bool) -> bool {
        self.links.get(&peer.router).is_some_and(|link| {
            let is_same_incarnation = link.incarnation == peer.incarnation;
            let silent_ms = self.now_ms() - link.last_frame_at_ms.load(Ordering::Relaxed);
            let is_alive =
                !link.writer.is_closed() && silent_ms <= REPLACEABLE_AFTER.as_millis() as u64;
            is_same_incarnation && link.is_preferred && !is_preferred && is_alive
        })
    }

    fn start(&mut self, link: EstablishedConnection) {
        let introduction = link.peer.introduction();
        let peer = introduction.peer;
        let own = RouterId::from(&self.context.own.router);
        let is_preferred = link.is_dialled == (own < peer.router);
        if self.should_keep_existing(peer, is_preferred) {
            return;
        }
        log::info!(router = link.peer.router.as_str(); "connected to router");
        let (writer, messages) = mpsc::unbounded_channel();
        let last_frame_at_ms = Arc::new(AtomicU64::new(self.now_ms()));
        let entry = Link {
            incarnation: peer.incarnation,
            is_preferred,
            writer,
            last_frame_at_ms: Arc::clone(&last_frame_at_ms),
        };
        self.links.insert(peer.router, entry);
        self.context.core.input(Input::Connected(introduction));
        let metrics = Arc::clone(&self.context.metrics);
        let write = tokio::spawn(write_messages(link.writer, messages, metrics));
        let core = self.context.core.clone();
        let started_at = self.started_at;
        let on_frame = move || {
            let now_ms = started_at.elapsed().as_millis() as u64;
            last_frame_at_ms.store(now_ms, Ordering::Relaxed);
        };
        tokio::spawn(async move {
            let ended = read_messages(link.reader, peer, &core, on_frame).await;
            write.abort();
            log::info!(router = link.peer.router.as_str(); "connection ended: {ended}");
        });
    }
}

async fn dial(address: SocketAddr, own: Hello) -> Result<EstablishedConnection, FrameError> {
    let stream = TcpStream::connect(address).await?;
    handshake(stream, own, true).await
}

async fn handshake(
    stream: TcpStream,
    own: Hello,
    is_dialled: bool,
) -> Result<EstablishedConnection, FrameError> {
    stream.set_nodelay(true)?;
    let (read, mut writer) = stream.into_split();
    let mut reader = FramedRead::new(read, FrameCodec::default());
    let mut buffer = BytesMut::new();
    FrameCodec::default().encode(&Frame::Hello(own), &mut buffer)?;
    writer.write_all(&buffer).await?;
    match reader.next().await {
        Some(Ok(Frame::Hello(peer))) if peer.version == PROTOCOL_VERSION => {
            Ok(EstablishedConnection {
                peer,
                is_dialled,
                reader,
                writer,
            })
        }
        Some(Err(error)) => Err(error),
        Some(Ok(_)) => Err(std::io::Error::other(
            "the peer did not start with a Hello frame of this protocol version",
        )
        .into()),
        None => Err(std::io::Error::other(
            "the peer closed the connection before sending a Hello frame",
        )
        .into()),
    }
}

/// Writes messages, or an empty frame after [`KEEPALIVE_INTERVAL`] without one, until the
/// connection fails, is replaced or reaches [`IDLE_TIMEOUT`].
async fn write_messages(
    mut writer: OwnedWriteHalf,
    mut messages: mpsc::UnboundedReceiver<PeerMessage>,
    metrics: Arc<Metrics>,
) {
    let mut used_at = Instant::now();
    loop {
        let mut batch = Vec::new();
        let received = messages.recv_many(&mut batch, BATCH_MAX_MESSAGES);
        match tokio::time::timeout(KEEPALIVE_INTERVAL, received).await {
            Ok(0) => return,
            Ok(_) => used_at = Instant::now(),
            Err(_) if used_at.elapsed() > IDLE_TIMEOUT => return,
            Err(_) => {}
        }
        let mut buffer = BytesMut::new();
        if let Err(error) = encode(batch, &mut buffer) {
            log::error!("could not encode a frame for a router: {error}");
            return;
        }
        metrics.control_sent_bytes.inc_by(buffer.len() as u64);
        if writer.write_all(&buffer).await.is_err() {
            return;
        }
    }
}

/// Encodes messages as one frame, or as several if one would be too long.
fn encode(mut batch: Vec<PeerMessage>, buffer: &mut BytesMut) -> Result<(), FrameError> {
    let half = batch.len() / 2;
    let frame = Frame::Messages(batch);
    let encoded = FrameCodec::default().encode(&frame, buffer);
    let Frame::Messages(messages) = frame else {
        return encoded;
    };
    if encoded.is_ok() || half == 0 {
        return encoded;
    }
    batch = messages;
    let second = batch.split_off(half);
    encode(batch, buffer)?;
    encode(second, buffer)
}

/// Passes received messages to the core; returns why the connection ended.
async fn read_messages(
    mut reader: FramedRead<OwnedReadHalf, FrameCodec>,
    from: Peer,
    core: &CoreHandle,
    on_frame: impl Fn(),
) -> String {
    loop {
        let Ok(frame) = tokio::time::timeout(READ_TIMEOUT, reader.next()).await else {
            return "no frame was received in time".to_owned();
        };
        on_frame();
        match frame {
            Some(Ok(Frame::Messages(messages))) => {
                for message in messages {
                    core.input(Input::Message { from, message });
                }
            }
            Some(Ok(Frame::Hello(_))) => return "the peer sent a second Hello frame".to_owned(),
            Some(Err(error)) => return error.to_string(),
            None => return "the peer closed it".to_owned(),
        }
    }
}
