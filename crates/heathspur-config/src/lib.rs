//! The operator's file: what an installation switches on beside what its platform tells.
//!
//! XML, described by the schema in [`SCHEMA`]. What is not in the file is off. Everything unknown is refused,
//! and every mistake names file, line, element and what was expected. The platform's own settings stay in
//! JSON and are not read here.
#![forbid(unsafe_code)]

mod failover;
mod http2;
mod locations;
mod members;
pub mod units;

pub use failover::{Failover, Replica};
pub use http2::{Http2, Memory, Patience, Request, Streams};
pub use members::{Members, Seed};

use locations::Places;
use serde::Deserialize;
use std::fmt;
use std::path::{Path, PathBuf};
use units::{Size, Span};

/// The schema of the file (XSD 1.0).
pub const SCHEMA: &str = include_str!("../../../deploy/operator.xsd");
/// The namespace of its elements.
pub const NAMESPACE: &str = "urn:heathspur:operator:1";
/// The longest file that is read, in bytes.
pub const LONGEST: u64 = 256 * 1024;

/// What the operator has switched on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    #[serde(rename = "@xmlns", default)]
    xmlns: String,
    /// The program's own log.
    #[serde(default)]
    pub log: Log,
    /// Recording of traffic to capture files, where it is on.
    #[serde(default)]
    pub record: Option<Record>,
    /// The port for HTTP/2, where it is on.
    #[serde(default)]
    pub http2: Option<Http2>,
    /// The fleet's view kept by the servers, where it is on.
    #[serde(default)]
    pub members: Option<Members>,
    /// Failover between zones, where it is on.
    #[serde(default)]
    pub failover: Option<Failover>,
}

/// The program's own log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// How a line looks.
    #[serde(rename = "@format", default)]
    pub format: Format,
    /// Lines less weighty than this are not written.
    #[serde(rename = "@level", default)]
    pub level: Level,
    /// Lines a second at most, from 1 to 10,000; what is more is counted.
    #[serde(rename = "@lines-per-second", default = "lines")]
    pub lines_per_second: u32,
}

fn lines() -> u32 {
    20
}

impl Default for Log {
    fn default() -> Log {
        Log {
            format: Format::Plain,
            level: Level::Info,
            lines_per_second: lines(),
        }
    }
}

/// How a line of the log looks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Words, with fields behind them.
    #[default]
    Plain,
    /// An object of JSON a line.
    Json,
}

/// How weighty a line of the log is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// What keeps the server from its work.
    Error,
    /// What goes wrong and is got over.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Single events, for finding a fault.
    Debug,
}

/// Recording to capture files.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The folder of the files. It must be there; nothing else should write to it.
    #[serde(rename = "@directory")]
    pub directory: PathBuf,
    /// How much of a message is kept.
    #[serde(rename = "@contents", default)]
    pub contents: Contents,
    /// Whether what is exchanged with the interpreter and the store is recorded as well.
    #[serde(rename = "@links", default)]
    pub links: bool,
    /// The files.
    #[serde(default)]
    pub files: Files,
    /// What recording may use.
    #[serde(default)]
    pub budget: Budget,
    /// Fields of messages whose values are overwritten.
    #[serde(default)]
    pub mask: Vec<Mask>,
}

/// How much of a message is kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Contents {
    /// Heads; of bodies only how long they are.
    #[default]
    Headers,
    /// Everything. Bodies may hold card data.
    Full,
}

/// The files of a recording.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Files {
    /// A file of this size is the last of its kind; 64 KiB to 16 GiB.
    #[serde(rename = "@size", default = "file_size")]
    pub size: Size,
    /// So is one of this age; 1 s to 24 h.
    #[serde(rename = "@age", default = "file_age")]
    pub age: Span,
    /// So many files are kept, the newest, from 1 to 10,000.
    #[serde(rename = "@keep", default = "file_keep")]
    pub keep: u32,
}

fn file_size() -> Size {
    Size(64 << 20)
}

fn file_age() -> Span {
    Span(std::time::Duration::from_secs(600))
}

fn file_keep() -> u32 {
    16
}

impl Default for Files {
    fn default() -> Files {
        Files {
            size: file_size(),
            age: file_age(),
            keep: file_keep(),
        }
    }
}

/// What recording may use of the machine.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Bytes that wait to be written; 64 KiB to 1 GiB, and a quarter of the process's memory at most.
    #[serde(rename = "@memory", default = "budget_memory")]
    pub memory: Size,
}

fn budget_memory() -> Size {
    Size(2 << 20)
}

impl Default for Budget {
    fn default() -> Budget {
        Budget {
            memory: budget_memory(),
        }
    }
}

/// A field whose value is overwritten in recordings.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mask {
    /// The field's name; capitals do not matter.
    #[serde(rename = "@header")]
    pub header: String,
}

/// Why the file can't be used.
#[derive(Debug)]
pub enum Fault {
    /// It can't be read.
    Unread(PathBuf, std::io::Error),
    /// Something in it is wrong.
    Wrong {
        /// The file.
        file: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The element, or its attribute as `element@attribute`.
        element: String,
        /// What is wrong, and what was expected.
        what: String,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Unread(file, e) => write!(f, "{}: {e}", file.display()),
            Fault::Wrong {
                file,
                line,
                element,
                what,
            } => {
                write!(f, "{}:{line}: {element}: {what}", file.display())
            }
        }
    }
}

impl std::error::Error for Fault {}

/// A mistake in the text: the path of an element or attribute, and what is wrong with it.
pub struct Mistake(pub String, pub String);

/// Reads the text of a file of ours, whose one element is `root`, and holds it against `check`.
///
/// # Errors
/// The first mistake found, with its place.
pub fn parse<T: for<'de> Deserialize<'de>>(
    text: &str,
    file: &Path,
    root: &'static str,
    check: impl FnOnce(&T) -> Result<(), Mistake>,
) -> Result<T, Fault> {
    let wrong = |(line, element): (usize, String), what| Fault::Wrong {
        file: file.to_path_buf(),
        line,
        element,
        what,
    };
    let places =
        Places::of(text, root).map_err(|(line, element, what)| wrong((line, element), what))?;
    let mut from = quick_xml::de::Deserializer::from_str(text);
    let read: Result<T, _> = serde_path_to_error::deserialize(&mut from);
    let read = read.map_err(|e| {
        let what = e.inner().to_string();
        wrong(
            places.find(&e.path().to_string(), &what),
            locations::plain(&what),
        )
    })?;
    check(&read).map_err(|Mistake(path, what)| wrong(places.find(&path, ""), what))?;
    Ok(read)
}

/// Reads a whole file, [`LONGEST`] at most.
///
/// # Errors
/// It can't be read, or is too long.
pub fn read_text(file: &Path, root: &'static str) -> Result<String, Fault> {
    let unread = |e| Fault::Unread(file.to_path_buf(), e);
    let length = std::fs::metadata(file).map_err(unread)?.len();
    if length > LONGEST {
        let what = format!("{length} bytes, where {LONGEST} at most are expected");
        return Err(Fault::Wrong {
            file: file.to_path_buf(),
            line: 1,
            element: root.into(),
            what,
        });
    }
    std::fs::read_to_string(file).map_err(unread)
}

impl Operator {
    /// Reads a file. `memory` is what the process may use, in bytes, where it is known already.
    ///
    /// # Errors
    /// The first mistake found, with its place.
    pub fn read(file: &Path, memory: Option<u64>) -> Result<Operator, Fault> {
        let text = read_text(file, "operator")?;
        Operator::parse(&text, file, memory)
    }

    /// Reads a file's text; `file` is for the errors.
    ///
    /// # Errors
    /// The first mistake found, with its place.
    pub fn parse(text: &str, file: &Path, memory: Option<u64>) -> Result<Operator, Fault> {
        parse(text, file, "operator", |operator: &Operator| {
            operator.check(memory)
        })
    }

    /// What the schema can't say, and the bounds of values with units.
    fn check(&self, memory: Option<u64>) -> Result<(), Mistake> {
        let mistake = |path: &str, what: String| Err(Mistake(path.to_string(), what));
        if self.xmlns != NAMESPACE {
            return mistake(
                "",
                format!(
                    "the namespace `{}` where `{NAMESPACE}` is expected",
                    self.xmlns
                ),
            );
        }
        if !(1..=10_000).contains(&self.log.lines_per_second) {
            return mistake("log.@lines-per-second", "1 to 10000 is expected".into());
        }
        if let Some(http2) = &self.http2 {
            http2.check(memory)?;
        }
        if let Some(members) = &self.members {
            members.check()?;
        }
        if let Some(failover) = &self.failover {
            failover.check(self.members.as_ref())?;
        }
        let Some(record) = &self.record else {
            return Ok(());
        };
        if record.directory.as_os_str().is_empty() {
            return mistake("record.@directory", "a folder is expected".into());
        }
        if record.links && record.contents != Contents::Full {
            // The interpreter's lines hold bodies in a coding of their own, which can't be overwritten in place.
            return mistake(
                "record.@links",
                "contents=\"full\" is expected beside it: links carry bodies".into(),
            );
        }
        let size = record.files.size;
        if !(64 << 10..=16 << 30).contains(&size.0) {
            return mistake(
                "record.files.@size",
                format!("{size} where 64 KiB to 16 GiB is expected"),
            );
        }
        if !(1..=86_400).contains(&record.files.age.0.as_secs()) {
            return mistake("record.files.@age", "1 s to 24 h is expected".into());
        }
        if !(1..=10_000).contains(&record.files.keep) {
            return mistake("record.files.@keep", "1 to 10000 is expected".into());
        }
        let budget = record.budget.memory;
        if !(64 << 10..=1 << 30).contains(&budget.0) {
            return mistake(
                "record.budget.@memory",
                format!("{budget} where 64 KiB to 1 GiB is expected"),
            );
        }
        if let Some(memory) = memory.filter(|memory| budget.0 > memory / 4) {
            let most = Size(memory / 4);
            let what = format!(
                "{budget} where {most} at most is expected, a quarter of the process's memory"
            );
            return mistake("record.budget.@memory", what);
        }
        for (at, mask) in record.mask.iter().enumerate() {
            let token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
            if mask.header.is_empty() || !mask.header.bytes().all(token) {
                let path = format!("record.mask[{at}].@header");
                return mistake(&path, "the name of a field is expected".into());
            }
        }
        Ok(())
    }
}
