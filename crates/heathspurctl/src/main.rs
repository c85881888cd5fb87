//! `heathspurctl`: command-line tools for the heathspur daemon.
#![forbid(unsafe_code)]

mod capture_options;
mod charts;
mod cli;
mod config;
mod connection;
mod cut;
mod error;
mod experiment;
mod info;
mod load;
mod load_run;
mod load_target;
mod members;
mod replay;
mod report;
mod requests;
mod response_parser;
mod source;
mod table;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
