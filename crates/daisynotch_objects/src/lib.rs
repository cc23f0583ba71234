//! The named configuration objects that operators define: schema, references and validation.
//!
//! Operators write objects in TOML; `docs/operations/objects.md` describes each
//! field. This crate performs no I/O: it parses text into [`Objects`] and validates
//! the complete set, including references, before anything is published.

mod check;
mod credential;
mod document;
mod edit;
mod error;
mod ids;
mod names;
mod snapshot;

pub use check::check;
pub use credential::CredentialDigest;
pub use document::{
    Endpoint, Fencing, Limits, Objects, Pool, PoolKind, Route, ServiceLevel, Share, Team,
};
pub use edit::{ChangeKind, Edit, EditError, FieldChange, ObjectChange, ObjectRefError, diff};
pub use error::{CheckError, ObjectKind, ObjectRef, ParseError};
pub use ids::{EndpointId, PoolId, Revision, RouterId, TeamId, ZoneId};
pub use names::{
    EndpointName, LimitsName, NameError, PoolName, RouteName, RouterName, ServiceLevelName,
    ShareName, TeamName, ZoneName,
};
pub use snapshot::{Bucket, Chunk, ContentDigest, ContentDigestError, Snapshot, SnapshotError};
