//! Claims on callers' idempotency keys, stored in the key-value service.
//!
//! A claim is a single compare-and-swap that succeeds only if the key is absent. The stored
//! value names the only router incarnation that may run requests with the idempotency key.
//! See `docs/design/at-most-once.md`.

use daisynotch_core::{ClaimSeq, IdempotencyKey, Incarnation, Peer, RouterId, TeamId};
use serde::{Deserialize, Serialize};

use crate::key_value::{KeyValueClient, KeyValueError, ModRevision};

/// Prefix of the keys under which claims are stored.
const CLAIMS_PREFIX: &str = "daisynotch/claims";

/// Why the owner of an idempotency key could not be determined.
#[derive(Debug, thiserror::Error)]
pub enum ClaimError {
    /// A call to the key-value service failed.
    #[error(transparent)]
    KeyValue(#[from] KeyValueError),
    /// The write was not confirmed, and no claim was found when the key was read back.
    #[error("the claim was written but could not be read back")]
    Unconfirmed,
    /// The stored value is not a claim in this program's format.
    #[error("the claim at `{key}` can't be read: {reason}")]
    Malformed {
        /// The key of the stored value.
        key: String,
        /// Why decoding failed.
        reason: String,
    },
}

/// The owner of an idempotency key.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum Claimed {
    /// The claim that was just made.
    Ours,
    /// An earlier claim, made by the given router incarnation.
    Other(Peer),
}

#[derive(Serialize, Deserialize, PartialEq, Eq)]
struct Claim {
    router: RouterId,
    incarnation: Incarnation,
    claim: ClaimSeq,
}

/// Claims idempotency keys for one router incarnation.
#[derive(Debug, Clone)]
pub struct ClaimStore {
    client: KeyValueClient,
    own: Peer,
}

impl ClaimStore {
    /// Creates a store whose claims name `own` as their owner.
    pub fn new(client: KeyValueClient, own: Peer) -> Self {
        Self { client, own }
    }

    /// Claims a key, or returns the owner of an earlier claim.
    ///
    /// If the response is lost, the key is read back: the claim's own number shows whether the
    /// write took effect.
    pub async fn claim(
        &self,
        team: TeamId,
        key: &IdempotencyKey,
        claim: ClaimSeq,
    ) -> Result<Claimed, ClaimError> {
        let path = format!("{CLAIMS_PREFIX}/{team}/{}", key.as_str());
        let claim = Claim {
            router: self.own.router,
            incarnation: self.own.incarnation,
            claim,
        };
        let value = serde_json::to_vec(&claim).expect("a claim serializes to JSON");
        match self.client.put_if(&path, ModRevision(0), &value).await {
            Ok(true) => Ok(Claimed::Ours),
            Ok(false) | Err(KeyValueError::NoAnswer { .. }) => self.read_back(path, &claim).await,
            Err(error @ KeyValueError::Unreachable { .. }) => Err(error.into()),
        }
    }

    async fn read_back(&self, path: String, claim: &Claim) -> Result<Claimed, ClaimError> {
        let stored = self.client.get(&path).await?;
        let stored = stored.ok_or(ClaimError::Unconfirmed)?;
        let found: Claim =
            serde_json::from_slice(&stored.value).map_err(|error| ClaimError::Malformed {
                key: path,
                reason: error.to_string(),
            })?;
        if found == *claim {
            return Ok(Claimed::Ours);
        }
        Ok(Claimed::Other(Peer {
            router: found.router,
            incarnation: found.incarnation,
        }))
    }
}
