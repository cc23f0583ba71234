//! The contents of a frame: a [`Hello`] or a batch of [`PeerMessage`]s.

use std::net::SocketAddr;

use daisynotch_core::{
    Incarnation, Introduction, Peer, PeerMessage, RouterId, RouterName, ZoneId, ZoneName,
};

/// Version of the protocol between routers; both sides of a connection must use the same one.
pub const PROTOCOL_VERSION: u32 = 2;

/// Identifies the sender; the first frame in each direction of a connection.
#[daisynotch_macros::message]
pub struct Hello {
    /// The sender's [`PROTOCOL_VERSION`].
    pub version: u32,
    /// The sender's name.
    pub router: RouterName,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's availability zone.
    pub zone: ZoneName,
    /// The address at which callers reach the sender.
    pub caller_address: SocketAddr,
    /// The address at which peers reach the sender.
    pub peer_address: SocketAddr,
}

impl Hello {
    /// Returns the sender's identity, zone and addresses in the form that the core uses.
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

/// The unit of transmission between two routers.
#[daisynotch_macros::message]
pub enum Frame {
    /// Identifies the sender.
    Hello(Hello),
    /// A batch of messages, in the order in which they were sent.
    Messages(Vec<PeerMessage>),
}
