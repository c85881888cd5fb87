//! The platform's configuration file: where the server listens, its peers, its limits and its settings.

use heathspur::Settings;
use heathspur_server_core::reload::{self, ConfigView, IdentityMismatchError};
use heathspur_settings::{ServerSettings, WireNames, WireSettings};
use serde::{Deserialize, Deserializer};
use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The environment variable that names the configuration file.
pub const VARIABLE: &str = "NODE_CONFIG";

/// Bytes in a MiB.
const MIB: usize = 1 << 20;

/// The configuration of a server.
#[derive(Clone, Debug)]
pub struct Config {
    /// The file that it was read from, where there is one.
    pub file: Option<PathBuf>,
    /// The server's name in the registration service.
    pub name: String,
    /// Where load balancers connect.
    pub listen: SocketAddr,
    /// The address of the interpreter.
    pub interpreter: SocketAddr,
    /// The address of the registration service.
    pub registration: SocketAddr,
    /// The address of the proxy to the next tier, for all tiers but the last.
    pub store: Option<SocketAddr>,
    /// Seeds random numbers.
    pub seed: u64,
    /// From the signal to drain to the end of the process.
    pub stop_timeout: Duration,
    /// The memory limit of the process, in bytes.
    pub memory_bytes: usize,
    /// The limit of file descriptors of the process.
    pub max_descriptors: usize,
    /// The settings of the admission controller.
    pub settings: Settings,
    /// The names on the wire that the settings give.
    pub names: WireNames,
}

/// The configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment variable is not set.
    #[error("{variable} names no configuration file", variable = VARIABLE)]
    Unset,
    /// The file can't be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// A field of the file is invalid.
    #[error("{}: {invalid}", file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The field.
        #[source]
        invalid: InvalidField,
    },
}

/// A field of the configuration is invalid.
#[derive(Debug, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct InvalidField {
    /// The field, as a path.
    pub field: String,
    /// Why it is invalid.
    pub reason: String,
}

/// The file as it is written.
#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    #[serde(rename = "vm")]
    interpreter: SocketAddr,
    #[serde(rename = "announce")]
    registration: SocketAddr,
    #[serde(default)]
    store: Option<SocketAddr>,
    #[serde(deserialize_with = "hexadecimal")]
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

fn hexadecimal<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let text = String::deserialize(from)?;
    u64::from_str_radix(&text, 16).map_err(serde::de::Error::custom)
}

/// The path of the configuration file, from the environment.
pub fn path() -> Result<OsString, ConfigError> {
    std::env::var_os(VARIABLE).ok_or(ConfigError::Unset)
}

impl Config {
    /// Reads a configuration file.
    pub fn read(file: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read(file).map_err(|source| ConfigError::Read {
            file: file.to_path_buf(),
            source,
        })?;
        match Config::parse(&text) {
            Ok(config) => Ok(Config {
                file: Some(file.to_path_buf()),
                ..config
            }),
            Err(invalid) => Err(ConfigError::Invalid {
                file: file.to_path_buf(),
                invalid,
            }),
        }
    }

    /// Parses the text of a configuration file.
    pub fn parse(text: &[u8]) -> Result<Config, InvalidField> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let file: File =
            serde_path_to_error::deserialize(&mut json).map_err(|error| InvalidField {
                field: error.path().to_string(),
                reason: error.inner().to_string(),
            })?;
        json.end().map_err(|error| InvalidField {
            field: ".".to_string(),
            reason: error.to_string(),
        })?;
        let ServerSettings {
            admission: settings,
            names,
        } = file.settings.into();
        Ok(Config {
            file: None,
            name: file.name,
            listen: file.listen,
            interpreter: file.interpreter,
            registration: file.registration,
            store: file.store,
            seed: file.seed,
            stop_timeout: Duration::from_millis(file.stop_ms),
            memory_bytes: (file.limits.memory_mb as usize).saturating_mul(MIB),
            max_descriptors: file.limits.sockets,
            settings,
            names,
        })
    }

    /// Checks that a later configuration is this server's, and returns it. The server's name, address and tier have to
    /// be the same, and the customer's classes and tenants with their names and idempotency; all else may change.
    pub fn check_own(&self, other: Config) -> Result<Config, ConfigError> {
        match reload::check_identity(&self.view(), &other.view()) {
            Ok(()) => Ok(other),
            Err(IdentityMismatchError { field, reason }) => Err(ConfigError::Invalid {
                file: other.file.unwrap_or_default(),
                invalid: InvalidField { field, reason },
            }),
        }
    }

    /// The fields in which a later configuration of this server differs and that apply only from the next start. The
    /// seed and what the settings say of the moment of a start are not among them.
    pub fn differs(&self, other: &Config) -> Vec<&'static str> {
        reload::restart_required_fields(&self.view(), &other.view())
    }

    fn view(&self) -> ConfigView<'_> {
        ConfigView {
            name: &self.name,
            listen: self.listen,
            store: self.store,
            stop_timeout: self.stop_timeout,
            memory_bytes: self.memory_bytes,
            file_descriptors: self.max_descriptors,
            settings: &self.settings,
            classes: &self.names.classes,
            tenants: &self.names.tenants,
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/config.rs"]
mod tests;
