//! Small fakes of what surrounds the routers, for tests and for `daisynotch demo`.
//!
//! Each listens on a loopback port of its own and can be told to misbehave.

mod engine;
mod key_value;
mod plain;
mod server;

pub use engine::{Engine, EngineFault, EngineSettings};
pub use key_value::KeyValueStandin;
pub use plain::PlainService;
pub use server::StandinServer;
