//! The command-line interface.

use crate::capture_options::CaptureOptions;
use crate::error::Error;
use crate::{config, cut, experiment, info, load_test, members, replay, requests};
use clap::{CommandFactory, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

const EXIT_CODES_HELP: &str = "\
Exit codes: 0 success; 1 a replay or a load lost requests or violated a rule, or a checked file is invalid; 2 a file or \
an argument cannot be used; 3 a capture is damaged, and only the packets before the reported position were used.";

/// Command-line tools for the heathspur daemon
#[derive(Debug, Parser)]
#[command(name = "heathspurctl", version, after_help = EXIT_CODES_HELP)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Inspect, cut and replay packet captures
    #[command(subcommand)]
    Pcap(Pcap),
    /// Generate load over HTTP/1.1 and HTTP/2 according to a plan
    Load(load_test::Options),
    /// Show the membership view of a running daemon
    Members(members::Options),
    /// Inject faults into an emulated fleet according to a plan
    Experiment(experiment::Options),
    /// Check operator's files and print their schema
    #[command(subcommand)]
    Config(Config),
    /// Generate shell completions
    Completions {
        /// Shell to generate completions for
        shell: clap_complete::Shell,
    },
    /// Generate the manual page
    Man,
}

#[derive(Debug, Subcommand)]
enum Pcap {
    /// Print a summary: packets, connections, requests by class and status, latency, and skipped data
    Info(CaptureOptions),
    /// List the requests as a table or as JSON lines
    Requests(requests::Options),
    /// Copy a part of a capture into a new one
    Cut(cut::Options),
    /// Send the recorded requests to a server with their recorded timing
    Replay(Box<replay::Options>),
}

#[derive(Debug, Subcommand)]
enum Config {
    /// Check an operator's file and print the first error
    Check {
        /// Path of the file
        file: PathBuf,
        /// Check memory limits against a process memory of this many MiB
        #[arg(long, value_name = "MIB")]
        memory: Option<u64>,
    },
    /// Print the schema of the operator's file
    Schema,
}

/// Parses the command line, runs the command and returns its exit code.
pub fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Pcap(Pcap::Info(options)) => info::run(&options),
        Command::Pcap(Pcap::Requests(options)) => requests::run(&options),
        Command::Pcap(Pcap::Cut(options)) => cut::run(&options),
        Command::Pcap(Pcap::Replay(options)) => replay::run(&options),
        Command::Load(options) => load_test::run(&options),
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
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heathspurctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
