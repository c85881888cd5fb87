//! Configuration of the program's own log.

use crate::InvalidValue;
use serde::Deserialize;

const DEFAULT_LINES_PER_SECOND: u32 = 20;

/// The configuration of the program's own log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// The format of a line.
    #[serde(rename = "@format", default)]
    pub format: Format,
    /// The least severe level that is logged.
    #[serde(rename = "@level", default)]
    pub level: Level,
    /// The maximum number of lines per second, from 1 to 10,000; lines beyond it are suppressed and counted.
    #[serde(rename = "@lines-per-second", default = "default_lines_per_second")]
    pub lines_per_second: u32,
}

fn default_lines_per_second() -> u32 {
    DEFAULT_LINES_PER_SECOND
}

impl Default for Log {
    fn default() -> Log {
        Log {
            format: Format::default(),
            level: Level::default(),
            lines_per_second: DEFAULT_LINES_PER_SECOND,
        }
    }
}

impl Log {
    pub(crate) fn check(&self) -> Result<(), InvalidValue> {
        if (1..=10_000).contains(&self.lines_per_second) {
            return Ok(());
        }
        Err(InvalidValue::new(
            "log.@lines-per-second",
            "1 to 10000 is expected",
        ))
    }
}

/// The format of a line of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// The message, followed by the fields.
    #[default]
    Plain,
    /// One JSON object per line.
    Json,
}

/// The severity of a line of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Conditions that prevent the server from working.
    Error,
    /// Failures that the server recovers from.
    Warn,
    /// Changes of the server's state.
    #[default]
    Info,
    /// Individual events, for diagnosis.
    Debug,
}
