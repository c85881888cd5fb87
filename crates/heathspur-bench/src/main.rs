//! Measurements that are too long for tests. `measure pcap`: captures read, replayed and recorded.
#![forbid(unsafe_code)]

mod cost;
mod daemon;
mod http2;
mod large;
mod members;
mod storm;
mod table;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use table::Table;

/// Measurements on loopback.
#[derive(Debug, Parser)]
struct Cli {
    #[command(subcommand)]
    what: What,
}

#[derive(Debug, Subcommand)]
enum What {
    /// Traffic from pcap files.
    Pcap {
        /// The daemon as it was before, to compare the cost of a request with.
        #[arg(long)]
        baseline: PathBuf,
        /// Where tables and charts go.
        #[arg(long)]
        results: PathBuf,
        /// Size of the large file, in MiB.
        #[arg(long, default_value_t = 2048)]
        large: u64,
    },
    /// HTTP/2 on a further port.
    Http2 {
        /// The daemon as it was before, to compare the cost of a request with.
        #[arg(long)]
        baseline: PathBuf,
        /// Where the table goes.
        #[arg(long)]
        results: PathBuf,
        /// Drains that are played.
        #[arg(long, default_value_t = 20)]
        drains: u64,
    },
    /// The fleet's view: processes on loopback, and the emulator.
    Members {
        /// Where the table and charts go.
        #[arg(long)]
        results: PathBuf,
    },
    /// What a request costs the daemon, alone.
    Cost {
        /// The daemon as it was before.
        #[arg(long)]
        baseline: PathBuf,
    },
}

fn main() -> ExitCode {
    let what = Cli::parse().what;
    let folder = std::env::temp_dir().join(format!("heathspur-bench-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for the measurement's files");
    let done = match what {
        What::Pcap {
            baseline,
            results,
            large,
        } => {
            let mut table = Table::new("pcap");
            storm::measure(&folder, &results, &mut table);
            large::measure(&folder, large << 20, &mut table);
            cost::round(&folder, &mut table);
            cost::measure(&folder, &baseline, &mut table);
            table.finish(&results)
        }
        What::Http2 {
            baseline,
            results,
            drains,
        } => {
            let mut table = Table::new("http2");
            http2::measure(&folder, &baseline, drains, &mut table);
            table.finish(&results)
        }
        What::Members { results } => {
            let mut table = Table::new("members");
            members::measure(&folder, &results, &mut table);
            table.finish(&results)
        }
        What::Cost { baseline } => {
            let mut table = Table::new("cost");
            cost::measure(&folder, &baseline, &mut table);
            table.finish(&folder)
        }
    };
    let _ = std::fs::remove_dir_all(&folder);
    done
}
