//! What a frame holds.

use std::net::SocketAddr;

use daisynotch_core::{
    Incarnation, Introduction, Peer, PeerMessage, RouterId, RouterName, ZoneId, ZoneName,
};

/// The version of the protocol between routers; both sides must have the same.
pub const PROTOCOL_VERSION: u32 = 2;

/// Introduces the side that sends it; the first frame in each direction.
#[daisynotch_macros::message]
pub struct Hello {
    /// The protocol that the sender speaks.
    pub version: u32,
    /// The sender's name.
    pub router: RouterName,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's availability zone.
    pub zone: ZoneName,
    /// Where callers reach the sender.
    pub caller_address: SocketAddr,
    /// Where other routers reach the sender.
    pub peer_address: SocketAddr,
}

impl Hello {
    /// Gives what the core needs of the introduction.
    pub fn introduction(&self) -> Introduction {
        Introduction {
            peer: Peer {
                router: RouterId::from(&self.router),
                incarnation: self.incarnation,
            },
            zone: ZoneId::from(&self.zone),
            caller_address: self.caller_address,
            peer_address: self.peer_address,
        }
    }
}

/// One frame.
#[daisynotch_macros::message]
pub enum Frame {
    /// An introduction.
    Hello(Hello),
    /// Messages, in the order in which they were sent.
    Messages(Vec<PeerMessage>),
}
