//! Settings of the membership protocol, with their units and bounds.

/// Settings of probes, suspicions, gossip and joining. Times are in milliseconds of a monotonic clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The protocol period, in which a member starts one probe; 50 ms to 60 s.
    pub protocol_period_ms: u64,
    /// How long a direct probe waits for its ack before indirect probes start; at least 10 ms and shorter than the
    /// protocol period.
    pub probe_timeout_ms: u64,
    /// The number of members that are requested to probe indirectly (SWIM's k); 0 to 8.
    pub indirect_probes: usize,
    /// The multiplier of the minimum suspicion timeout, which is this many protocol periods times
    /// [`Settings::log_scale`]; 1 to 20.
    pub suspicion_multiplier: u64,
    /// The suspicion timeout without confirmations, as a multiple of the minimum one; 1 to 20.
    pub max_suspicion_multiplier: u64,
    /// The multiplier of transmissions (SWIM's λ): the number of transmissions of an update is this times
    /// [`Settings::log_scale`], plus one; 1 to 20.
    pub retransmit_multiplier: u32,
    /// The interval between gossip rounds; 10 ms to 60 s.
    pub gossip_interval_ms: u64,
    /// The number of members that receive each gossip round; 1 to 8.
    pub gossip_fanout: usize,
    /// The interval between push-pulls of the full view, which grows above 32 members; at least the protocol period.
    pub push_pull_interval_ms: u64,
    /// The capacity of the member table, including the local member; 2 to 65,536.
    pub max_members: usize,
    /// The capacity of the gossip queue; 1 to 65,536. A full queue evicts the update that was sent most often.
    pub max_queued_updates: usize,
    /// The number of datagrams that are accepted from one source address in one second; at least 10.
    pub max_datagrams_per_source_per_second: u32,
    /// How long a member that died or left stays in the table, so that it is still contacted after a partition heals;
    /// any value.
    pub dead_retention_ms: u64,
    /// The first backoff between join attempts; at least 10 ms. It doubles up to `max_join_backoff_ms`, with jitter.
    pub initial_join_backoff_ms: u64,
    /// The longest backoff between join attempts; at least `initial_join_backoff_ms`.
    pub max_join_backoff_ms: u64,
    /// Whether Lifeguard's three extensions (local health, confirmations and the buddy system) are on. They are
    /// switched off only for comparison.
    pub lifeguard: bool,
    /// The highest local health score (Lifeguard's S), which bounds how far timeouts grow; at most 16.
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

/// An error for a membership setting that is out of its bounds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The value is outside its range.
    #[error("membership setting {name:?} is {value}, but must be from {minimum} to {maximum}")]
    OutOfRange {
        /// The name by which the setting is reported.
        name: &'static str,
        /// Its value.
        value: u64,
        /// The lowest valid value.
        minimum: u64,
        /// The highest valid value.
        maximum: u64,
    },
    /// The value is below its minimum.
    #[error("membership setting {name:?} is {value}, but must be at least {minimum}")]
    TooSmall {
        /// The name by which the setting is reported.
        name: &'static str,
        /// Its value.
        value: u64,
        /// The lowest valid value.
        minimum: u64,
    },
}

impl SettingsError {
    /// Returns the name by which the setting is reported.
    pub fn name(&self) -> &'static str {
        match self {
            SettingsError::OutOfRange { name, .. } | SettingsError::TooSmall { name, .. } => name,
        }
    }
}

/// The largest fleet in which push-pulls keep their configured interval.
const UNSCALED_PUSH_PULL_MEMBERS: usize = 32;

impl Settings {
    /// Checks the bounds of every setting.
    ///
    /// # Errors
    /// Returns the first setting that is out of its bounds.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_range("period", self.protocol_period_ms, 50, 60_000)?;
        let max_timeout_ms = self.protocol_period_ms - 1;
        check_range("probe-timeout", self.probe_timeout_ms, 10, max_timeout_ms)?;
        check_range("indirect", self.indirect_probes as u64, 0, 8)?;
        check_range("suspicion", self.suspicion_multiplier, 1, 20)?;
        check_range("suspicion-max", self.max_suspicion_multiplier, 1, 20)?;
        check_range("retransmit", u64::from(self.retransmit_multiplier), 1, 20)?;
        check_range("gossip", self.gossip_interval_ms, 10, 60_000)?;
        check_range("fanout", self.gossip_fanout as u64, 1, 8)?;
        check_minimum(
            "push-pull",
            self.push_pull_interval_ms,
            self.protocol_period_ms,
        )?;
        check_range("members", self.max_members as u64, 2, 65_536)?;
        check_range("pending", self.max_queued_updates as u64, 1, 65_536)?;
        let max_datagrams = u64::from(self.max_datagrams_per_source_per_second);
        check_minimum("per-peer", max_datagrams, 10)?;
        check_minimum("join-backoff", self.initial_join_backoff_ms, 10)?;
        check_minimum(
            "join-backoff-max",
            self.max_join_backoff_ms,
            self.initial_join_backoff_ms,
        )?;
        check_range("awareness", u64::from(self.max_local_health), 0, 16)
    }

    /// Returns log10 of the number of members, at least 1. SWIM's timeouts and retransmissions grow by this factor.
    pub fn log_scale(members: usize) -> f64 {
        (members.max(1) as f64).log10().max(1.0)
    }

    /// Returns the minimum and maximum suspicion timeout in a fleet of `members`, in milliseconds.
    pub fn suspicion_bounds_ms(&self, members: usize) -> (u64, u64) {
        let periods = self.suspicion_multiplier as f64 * Settings::log_scale(members);
        let minimum_ms = (periods * self.protocol_period_ms as f64) as u64;
        (minimum_ms, minimum_ms * self.max_suspicion_multiplier)
    }

    /// Returns how many times an update is sent in a fleet of `members`.
    pub fn max_transmissions(&self, members: usize) -> u32 {
        (self.retransmit_multiplier as f64 * Settings::log_scale(members)).ceil() as u32 + 1
    }

    /// Returns the interval between push-pulls in a fleet of `members`, in milliseconds. Above 32 members it grows by
    /// the configured interval with each doubling of the fleet, so that traffic stays flat.
    pub fn scaled_push_pull_interval_ms(&self, members: usize) -> u64 {
        let steps = if members > UNSCALED_PUSH_PULL_MEMBERS {
            ((members as f64).log2() - 5.0).ceil() as u64 + 1
        } else {
            1
        };
        self.push_pull_interval_ms * steps
    }
}

fn check_range(
    name: &'static str,
    value: u64,
    minimum: u64,
    maximum: u64,
) -> Result<(), SettingsError> {
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

fn check_minimum(name: &'static str, value: u64, minimum: u64) -> Result<(), SettingsError> {
    if value >= minimum {
        return Ok(());
    }
    Err(SettingsError::TooSmall {
        name,
        value,
        minimum,
    })
}
