//! The configuration file: where the server listens, whom it talks to, its limits and its settings.

use heathspur::Settings;
use heathspur_server_core::reload::{self, ConfigView, ForeignConfigError};
use heathspur_settings::{ServerSettings, WireNames, WireSettings};
use serde::{Deserialize, Deserializer};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The variable that names the configuration file.
pub const VARIABLE: &str = "NODE_CONFIG";

/// What a server is told when it starts.
#[derive(Clone, Debug)]
pub struct Config {
    /// The file that it was read from, where there is one.
    pub file: Option<PathBuf>,
    /// Its name in the announce service.
    pub name: String,
    /// Where balancers connect.
    pub listen: SocketAddr,
    /// The interpreter.
    pub vm: SocketAddr,
    /// The announce service.
    pub announce: SocketAddr,
    /// The way to the next tier, for all tiers but the last.
    pub store: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Time from the notice to drain to the end of the process.
    pub stop: Duration,
    /// Memory of the process, in bytes.
    pub memory: usize,
    /// File descriptors of the process.
    pub sockets: usize,
    /// The settings in the module's terms.
    pub settings: Settings,
    /// The words of the wire that the settings give.
    pub names: WireNames,
}

/// Why the configuration can't be used.
#[derive(Debug)]
pub enum Fault {
    /// The variable is not set.
    Unset,
    /// The file can't be read.
    Unread(PathBuf, std::io::Error),
    /// Its text is wrong.
    Wrong {
        /// The file.
        file: PathBuf,
        /// The field, as a path.
        field: String,
        /// What is wrong with it.
        what: String,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Unset => write!(f, "{VARIABLE} names no configuration file"),
            Fault::Unread(file, e) => write!(f, "{}: {e}", file.display()),
            Fault::Wrong { file, field, what } => write!(f, "{}: {field}: {what}", file.display()),
        }
    }
}

impl std::error::Error for Fault {}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    vm: SocketAddr,
    announce: SocketAddr,
    #[serde(default)]
    store: Option<SocketAddr>,
    #[serde(deserialize_with = "hex")]
    seed: u64,
    stop_ms: u64,
    limits: Limits,
    settings: WireSettings,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: u64,
    sockets: usize,
}

fn hex<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let text = String::deserialize(from)?;
    u64::from_str_radix(&text, 16).map_err(serde::de::Error::custom)
}

/// The file that the environment names.
pub fn path() -> Result<std::ffi::OsString, Fault> {
    std::env::var_os(VARIABLE).ok_or(Fault::Unset)
}

impl Config {
    /// Gives a later one back where it is this server's: of its name, its address and its tier, and of a
    /// customer whose classes and tenants have the same names and whose keys hold in the same way. All else
    /// may change while the server stays the same one.
    pub fn check_own(&self, other: Config) -> Result<Config, Fault> {
        match reload::check_identity(&self.view(), &other.view()) {
            Ok(()) => Ok(other),
            Err(ForeignConfigError {
                field,
                reason: what,
            }) => Err(Fault::Wrong {
                file: other.file.unwrap_or_default(),
                field,
                what,
            }),
        }
    }

    fn view(&self) -> ConfigView<'_> {
        ConfigView {
            name: &self.name,
            listen: self.listen,
            store: self.store,
            stop_timeout: self.stop,
            memory_bytes: self.memory,
            file_descriptors: self.sockets,
            settings: &self.settings,
            classes: &self.names.classes,
            tenants: &self.names.tenants,
        }
    }

    /// The fields that hold from the start on and in which a later one of this server's differs. The seed is new
    /// with each start, and so is what the settings say of that moment.
    pub fn differs(&self, other: &Config) -> Vec<&'static str> {
        reload::restart_required_fields(&self.view(), &other.view())
    }

    /// Reads a file.
    pub fn read(file: &Path) -> Result<Config, Fault> {
        let text = std::fs::read(file).map_err(|e| Fault::Unread(file.to_path_buf(), e))?;
        match Config::parse(&text) {
            Ok(config) => Ok(Config {
                file: Some(file.to_path_buf()),
                ..config
            }),
            Err((field, what)) => Err(Fault::Wrong {
                file: file.to_path_buf(),
                field,
                what,
            }),
        }
    }

    /// Reads a file's text; the error is the path of a field and what is wrong there.
    pub fn parse(text: &[u8]) -> Result<Config, (String, String)> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let file: File = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| (e.path().to_string(), e.inner().to_string()))?;
        json.end().map_err(|e| (".".to_string(), e.to_string()))?;
        let ServerSettings {
            admission: settings,
            names,
        } = file.settings.into();
        Ok(Config {
            file: None,
            name: file.name,
            listen: file.listen,
            vm: file.vm,
            announce: file.announce,
            store: file.store,
            seed: file.seed,
            stop: Duration::from_millis(file.stop_ms),
            memory: (file.limits.memory_mb as usize).saturating_mul(1 << 20),
            sockets: file.limits.sockets,
            settings,
            names,
        })
    }
}

#[cfg(test)]
#[path = "../tests/unit/config.rs"]
mod tests;
