//! Parses the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use pico_args::Arguments as RawArguments;

use daisynotch_objects::{ObjectRef, Revision};

use crate::commands::apply::ApplyOptions;
use crate::commands::check_config::{Baseline, CheckConfigOptions};
use crate::commands::demo::DemoOptions;
use crate::commands::edit_source::EditSource;
use crate::commands::get::Selection;
use crate::commands::report::BurnOptions;
use crate::commands::standin::StandinKind;

/// The exit code for an invalid command line or invalid objects.
pub(crate) const EXIT_USAGE: u8 = 2;

/// The text that `--help` prints.
pub(crate) const HELP: &str = "\
daisynotch: operates a fleet of routers

USAGE
    daisynotch COMMAND [OPTIONS]

COMMANDS
    check FILE                       check a file's objects as a whole
    check FILE --key-value ADDRESS   check what `apply` would publish
    check-config FILE [--in-force FILE | --store ADDRESS]
                                     check a configuration of the users' platform
                                     before it is sent, and print what it changes
    diff FILE --key-value ADDRESS    print what `apply` would change
    apply FILE --key-value ADDRESS   add and change the file's objects
    get [KIND[/NAME]] --key-value ADDRESS
                                     print the published objects
    history --key-value ADDRESS      print the latest changes
    status --router ADDRESS          print what a router knows
    drain --router ADDRESS           make a router finish its requests and end
    blocked --router ADDRESS         print the prompt parts that a router refuses
    unblock PART --router ADDRESS    make all routers accept a prompt part again
    evacuations --router ADDRESS     print the evacuated availability zones
    report burn --router ADDRESS... --key-value ADDRESS
                                     print error budgets and burn rates
    credential TOKEN                 print a token's digest for the objects
    trace ID LOG...                  join the log lines of routers on a request
    experiment FILE                  play a load with several policies in simulated time
    demo                             run a small fleet in this process
    standin KIND --listen ADDRESS    run a fake `key-value`, `engine` or `bookings`

OPTIONS
    --json                           print JSON
    --in-force FILE                  check-config: the configuration in force
    --store ADDRESS                  check-config: the platform's store, which holds
                                     the configuration in force and the endpoints
    --delete KIND/NAME               check, diff, apply: delete an object; may be
                                     repeated, and FILE may be left out
    --prune                          check, diff, apply: delete every object that
                                     FILE does not name
    --dry-run                        apply: check and print, change nothing
    --base REVISION                  apply: fail with a conflict unless this is
                                     the newest revision
    --author NAME                    apply: who makes the change; $USER if not given
    --summary TEXT                   apply: what the change is for
    --samples FILE                   report: a file of samples to keep and extend
    --html FILE                      report: write a page with the curves
    --plot FILE                      experiment: draw what each policy earned, in SVG
    --seconds N                      demo: how long callers send requests
    --seed N                         demo: the seed of the callers' choices
    -h, --help                       print this text

EXIT CODES
    0  done
    1  failed: nothing was changed
    2  wrong command line, or objects with errors: nothing was changed
    3  conflict: others published first, nothing was changed
    4  unknown: the change was sent and may have landed; `history` tells

EXIT CODES OF check-config
    0  the configuration is good
    1  it has warnings, but no errors
    2  it has errors, or could not be checked
";

/// The default of `demo --seconds`.
const DEMO_SECONDS: u64 = 10;
/// The default of `demo --seed`.
const DEMO_SEED: u64 = 1;

/// A subcommand with its arguments.
#[derive(Debug)]
pub(crate) enum Command {
    Help,
    Check {
        source: EditSource,
        key_value: Option<SocketAddr>,
    },
    CheckConfig(CheckConfigOptions),
    Diff {
        source: EditSource,
        key_value: SocketAddr,
    },
    Apply(ApplyOptions),
    Get {
        selection: Option<Selection>,
        key_value: SocketAddr,
    },
    History {
        key_value: SocketAddr,
    },
    Status {
        router: SocketAddr,
    },
    ReportBurn(BurnOptions),
    Drain {
        router: SocketAddr,
    },
    Blocked {
        router: SocketAddr,
    },
    Unblock {
        part: String,
        router: SocketAddr,
    },
    Evacuations {
        router: SocketAddr,
    },
    Standin {
        kind: StandinKind,
        listen: SocketAddr,
    },
    Credential {
        token: String,
    },
    Trace {
        id: String,
        logs: Vec<PathBuf>,
    },
    Experiment {
        file: PathBuf,
        plot: Option<PathBuf>,
    },
    Demo(DemoOptions),
}

impl Command {
    /// Returns the exit code if the command fails before it starts.
    pub(crate) fn failure_exit_code(&self) -> u8 {
        match self {
            // 1 means that the configuration has warnings only.
            Self::CheckConfig(_) => EXIT_USAGE,
            _ => 1,
        }
    }
}

/// The parsed command line.
#[derive(Debug)]
pub(crate) struct Arguments {
    pub(crate) json: bool,
    pub(crate) command: Command,
}

/// Why a command line is invalid.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UsageError {
    #[error("{0}: see `daisynotch --help`")]
    Malformed(#[from] pico_args::Error),
    #[error("unknown command `{0}`: see `daisynotch --help`")]
    UnknownCommand(String),
    #[error("unknown arguments {0:?}: see `daisynotch --help`")]
    UnknownArguments(Vec<std::ffi::OsString>),
    #[error("unknown report `{0}`: `daisynotch report burn` is the only one")]
    UnknownReport(String),
    #[error("no router is given: pass `--router ADDRESS` once for each router")]
    NoRouter,
    #[error("`--store` already names the configuration in force: leave out `--in-force`")]
    TwoBaselines,
    #[error("no objects are given: name a FILE, or use `--delete KIND/NAME`")]
    NoObjects,
    #[error("`--prune` already deletes every object that FILE does not name: leave out `--delete`")]
    PruneAndDelete,
    #[error("`--prune` needs a FILE that names the objects to keep")]
    PruneWithoutFile,
}

impl Arguments {
    /// Parses the process's command-line arguments.
    pub(crate) fn from_env() -> Result<Self, UsageError> {
        Self::parse(RawArguments::from_env())
    }

    fn parse(mut raw: RawArguments) -> Result<Self, UsageError> {
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
                key_value: raw.opt_value_from_str("--key-value")?,
                source: parse_edit_source(&mut raw)?,
            },
            Some("check-config") => Command::CheckConfig(parse_check_config_options(&mut raw)?),
            Some("diff") => Command::Diff {
                key_value: raw.value_from_str("--key-value")?,
                source: parse_edit_source(&mut raw)?,
            },
            Some("apply") => Command::Apply(parse_apply_options(&mut raw)?),
            Some("get") => Command::Get {
                key_value: raw.value_from_str("--key-value")?,
                selection: raw.opt_free_from_str()?,
            },
            Some("history") => Command::History {
                key_value: raw.value_from_str("--key-value")?,
            },
            Some("status") => Command::Status {
                router: raw.value_from_str("--router")?,
            },
            Some("report") => Command::ReportBurn(parse_burn_options(&mut raw)?),
            Some("drain") => Command::Drain {
                router: raw.value_from_str("--router")?,
            },
            Some("blocked") => Command::Blocked {
                router: raw.value_from_str("--router")?,
            },
            Some("unblock") => Command::Unblock {
                router: raw.value_from_str("--router")?,
                part: raw.free_from_str()?,
            },
            Some("evacuations") => Command::Evacuations {
                router: raw.value_from_str("--router")?,
            },
            Some("standin") => Command::Standin {
                listen: raw.value_from_str("--listen")?,
                kind: raw.free_from_str()?,
            },
            Some("credential") => Command::Credential {
                token: raw.free_from_str()?,
            },
            Some("trace") => {
                let id = raw.free_from_str()?;
                let mut logs: Vec<PathBuf> = vec![raw.free_from_str()?];
                while let Some(log) = raw.opt_free_from_str()? {
                    logs.push(log);
                }
                Command::Trace { id, logs }
            }
            Some("experiment") => {
                let plot = raw.opt_value_from_str("--plot")?;
                let file = raw.free_from_str()?;
                Command::Experiment { file, plot }
            }
            Some("demo") => Command::Demo(DemoOptions {
                seconds: raw.opt_value_from_str("--seconds")?.unwrap_or(DEMO_SECONDS),
                seed: raw.opt_value_from_str("--seed")?.unwrap_or(DEMO_SEED),
            }),
            Some(unknown) => return Err(UsageError::UnknownCommand(unknown.to_owned())),
        };
        let unused = raw.finish();
        if unused.is_empty() {
            Ok(Self { json, command })
        } else {
            Err(UsageError::UnknownArguments(unused))
        }
    }
}

fn parse_edit_source(raw: &mut RawArguments) -> Result<EditSource, UsageError> {
    let delete: Vec<ObjectRef> = raw.values_from_str("--delete")?;
    let prune = raw.contains("--prune");
    let file: Option<PathBuf> = raw.opt_free_from_str()?;
    match (&file, prune, delete.is_empty()) {
        (_, true, false) => Err(UsageError::PruneAndDelete),
        (None, true, true) => Err(UsageError::PruneWithoutFile),
        (None, false, true) => Err(UsageError::NoObjects),
        _ => Ok(EditSource {
            file,
            delete: delete.into_iter().collect(),
            prune,
        }),
    }
}

fn parse_check_config_options(raw: &mut RawArguments) -> Result<CheckConfigOptions, UsageError> {
    let in_force: Option<PathBuf> = raw.opt_value_from_str("--in-force")?;
    let store: Option<SocketAddr> = raw.opt_value_from_str("--store")?;
    let baseline = match (in_force, store) {
        (None, None) => Baseline::None,
        (Some(path), None) => Baseline::File(path),
        (None, Some(address)) => Baseline::Store(address),
        (Some(_), Some(_)) => return Err(UsageError::TwoBaselines),
    };
    let file = raw.free_from_str()?;
    Ok(CheckConfigOptions { file, baseline })
}

fn parse_apply_options(raw: &mut RawArguments) -> Result<ApplyOptions, UsageError> {
    let user_name = || std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned());
    let author: Option<String> = raw.opt_value_from_str("--author")?;
    let summary: Option<String> = raw.opt_value_from_str("--summary")?;
    let base: Option<Revision> = raw.opt_value_from_str("--base")?;
    Ok(ApplyOptions {
        key_value: raw.value_from_str("--key-value")?,
        dry_run: raw.contains("--dry-run"),
        base,
        author: author.unwrap_or_else(user_name),
        summary: summary.unwrap_or_default(),
        source: parse_edit_source(raw)?,
    })
}

fn parse_burn_options(raw: &mut RawArguments) -> Result<BurnOptions, UsageError> {
    let routers: Vec<SocketAddr> = raw.values_from_str("--router")?;
    let options = BurnOptions {
        routers,
        key_value: raw.value_from_str("--key-value")?,
        samples: raw.opt_value_from_str("--samples")?,
        html: raw.opt_value_from_str("--html")?,
    };
    if options.routers.is_empty() {
        return Err(UsageError::NoRouter);
    }
    match raw.subcommand()?.as_deref() {
        Some("burn") => Ok(options),
        other => Err(UsageError::UnknownReport(other.unwrap_or("").to_owned())),
    }
}

#[cfg(test)]
mod tests;
