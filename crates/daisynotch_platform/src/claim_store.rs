//! Claims of the callers' own idempotency keys in the key-value service.
//!
//! A claim is one compare-and-swap against absence; the value names the router
//! incarnation that alone may run the key. See `docs/design/at-most-once.md`.

use daisynotch_core::{ClaimSeq, IdempotencyKey, Incarnation, Peer, RouterId, TeamId};
use serde::{Deserialize, Serialize};

use crate::key_value::{KeyValueClient, KeyValueError, ModRevision};

/// The beginning of the keys under which claims are stored.
const CLAIMS_PREFIX: &str = "daisynotch/claims";

/// Why nobody can say who holds a key.
#[derive(Debug, thiserror::Error)]
pub enum ClaimError {
    /// The service failed.
    #[error(transparent)]
    KeyValue(#[from] KeyValueError),
    /// A write was neither confirmed nor found when it was read back.
    #[error("the claim was written but could not be read back")]
    Unsettled,
    /// The stored value is not what this program writes.
    #[error("the claim at `{key}` can't be read: {reason}")]
    Malformed {
        /// Where it is stored.
        key: String,
        /// What is wrong.
        reason: String,
    },
}

/// Who holds a key.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum Claimed {
    /// This claim.
    Ours,
    /// Another claim, made by this incarnation.
    Other(Peer),
}

#[derive(Serialize, Deserialize, PartialEq, Eq)]
struct Claim {
    router: RouterId,
    incarnation: Incarnation,
    claim: ClaimSeq,
}

/// Claims keys for one router incarnation.
#[derive(Debug, Clone)]
pub struct ClaimStore {
    client: KeyValueClient,
    own: Peer,
}

impl ClaimStore {
    /// Uses a client of the service.
    pub fn new(client: KeyValueClient, own: Peer) -> Self {
        Self { client, own }
    }

    /// Claims a key, or finds out who did.
    ///
    /// When the answer is lost, the key is read back: the claim's own number says
    /// whether the write took effect.
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
        let value = serde_json::to_vec(&claim).expect("a claim is plain data");
        match self.client.put_if(&path, ModRevision(0), &value).await {
            Ok(true) => Ok(Claimed::Ours),
            Ok(false) | Err(KeyValueError::NoAnswer { .. }) => self.read_back(path, &claim).await,
            Err(error @ KeyValueError::Unreachable { .. }) => Err(error.into()),
        }
    }

    async fn read_back(&self, path: String, claim: &Claim) -> Result<Claimed, ClaimError> {
        let stored = self.client.get(&path).await?;
        let stored = stored.ok_or(ClaimError::Unsettled)?;
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
