//! The command line of the daemon.

use crate::config::{self, Config};
use crate::{logging, signals, startup, Error};
use clap::{Args, Parser, Subcommand};
use heathspur_config::Operator;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The text after the options in the output of `--help`.
const AFTER_HELP: &str = "\
The environment variable NODE_CONFIG must be set to the path of the platform's configuration file (JSON). Without \
arguments, heathspurd runs `serve`.

Exit codes:
  0  the server has drained and answered all requests, or `check` found no error
  1  the server could not start, for example because an address is in use
  2  a file or an argument is invalid";

/// Admission control and request scheduling for a server behind external load balancers.
#[derive(Debug, Parser)]
#[command(name = "heathspurd", version, after_help = AFTER_HELP)]
pub struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve requests until SIGTERM or SIGINT, then drain and exit.
    Serve(Files),
    /// Validate the configuration files, report the first error, and exit.
    Check(Files),
}

/// Options that name configuration files in addition to the one in `NODE_CONFIG`.
#[derive(Debug, Default, Args)]
struct Files {
    /// The operator's configuration file (XML; see deploy/operator.xml).
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

impl Files {
    /// Reads the platform's configuration and the operator's file.
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

/// Runs the command of the command line, and returns the exit code of the process.
pub(crate) fn main() -> ExitCode {
    match run(&parse_command()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heathspurd: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Parses the command line. Without arguments the parser is not called, which keeps its code pages out of the memory
/// of a small machine.
fn parse_command() -> Command {
    let parsed = match std::env::args_os().len() {
        0 | 1 => None,
        _ => Cli::parse().command,
    };
    parsed.unwrap_or(Command::Serve(Files::default()))
}

fn run(command: &Command) -> Result<(), Error> {
    match command {
        Command::Serve(files) => {
            // Subscribing before the files are read ensures that no signal is missed.
            let signals = signals::subscribe().map_err(Error::Signals)?;
            let (config, operator) = files.read()?;
            logging::install(&operator.log);
            startup::run(signals, config, operator)
        }
        Command::Check(files) => {
            files.read()?;
            println!("heathspurd: the configuration files are valid");
            Ok(())
        }
    }
}
