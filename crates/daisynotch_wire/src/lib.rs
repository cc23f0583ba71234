//! Frames between routers: length-prefixed messages in the compact postcard encoding.
//!
//! `docs/design/wire.md` compares this encoding with JSON text. A frame that cannot be
//! decoded ends the connection; both sides then resend their outstanding messages.

mod codec;
mod frame;

pub use codec::{FRAME_MAX_BYTES, FrameCodec, FrameError};
pub use frame::{Frame, Hello, PROTOCOL_VERSION};
