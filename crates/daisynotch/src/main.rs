//! `daisynotch`: the command-line tool for operators of a fleet.

mod args;
mod commands;
mod printer;

use std::process::ExitCode;

use args::{Arguments, Command};
use printer::Printer;

fn main() -> ExitCode {
    let arguments = match Arguments::from_env() {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("daisynotch: {error}");
            return ExitCode::from(args::EXIT_USAGE);
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("daisynotch: can't start the async runtime: {error}");
            return ExitCode::from(arguments.command.failure_exit_code());
        }
    };
    let printer = Printer::new(arguments.json);
    match runtime.block_on(run(arguments.command, &printer)) {
        Ok(exit_code) => exit_code,
        Err(error) => {
            eprintln!("daisynotch: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run(command: Command, printer: &Printer) -> Result<ExitCode, commands::CommandError> {
    match command {
        Command::Help => printer.text(args::HELP),
        Command::Check { source, key_value } => {
            commands::check::run(&source, key_value, printer).await?;
        }
        Command::CheckConfig(options) => {
            return commands::check_config::run(&options, printer).await;
        }
        Command::Diff { source, key_value } => {
            commands::diff::run(&source, key_value, printer).await?;
        }
        Command::Apply(options) => commands::apply::run(&options, printer).await?,
        Command::Get {
            selection,
            key_value,
        } => commands::get::run(selection.as_ref(), key_value, printer).await?,
        Command::History { key_value } => commands::history::run(key_value, printer).await?,
        Command::Status { router } => commands::status::run(router, printer).await?,
        Command::ReportBurn(options) => commands::report::run(&options, printer).await?,
        Command::Drain { router } => commands::drain::run(router, printer).await?,
        Command::Blocked { router } => commands::blocked::list(router, printer).await?,
        Command::Unblock { part, router } => {
            commands::blocked::unblock(&part, router, printer).await?;
        }
        Command::Evacuations { router } => commands::evacuations::run(router, printer).await?,
        Command::Standin { kind, listen } => {
            commands::standin::run(kind, listen, printer).await?;
        }
        Command::Trace { id, logs } => commands::trace::run(&id, &logs, printer)?,
        Command::Experiment { file, plot } => {
            commands::experiment::run(&file, plot.as_deref(), printer)?;
        }
        Command::Credential { token } => commands::credential::run(&token, printer),
        Command::Demo(options) => commands::demo::run(options, printer).await?,
    }
    Ok(ExitCode::SUCCESS)
}
