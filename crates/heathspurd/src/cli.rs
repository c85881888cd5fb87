//! The command line of the daemon.

use crate::config::{self, Config};
use crate::{logging, signals, Fault};
use clap::{Args, Parser, Subcommand};
use heathspur_config::Operator;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What stands below the options of `--help`.
const AFTER: &str = "\
NODE_CONFIG names the platform's configuration, a file of JSON. Without arguments the server serves.

Exit codes: 0 left after the notice, all answered (or: the files can be used); 1 the address can't be listened \
on, or signals can't be heard; 2 a file or an argument can't be used.";

/// Admission and scheduling for a server behind balancers that somebody else runs.
#[derive(Debug, Parser)]
#[command(name = "heathspurd", version, after_help = AFTER)]
pub struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve until the notice to leave.
    Serve(Files),
    /// Read the files, say what is wrong with them, and end.
    Check(Files),
}

/// The files beside the platform's.
#[derive(Debug, Default, Args)]
struct Files {
    /// The operator's file (XML; see deploy/operator.xml).
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

impl Files {
    fn read(&self) -> Result<(Config, Operator), Fault> {
        let path = config::path().map_err(Fault::Config)?;
        let config = Config::read(Path::new(&path)).map_err(Fault::Config)?;
        let operator = match &self.operator {
            Some(file) => {
                Operator::read(file, Some(config.memory as u64)).map_err(Fault::Operator)?
            }
            None => Operator::default(),
        };
        Ok((config, operator))
    }
}

/// The whole program.
pub(crate) fn main() -> ExitCode {
    // Without arguments nothing is parsed: the parser's pages stay out of a small machine's memory.
    let command = match std::env::args_os().len() {
        0 | 1 => None,
        _ => Cli::parse().command,
    };
    let command = command.unwrap_or(Command::Serve(Files::default()));
    let done = match &command {
        Command::Serve(files) => signals::notices()
            .map_err(Fault::Signals)
            .and_then(|signals| {
                let (config, operator) = files.read()?;
                logging::install(&operator.log);
                crate::serve_from(signals, config, operator)
            }),
        Command::Check(files) => files
            .read()
            .map(|_| println!("heathspurd: the files can be used")),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("heathspurd: {fault}");
            ExitCode::from(fault.code())
        }
    }
}
