//! The interpreter's link: JSON objects, one a line, bodies in base64.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::Deserialize;
use std::borrow::Cow;
use std::fmt;

/// The longest line that is taken.
pub const LINE: usize = 64 * 1024;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It succeeded.
    Complete,
    /// It failed.
    Error,
    /// It was stopped, or ended at a call as its request was over.
    Cancelled,
    /// Nothing was started, as the request was over.
    Unknown,
}

/// How warm the interpreter was when it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Warmth {
    /// Slow at first.
    Cold,
    /// At its full speed.
    Warm,
}

/// What the interpreter says. Words are slices of the line; bodies are decoded.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice<'a> {
    /// The answer to `CONNECT`.
    Banner {
        /// How warm it started.
        warmth: Warmth,
        /// Milliseconds since that start.
        ago_ms: f64,
    },
    /// A run is over.
    Value {
        /// The notice's number.
        index: u64,
        /// The request.
        task: Cow<'a, str>,
        /// How it ended.
        end: End,
        /// The result, of a run that succeeded.
        body: Vec<u8>,
    },
    /// A run waits for a call.
    Await {
        /// The notice's number.
        index: u64,
        /// The request.
        task: Cow<'a, str>,
        /// The body of the call.
        body: Vec<u8>,
    },
    /// The gauges.
    Tops {
        /// The tag of the question.
        nonce: Cow<'a, str>,
        /// In the order of the settings.
        readings: Vec<f64>,
    },
    /// A command was not carried out.
    Refused {
        /// Which kind of command.
        command: Cow<'a, str>,
        /// The request.
        task: Cow<'a, str>,
    },
    /// A remark.
    Trace {
        /// The notice's number.
        index: u64,
    },
}

/// Why a line makes no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Nonsense(String);

impl fmt::Display for Nonsense {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Nonsense {}

#[derive(Deserialize)]
struct Line<'a> {
    #[serde(borrow)]
    verb: Cow<'a, str>,
    #[serde(default)]
    index: Option<u64>,
    #[serde(borrow, default)]
    task: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    outcome: Option<Cow<'a, str>>,
    #[serde(default)]
    spent: f64,
    #[serde(borrow, default)]
    bytes: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    nonce: Option<Cow<'a, str>>,
    #[serde(default)]
    readings: Vec<f64>,
}

/// Where the first line of `bytes` ends, once it is whole.
pub fn line_end(bytes: &[u8]) -> Option<usize> {
    memchr::memchr(b'\n', bytes)
}

/// Reads one line, without its end.
pub fn read(line: &[u8]) -> Result<Notice<'_>, Nonsense> {
    let line: Line<'_> = serde_json::from_slice(line).map_err(|e| Nonsense(e.to_string()))?;
    let need = |what: &str| Nonsense(format!("{} without {what}", line.verb.escape_debug()));
    let index = line.index.ok_or_else(|| need("index"));
    let task = line.task.clone().ok_or_else(|| need("task"));
    let body = || {
        let text = line.bytes.as_deref().unwrap_or("");
        STANDARD
            .decode(text)
            .map_err(|e| Nonsense(format!("bytes are no base64: {e}")))
    };
    let outcome = line.outcome.as_deref();
    Ok(match &*line.verb {
        "BANNER" => Notice::Banner {
            warmth: match outcome {
                Some("chilly") => Warmth::Cold,
                Some("hot") => Warmth::Warm,
                _ => return Err(need("outcome")),
            },
            ago_ms: line.spent.max(0.0),
        },
        "VALUE" => Notice::Value {
            index: index?,
            task: task?,
            end: match outcome {
                Some("complete") => End::Complete,
                Some("error") => End::Error,
                Some("cancelled") => End::Cancelled,
                Some("unknown") => End::Unknown,
                _ => return Err(need("outcome")),
            },
            body: body()?,
        },
        "AWAIT" => Notice::Await {
            index: index?,
            task: task?,
            body: body()?,
        },
        "TOPS" => Notice::Tops {
            nonce: line.nonce.clone().ok_or_else(|| need("nonce"))?,
            readings: line.readings,
        },
        "ERROR" => Notice::Refused {
            command: line.outcome.clone().unwrap_or_default(),
            task: line.task.clone().unwrap_or_default(),
        },
        "TRACE" => Notice::Trace { index: index? },
        other => {
            return Err(Nonsense(format!(
                "no notice {:?}",
                other.chars().take(40).collect::<String>()
            )))
        }
    })
}

/// What the server says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command<'a> {
    /// Opens a link; the number is that of the last notice read.
    Connect(u64),
    /// Run a request.
    Apply {
        /// The request.
        task: &'a str,
        /// Its class.
        class: &'a str,
        /// Its body.
        body: &'a [u8],
    },
    /// Stop a run.
    Break(&'a str),
    /// Go on with a paused run.
    Continue(&'a str),
    /// The reply to the call that a run waits for.
    Resolve {
        /// The request.
        task: &'a str,
        /// The reply.
        body: &'a [u8],
    },
    /// Go on without the call.
    Stub {
        /// The request.
        task: &'a str,
        /// The number of the notice that asked for the call.
        index: u64,
    },
    /// Ask for the gauges.
    Top(u64),
}

/// Appends a command, line end included.
pub fn write(out: &mut Vec<u8>, command: Command<'_>) {
    match command {
        Command::Connect(n) => plain(out, format_args!(r#"{{"verb":"CONNECT","index":{n}}}"#)),
        Command::Apply { task, class, body } => {
            out.extend_from_slice(br#"{"verb":"APPLY","task":"#);
            text(out, task);
            out.extend_from_slice(br#","handler":"#);
            text(out, class);
            bytes(out, body);
        }
        Command::Break(task) => named(out, "BREAK", task),
        Command::Continue(task) => named(out, "CONTINUE", task),
        Command::Resolve { task, body } => {
            out.extend_from_slice(br#"{"verb":"RESOLVE","task":"#);
            text(out, task);
            bytes(out, body);
        }
        Command::Stub { task, index } => {
            out.extend_from_slice(br#"{"verb":"STUB","task":"#);
            text(out, task);
            plain(out, format_args!(r#","index":{index}}}"#));
        }
        Command::Top(nonce) => plain(out, format_args!(r#"{{"verb":"TOP","nonce":"{nonce}"}}"#)),
    }
    out.push(b'\n');
}

fn plain(out: &mut Vec<u8>, line: fmt::Arguments<'_>) {
    out.extend_from_slice(line.to_string().as_bytes());
}

fn named(out: &mut Vec<u8>, verb: &str, task: &str) {
    plain(out, format_args!(r#"{{"verb":"{verb}","task":"#));
    text(out, task);
    out.push(b'}');
}

/// A JSON string. Writing to a vector can't fail.
fn text(out: &mut Vec<u8>, word: &str) {
    if let Ok(json) = serde_json::to_vec(word) {
        out.extend_from_slice(&json);
    }
}

fn bytes(out: &mut Vec<u8>, body: &[u8]) {
    out.extend_from_slice(br#","bytes":""#);
    out.extend_from_slice(STANDARD.encode(body).as_bytes());
    out.extend_from_slice(br#""}"#);
}
