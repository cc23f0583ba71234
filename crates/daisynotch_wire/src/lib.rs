//! Frames between routers: a compact codec from a library behind a length prefix.
//!
//! `docs/design/wire.md` weighs it against JSON text. A frame that can't be read
//! ends the connection; both sides then resend what is outstanding.

mod codec;
mod frame;

pub use codec::{FRAME_MAX_BYTES, FrameCodec, FrameError};
pub use frame::{Frame, Hello, PROTOCOL_VERSION};
