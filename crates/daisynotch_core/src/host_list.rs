//! Entries of the platform's host list.
//!
//! The list lags behind the fleet. It seeds membership and announces early which hosts are
//! leaving, while heartbeats decide which routers are live. See `docs/design/platform.md`.

use std::net::SocketAddr;

use crate::{RouterName, ZoneName};

/// One router of the host list.
#[daisynotch_macros::value]
pub struct ListedHost {
    /// The router's name.
    pub router: RouterName,
    /// The address where the router listens for other routers.
    pub peer_address: SocketAddr,
    /// The router's availability zone.
    pub zone: ZoneName,
    /// Whether the list marks the router as leaving.
    pub leaving: bool,
}
