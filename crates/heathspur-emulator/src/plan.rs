//! The plan of an experiment: a fleet, its settings, timed faults and seeds. It is read from an XML file with a schema.

use crate::validation::check_plan;
use heathspur_config::units::Span;
use heathspur_config::Error;
use heathspur_members::Settings;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// The schema of the file (XSD 1.0).
pub const SCHEMA: &str = include_str!("../experiment.xsd");
/// The namespace of its elements.
pub const NAMESPACE: &str = "urn:heathspur:experiment:1";

/// An experiment.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    #[serde(rename = "@xmlns", default)]
    xmlns: String,
    /// The number of members of the fleet; 2 to 2,000.
    #[serde(rename = "@members")]
    pub members: usize,
    /// The number of zones, which are assigned to members in turn; 1 to 100.
    #[serde(rename = "@zones", default = "default::zones")]
    pub zones: usize,
    /// The number of runs, each with its own seed; 1 to 1,000.
    #[serde(rename = "@seeds", default = "default::seeds")]
    pub seeds: u64,
    /// The first seed.
    #[serde(rename = "@first-seed", default = "default::first_seed")]
    pub first_seed: u64,
    /// The emulated duration of each run; 1 ms to 24 h.
    #[serde(rename = "@duration")]
    pub duration: Span,
    /// Whether every member has all others in its view at the start. Otherwise all join through the first one at once.
    #[serde(rename = "@standing", default = "default::established")]
    pub established: bool,
    /// The protocol period; 50 ms to 60 s.
    #[serde(rename = "@period", default = "default::period")]
    pub period: Span,
    /// How long a direct probe waits for its ack before indirect probes start; at least 10 ms and shorter than the
    /// protocol period.
    #[serde(rename = "@probe-timeout", default = "default::probe_timeout")]
    pub probe_timeout: Span,
    /// The suspicion multiplier: the minimum suspicion timeout is this many protocol periods times log10 of the number
    /// of members (at least 1); 1 to 20.
    #[serde(rename = "@suspicion", default = "default::suspicion")]
    pub suspicion: u64,
    /// Whether the Lifeguard extensions of SWIM are on. They are switched off only for comparison.
    #[serde(rename = "@lifeguard", default = "default::lifeguard")]
    pub lifeguard: bool,
    /// The faults, in order of time; at most 1,000.
    #[serde(rename = "fault", default)]
    pub faults: Vec<Fault>,
}

/// A fault of the fleet or its network.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When the fault happens, from the start of the run; before its end and not before the previous fault.
    #[serde(rename = "@at")]
    pub at: Span,
    /// The kind of the fault.
    #[serde(rename = "@kind")]
    pub kind: FaultKind,
    /// The member concerned; for a partition, the number of members on its first side.
    #[serde(rename = "@member", default)]
    pub member: Option<usize>,
    /// The receiving member of a cut.
    #[serde(rename = "@other", default)]
    pub other: Option<usize>,
    /// The share of all datagrams that is affected, 0 to 1.
    #[serde(rename = "@share", default)]
    pub share: Option<f64>,
    /// The duration of a pause, or the delay of a slow member or of the network.
    #[serde(rename = "@span", default)]
    pub span: Option<Span>,
    /// The maximum extra delay of the network, drawn uniformly for each datagram, which reorders them.
    #[serde(rename = "@jitter", default)]
    pub jitter: Option<Span>,
    /// The rate of a clock relative to true time, 0.5 to 2.
    #[serde(rename = "@rate", default)]
    pub rate: Option<f64>,
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FaultKind {
    /// `member` stops at once.
    Crash,
    /// `member` starts again, with a higher incarnation.
    Restart,
    /// `member` leaves gracefully.
    Leave,
    /// `member` neither receives nor sends for `span`.
    Pause,
    /// Every datagram that `member` receives or sends is delayed by another `span`; 0 ms ends it.
    Slow,
    /// `member`'s clock runs at `rate`.
    Clock,
    /// The first `member` members are separated from the others.
    Partition,
    /// The partition and all cuts end.
    Heal,
    /// Datagrams from `member` to `other` are lost; the opposite direction works.
    Cut,
    /// A `share` of all datagrams is lost.
    Loss,
    /// A `share` of all datagrams is delivered twice.
    Duplicate,
    /// Every datagram is delayed by `span`, and up to `jitter` more.
    Delay,
}

/// The number of gossip rounds in one protocol period.
const GOSSIP_ROUNDS_PER_PERIOD: u64 = 5;
/// The minimum gossip interval, in milliseconds.
const MIN_GOSSIP_INTERVAL_MS: u64 = 10;

/// The defaults of the attributes, which are the same in the schema.
mod default {
    use heathspur_config::units::Span;
    use std::time::Duration;

    pub(super) fn zones() -> usize {
        3
    }

    pub(super) fn seeds() -> u64 {
        20
    }

    pub(super) fn first_seed() -> u64 {
        1
    }

    pub(super) fn established() -> bool {
        true
    }

    pub(super) fn period() -> Span {
        Span(Duration::from_secs(1))
    }

    pub(super) fn probe_timeout() -> Span {
        Span(Duration::from_millis(500))
    }

    pub(super) fn suspicion() -> u64 {
        4
    }

    pub(super) fn lifeguard() -> bool {
        true
    }
}

impl Plan {
    /// Reads and checks a plan file.
    ///
    /// # Errors
    /// Returns the first error of the file, with file, line and element.
    pub fn read(file: &Path) -> Result<Plan, Error> {
        Plan::parse(&heathspur_config::read_text(file, "experiment")?, file)
    }

    /// Parses and checks the text of a plan file; errors name `file`.
    ///
    /// # Errors
    /// Returns the first error of the file, with file, line and element.
    pub fn parse(text: &str, file: &Path) -> Result<Plan, Error> {
        heathspur_config::parse(text, file, "experiment", check_plan)
    }

    /// Returns the members' settings. Those that the plan does not set have their defaults.
    pub fn settings(&self) -> Settings {
        let period_ms = self.period.0.as_millis() as u64;
        Settings {
            protocol_period_ms: period_ms,
            probe_timeout_ms: self.probe_timeout.0.as_millis() as u64,
            gossip_interval_ms: (period_ms / GOSSIP_ROUNDS_PER_PERIOD).max(MIN_GOSSIP_INTERVAL_MS),
            suspicion_multiplier: self.suspicion,
            lifeguard: self.lifeguard,
            ..Settings::default()
        }
    }

    /// Returns the namespace that the file declares.
    pub(crate) fn namespace(&self) -> &str {
        &self.xmlns
    }
}
