//! What the platform's host list says.
//!
//! The list lags: it seeds membership and gives early word of hosts that leave,
//! while heartbeats decide which routers are live. See `docs/design/platform.md`.

use std::net::SocketAddr;

use crate::{RouterName, ZoneName};

/// One router of the host list.
#[daisynotch_macros::value]
pub struct ListedHost {
    /// The router's name.
    pub router: RouterName,
    /// Where it listens for routers.
    pub peer_address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether the list says that it is leaving.
    pub leaving: bool,
}
