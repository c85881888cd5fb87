//! Options of the commands that read a capture.

use clap::Args;
use std::path::PathBuf;

/// A capture and the options for reading it.
#[derive(Clone, Debug, Args)]
pub struct CaptureOptions {
    /// Path of the capture, in pcap or pcapng format
    pub file: PathBuf,
    /// Skip segments with wrong checksums, which are common in captures made on the sending machine
    #[arg(long)]
    pub checksums: bool,
    /// Server port, to tell client from server where the start of a connection was not captured; can be repeated
    #[arg(long = "server-port", value_name = "PORT")]
    pub server_ports: Vec<u16>,
    /// Header field that contains the tenant
    #[arg(long, value_name = "FIELD", default_value = "X-Merchant")]
    pub tenant_field: String,
}
