//! Whether a response is passed on as a stream.

use daisynotch_core::direct::RouteKind;
use hyper::StatusCode;

/// How a response is passed on to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RelayMode {
    /// Event by event, as the endpoint sends them.
    Stream,
    /// At once, when the whole body has arrived.
    Full,
}

impl RelayMode {
    /// Returns how a response to a request on such a route is passed on.
    pub(super) fn of(route: RouteKind, status: StatusCode) -> Self {
        if route.is_stream() && status.is_success() {
            Self::Stream
        } else {
            Self::Full
        }
    }

    /// Returns the name used in logs.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Stream => "stream",
            Self::Full => "full",
        }
    }
}
