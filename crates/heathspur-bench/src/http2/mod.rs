//! Measurements of HTTP/2: drains, stalled readers, abuse, repeated keys over both protocols, and cost of a request.

mod abuse;
mod cost;
mod drain;
mod repeats;
mod stalled;

use crate::daemon::Daemon;
use crate::table::Table;
use heathspur_testkit::auto_stubs::InterpreterOptions;
use heathspur_testkit::prelude::program_path;
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::Command;

/// The server's memory limit (`memory_mb` of the configuration), in MiB.
const MEMORY_MB: u64 = 64;

/// Runs all measurements of HTTP/2, with `drains` drains.
pub fn measure(folder: &Path, baseline: &Path, drains: u64, table: &mut Table) {
    drain::measure(folder, drains, table);
    stalled::measure(folder, table);
    abuse::measure(folder, table);
    repeats::measure(folder, table);
    cost::measure(folder, baseline, table);
}

/// Writes an operator's file that enables HTTP/2, with the given elements inside `http2`.
fn write_operator_file(folder: &Path, name: &str, http2_elements: &str) -> PathBuf {
    let file = folder.join(format!("{name}.xml"));
    let text = format!(
        "<operator xmlns=\"urn:heathspur:operator:1\"><http2 listen=\"127.0.0.1:0\">{http2_elements}</http2></operator>"
    );
    std::fs::write(&file, text).unwrap_or_else(|e| {
        panic!(
            "failed to write the operator's file {}: {e}",
            file.display()
        )
    });
    file
}

/// Starts a server with HTTP/2 enabled and returns it with the address of that listener.
fn start(
    folder: &Path,
    name: &str,
    http2_elements: &str,
    interpreter_options: InterpreterOptions,
) -> (Daemon, std::net::SocketAddr) {
    let operator = write_operator_file(folder, name, http2_elements);
    let edit = |config: &mut Value| {
        config["limits"]["memory_mb"] = json!(MEMORY_MB);
        config["limits"]["sockets"] = json!(4096);
        // Enough for the retained results of thousands of keys: the memory limit of the machine isn't measured here.
        config["settings"]["family-info"]["key-kb"] = json!(0.5);
        config["settings"]["family-info"]["mem-limit-kb"] = json!(900_000.0);
    };
    let daemon = Daemon::start(
        Command::new(program_path("heathspurd")),
        folder,
        Some(&operator),
        interpreter_options,
        edit,
    );
    let address = daemon
        .http2_address
        .expect("HTTP/2 is enabled in the operator's file");
    (daemon, address)
}
