//! HTTP/2 on a further port: drains, stalled readers, abuse, repeats across protocols, cost.

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

/// Memory that the daemon is given, in MiB.
const MEMORY_MB: u64 = 64;

pub fn measure(folder: &Path, baseline: &Path, drains: u64, table: &mut Table) {
    drain::measure(folder, drains, table);
    stalled::measure(folder, table);
    abuse::measure(folder, table);
    repeats::measure(folder, table);
    cost::measure(folder, baseline, table);
}

fn operator(folder: &Path, name: &str, inner: &str) -> PathBuf {
    let file = folder.join(format!("{name}.xml"));
    let text = format!(
        "<operator xmlns=\"urn:heathspur:operator:1\"><http2 listen=\"127.0.0.1:0\">{inner}</http2></operator>"
    );
    std::fs::write(&file, text).expect("the operator's file is written");
    file
}

/// A daemon with the port on; its address there.
fn start(
    folder: &Path,
    name: &str,
    inner: &str,
    manner: InterpreterOptions,
) -> (Daemon, std::net::SocketAddr) {
    let operator = operator(folder, name, inner);
    let edit = |settings: &mut Value| {
        settings["limits"]["memory_mb"] = json!(MEMORY_MB);
        settings["limits"]["sockets"] = json!(4096);
        // Thousands of keys are kept for their window; what the machine holds is not what is measured here.
        settings["settings"]["family-info"]["key-kb"] = json!(0.5);
        settings["settings"]["family-info"]["mem-limit-kb"] = json!(900_000.0);
    };
    let daemon = Daemon::start(
        Command::new(program_path("heathspurd")),
        folder,
        Some(&operator),
        manner,
        edit,
    );
    let address = daemon.http2.expect("the port is on");
    (daemon, address)
}
