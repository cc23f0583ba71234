//! The `daisynotch-router` binary, which runs one router.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use daisynotch_adapter::PlatformAdapter;
use daisynotch_router::direct::{DirectError, DirectSettings};
use daisynotch_router::{Daemon, Settings, start_logging};
use log::LevelFilter;
use tokio::signal::unix::{SignalKind, signal};

const HELP: &str = "\
daisynotch-router: one router process

USAGE
    daisynotch-router [direct] --settings FILE

    direct            dispatch from load digests, without schedulers, on the
                      users' platform (docs/operations/direct-settings.md)

OPTIONS
    --settings FILE   the router's settings, in TOML
    --check           check the settings and end
    -h, --help        print this text

SIGTERM or SIGINT makes the router leave: it finishes every request first.
";

/// The exit code for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Usage(message)) => {
            eprintln!("daisynotch-router: {message}");
            ExitCode::from(EXIT_USAGE)
        }
        Err(Failure::Run(message)) => {
            eprintln!("daisynotch-router: {message}");
            ExitCode::FAILURE
        }
    }
}

enum Failure {
    Usage(String),
    Run(String),
}

fn run() -> Result<(), Failure> {
    let usage = |error: &dyn std::fmt::Display| Failure::Usage(error.to_string());
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let check_only = arguments.contains("--check");
    let command = arguments.subcommand().map_err(|error| usage(&error))?;
    let path: PathBuf = arguments
        .value_from_str("--settings")
        .map_err(|error| usage(&error))?;
    let rest = arguments.finish();
    if !rest.is_empty() {
        return Err(Failure::Usage(format!(
            "unknown arguments {rest:?}: see --help"
        )));
    }
    match command.as_deref() {
        None => run_scheduled(&path, check_only),
        Some("direct") => run_direct(&path, check_only),
        Some(other) => Err(Failure::Usage(format!(
            "unknown command `{other}`: see --help"
        ))),
    }
}

fn run_direct(path: &Path, check_only: bool) -> Result<(), Failure> {
    if check_only {
        DirectSettings::read(path).map_err(|error| Failure::Usage(error.to_string()))?;
        println!("{}: the settings are valid", path.display());
        return Ok(());
    }
    let platform = Arc::new(PlatformAdapter);
    daisynotch_router::direct::run(path, platform).map_err(|error| match error {
        DirectError::Settings(error) => Failure::Usage(error.to_string()),
        error => Failure::Run(error.to_string()),
    })
}

fn run_scheduled(path: &Path, check_only: bool) -> Result<(), Failure> {
    let usage = |error: &dyn std::fmt::Display| Failure::Usage(error.to_string());
    let settings = Settings::read(path).map_err(|error| usage(&error))?;
    if check_only {
        println!("{}: the settings are valid", path.display());
        return Ok(());
    }
    start_logging(settings.log_format, LevelFilter::Info);
    let runtime = tokio::runtime::Runtime::new();
    let runtime = runtime.map_err(|error| Failure::Run(error.to_string()))?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), Failure> {
    let failed = |error: &dyn std::fmt::Display| Failure::Run(error.to_string());
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| failed(&error))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| failed(&error))?;
    let mut daemon = Daemon::start(settings)
        .await
        .map_err(|error| failed(&error))?;
    log::info!("serving callers on {}", daemon.caller_address());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = daemon.leave_requested() => {}
    }
    daemon.drain().await;
    Ok(())
}
