//! The server program; see `heathspurd::main`.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    heathspurd::main()
}
