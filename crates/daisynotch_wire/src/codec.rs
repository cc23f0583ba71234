//! Encodes frames as length-prefixed bytes and decodes them.

use bytes::{Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::frame::Frame;

/// Maximum length of a frame; a sender splits longer batches.
pub const FRAME_MAX_BYTES: usize = u16::MAX as usize;

/// An error while encoding, decoding or transferring a frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed, or a frame was longer than [`FRAME_MAX_BYTES`].
    #[error("the connection to a peer router failed: {0}")]
    Io(#[from] std::io::Error),
    /// The bytes are not a valid frame of this protocol, or a frame could not be encoded.
    #[error("cannot encode or decode a frame between routers: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Encodes and decodes frames with a two-byte length prefix.
#[derive(Debug)]
pub struct FrameCodec {
    length_prefix: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let length_prefix = LengthDelimitedCodec::builder()
            .length_field_length(2)
            .max_frame_length(FRAME_MAX_BYTES)
            .new_codec();
        Self { length_prefix }
    }
}

impl Encoder<&Frame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: &Frame, buffer: &mut BytesMut) -> Result<(), FrameError> {
        let bytes = postcard::to_stdvec(frame)?;
        Ok(self.length_prefix.encode(Bytes::from(bytes), buffer)?)
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = FrameError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let Some(bytes) = self.length_prefix.decode(buffer)? else {
            return Ok(None);
        };
        Ok(Some(postcard::from_bytes(&bytes)?))
    }
}

#[cfg(test)]
mod tests;
