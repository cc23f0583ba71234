//! Reads the bodies of requests and responses into memory that all of them share.

use bytes::{Bytes, BytesMut};
use daisynotch_core::direct::{BodyMemory, HeldMemory, NoBodyMemory};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use smallvec::SmallVec;

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadBodyError {
    /// The body is longer than any of its kind may be.
    #[error("the body exceeds {0} bytes")]
    TooLong(usize),
    /// The bodies of other requests take too much memory.
    #[error(transparent)]
    NoMemory(#[from] NoBodyMemory),
    /// The connection broke, or the body is invalid.
    #[error("reading the body failed: {0}")]
    Broken(#[from] hyper::Error),
}

/// A body and the memory that it takes.
struct HeldBody {
    bytes: Bytes,
    /// Freed with the body.
    _memory: HeldMemory,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body that was read to its end, and the memory that it takes.
pub(super) struct WholeBody {
    pub(super) bytes: Bytes,
    pub(super) memory: HeldMemory,
}

impl WholeBody {
    /// Returns bytes that hold the memory until their last clone is dropped.
    pub(super) fn into_bytes(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(HeldBody {
            bytes: self.bytes,
            _memory: self.memory,
        })
    }
}

/// Changes the size of a body. If memory is short, `make_room` frees some, until it returns that
/// there is nothing to free.
pub(super) fn resize(
    held: &mut HeldMemory,
    bytes: usize,
    make_room: impl Fn() -> bool,
) -> Result<(), NoBodyMemory> {
    loop {
        match held.resize(bytes) {
            Err(_) if make_room() => {}
            resized => return resized,
        }
    }
}

/// Reads a body to its end. `make_room` frees memory, and returns whether it did.
pub(super) async fn read(
    body: &mut Incoming,
    max_bytes: usize,
    memory: &BodyMemory,
    make_room: impl Fn() -> bool,
) -> Result<WholeBody, ReadBodyError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(ReadBodyError::TooLong(max_bytes));
    }
    let mut held = memory.hold();
    let mut length = 0;
    let mut chunks = SmallVec::<[Bytes; 2]>::new();
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame?.into_data() else {
            continue;
        };
        length += chunk.len();
        if length > max_bytes {
            return Err(ReadBodyError::TooLong(max_bytes));
        }
        resize(&mut held, length, &make_room)?;
        chunks.push(chunk);
    }
    let whole = match chunks.len() {
        0 => Bytes::new(),
        1 => chunks.remove(0),
        _ => {
            let mut whole = BytesMut::with_capacity(length);
            chunks
                .iter()
                .for_each(|chunk| whole.extend_from_slice(chunk));
            whole.freeze()
        }
    };
    Ok(WholeBody {
        bytes: whole,
        memory: held,
    })
}
