//! The command line.

use crate::capture_options::CaptureOptions;
use crate::error::Error;
use crate::{config, cut, experiment, info, load_run, members, replay, requests};
use clap::{CommandFactory, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

const AFTER: &str = "\
Exit codes: 0 done; 1 a replay or a load lost a request or broke a rule, or a file is wrong; 2 a file or an argument can't \
be used; 3 the capture is damaged, and all before the place named was used.";

/// Tools beside the heathspur daemon.
#[derive(Debug, Parser)]
#[command(name = "heathspurctl", version, after_help = AFTER)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Captures: what is in them, parts of them, sending them again.
    #[command(subcommand)]
    Pcap(Pcap),
    /// Send requests at their intended times, by a plan, over HTTP/1.1 and HTTP/2.
    Load(load_run::Options),
    /// The view that a running daemon has of its fleet.
    Members(members::Options),
    /// Play faults on an emulated fleet, by a plan.
    Experiment(experiment::Options),
    /// The operator's file.
    #[command(subcommand)]
    Config(Config),
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
    /// Print the manual page.
    Man,
}

#[derive(Debug, Subcommand)]
enum Pcap {
    /// A summary: packets, connections, requests by class and status, latency, what was left out.
    Info(CaptureOptions),
    /// Each request, as a table or as lines of JSON.
    Requests(requests::Options),
    /// A capture of a part of another.
    Cut(cut::Options),
    /// Send the recorded requests again, with their recorded timing.
    Replay(Box<replay::Options>),
}

#[derive(Debug, Subcommand)]
enum Config {
    /// Read an operator's file, hold it against its schema, and say what is wrong.
    Check {
        /// The file.
        file: PathBuf,
        /// The memory of the process, in MiB, to hold limits against.
        #[arg(long, value_name = "MIB")]
        memory: Option<u64>,
    },
    /// Print the schema.
    Schema,
}

/// The whole program.
pub fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Pcap(Pcap::Info(source)) => info::run(&source),
        Command::Pcap(Pcap::Requests(options)) => requests::run(&options),
        Command::Pcap(Pcap::Cut(options)) => cut::run(&options),
        Command::Pcap(Pcap::Replay(options)) => replay::run(&options),
        Command::Load(options) => load_run::run(&options),
        Command::Members(options) => members::run(&options),
        Command::Experiment(options) => experiment::run(&options),
        Command::Config(Config::Check { file, memory }) => config::check(&file, memory),
        Command::Config(Config::Schema) => {
            print!("{}", heathspur_config::SCHEMA);
            Ok(())
        }
        Command::Completions { shell } => {
            let mut command = Cli::command();
            clap_complete::generate(shell, &mut command, "heathspurctl", &mut std::io::stdout());
            Ok(())
        }
        Command::Man => clap_mangen::Man::new(Cli::command())
            .render(&mut std::io::stdout())
            .map_err(Error::stdout),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heathspurctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
