//! The plan of an experiment: a fleet, its settings, faults at their times, seeds; an XML file with a schema.

use heathspur_config::units::Span;
use heathspur_config::{Error as Wrong, InvalidValue};
use heathspur_members::Settings;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::time::Duration;

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
    /// Zones, by turns; 1 to 100.
    #[serde(rename = "@zones", default = "three")]
    pub zones: usize,
    /// Plays, each with a seed of its own; 1 to 1,000.
    #[serde(rename = "@seeds", default = "seeds")]
    pub seeds: u64,
    /// The first seed.
    #[serde(rename = "@first-seed", default = "one")]
    pub first_seed: u64,
    /// How long each play lasts, in emulated time; up to 24 h.
    #[serde(rename = "@duration")]
    pub duration: Span,
    /// Whether the members know each other at the start, or all join through the first at once.
    #[serde(rename = "@standing", default = "yes")]
    pub standing: bool,
    /// One probe each period; 50 ms to 60 s.
    #[serde(rename = "@period", default = "period")]
    pub period: Span,
    /// A direct probe waits so long before asking others; under the period.
    #[serde(rename = "@probe-timeout", default = "probe_timeout")]
    pub probe_timeout: Span,
    /// Suspicion lasts at least this many periods times log10 of the members; 1 to 20.
    #[serde(rename = "@suspicion", default = "four")]
    pub suspicion: u64,
    /// Lifeguard's parts; off only to compare.
    #[serde(rename = "@lifeguard", default = "yes")]
    pub lifeguard: bool,
    /// What happens, in the order of times.
    #[serde(rename = "fault", default)]
    pub faults: Vec<Fault>,
}

/// Something that happens to the fleet or its network.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, from the play's start.
    #[serde(rename = "@at")]
    pub at: Span,
    /// What.
    #[serde(rename = "@kind")]
    pub kind: FaultKind,
    /// Whom it happens to; how many are on the first side of a partition.
    #[serde(rename = "@member", default)]
    pub member: Option<usize>,
    /// The other end of a cut.
    #[serde(rename = "@other", default)]
    pub other: Option<usize>,
    /// A part of all datagrams, 0 to 1.
    #[serde(rename = "@share", default)]
    pub share: Option<f64>,
    /// How long a pause is, how slow a member or the network.
    #[serde(rename = "@span", default)]
    pub span: Option<Span>,
    /// How much more the network's delay may be, drawn evenly: datagrams overtake each other by it.
    #[serde(rename = "@jitter", default)]
    pub jitter: Option<Span>,
    /// A clock's rate against the true one, 0.5 to 2.
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
    /// `member` says that it leaves.
    Leave,
    /// `member` takes nothing in and sends nothing for `span`.
    Pause,
    /// All that `member` takes in and sends waits `span` more; 0 ms ends it.
    Slow,
    /// `member`'s clock runs at `rate`.
    Clock,
    /// The first `member` members are cut off from the others.
    Partition,
    /// Partition and cuts are over.
    Heal,
    /// Nothing reaches `other` from `member`; the way back stays.
    Cut,
    /// A `share` of all datagrams is lost.
    Loss,
    /// A `share` of all datagrams comes twice.
    Duplicate,
    /// Every datagram takes `span`, and up to `jitter` more.
    Delay,
}

fn one() -> u64 {
    1
}

fn three() -> usize {
    3
}

fn four() -> u64 {
    4
}

fn seeds() -> u64 {
    20
}

fn yes() -> bool {
    true
}

fn period() -> Span {
    Span(Duration::from_secs(1))
}

fn probe_timeout() -> Span {
    Span(Duration::from_millis(500))
}

impl Fault {
    fn check(&self, plan: &Plan) -> Result<(), (&'static str, String)> {
        let (needs_member, needs_span, needs_share) = match self.kind {
            FaultKind::Crash
            | FaultKind::Restart
            | FaultKind::Leave
            | FaultKind::Clock
            | FaultKind::Partition
            | FaultKind::Cut => (true, false, false),
            FaultKind::Pause | FaultKind::Slow => (true, true, false),
            FaultKind::Loss | FaultKind::Duplicate => (false, false, true),
            FaultKind::Delay => (false, true, false),
            FaultKind::Heal => (false, false, false),
        };
        let said = |name: &'static str, is: bool, needed: bool| match (is, needed) {
            (true, false) => Err((
                name,
                format!("{} is not expected with this kind", &name[1..]),
            )),
            (false, true) => Err((name, format!("{} is expected with this kind", &name[1..]))),
            _ => Ok(()),
        };
        said("@member", self.member.is_some(), needs_member)?;
        said("@span", self.span.is_some(), needs_span)?;
        said("@share", self.share.is_some(), needs_share)?;
        said("@other", self.other.is_some(), self.kind == FaultKind::Cut)?;
        said("@rate", self.rate.is_some(), self.kind == FaultKind::Clock)?;
        said(
            "@jitter",
            self.jitter.is_some(),
            self.kind == FaultKind::Delay && self.jitter.is_some(),
        )?;
        for (name, member) in [("@member", self.member), ("@other", self.other)] {
            if member.is_some_and(|m| m >= plan.members) {
                return Err((
                    name,
                    format!("under {} is expected, the number of members", plan.members),
                ));
            }
        }
        if self
            .share
            .is_some_and(|share| !(0.0..=1.0).contains(&share))
        {
            return Err(("@share", "0 to 1 is expected".into()));
        }
        if self.rate.is_some_and(|rate| !(0.5..=2.0).contains(&rate)) {
            return Err(("@rate", "0.5 to 2 is expected".into()));
        }
        if self.at.0 >= plan.duration.0 {
            return Err(("@at", "a time before the play's end is expected".into()));
        }
        Ok(())
    }
}

impl Plan {
    /// Reads a file.
    ///
    /// # Errors
    /// The first mistake found, with its place.
    pub fn read(file: &Path) -> Result<Plan, Wrong> {
        Plan::parse(&heathspur_config::read_text(file, "experiment")?, file)
    }

    /// Reads a file's text; `file` is for the errors.
    ///
    /// # Errors
    /// The first mistake found, with its place.
    pub fn parse(text: &str, file: &Path) -> Result<Plan, Wrong> {
        heathspur_config::parse(text, file, "experiment", Plan::check)
    }

    /// The members' settings; what the plan does not name keeps its default.
    pub fn settings(&self) -> Settings {
        let period_ms = self.period.0.as_millis() as u64;
        Settings {
            period_ms,
            probe_timeout_ms: self.probe_timeout.0.as_millis() as u64,
            gossip_ms: (period_ms / 5).max(10),
            suspicion_mult: self.suspicion,
            lifeguard: self.lifeguard,
            ..Settings::default()
        }
    }

    fn check(&self) -> Result<(), InvalidValue> {
        let mistake = |path: &str, what: &str| Err(InvalidValue::new(path, what));
        if self.xmlns != NAMESPACE {
            let what = format!(
                "the namespace `{}` where `{NAMESPACE}` is expected",
                self.xmlns
            );
            return mistake("", &what);
        }
        if !(2..=2_000).contains(&self.members) {
            return mistake("@members", "2 to 2000 is expected");
        }
        if !(1..=100).contains(&self.zones) {
            return mistake("@zones", "1 to 100 is expected");
        }
        if !(1..=1_000).contains(&self.seeds) {
            return mistake("@seeds", "1 to 1000 is expected");
        }
        if !(1..=86_400_000).contains(&self.duration.0.as_millis()) {
            return mistake("@duration", "1 ms to 24 h is expected");
        }
        if let Err(out) = self.settings().check() {
            return mistake(&format!("@{}", out.name()), &out.to_string());
        }
        if self.faults.len() > 1_000 {
            return mistake("", "1000 faults at most are expected");
        }
        for (at, fault) in self.faults.iter().enumerate() {
            if let Err((name, what)) = fault.check(self) {
                return mistake(&format!("fault[{at}].{name}"), &what);
            }
            if at > 0 && self.faults[at - 1].at.0 > fault.at.0 {
                return mistake(
                    &format!("fault[{at}].@at"),
                    "the order of times is expected",
                );
            }
        }
        Ok(())
    }
}
