//! What several commands are given, and how they fail.

use clap::Args;
use std::fmt;
use std::path::PathBuf;

/// A capture and how it is read.
#[derive(Clone, Debug, Args)]
pub struct Source {
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

/// Why a command could not be carried out.
#[derive(Debug)]
pub enum Fault {
    /// A file can't be read or written.
    File(PathBuf, std::io::Error),
    /// Anything else; the code is the exit code.
    Other(u8, String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::File(file, e) => write!(f, "{}: {e}", file.display()),
            Fault::Other(_, what) => f.write_str(what),
        }
    }
}

impl Fault {
    /// The exit code that says so.
    pub fn code(&self) -> u8 {
        match self {
            Fault::File(..) => 2,
            Fault::Other(code, _) => *code,
        }
    }
}
