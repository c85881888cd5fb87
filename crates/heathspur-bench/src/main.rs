//! Measurements on loopback, of the server and its tools, that take too long for tests.
//!
//! `measure pcap`, `measure http2` and `measure members` print their results and write them to a page. `measure cost`
//! runs one part of `measure pcap` and only prints its results. The program exits with 1 when a requirement isn't met or
//! the page can't be written.
#![forbid(unsafe_code)]

mod cost;
mod daemon;
mod damaged_capture;
mod http2;
mod large;
mod members;
mod table;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use table::Table;

/// Measurements on loopback.
#[derive(Debug, Parser)]
struct Cli {
    #[command(subcommand)]
    measurement: Measurement,
}

#[derive(Debug, Subcommand)]
enum Measurement {
    /// Reading, replaying and recording pcap files.
    Pcap {
        /// Path of an earlier server program; the cost of its requests is compared.
        #[arg(long)]
        baseline: PathBuf,
        /// Directory of the page and the charts.
        #[arg(long)]
        results: PathBuf,
        /// Size of the large capture file, in MiB.
        #[arg(long, default_value_t = 2048)]
        large: u64,
    },
    /// HTTP/2 on its own port.
    Http2 {
        /// Path of an earlier server program; the cost of its requests is compared.
        #[arg(long)]
        baseline: PathBuf,
        /// Directory of the page.
        #[arg(long)]
        results: PathBuf,
        /// Number of drains.
        #[arg(long, default_value_t = 20)]
        drains: u64,
    },
    /// SWIM membership: server processes on loopback, and emulated members.
    Members {
        /// Directory of the page and the charts.
        #[arg(long)]
        results: PathBuf,
    },
    /// CPU time and instructions of a request, without and with recording.
    Cost {
        /// Path of an earlier server program; the cost of its requests is compared.
        #[arg(long)]
        baseline: PathBuf,
    },
}

fn main() -> ExitCode {
    let measurement = Cli::parse().measurement;
    let folder = std::env::temp_dir().join(format!("heathspur-bench-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap_or_else(|e| {
        panic!(
            "failed to create the working directory {}: {e}",
            folder.display()
        )
    });
    let exit_code = match measurement {
        Measurement::Pcap {
            baseline,
            results,
            large: large_mib,
        } => {
            let mut table = Table::new("pcap");
            damaged_capture::measure(&folder, &results, &mut table);
            large::measure(&folder, large_mib << 20, &mut table);
            cost::measure_record_and_replay(&folder, &mut table);
            cost::measure(&folder, &baseline, &mut table);
            table.finish(&results)
        }
        Measurement::Http2 {
            baseline,
            results,
            drains,
        } => {
            let mut table = Table::new("http2");
            http2::measure(&folder, &baseline, drains, &mut table);
            table.finish(&results)
        }
        Measurement::Members { results } => {
            let mut table = Table::new("members");
            members::measure(&folder, &results, &mut table);
            table.finish(&results)
        }
        Measurement::Cost { baseline } => {
            let mut table = Table::new("cost");
            cost::measure(&folder, &baseline, &mut table);
            table.finish(&folder)
        }
    };
    let _ = std::fs::remove_dir_all(&folder);
    exit_code
}
