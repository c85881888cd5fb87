//! The settings of a member, with their units and bounds.

/// How a member probes, suspects and spreads. Times are milliseconds of a monotonic clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// One probe each period; 50 ms to 60 s.
    pub period_ms: u64,
    /// A direct probe waits so long for its ack before asking others; under the period.
    pub probe_timeout_ms: u64,
    /// Members asked for an indirect probe (SWIM's k); 0 to 8.
    pub indirect_probes: usize,
    /// Suspicion lasts at least this many periods times log10 of the members (at least 1); 1 to 20.
    pub suspicion_mult: u64,
    /// Suspicion lasts at most this many times its least, without confirmations; 1 to 20.
    pub suspicion_max_mult: u64,
    /// An update is sent about this many times log10 of the members, plus one (SWIM's λ); 1 to 20.
    pub retransmit_mult: u32,
    /// Gossip of pending updates to `fanout` members each so many milliseconds; 10 ms to 60 s.
    pub gossip_ms: u64,
    /// Members that each round of gossip goes to; 1 to 8.
    pub fanout: usize,
    /// The whole view is exchanged with one peer each so many milliseconds, scaled up past 32 members.
    pub push_pull_ms: u64,
    /// Members in the table, this one too; 2 to 65,536. Past it, news of others is counted and dropped.
    pub max_members: usize,
    /// Updates waiting to be spread; past it, the most spread one is dropped and counted.
    pub max_pending: usize,
    /// Datagrams taken from one address in one second; past it, counted and dropped.
    pub per_peer_per_second: u32,
    /// A dead or left member is kept in the table so long, so that a partition can heal through it.
    pub dead_keep_ms: u64,
    /// The first wait before a seed is asked again; doubled up to `join_backoff_max_ms`, with jitter.
    pub join_backoff_ms: u64,
    /// The longest wait between joins.
    pub join_backoff_max_ms: u64,
    /// Lifeguard's three parts (local health, confirmations, telling the suspect); off only as a baseline.
    pub lifeguard: bool,
    /// The highest local health score (Lifeguard's S); timeouts grow by it.
    pub local_health_max: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            period_ms: 1_000,
            probe_timeout_ms: 500,
            indirect_probes: 3,
            suspicion_mult: 4,
            suspicion_max_mult: 6,
            retransmit_mult: 4,
            gossip_ms: 200,
            fanout: 3,
            push_pull_ms: 15_000,
            max_members: 4_096,
            max_pending: 4_096,
            per_peer_per_second: 1_000,
            dead_keep_ms: 120_000,
            join_backoff_ms: 200,
            join_backoff_max_ms: 5_000,
            lifeguard: true,
            local_health_max: 8,
        }
    }
}

/// A setting out of its bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the members' setting {} is out of its bounds", self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks every bound above.
    pub fn check(&self) -> Result<(), SettingsError> {
        let within = |ok: bool, name| if ok { Ok(()) } else { Err(SettingsError(name)) };
        within((50..=60_000).contains(&self.period_ms), "period")?;
        within(
            self.probe_timeout_ms >= 10 && self.probe_timeout_ms < self.period_ms,
            "probe-timeout",
        )?;
        within(self.indirect_probes <= 8, "indirect")?;
        within((1..=20).contains(&self.suspicion_mult), "suspicion")?;
        within((1..=20).contains(&self.suspicion_max_mult), "suspicion-max")?;
        within((1..=20).contains(&self.retransmit_mult), "retransmit")?;
        within((10..=60_000).contains(&self.gossip_ms), "gossip")?;
        within((1..=8).contains(&self.fanout), "fanout")?;
        within(self.push_pull_ms >= self.period_ms, "push-pull")?;
        within((2..=65_536).contains(&self.max_members), "members")?;
        within((1..=65_536).contains(&self.max_pending), "pending")?;
        within(self.per_peer_per_second >= 10, "per-peer")?;
        within(
            self.join_backoff_ms >= 10 && self.join_backoff_max_ms >= self.join_backoff_ms,
            "join-backoff",
        )?;
        within(self.local_health_max <= 16, "awareness")
    }

    /// Log10 of the members, at least 1: how SWIM's times and retransmissions grow with the fleet.
    pub fn scale(members: usize) -> f64 {
        (members.max(1) as f64).log10().max(1.0)
    }

    /// How long suspicion lasts at least and at most among `members`, in milliseconds.
    pub fn suspicion_ms(&self, members: usize) -> (u64, u64) {
        let least =
            (self.suspicion_mult as f64 * Settings::scale(members) * self.period_ms as f64) as u64;
        (least, least * self.suspicion_max_mult)
    }

    /// How often an update is sent among `members`.
    pub fn retransmits(&self, members: usize) -> u32 {
        (self.retransmit_mult as f64 * Settings::scale(members)).ceil() as u32 + 1
    }

    /// The time between push-pulls among `members`: doubled in steps past 32, so that bytes stay flat.
    pub fn push_pull_every_ms(&self, members: usize) -> u64 {
        let steps = if members > 32 {
            ((members as f64).log2() - 5.0).ceil() as u64 + 1
        } else {
            1
        };
        self.push_pull_ms * steps
    }
}
