//! The settings of a member, with their units and bounds.

/// How a member probes, suspects and gossips. Times are milliseconds of a monotonic clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The protocol period, with one probe each; 50 ms to 60 s.
    pub protocol_period_ms: u64,
    /// How long a direct probe waits for its ack before indirect ones; at least 10 ms, under the period.
    pub probe_timeout_ms: u64,
    /// Members asked for an indirect probe (SWIM's k); 0 to 8.
    pub indirect_probes: usize,
    /// The least time of a suspicion, in periods times log10 of the members (at least 1); 1 to 20.
    pub suspicion_multiplier: u64,
    /// The longest time of a suspicion without confirmations, in multiples of the least; 1 to 20.
    pub max_suspicion_multiplier: u64,
    /// Transmissions of an update, in multiples of log10 of the members, plus one (SWIM's λ); 1 to 20.
    pub retransmit_multiplier: u32,
    /// The interval between gossip rounds; 10 ms to 60 s.
    pub gossip_interval_ms: u64,
    /// Members that each gossip round goes to; 1 to 8.
    pub gossip_fanout: usize,
    /// The interval between push-pulls of the whole view, scaled up past 32 members; at least the period.
    pub push_pull_interval_ms: u64,
    /// The capacity of the member table, this member included; 2 to 65,536.
    pub max_members: usize,
    /// The capacity of the gossip queue; past it, the update sent most often is evicted. 1 to 65,536.
    pub max_queued_updates: usize,
    /// Datagrams accepted from one address in one second; at least 10.
    pub max_datagrams_per_source_per_second: u32,
    /// How long a dead or left member stays in the table, so that a healed partition finds it.
    pub dead_retention_ms: u64,
    /// The first backoff between join attempts, doubled up to `max_join_backoff_ms`, with jitter; at least 10 ms.
    pub initial_join_backoff_ms: u64,
    /// The longest backoff between join attempts; at least `initial_join_backoff_ms`.
    pub max_join_backoff_ms: u64,
    /// Lifeguard's three parts (local health, confirmations, the buddy system); off only as a baseline.
    pub lifeguard: bool,
    /// The highest local health score (Lifeguard's S), by which timeouts grow; at most 16.
    pub max_local_health: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            protocol_period_ms: 1_000,
            probe_timeout_ms: 500,
            indirect_probes: 3,
            suspicion_multiplier: 4,
            max_suspicion_multiplier: 6,
            retransmit_multiplier: 4,
            gossip_interval_ms: 200,
            gossip_fanout: 3,
            push_pull_interval_ms: 15_000,
            max_members: 4_096,
            max_queued_updates: 4_096,
            max_datagrams_per_source_per_second: 1_000,
            dead_retention_ms: 120_000,
            initial_join_backoff_ms: 200,
            max_join_backoff_ms: 5_000,
            lifeguard: true,
            max_local_health: 8,
        }
    }
}

/// A membership setting is out of its bounds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The value is not within a range.
    #[error("membership setting {name:?} is {value}, but must be from {minimum} to {maximum}")]
    OutOfRange {
        /// The setting.
        name: &'static str,
        /// Its value.
        value: u64,
        /// The least value.
        minimum: u64,
        /// The greatest value.
        maximum: u64,
    },
    /// The value is under its minimum.
    #[error("membership setting {name:?} is {value}, but must be at least {minimum}")]
    TooSmall {
        /// The setting.
        name: &'static str,
        /// Its value.
        value: u64,
        /// The least value.
        minimum: u64,
    },
}

impl SettingsError {
    /// The setting that is out of its bounds.
    pub fn name(&self) -> &'static str {
        match self {
            SettingsError::OutOfRange { name, .. } | SettingsError::TooSmall { name, .. } => name,
        }
    }
}

/// Members up to which push-pulls keep their interval.
const UNSCALED_PUSH_PULL_MEMBERS: usize = 32;

impl Settings {
    /// Checks the bounds of every setting.
    pub fn check(&self) -> Result<(), SettingsError> {
        within("period", self.protocol_period_ms, 50, 60_000)?;
        let timeout_max = self.protocol_period_ms - 1;
        within("probe-timeout", self.probe_timeout_ms, 10, timeout_max)?;
        within("indirect", self.indirect_probes as u64, 0, 8)?;
        within("suspicion", self.suspicion_multiplier, 1, 20)?;
        within("suspicion-max", self.max_suspicion_multiplier, 1, 20)?;
        within("retransmit", u64::from(self.retransmit_multiplier), 1, 20)?;
        within("gossip", self.gossip_interval_ms, 10, 60_000)?;
        within("fanout", self.gossip_fanout as u64, 1, 8)?;
        at_least(
            "push-pull",
            self.push_pull_interval_ms,
            self.protocol_period_ms,
        )?;
        within("members", self.max_members as u64, 2, 65_536)?;
        within("pending", self.max_queued_updates as u64, 1, 65_536)?;
        let max_datagrams = u64::from(self.max_datagrams_per_source_per_second);
        at_least("per-peer", max_datagrams, 10)?;
        at_least("join-backoff", self.initial_join_backoff_ms, 10)?;
        at_least(
            "join-backoff-max",
            self.max_join_backoff_ms,
            self.initial_join_backoff_ms,
        )?;
        within("awareness", u64::from(self.max_local_health), 0, 16)
    }

    /// Log10 of the members, at least 1: how SWIM's times and retransmissions grow with the fleet.
    pub fn scale(members: usize) -> f64 {
        (members.max(1) as f64).log10().max(1.0)
    }

    /// The least and the longest time of a suspicion among `members`, in milliseconds.
    pub fn suspicion_ms(&self, members: usize) -> (u64, u64) {
        let periods = self.suspicion_multiplier as f64 * Settings::scale(members);
        let least = (periods * self.protocol_period_ms as f64) as u64;
        (least, least * self.max_suspicion_multiplier)
    }

    /// How often an update is sent among `members`.
    pub fn retransmits(&self, members: usize) -> u32 {
        (self.retransmit_multiplier as f64 * Settings::scale(members)).ceil() as u32 + 1
    }

    /// The interval between push-pulls among `members`, doubled in steps past 32, so that traffic stays flat.
    pub fn push_pull_every_ms(&self, members: usize) -> u64 {
        let steps = if members > UNSCALED_PUSH_PULL_MEMBERS {
            ((members as f64).log2() - 5.0).ceil() as u64 + 1
        } else {
            1
        };
        self.push_pull_interval_ms * steps
    }
}

fn within(name: &'static str, value: u64, minimum: u64, maximum: u64) -> Result<(), SettingsError> {
    if (minimum..=maximum).contains(&value) {
        return Ok(());
    }
    Err(SettingsError::OutOfRange {
        name,
        value,
        minimum,
        maximum,
    })
}

fn at_least(name: &'static str, value: u64, minimum: u64) -> Result<(), SettingsError> {
    if value >= minimum {
        return Ok(());
    }
    Err(SettingsError::TooSmall {
        name,
        value,
        minimum,
    })
}
