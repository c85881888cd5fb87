//! The plan of an experiment: a fleet, its settings, timed faults and seeds, read from an XML file with a schema.

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
    /// Members of the fleet; 2 to 2,000.
    #[serde(rename = "@members")]
    pub members: usize,
    /// Number of zones, assigned to members in turn; 1 to 100.
    #[serde(rename = "@zones", default = "default::zones")]
    pub zones: usize,
    /// Number of runs, each with its own seed; 1 to 1,000.
    #[serde(rename = "@seeds", default = "default::seeds")]
    pub seeds: u64,
    /// The first seed.
    #[serde(rename = "@first-seed", default = "default::first_seed")]
    pub first_seed: u64,
    /// Emulated duration of each run; up to 24 h.
    #[serde(rename = "@duration")]
    pub duration: Span,
    /// Whether the members know each other at the start; otherwise all join through the first at once.
    #[serde(rename = "@standing", default = "default::standing")]
    pub standing: bool,
    /// Probe period; 50 ms to 60 s.
    #[serde(rename = "@period", default = "default::period")]
    pub period: Span,
    /// Time a direct probe may take before indirect probes are sent; under the period.
    #[serde(rename = "@probe-timeout", default = "default::probe_timeout")]
    pub probe_timeout: Span,
    /// Suspicion multiplier: the minimum suspicion timeout is this many periods times log10 of the members; 1 to 20.
    #[serde(rename = "@suspicion", default = "default::suspicion")]
    pub suspicion: u64,
    /// Whether the Lifeguard extensions of SWIM are on; off only for comparison.
    #[serde(rename = "@lifeguard", default = "default::lifeguard")]
    pub lifeguard: bool,
    /// The faults, in order of time.
    #[serde(rename = "fault", default)]
    pub faults: Vec<Fault>,
}

/// A fault of the fleet or its network.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it happens, from the start of the run.
    #[serde(rename = "@at")]
    pub at: Span,
    /// What happens.
    #[serde(rename = "@kind")]
    pub kind: FaultKind,
    /// The member concerned; for a partition, the number of members on its first side.
    #[serde(rename = "@member", default)]
    pub member: Option<usize>,
    /// The receiving member of a cut.
    #[serde(rename = "@other", default)]
    pub other: Option<usize>,
    /// Share of all datagrams, 0 to 1.
    #[serde(rename = "@share", default)]
    pub share: Option<f64>,
    /// Duration of a pause, or the delay of a slow member or of the network.
    #[serde(rename = "@span", default)]
    pub span: Option<Span>,
    /// Maximum extra delay of the network, drawn uniformly for each datagram, which reorders them.
    #[serde(rename = "@jitter", default)]
    pub jitter: Option<Span>,
    /// Rate of a clock relative to true time, 0.5 to 2.
    #[serde(rename = "@rate", default)]
    pub rate: Option<f64>,
}

/// Kinds of faults.
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

/// Gossip rounds in one probe period.
const GOSSIP_ROUNDS_PER_PERIOD: u64 = 5;
/// Shortest gossip interval, in milliseconds.
const MIN_GOSSIP_MS: u64 = 10;

/// Defaults of the attributes, as the schema has them.
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

    pub(super) fn standing() -> bool {
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
    /// Returns the first mistake, with file, line and element.
    pub fn read(file: &Path) -> Result<Plan, Error> {
        Plan::parse(&heathspur_config::read_text(file, "experiment")?, file)
    }

    /// Parses and checks the text of a plan file; errors name `file`.
    ///
    /// # Errors
    /// Returns the first mistake, with file, line and element.
    pub fn parse(text: &str, file: &Path) -> Result<Plan, Error> {
        heathspur_config::parse(text, file, "experiment", check_plan)
    }

    /// The members' settings; those that the plan does not set keep their defaults.
    pub fn settings(&self) -> Settings {
        let period_ms = self.period.0.as_millis() as u64;
        Settings {
            protocol_period_ms: period_ms,
            probe_timeout_ms: self.probe_timeout.0.as_millis() as u64,
            gossip_interval_ms: (period_ms / GOSSIP_ROUNDS_PER_PERIOD).max(MIN_GOSSIP_MS),
            suspicion_multiplier: self.suspicion,
            lifeguard: self.lifeguard,
            ..Settings::default()
        }
    }

    /// The namespace that the file declares.
    pub(crate) fn namespace(&self) -> &str {
        &self.xmlns
    }
}
