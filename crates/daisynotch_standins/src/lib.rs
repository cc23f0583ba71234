//! Stand-ins for the systems around the routers, for tests, `daisynotch demo` and
//! `daisynotch standin`.
//!
//! Each listens on its own port, by default a free loopback port. Most can inject faults.

mod engine;
mod host_list;
mod key_value;
mod plain;
mod proxy;
mod server;

pub use engine::{Engine, EngineFault, EngineSettings};
pub use host_list::{HostListStandin, StandinHost};
pub use key_value::{CallCounts, KeyValueStandin, VALUE_MAX_BYTES};
pub use plain::PlainService;
pub use proxy::SilencingProxy;
pub use server::StandinServer;
