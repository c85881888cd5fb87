//! Messages from the interpreter.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::Deserialize;
use std::borrow::Cow;

/// The most characters of an unknown verb that an error contains.
const MAX_VERB_CHARS_IN_ERROR: usize = 40;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The run succeeded.
    Succeeded,
    /// The run failed.
    Failed,
    /// The run was stopped, or ended at a call because its request was already finished.
    Cancelled,
    /// The run was not started because its request was already finished.
    NotStarted,
}

/// Whether the interpreter was warm when it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Warmth {
    /// The interpreter started cold and is slow at first.
    Cold,
    /// The interpreter started warm and runs at full speed.
    Warm,
}

/// A message from the interpreter. Strings are slices of the line; bodies are decoded.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice<'a> {
    /// The reply to [`Command::Connect`](super::Command::Connect).
    Connected {
        /// Whether the interpreter started warm.
        warmth: Warmth,
        /// The time since the interpreter started, in milliseconds.
        uptime_ms: f64,
    },
    /// A run has ended.
    RunCompleted {
        /// The notice's number.
        index: u64,
        /// The request.
        request_id: Cow<'a, str>,
        /// How the run ended.
        outcome: RunOutcome,
        /// The result of a run that succeeded.
        body: Vec<u8>,
    },
    /// A run waits for a call.
    CallNeeded {
        /// The notice's number.
        index: u64,
        /// The request.
        request_id: Cow<'a, str>,
        /// The body of the call.
        body: Vec<u8>,
    },
    /// The values of the gauges.
    Gauges {
        /// The nonce of the query.
        nonce: Cow<'a, str>,
        /// The values, in the order in which the settings name the gauges.
        readings: Vec<f64>,
    },
    /// A command was rejected.
    CommandRejected {
        /// The command.
        command: RejectedCommand,
        /// The request.
        request_id: Cow<'a, str>,
    },
    /// A log message.
    Log {
        /// The notice's number.
        index: u64,
    },
}

/// The verb of [`Command::Run`](super::Command::Run).
const RUN_VERB: &str = "APPLY";
/// The verb of [`Command::QueryGauges`](super::Command::QueryGauges).
const QUERY_GAUGES_VERB: &str = "TOP";

/// The kind of a command that the interpreter rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RejectedCommand {
    /// The command that starts a run.
    Run,
    /// The query of the gauges.
    QueryGauges,
    /// Another command, with its verb as received.
    Other(String),
}

impl RejectedCommand {
    fn from_verb(verb: Cow<'_, str>) -> RejectedCommand {
        match verb.as_ref() {
            RUN_VERB => RejectedCommand::Run,
            QUERY_GAUGES_VERB => RejectedCommand::QueryGauges,
            _ => RejectedCommand::Other(verb.into_owned()),
        }
    }

    /// Returns the command's verb in the protocol.
    pub fn verb(&self) -> &str {
        match self {
            RejectedCommand::Run => RUN_VERB,
            RejectedCommand::QueryGauges => QUERY_GAUGES_VERB,
            RejectedCommand::Other(verb) => verb,
        }
    }
}

/// The reason why a line is not a notice.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The line is not a JSON object, or a field has an unexpected type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The verb is unknown.
    #[error("unknown verb {verb:?}")]
    UnknownVerb {
        /// The first characters of the verb.
        verb: String,
    },
    /// A field of the notice is missing or has an unknown value.
    #[error("{verb} has no valid field {field:?}")]
    InvalidField {
        /// The verb of the notice.
        verb: &'static str,
        /// The field.
        field: &'static str,
    },
    /// The body is not base64.
    #[error("field \"bytes\" is not base64: {0}")]
    Body(#[from] base64::DecodeError),
}

/// A notice with the field names of the protocol.
#[derive(Deserialize)]
struct WireNotice<'a> {
    #[serde(borrow)]
    verb: Cow<'a, str>,
    #[serde(default)]
    index: Option<u64>,
    #[serde(rename = "task", borrow, default)]
    request_id: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    outcome: Option<Cow<'a, str>>,
    #[serde(rename = "spent", default)]
    elapsed_ms: f64,
    #[serde(rename = "bytes", borrow, default)]
    body: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    nonce: Option<Cow<'a, str>>,
    #[serde(default)]
    readings: Vec<f64>,
}

/// Parses one line, without its line end.
///
/// # Errors
/// Returns an error if the line is not a JSON object with a known verb, or if a field of the notice is missing or
/// invalid.
pub fn parse_notice(line: &[u8]) -> Result<Notice<'_>, Error> {
    let notice: WireNotice<'_> = serde_json::from_slice(line)?;
    match &*notice.verb {
        "BANNER" => notice.into_connected(),
        "VALUE" => notice.into_run_completed(),
        "AWAIT" => notice.into_call_needed(),
        "TOPS" => notice.into_gauges(),
        "ERROR" => Ok(notice.into_command_rejected()),
        "TRACE" => notice.into_log(),
        unknown => Err(Error::UnknownVerb {
            verb: unknown.chars().take(MAX_VERB_CHARS_IN_ERROR).collect(),
        }),
    }
}

impl<'a> WireNotice<'a> {
    fn into_connected(self) -> Result<Notice<'a>, Error> {
        let warmth = match self.outcome.as_deref() {
            Some("chilly") => Warmth::Cold,
            Some("hot") => Warmth::Warm,
            _ => return Err(invalid_field("BANNER", "outcome")),
        };
        Ok(Notice::Connected {
            warmth,
            uptime_ms: self.elapsed_ms.max(0.0),
        })
    }

    fn into_run_completed(self) -> Result<Notice<'a>, Error> {
        const VERB: &str = "VALUE";
        let outcome = match self.outcome.as_deref() {
            Some("complete") => RunOutcome::Succeeded,
            Some("error") => RunOutcome::Failed,
            Some("cancelled") => RunOutcome::Cancelled,
            Some("unknown") => RunOutcome::NotStarted,
            _ => return Err(invalid_field(VERB, "outcome")),
        };
        Ok(Notice::RunCompleted {
            index: required(self.index, VERB, "index")?,
            request_id: required(self.request_id, VERB, "task")?,
            outcome,
            body: decode_body(self.body)?,
        })
    }

    fn into_call_needed(self) -> Result<Notice<'a>, Error> {
        const VERB: &str = "AWAIT";
        Ok(Notice::CallNeeded {
            index: required(self.index, VERB, "index")?,
            request_id: required(self.request_id, VERB, "task")?,
            body: decode_body(self.body)?,
        })
    }

    fn into_gauges(self) -> Result<Notice<'a>, Error> {
        Ok(Notice::Gauges {
            nonce: required(self.nonce, "TOPS", "nonce")?,
            readings: self.readings,
        })
    }

    fn into_command_rejected(self) -> Notice<'a> {
        Notice::CommandRejected {
            command: RejectedCommand::from_verb(self.outcome.unwrap_or_default()),
            request_id: self.request_id.unwrap_or_default(),
        }
    }

    fn into_log(self) -> Result<Notice<'a>, Error> {
        Ok(Notice::Log {
            index: required(self.index, "TRACE", "index")?,
        })
    }
}

fn invalid_field(verb: &'static str, field: &'static str) -> Error {
    Error::InvalidField { verb, field }
}

fn required<T>(value: Option<T>, verb: &'static str, field: &'static str) -> Result<T, Error> {
    value.ok_or(invalid_field(verb, field))
}

fn decode_body(body: Option<Cow<'_, str>>) -> Result<Vec<u8>, Error> {
    Ok(STANDARD.decode(body.as_deref().unwrap_or(""))?)
}
