//! Turns frames into bytes and back.

use bytes::{Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::frame::Frame;

/// The longest frame that is accepted; a sender splits longer batches.
pub const FRAME_MAX_BYTES: usize = u16::MAX as usize;

/// Why a frame can't be sent or read.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed, or a frame was longer than [`FRAME_MAX_BYTES`].
    #[error("the connection between routers failed: {0}")]
    Io(#[from] std::io::Error),
    /// The bytes are no frame of this protocol.
    #[error("a frame between routers can't be read: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Encodes and decodes frames behind a two-byte length.
#[derive(Debug)]
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .length_field_length(2)
            .max_frame_length(FRAME_MAX_BYTES)
            .new_codec();
        Self { lengths }
    }
}

impl Encoder<&Frame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: &Frame, buffer: &mut BytesMut) -> Result<(), FrameError> {
        let bytes = postcard::to_stdvec(frame)?;
        Ok(self.lengths.encode(Bytes::from(bytes), buffer)?)
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = FrameError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let Some(bytes) = self.lengths.decode(buffer)? else {
            return Ok(None);
        };
        Ok(Some(postcard::from_bytes(&bytes)?))
    }
}

#[cfg(test)]
mod tests;
