//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use pico_args::Arguments as Raw;

use crate::commands::demo::DemoOptions;
use crate::commands::standin::StandinKind;

/// The exit code for a wrong command line or objects with errors.
pub(crate) const EXIT_USAGE: u8 = 2;

/// The help text.
pub(crate) const HELP: &str = "\
daisynotch: operates a fleet of routers

USAGE
    daisynotch COMMAND [OPTIONS]

COMMANDS
    check FILE                       check objects as a whole
    apply FILE --key-value ADDRESS   check objects and publish them
    get --key-value ADDRESS          print the objects in force
    status --router ADDRESS          print what a router knows
    drain --router ADDRESS           make a router finish its requests and end
    credential TOKEN                 print a token's digest for the objects
    demo                             run a small fleet in this process
    standin KIND --listen ADDRESS    run a fake `key-value`, `engine` or `bookings`

OPTIONS
    --json                           print JSON
    --seconds N                      demo: how long callers send requests
    --seed N                         demo: the seed of the callers' choices
    -h, --help                       print this text

EXIT CODES
    0  done
    1  failed: the message says whether anything changed
    2  wrong command line, or objects with errors: nothing changed
    3  conflict: another operator published first, nothing changed
";

/// The demo's length when none is given.
const DEMO_SECONDS: u64 = 10;
/// The demo's seed when none is given.
const DEMO_SEED: u64 = 1;

/// What the operator asked for.
#[derive(Debug)]
pub(crate) enum Command {
    Help,
    Check {
        file: PathBuf,
    },
    Apply {
        file: PathBuf,
        key_value: SocketAddr,
    },
    Get {
        key_value: SocketAddr,
    },
    Status {
        router: SocketAddr,
    },
    Drain {
        router: SocketAddr,
    },
    Standin {
        kind: StandinKind,
        listen: SocketAddr,
    },
    Credential {
        token: String,
    },
    Demo(DemoOptions),
}

/// A parsed command line.
#[derive(Debug)]
pub(crate) struct Arguments {
    pub(crate) json: bool,
    pub(crate) command: Command,
}

/// Why a command line can't be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UsageError {
    #[error("{0}: see `daisynotch --help`")]
    Malformed(#[from] pico_args::Error),
    #[error("unknown command `{0}`: see `daisynotch --help`")]
    UnknownCommand(String),
    #[error("unknown arguments {0:?}: see `daisynotch --help`")]
    UnknownArguments(Vec<std::ffi::OsString>),
}

impl Arguments {
    /// Parses the arguments of the process.
    pub(crate) fn from_env() -> Result<Self, UsageError> {
        Self::parse(Raw::from_env())
    }

    fn parse(mut raw: Raw) -> Result<Self, UsageError> {
        if raw.contains(["-h", "--help"]) {
            let command = Command::Help;
            return Ok(Self {
                json: false,
                command,
            });
        }
        let json = raw.contains("--json");
        let command = match raw.subcommand()?.as_deref() {
            None | Some("help") => Command::Help,
            Some("check") => Command::Check {
                file: raw.free_from_str()?,
            },
            Some("apply") => Command::Apply {
                key_value: raw.value_from_str("--key-value")?,
                file: raw.free_from_str()?,
            },
            Some("get") => Command::Get {
                key_value: raw.value_from_str("--key-value")?,
            },
            Some("status") => Command::Status {
                router: raw.value_from_str("--router")?,
            },
            Some("drain") => Command::Drain {
                router: raw.value_from_str("--router")?,
            },
            Some("standin") => Command::Standin {
                listen: raw.value_from_str("--listen")?,
                kind: raw.free_from_str()?,
            },
            Some("credential") => Command::Credential {
                token: raw.free_from_str()?,
            },
            Some("demo") => Command::Demo(DemoOptions {
                seconds: raw.opt_value_from_str("--seconds")?.unwrap_or(DEMO_SECONDS),
                seed: raw.opt_value_from_str("--seed")?.unwrap_or(DEMO_SEED),
            }),
            Some(unknown) => return Err(UsageError::UnknownCommand(unknown.to_owned())),
        };
        let rest = raw.finish();
        if rest.is_empty() {
            Ok(Self { json, command })
        } else {
            Err(UsageError::UnknownArguments(rest))
        }
    }
}
