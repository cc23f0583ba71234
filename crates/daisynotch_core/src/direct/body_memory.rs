//! Limits the memory that the bodies of all requests, or of all responses, take together.
//!
//! Load pattern: faulty endpoints send bodies without end to many requests at one time. Each body
//! is bounded, but their sum is more memory than a small host has. A body may therefore hold as much
//! as is left for others, so the bound shrinks as memory fills, and the largest bodies reach it first.
//! Something is always left, which the small bodies of other requests need.
//!
//! Chunks of streams that wait for their callers share the memory of responses. They may grow in one
//! half of it only, so that slow callers leave the other half to bodies.
//! See `docs/design/slow-readers.md`.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// There is not enough memory for a body of this size at the moment.
#[daisynotch_macros::value]
#[derive(Copy, thiserror::Error)]
#[error("no memory for a body of {bytes} bytes beside those of other requests")]
pub struct NoBodyMemory {
    /// The size that the body would have had.
    pub bytes: usize,
}

/// Memory that bodies share. Clones share it, too.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    max_bytes: usize,
    /// Bodies may be dropped on any thread.
    used_bytes: Arc<AtomicUsize>,
}

impl BodyMemory {
    /// Creates a memory of which nothing is used.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            used_bytes: Arc::default(),
        }
    }

    /// Returns the memory that a new body takes, which is none.
    pub fn hold(&self) -> HeldMemory {
        HeldMemory {
            memory: self.clone(),
            bytes: 0,
        }
    }

    /// Returns the memory that all bodies take.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// Returns whether more memory is taken than there is, which [`HeldMemory::set`] may cause.
    pub fn is_exceeded(&self) -> bool {
        self.used_bytes() > self.max_bytes
    }
}

/// The memory that one body takes, which is free again when this is dropped.
#[derive(Debug)]
pub struct HeldMemory {
    memory: BodyMemory,
    bytes: usize,
}

impl HeldMemory {
    /// Changes the size of the body. A larger size is refused if the body would take more than it
    /// leaves to others; the size stays as it was then.
    pub fn resize(&mut self, bytes: usize) -> Result<(), NoBodyMemory> {
        if bytes > self.bytes && bytes > self.left_of(self.memory.max_bytes) / 2 {
            return Err(NoBodyMemory { bytes });
        }
        self.set(bytes);
        Ok(())
    }

    /// Returns whether chunks that wait for a caller may grow to this size: they may take as much
    /// of one half of the memory as they leave of it.
    pub fn may_wait(&self, bytes: usize) -> bool {
        bytes <= self.left_of(self.memory.max_bytes / 2) / 2
    }

    /// Changes the size without regard to others, for bytes that must be passed on.
    pub fn set(&mut self, bytes: usize) {
        let used_bytes = &self.memory.used_bytes;
        if bytes >= self.bytes {
            used_bytes.fetch_add(bytes - self.bytes, Ordering::Relaxed);
        } else {
            used_bytes.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }

    /// Returns the size.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns what others leave of `max_bytes`.
    fn left_of(&self, max_bytes: usize) -> usize {
        let others_bytes = self.memory.used_bytes().saturating_sub(self.bytes);
        max_bytes.saturating_sub(others_bytes)
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.memory
            .used_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
