//! The plan of a load test: targets, stages and classes, as an XML file with a schema.

use crate::validation::check_plan;
use heathspur_config::units::{Size, Span};
use heathspur_config::Error;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// The schema of the file (XSD 1.0).
pub const SCHEMA: &str = include_str!("../plan.xsd");
/// The XML namespace of its elements.
pub const NAMESPACE: &str = "urn:heathspur:load:1";

/// A load test.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    #[serde(rename = "@xmlns", default)]
    xmlns: String,
    /// Seed of all random draws.
    #[serde(rename = "@seed", default = "default::seed")]
    pub seed: u64,
    /// Time after which the client times out a request; 10 ms to 10 min.
    #[serde(rename = "@patience", default = "default::client_timeout")]
    pub client_timeout: Span,
    /// Maximum number of requests in flight, over all targets; 1 to 100,000. Requests beyond it are counted, not sent.
    #[serde(rename = "@open", default = "default::max_in_flight")]
    pub max_in_flight: u32,
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
    #[serde(rename = "@connections", default = "default::connections")]
    pub connections: u32,
    /// Weight of its share of all requests; 1 to 1,000.
    #[serde(rename = "@part", default = "default::weight")]
    pub weight: u32,
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
    /// Exponential gaps, as from many independent clients.
    #[default]
    Poisson,
    /// Log-normal gaps whose logarithm has a standard deviation of 1.5: bursts separated by pauses.
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
    #[serde(rename = "@part", default = "default::weight")]
    pub weight: u32,
    /// Whether its requests carry an idempotency key.
    #[serde(rename = "@keyed", default)]
    pub keyed: bool,
    /// Share of its requests that is retried once, with the same key and marked as a retry; 0 to 1.
    #[serde(rename = "@repeats", default)]
    pub retry_share: f64,
    /// Mean delay of a retry after the first attempt; 1 ms to 10 min.
    #[serde(rename = "@repeat-after", default = "default::retry_delay")]
    pub retry_delay: Span,
    /// Size of the body; up to 64 KiB.
    #[serde(rename = "@body", default = "default::body_size")]
    pub body_size: Size,
    /// The tenant that requests are sent for, if the server has tenants.
    #[serde(rename = "@tenant", default)]
    pub tenant: Option<String>,
}

/// Defaults of the attributes, as the schema has them.
mod default {
    use heathspur_config::units::{Size, Span};
    use std::time::Duration;

    pub(super) fn seed() -> u64 {
        1
    }

    pub(super) fn client_timeout() -> Span {
        Span(Duration::from_secs(30))
    }

    pub(super) fn max_in_flight() -> u32 {
        10_000
    }

    pub(super) fn connections() -> u32 {
        8
    }

    pub(super) fn weight() -> u32 {
        1
    }

    pub(super) fn retry_delay() -> Span {
        Span(Duration::from_millis(200))
    }

    pub(super) fn body_size() -> Size {
        Size(64)
    }
}

impl Plan {
    /// Reads and checks a plan file.
    ///
    /// # Errors
    /// Returns the first error in the file, with file, line and element.
    pub fn read(file: &Path) -> Result<Plan, Error> {
        Plan::parse(&heathspur_config::read_text(file, "load")?, file)
    }

    /// Parses and checks the text of a plan file; errors name `file`.
    ///
    /// # Errors
    /// Returns the first error in the file, with file, line and element.
    pub fn parse(text: &str, file: &Path) -> Result<Plan, Error> {
        heathspur_config::parse(text, file, "load", check_plan)
    }

    /// Returns the namespace that the file declares.
    pub(crate) fn namespace(&self) -> &str {
        &self.xmlns
    }
}
