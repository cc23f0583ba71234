//! TCP connections between routers.
//!
//! A router dials a peer when it has something to say and no connection; a
//! connection carries messages both ways, whoever dialled it. Each side sends a
//! frame every second, so a connection without one for a few seconds is dead,
//! however open it looks: it is closed and dialled again, and the core resends
//! what is outstanding. See `docs/design/membership.md`.

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

/// How often missing connections are dialled.
pub(crate) const DIAL_INTERVAL: Duration = Duration::from_millis(200);
/// The longest time that dialling and introductions may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The silence after which a side sends an empty frame.
const KEEPALIVE_AFTER: Duration = Duration::from_millis(1_000);
/// The silence after which a connection may be replaced by a new one.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);
/// The silence after which a connection is closed.
const SILENT_AFTER: Duration = Duration::from_millis(3_000);
/// How long a connection without messages is kept.
const IDLE_AFTER: Duration = Duration::from_secs(60);
/// The connections under which routers known from the start are dialled unasked.
const SEED_LINKS: usize = 3;
/// Every so many dial ticks one router known from the start is dialled in any case,
/// so that groups that never met find each other.
const SEED_DIAL_TICKS: u32 = 150;
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
    let seeds = peers
        .iter()
        .map(|peer| (RouterId::from(&peer.router), peer.address));
    let mut links = Links {
        context,
        known: seeds.collect(),
        listed: HashMap::new(),
        links: HashMap::new(),
        dialling: HashSet::new(),
        established: established_sender,
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
                Some(Outgoing::Seeds(seeds)) => links.listed = seeds.into_iter().collect(),
                None => return,
            },
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => links.introduce(stream),
                Err(error) => log::warn!("a router's connection could not be accepted: {error}"),
            },
            dialled = established.recv() => if let Some(dialled) = dialled {
                links.on_dialled(dialled);
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
    /// Whether it is the one to keep when both sides dialled at the same time.
    is_preferred: bool,
    writer: mpsc::UnboundedSender<PeerMessage>,
    /// When its last frame came, in milliseconds since the links started.
    heard_at_ms: Arc<AtomicU64>,
}

/// How an attempt to introduce one another ended.
struct Dialled {
    /// The router that was dialled; none when the other side dialled.
    router: Option<RouterId>,
    link: Option<Box<Established>>,
}

struct Links {
    context: LinkContext,
    /// Routers that the settings name.
    known: HashMap<RouterId, SocketAddr>,
    /// Routers that the host list names.
    listed: HashMap<RouterId, SocketAddr>,
    links: HashMap<RouterId, Link>,
    dialling: HashSet<RouterId>,
    established: mpsc::UnboundedSender<Dialled>,
    started_at: Instant,
    ticks: u32,
}

impl Links {
    /// Sends a message; without a connection it is lost, which every receiver can
    /// bear, and the router is dialled: the core resends what matters then.
    fn send(&mut self, to: RouterId, address: Option<SocketAddr>, message: PeerMessage) {
        let link = self.links.get(&to);
        if link.is_some_and(|link| link.writer.send(message).is_ok()) {
            return;
        }
        self.links.remove(&to);
        let address = address
            .or_else(|| self.known.get(&to).copied())
            .or_else(|| self.listed.get(&to).copied());
        if let Some(address) = address {
            self.dial(to, address);
        }
    }

    /// Dials routers that are known from the start, as long as few are connected.
    fn on_tick(&mut self) {
        self.links.retain(|_, link| !link.writer.is_closed());
        self.ticks = self.ticks.wrapping_add(1);
        let few = SEED_LINKS.saturating_sub(self.links.len());
        let count = few.max(usize::from(self.ticks.is_multiple_of(SEED_DIAL_TICKS)));
        let own = RouterId::from(&self.context.own.router);
        let seeds = self.known.iter().chain(&self.listed);
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
        let established = self.established.clone();
        tokio::spawn(async move {
            let dialled = tokio::time::timeout(CONNECT_TIMEOUT, dial(address, own)).await;
            let link = match dialled {
                Ok(Ok(link)) => Some(Box::new(link)),
                Ok(Err(error)) => {
                    log::debug!("router at {address} not reached: {error}");
                    None
                }
                Err(_) => {
                    log::debug!("router at {address} not reached in time");
                    None
                }
            };
            let router = Some(router);
            let _ = established.send(Dialled { router, link });
        });
    }

    fn introduce(&self, stream: TcpStream) {
        let own = self.context.own.clone();
        let established = self.established.clone();
        tokio::spawn(async move {
            match tokio::time::timeout(CONNECT_TIMEOUT, shake_hands(stream, own, false)).await {
                Ok(Ok(link)) => {
                    let link = Some(Box::new(link));
                    let _ = established.send(Dialled { router: None, link });
                }
                Ok(Err(error)) => log::warn!("a router's connection failed: {error}"),
                Err(_) => log::warn!("a router's connection was silent"),
            }
        });
    }

    fn on_dialled(&mut self, dialled: Dialled) {
        if let Some(router) = dialled.router {
            self.dialling.remove(&router);
        }
        if let Some(link) = dialled.link {
            self.start(*link);
        }
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Says whether a connection that is in use should be kept rather than a new one.
    ///
    /// When both sides dial at the same time, both must keep the same connection:
    /// the one that the router with the smaller identifier dialled. A silent one
    /// does not stand in the way of its replacement.
    fn has_better(&self, peer: Peer, is_preferred: bool) -> bool {
        self.links.get(&peer.router).is_some_and(|link| {
            let is_same_start = link.incarnation == peer.incarnation;
            let silent_ms = self.now_ms() - link.heard_at_ms.load(Ordering::Relaxed);
            let is_alive =
                !link.writer.is_closed() && silent_ms <= SUSPECT_AFTER.as_millis() as u64;
            is_same_start && link.is_preferred && !is_preferred && is_alive
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
        let heard_at_ms = Arc::new(AtomicU64::new(self.now_ms()));
        let kept = Link {
            incarnation: peer.incarnation,
            is_preferred,
            writer,
            heard_at_ms: Arc::clone(&heard_at_ms),
        };
        self.links.insert(peer.router, kept);
        self.context.core.input(Input::Connected(introduction));
        let metrics = Arc::clone(&self.context.metrics);
        let write = tokio::spawn(write_messages(link.writer, messages, metrics));
        let core = self.context.core.clone();
        let started_at = self.started_at;
        let on_frame = move || {
            let heard_ms = started_at.elapsed().as_millis() as u64;
            heard_at_ms.store(heard_ms, Ordering::Relaxed);
        };
        tokio::spawn(async move {
            let ended = read_messages(link.reader, peer, &core, on_frame).await;
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

/// Writes messages, and an empty frame when there is none for a while; ends when
/// the connection fails or is no longer needed.
async fn write_messages(
    mut writer: OwnedWriteHalf,
    mut messages: mpsc::UnboundedReceiver<PeerMessage>,
    metrics: Arc<Metrics>,
) {
    let mut used_at = Instant::now();
    loop {
        let mut batch = Vec::new();
        let received = messages.recv_many(&mut batch, BATCH_MAX_MESSAGES);
        match tokio::time::timeout(KEEPALIVE_AFTER, received).await {
            Ok(0) => return,
            Ok(_) => used_at = Instant::now(),
            Err(_) if used_at.elapsed() > IDLE_AFTER => return,
            Err(_) => {}
        }
        let mut buffer = BytesMut::new();
        if let Err(error) = encode(batch, &mut buffer) {
            log::error!("a frame could not be written: {error}");
            return;
        }
        metrics.control_sent_bytes.inc_by(buffer.len() as u64);
        if writer.write_all(&buffer).await.is_err() {
            return;
        }
    }
}

/// Puts messages in one frame, or in several when one would be too long.
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

async fn read_messages(
    mut reader: FramedRead<OwnedReadHalf, FrameCodec>,
    from: Peer,
    core: &CoreHandle,
    on_frame: impl Fn(),
) -> String {
    loop {
        let Ok(frame) = tokio::time::timeout(SILENT_AFTER, reader.next()).await else {
            return "it was silent".to_owned();
        };
        on_frame();
        match frame {
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
