//! Options of the commands that read a capture.

use clap::Args;
use std::path::PathBuf;

/// A capture and how it is read.
#[derive(Clone, Debug, Args)]
pub struct CaptureOptions {
    /// The capture: pcap or pcapng.
    pub file: PathBuf,
    /// Leave out segments with wrong checksums. Captures made on a sender are full of them.
    #[arg(long)]
    pub checksums: bool,
    /// A port of the server, for connections whose start was not captured. May be given more than once.
    #[arg(long = "server-port", value_name = "PORT")]
    pub server_ports: Vec<u16>,
    /// The field that names the tenant.
    #[arg(long, value_name = "FIELD", default_value = "X-Merchant")]
    pub tenant_field: String,
}
