//! Runs the simulator adapter on standard input and output.
#![forbid(unsafe_code)]

use std::io::{stdin, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    match heathspur_simulator_adapter::serve(stdin().lock(), stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heathspur-drill: {error}");
            ExitCode::FAILURE
        }
    }
}
