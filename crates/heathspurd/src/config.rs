//! The platform's configuration file: listen address, peer addresses, resource limits and admission settings.

use heathspur::Settings;
use heathspur_server_core::reload::{self, ConfigView, IdentityMismatchError};
use heathspur_settings::{ProtocolNames, ServerSettings, WireSettings};
use serde::{Deserialize, Deserializer};
use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The environment variable that contains the path of the configuration file.
pub const PATH_VARIABLE: &str = "NODE_CONFIG";

/// Bytes in a MiB.
const MIB: usize = 1 << 20;

/// The configuration of a server.
#[derive(Clone, Debug)]
pub struct Config {
    /// The file that the configuration was read from, if any.
    pub file: Option<PathBuf>,
    /// The server's name in the registration service.
    pub name: String,
    /// The address on which the server accepts connections from load balancers.
    pub listen: SocketAddr,
    /// The address of the interpreter.
    pub interpreter: SocketAddr,
    /// The address of the registration service.
    pub registration: SocketAddr,
    /// The address of the proxy to the next tier; `None` for the last tier.
    pub store: Option<SocketAddr>,
    /// The seed of the controller's random numbers.
    pub seed: u64,
    /// The time from the signal to drain until the platform kills the process.
    pub stop_timeout: Duration,
    /// The memory limit of the process, in bytes.
    pub memory_bytes: usize,
    /// The limit on open file descriptors of the process.
    pub max_descriptors: usize,
    /// The settings of the admission controller.
    pub settings: Settings,
    /// The names used on the wire, as defined in the settings.
    pub names: ProtocolNames,
}

/// An error in the platform's configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment variable is not set.
    #[error(
        "environment variable {PATH_VARIABLE} is not set to the path of the configuration file"
    )]
    Unset,
    /// The file cannot be read.
    #[error("cannot read configuration file {}: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A field of the file is invalid.
    #[error("invalid configuration file {}: {invalid}", file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The invalid field.
        #[source]
        invalid: InvalidField,
    },
}

/// An invalid field of the configuration.
#[derive(Debug, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct InvalidField {
    /// The path of the field, such as `settings.services[1].name`.
    pub field: String,
    /// Why the field is invalid.
    pub reason: String,
}

/// The JSON document in the configuration file. [`Config`] explains the fields.
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

/// The resource limits that the platform imposes on the process.
#[derive(Deserialize)]
struct Limits {
    memory_mb: u64,
    sockets: usize,
}

/// Deserializes a string of hexadecimal digits.
fn hexadecimal<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = String::deserialize(deserializer)?;
    u64::from_str_radix(&text, 16).map_err(serde::de::Error::custom)
}

/// Returns the path of the configuration file from the environment.
pub fn path() -> Result<OsString, ConfigError> {
    std::env::var_os(PATH_VARIABLE).ok_or(ConfigError::Unset)
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

    /// Returns a reloaded configuration if it belongs to this server, and an error otherwise. The server's name,
    /// address and tier must be unchanged, and so must the names of the classes and tenants, and the classes'
    /// idempotency and deduplication windows. All other fields may change.
    pub fn check_identity(&self, other: Config) -> Result<Config, ConfigError> {
        match reload::check_identity(&self.view(), &other.view()) {
            Ok(()) => Ok(other),
            Err(IdentityMismatchError { field, reason }) => Err(ConfigError::Invalid {
                file: other.file.unwrap_or_default(),
                invalid: InvalidField { field, reason },
            }),
        }
    }

    /// Returns the fields of a reloaded configuration that differ from this one and take effect only at the next start.
    /// The seed and the settings that describe the state at a start are ignored: they differ with each start.
    pub fn restart_required_fields(&self, other: &Config) -> Vec<&'static str> {
        reload::restart_required_fields(&self.view(), &other.view())
    }

    /// Returns the fields that a reload compares.
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
