//! Limits the memory that the bodies of all requests, or of all responses, take together.
//!
//! Load pattern: faulty endpoints send bodies without end to many requests at one time. Each body
//! is bounded, but their sum is more memory than a small host has. A body may therefore hold as much
//! as is left for others, so the bound shrinks as memory fills, and the largest bodies reach it first.
//! Something is always left, which the small bodies of other requests need.

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
        let others_bytes = self.memory.used_bytes().saturating_sub(self.bytes);
        let left_bytes = self.memory.max_bytes.saturating_sub(others_bytes);
        if bytes > self.bytes && bytes > left_bytes / 2 {
            return Err(NoBodyMemory { bytes });
        }
        let used_bytes = &self.memory.used_bytes;
        if bytes >= self.bytes {
            used_bytes.fetch_add(bytes - self.bytes, Ordering::Relaxed);
        } else {
            used_bytes.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
        Ok(())
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
