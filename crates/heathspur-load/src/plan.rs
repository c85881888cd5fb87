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
    /// Seed of all random draws.
    #[serde(rename = "@seed", default = "one")]
    pub seed: u64,
    /// Time after which the client gives up on a request; 10 ms to 10 min.
    #[serde(rename = "@patience", default = "patience")]
    pub client_timeout: Span,
    /// Maximum number of requests open at once, over all targets; 1 to 100,000. Further ones are counted, not sent.
    #[serde(rename = "@open", default = "open")]
    pub max_open_requests: u32,
    /// The servers under test; requests are spread over them by weight.
    #[serde(rename = "target", default)]
    pub targets: Vec<Target>,
    /// The stages of the load, in order of time.
    #[serde(rename = "stage", default)]
    pub stages: Vec<Stage>,
    /// The classes of requests.
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

/// A server under test.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The protocol.
    #[serde(rename = "@protocol")]
    pub protocol: Protocol,
    /// The address it listens on.
    #[serde(rename = "@address")]
    pub address: SocketAddr,
    /// Maximum number of connections; 1 to 10,000.
    #[serde(rename = "@connections", default = "connections")]
    pub connections: u32,
    /// Weight of its share of all requests; 1 to 1,000.
    #[serde(rename = "@part", default = "part")]
    pub weight: u32,
}

fn connections() -> u32 {
    8
}

fn part() -> u32 {
    1
}

/// The protocol of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub enum Protocol {
    /// HTTP/1.1: one request at a time on each connection.
    #[serde(rename = "http1")]
    Http1,
    /// HTTP/2 with prior knowledge: many requests at a time on each connection.
    #[serde(rename = "http2")]
    Http2,
}

/// A period with a constant mean rate.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Its duration; up to 24 h.
    #[serde(rename = "@duration")]
    pub duration: Span,
    /// Mean number of first attempts per second; above 0, up to 100,000.
    #[serde(rename = "@rate")]
    pub rate: f64,
    /// Distribution of the gaps between requests.
    #[serde(rename = "@arrivals", default)]
    pub arrivals: Arrivals,
}

/// Distribution of the gaps between requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Arrivals {
    /// Equal gaps.
    Regular,
    /// Exponential gaps, as from many independent callers.
    #[default]
    Poisson,
    /// Log-normal gaps whose logarithm has a standard deviation of 1.5: bursts with pauses between them.
    Bursts,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name in the path.
    #[serde(rename = "@name")]
    pub name: String,
    /// Weight of its share of all requests; 1 to 1,000.
    #[serde(rename = "@part", default = "part")]
    pub weight: u32,
    /// Whether its requests carry an idempotency key.
    #[serde(rename = "@keyed", default)]
    pub keyed: bool,
    /// Share of its requests that is retried once, with the same key and marked as a retry; 0 to 1.
    #[serde(rename = "@repeats", default)]
    pub retry_share: f64,
    /// Mean delay of a retry after the first attempt; 1 ms to 10 min.
    #[serde(rename = "@repeat-after", default = "repeat_after")]
    pub retry_delay: Span,
    /// Size of the body; up to 64 KiB.
    #[serde(rename = "@body", default = "body")]
    pub body_size: Size,
    /// The tenant that requests name, for servers with tenants.
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
    /// Reads and checks a plan file.
    ///
    /// # Errors
    /// Returns the first mistake, with file, line and element.
    pub fn read(file: &Path) -> Result<Plan, Error> {
        Plan::parse(&heathspur_config::read_text(file, "load")?, file)
    }

    /// Parses and checks the text of a plan file; errors name `file`.
    ///
    /// # Errors
    /// Returns the first mistake, with file, line and element.
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
        if !(10..=600_000).contains(&self.client_timeout.0.as_millis()) {
            return mistake("@patience".into(), "10 ms to 10 min is expected");
        }
        if !(1..=100_000).contains(&self.max_open_requests) {
            return mistake("@open".into(), "1 to 100000 is expected");
        }
        for (at, target) in self.targets.iter().enumerate() {
            if !(1..=10_000).contains(&target.connections) {
                return mistake(
                    format!("target[{at}].@connections"),
                    "1 to 10000 is expected",
                );
            }
            if !(1..=1_000).contains(&target.weight) {
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
            if !(1..=1_000).contains(&class.weight) {
                return mistake(path("part"), "1 to 1000 is expected");
            }
            if !(0.0..=1.0).contains(&class.retry_share) {
                return mistake(path("repeats"), "0 to 1 is expected");
            }
            if !(1..=600_000).contains(&class.retry_delay.0.as_millis()) {
                return mistake(path("repeat-after"), "1 ms to 10 min is expected");
            }
            if class.body_size.0 > 64 << 10 {
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
