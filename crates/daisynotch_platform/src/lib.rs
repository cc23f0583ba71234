//! Clients for the platform: key-value service, host list and endpoints.
//!
//! Each client speaks a published protocol through an established library: the key-value
//! client the JSON form of the etcd v3 API, the endpoint client plain HTTP/1.1.
//! `docs/design/platform.md` lists what each client relies on.

mod claim_store;
mod config_store;
mod endpoint;
mod host_list;
mod key_value;
pub mod ports;

pub use claim_store::{ClaimError, ClaimStore, Claimed};
pub use config_store::{
    Change, ChangeId, ChangeRecord, ConfigStore, Conflict, HISTORY_MAX, Head, Published,
    StoreError, StoredHead, StoredObjects,
};
pub use endpoint::{ConnectionUse, EndpointClient, EndpointError, EndpointSettings};
pub use host_list::{HostListClient, HostListError};
pub use key_value::{
    CallObserver, CallResult, Condition, KeyValueClient, KeyValueError, KeyValueUse, ModRevision,
    StoredValue, Write,
};
