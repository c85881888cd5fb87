//! Plays heathspur's decisions to the simulator on standard input and output.
#![forbid(unsafe_code)]

use std::io::{stdin, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    match heathspur_simulator_adapter::serve(stdin().lock(), stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("heathspur-drill: {fault}");
            ExitCode::FAILURE
        }
    }
}
