//! A router that dispatches requests on its own, on a platform that an adapter connects it to.
//!
//! All tasks run on one thread and share one state without locks. `docs/design/platform.md`
//! describes the programs, `docs/design/direct-dispatch.md` the decisions.

mod activity;
mod admin;
mod arrivals;
mod body;
mod caller_queue;
mod cold;
mod connections;
mod crash_check;
mod daemon;
mod directory;
mod evacuation;
mod event_log;
mod forward;
mod full_relay;
mod head_limit;
mod ingress;
mod inquiry;
mod key_trust;
mod last_answers;
mod listener;
mod metrics;
mod moves;
mod news;
mod peers;
mod relay_mode;
mod request_end;
mod response;
mod response_end;
mod send;
mod settings;
mod state;
mod stated_limits;
mod store_blocks;
mod store_client;
mod store_follower;
mod store_reach;
mod stream_relay;
mod unread;
mod unreadable;
mod witness;

pub use admin::BlockedParts;
pub use daemon::{DirectAddresses, DirectDaemon, DirectError, run};
pub use evacuation::EvacuatedZone;
pub use settings::{CredentialSettings, DirectSettings, RetrySettings};
