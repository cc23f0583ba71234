//! Small fakes of what surrounds the routers, for tests and for `daisynotch demo`.
//!
//! Each listens on a loopback port of its own and can be told to misbehave.

mod engine;
mod host_list;
mod key_value;
mod plain;
mod server;

pub use engine::{Engine, EngineFault, EngineSettings};
pub use host_list::{HostListStandin, StandinHost};
pub use key_value::{CallCounts, KeyValueStandin, VALUE_MAX_BYTES};
pub use plain::PlainService;
pub use server::StandinServer;
