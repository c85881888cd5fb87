//! The command line of the daemon.

use crate::config::{self, Config};
use crate::{logging, signals, startup, Error};
use clap::{Args, Parser, Subcommand};
use heathspur_config::Operator;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The end of `--help`.
const AFTER_HELP: &str = "\
NODE_CONFIG names the platform's configuration, a JSON file. Without arguments the server serves.

Exit codes: 0 drained, all requests answered (or: the files can be used); 1 an address can't be listened on, or \
signals can't be received; 2 a file or an argument can't be used.";

/// Admission control and scheduling for a server behind load balancers of others.
#[derive(Debug, Parser)]
#[command(name = "heathspurd", version, after_help = AFTER_HELP)]
pub struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve until a signal to drain.
    Serve(Files),
    /// Check the files, report the first error, and exit.
    Check(Files),
}

/// The files beside the platform's configuration.
#[derive(Debug, Default, Args)]
struct Files {
    /// The operator's file (XML; see deploy/operator.xml).
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

impl Files {
    fn read(&self) -> Result<(Config, Operator), Error> {
        let path = config::path()?;
        let config = Config::read(Path::new(&path))?;
        let operator = match &self.operator {
            Some(file) => Operator::read(file, Some(config.memory_bytes as u64))?,
            None => Operator::default(),
        };
        Ok((config, operator))
    }
}

/// The whole program.
pub(crate) fn main() -> ExitCode {
    match run(&command()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heathspurd: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// The command of the command line. Without arguments nothing is parsed: the parser's pages stay out of a small
/// machine's memory.
fn command() -> Command {
    let parsed = match std::env::args_os().len() {
        0 | 1 => None,
        _ => Cli::parse().command,
    };
    parsed.unwrap_or(Command::Serve(Files::default()))
}

fn run(command: &Command) -> Result<(), Error> {
    match command {
        Command::Serve(files) => {
            // Signals are caught before the files are read, so that none of them is missed.
            let signals = signals::subscribe().map_err(Error::Signals)?;
            let (config, operator) = files.read()?;
            logging::install(&operator.log);
            startup::run(signals, config, operator)
        }
        Command::Check(files) => {
            files.read()?;
            println!("heathspurd: the files can be used");
            Ok(())
        }
    }
}
