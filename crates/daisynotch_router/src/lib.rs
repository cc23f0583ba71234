//! The router daemon: sockets, timers, settings, logs and metrics around the core.
//!
//! One task owns the core (`core_task`). Connections, peers and timers communicate with it
//! through channels; a task ends when its channel closes. `docs/ARCHITECTURE.md` follows a
//! request through these modules.

mod ack_guard;
mod api;
mod caller_stream;
mod clock;
mod configuration;
mod core_task;
mod daemon;
mod delimiter;
pub mod direct;
mod dispatch;
mod event_stream;
mod host_list;
mod links;
mod logging;
mod metrics;
mod operator;
mod relay;
mod server;
mod settings;
mod stall;
mod startup;
mod timer;

pub use api::OUTCOME_HEADER;
pub use daemon::{Daemon, DaemonError};
pub use logging::{LogFormat, start_logging};
pub use operator::{LiveRouter, OperatorRpcClient, RouterStatus, ScheduledShard};
pub use settings::{HttpLimits, PeerSettings, Settings, SettingsError};
pub use startup::ListenError;
