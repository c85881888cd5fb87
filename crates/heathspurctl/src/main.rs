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
mod load_target;
mod load_test;
mod members;
mod recording;
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
