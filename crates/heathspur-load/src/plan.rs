//! The plan of a load test: targets, stages and classes, as an XML file with a schema.

use heathspur_config::units::{Size, Span};
use heathspur_config::{Error, InvalidValue};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// The schema of the file (XSD 1.0).
pub const SCHEMA: &str = include_str!("../plan.xsd");
/// The namespace of its elements.
pub const NAMESPACE: &str = "urn:heathspur:load:1";

/// A load test.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    #[serde(rename = "@xmlns", default)]
    xmlns: String,
    /// For what is drawn by lot.
    #[serde(rename = "@seed", default = "one")]
    pub seed: u64,
    /// A request that is not answered for so long is given up; 10 ms to 10 min.
    #[serde(rename = "@patience", default = "patience")]
    pub patience: Span,
    /// Requests open at once at most, over all targets; 1 to 100,000. What would be more is not sent, and counted.
    #[serde(rename = "@open", default = "open")]
    pub open: u32,
    /// Where requests go, by turns.
    #[serde(rename = "target", default)]
    pub targets: Vec<Target>,
    /// What is sent, one after another.
    #[serde(rename = "stage", default)]
    pub stages: Vec<Stage>,
    /// Kinds of requests.
    #[serde(rename = "class", default)]
    pub classes: Vec<Class>,
}

fn one() -> u64 {
    1
}

fn patience() -> Span {
    Span(std::time::Duration::from_secs(30))
}

fn open() -> u32 {
    10_000
}

/// A server, and how it is spoken to.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The protocol.
    #[serde(rename = "@protocol")]
    pub protocol: Protocol,
    /// Where it listens.
    #[serde(rename = "@address")]
    pub address: SocketAddr,
    /// Connections at most; 1 to 10,000.
    #[serde(rename = "@connections", default = "connections")]
    pub connections: u32,
    /// Its part of all requests, beside the others' parts; 1 to 1,000.
    #[serde(rename = "@part", default = "part")]
    pub part: u32,
}

fn connections() -> u32 {
    8
}

fn part() -> u32 {
    1
}

/// How a target is spoken to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub enum Protocol {
    /// One request at a time a connection.
    #[serde(rename = "http1")]
    Http1,
    /// Many at a time, by prior knowledge.
    #[serde(rename = "http2")]
    Http2,
}

/// A time with one rate.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// How long it lasts; up to 24 h.
    #[serde(rename = "@duration")]
    pub duration: Span,
    /// Requests a second in the mean; above 0, up to 100,000.
    #[serde(rename = "@rate")]
    pub rate: f64,
    /// How they follow each other.
    #[serde(rename = "@arrivals", default)]
    pub arrivals: Arrivals,
}

/// How requests follow each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Arrivals {
    /// At equal distances.
    Regular,
    /// As many independent callers would: distances are exponential.
    #[default]
    Poisson,
    /// In crowds with quiet between: distances are log-normal, with a deviation of 1.5 of their logarithm.
    Bursts,
}

/// A kind of requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name in the path.
    #[serde(rename = "@name")]
    pub name: String,
    /// Its part of all requests, beside the others' parts; 1 to 1,000.
    #[serde(rename = "@part", default = "part")]
    pub part: u32,
    /// Whether its requests carry an idempotency key.
    #[serde(rename = "@keyed", default)]
    pub keyed: bool,
    /// The part of its requests that is sent once more, with the same key and marked as a retry; 0 to 1.
    #[serde(rename = "@repeats", default)]
    pub repeats: f64,
    /// How long after the first try, in the mean; 1 ms to 10 min.
    #[serde(rename = "@repeat-after", default = "repeat_after")]
    pub repeat_after: Span,
    /// Bytes of a body; up to 64 KiB.
    #[serde(rename = "@body", default = "body")]
    pub body: Size,
    /// The tenant that is named, where servers have tenants.
    #[serde(rename = "@tenant", default)]
    pub tenant: Option<String>,
}

fn repeat_after() -> Span {
    Span(std::time::Duration::from_millis(200))
}

fn body() -> Size {
    Size(64)
}

impl Plan {
    /// Reads a file.
    ///
    /// # Errors
    /// The first mistake found, with its place.
    pub fn read(file: &Path) -> Result<Plan, Error> {
        Plan::parse(&heathspur_config::read_text(file, "load")?, file)
    }

    /// Reads a file's text; `file` is for the errors.
    ///
    /// # Errors
    /// The first mistake found, with its place.
    pub fn parse(text: &str, file: &Path) -> Result<Plan, Error> {
        heathspur_config::parse(text, file, "load", Plan::check)
    }

    fn check(&self) -> Result<(), InvalidValue> {
        let mistake = |path: String, what: &str| Err(InvalidValue::new(path, what));
        if self.xmlns != NAMESPACE {
            let what = format!(
                "the namespace `{}` where `{NAMESPACE}` is expected",
                self.xmlns
            );
            return mistake(String::new(), &what);
        }
        for (name, count) in [
            ("target", self.targets.len()),
            ("stage", self.stages.len()),
            ("class", self.classes.len()),
        ] {
            if !(1..=100).contains(&count) {
                return mistake(
                    String::new(),
                    &format!("1 to 100 elements `{name}` are expected"),
                );
            }
        }
        if !(10..=600_000).contains(&self.patience.0.as_millis()) {
            return mistake("@patience".into(), "10 ms to 10 min is expected");
        }
        if !(1..=100_000).contains(&self.open) {
            return mistake("@open".into(), "1 to 100000 is expected");
        }
        for (at, target) in self.targets.iter().enumerate() {
            if !(1..=10_000).contains(&target.connections) {
                return mistake(
                    format!("target[{at}].@connections"),
                    "1 to 10000 is expected",
                );
            }
            if !(1..=1_000).contains(&target.part) {
                return mistake(format!("target[{at}].@part"), "1 to 1000 is expected");
            }
        }
        for (at, stage) in self.stages.iter().enumerate() {
            if stage.duration.0.as_secs() > 86_400 {
                return mistake(format!("stage[{at}].@duration"), "24 h at most is expected");
            }
            if !(stage.rate > 0.0 && stage.rate <= 100_000.0) {
                return mistake(
                    format!("stage[{at}].@rate"),
                    "above 0, 100000 at most is expected",
                );
            }
        }
        for (at, class) in self.classes.iter().enumerate() {
            let path = |name: &str| format!("class[{at}].@{name}");
            let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
            if class.name.is_empty() || !class.name.bytes().all(plain) {
                return mistake(
                    path("name"),
                    "letters, digits, `-`, `_` and `.` are expected",
                );
            }
            if !(1..=1_000).contains(&class.part) {
                return mistake(path("part"), "1 to 1000 is expected");
            }
            if !(0.0..=1.0).contains(&class.repeats) {
                return mistake(path("repeats"), "0 to 1 is expected");
            }
            if !(1..=600_000).contains(&class.repeat_after.0.as_millis()) {
                return mistake(path("repeat-after"), "1 ms to 10 min is expected");
            }
            if class.body.0 > 64 << 10 {
                return mistake(path("body"), "64 KiB at most is expected");
            }
            if class
                .tenant
                .as_ref()
                .is_some_and(|t| t.is_empty() || !t.bytes().all(plain))
            {
                return mistake(
                    path("tenant"),
                    "letters, digits, `-`, `_` and `.` are expected",
                );
            }
        }
        Ok(())
    }
}
