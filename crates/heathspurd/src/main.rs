//! One real server: `NODE_CONFIG` names its configuration.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    heathspurd::main()
}
