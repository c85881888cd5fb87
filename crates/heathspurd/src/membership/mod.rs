//! Fleet membership: a thread with its own local executor, which runs the SWIM state machine of `heathspur-members`
//! over UDP.
//!
//! The event loop and this thread share a few atomic values, a bounded channel and, with zone failover, the routing
//! plan. The lock on the plan is held only to copy or replace a pointer; otherwise neither thread waits for the other.

pub(crate) mod failover;
mod load_gauge;
mod worker;

use crate::membership::failover::FailoverWorker;
use crate::membership::load_gauge::{LoadGauge, LoadSampler};
use crate::membership::worker::MembershipWorker;
use async_channel::Sender;
use heathspur_config::Members as MembersConfig;
use heathspur_members::{
    Load, Member, MemberId, Membership, Settings, SettingsError, ALL_TRAFFIC_TENTHS,
};
use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

/// The longest interval between ticks. A short protocol period shortens it; see [`MIN_TICKS_PER_PERIOD`].
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum number of ticks in a protocol period.
const MIN_TICKS_PER_PERIOD: u32 = 10;
/// Number of gossip rounds in a protocol period.
const GOSSIP_ROUNDS_PER_PERIOD: u64 = 5;
/// The shortest interval between gossip rounds, in milliseconds.
const MIN_GOSSIP_INTERVAL_MS: u64 = 10;
/// Combined with the incarnation by XOR to give the random seed, so that the two differ. The value is 2^64 divided by
/// the golden ratio, as in Fibonacci hashing.
const RANDOM_SEED_MASK: u64 = 0x9e37_79b9_7f4a_7c15;
/// The capacity of the command channel. At most two commands are ever sent: one to leave and one to stop.
const COMMAND_CHANNEL_CAPACITY: usize = 2;

/// The reason why membership could not be started.
#[derive(Debug, thiserror::Error)]
pub enum MembershipError {
    /// A setting is out of range.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The advertised address is not IPv4.
    #[error("the advertised address {0} is not an IPv4 address")]
    AdvertisedIpv6(SocketAddr),
    /// The UDP socket could not be bound.
    #[error("cannot bind the UDP address {address}: {source}")]
    Bind {
        /// The local address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The thread could not be started.
    #[error("cannot start the membership thread: {0}")]
    Thread(#[source] io::Error),
}

/// A command for the membership thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Command {
    /// Announce that this member leaves, and continue to receive messages.
    Leave,
    /// Announce that this member leaves, unless done before, and stop once it has been announced for long enough.
    Stop,
}

/// The event loop's handle of the membership thread.
pub(crate) struct MembershipHandle {
    gauge: Arc<LoadGauge>,
    commands: Sender<Command>,
}

impl MembershipHandle {
    /// Sets the requests in flight and the admission controller's limit on them.
    pub(crate) fn set_load(&self, in_flight: usize, concurrency_limit: f64) {
        self.gauge.set(in_flight, concurrency_limit);
    }

    /// Counts a rejected request.
    pub(crate) fn count_rejection(&self) {
        self.gauge.count_rejection();
    }

    /// Announces that this server leaves the fleet because it drains, so that no other member relies on it.
    pub(crate) fn leave(&self) {
        // The channel has capacity for all commands that are ever sent.
        let _ = self.commands.try_send(Command::Leave);
    }
}

/// The running membership thread.
pub(crate) struct MembershipThread {
    gauge: Arc<LoadGauge>,
    commands: Sender<Command>,
    thread: Option<JoinHandle<()>>,
}

impl MembershipThread {
    /// Binds the socket and starts the thread.
    pub(crate) fn start(
        config: &MembersConfig,
        failover: Option<FailoverWorker>,
    ) -> Result<MembershipThread, MembershipError> {
        let settings = settings(config);
        settings.check()?;
        let local = local_member(config)?;
        let socket = UdpSocket::bind(config.listen).map_err(|source| MembershipError::Bind {
            address: config.listen,
            source,
        })?;
        let seeds = config.seed.iter().filter_map(|seed| ipv4(seed.address));
        let incarnation = first_incarnation();
        info!(
            member = %config.id,
            incarnation,
            address = %local.address,
            "members: joining as {} at {} with incarnation {incarnation}",
            config.id,
            local.address
        );
        let random_seed = incarnation ^ RANDOM_SEED_MASK;
        let membership =
            Membership::new(settings, local, incarnation, seeds.collect(), random_seed);
        let gauge = Arc::new(LoadGauge::default());
        let (commands, received_commands) = async_channel::bounded(COMMAND_CHANNEL_CAPACITY);
        let worker = MembershipWorker::new(
            membership,
            LoadSampler::new(gauge.clone()),
            received_commands,
            MAX_TICK_INTERVAL.min(config.period.0 / MIN_TICKS_PER_PERIOD),
            failover,
        );
        let thread = thread::Builder::new()
            .name("members".into())
            .spawn(move || run_thread(worker, socket))
            .map_err(MembershipError::Thread)?;
        Ok(MembershipThread {
            gauge,
            commands,
            thread: Some(thread),
        })
    }

    /// Returns a handle for the event loop.
    pub(crate) fn handle(&self) -> MembershipHandle {
        MembershipHandle {
            gauge: self.gauge.clone(),
            commands: self.commands.clone(),
        }
    }

    /// Stops the thread and waits for its end. If [`MembershipHandle::leave`] has not been called, the departure is
    /// announced first.
    pub(crate) fn stop(mut self) {
        let _ = self.commands.try_send(Command::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Runs the membership worker and the health checks of failover until the worker stops.
fn run_thread(worker: MembershipWorker, socket: UdpSocket) {
    let executor = async_executor::LocalExecutor::new();
    if let Some(failover) = worker.failover() {
        executor.spawn(failover.run_checks()).detach();
    }
    if let Err(error) = async_io::block_on(executor.run(worker.run(socket))) {
        warn!(%error, "members: the membership thread stopped: {error}");
    }
}

/// Creates the member record that this server publishes about itself.
fn local_member(config: &MembersConfig) -> Result<Member, MembershipError> {
    let advertised = config.advertise.unwrap_or(config.listen);
    let address = ipv4(advertised).ok_or(MembershipError::AdvertisedIpv6(advertised))?;
    Ok(Member {
        id: MemberId(config.id.clone()),
        address,
        zone: config.zone.clone(),
        region: config.region.clone(),
        version: program_version(),
        load: Load::default(),
        average_round_trip_ms: 0,
        decision_epoch: 0,
        local_traffic_tenths: ALL_TRAFFIC_TENTHS,
        preferred_local_traffic_tenths: ALL_TRAFFIC_TENTHS,
    })
}

/// Converts the settings of the operator's file. All others keep their defaults.
fn settings(config: &MembersConfig) -> Settings {
    let period_ms = config.period.0.as_millis() as u64;
    Settings {
        protocol_period_ms: period_ms,
        gossip_interval_ms: (period_ms / GOSSIP_ROUNDS_PER_PERIOD).max(MIN_GOSSIP_INTERVAL_MS),
        probe_timeout_ms: config.probe_timeout.0.as_millis() as u64,
        suspicion_multiplier: config.suspicion,
        max_members: config.max_members,
        lifeguard: config.lifeguard,
        ..Settings::default()
    }
}

/// Returns the address if it is an IPv4 address. The protocol does not support IPv6.
fn ipv4(address: SocketAddr) -> Option<SocketAddrV4> {
    match address {
        SocketAddr::V4(ipv4) => Some(ipv4),
        SocketAddr::V6(_) => None,
    }
}

/// Encodes the program's version as a number for the member record: 1.2.3 becomes 1002003.
fn program_version() -> u32 {
    let parts = env!("CARGO_PKG_VERSION")
        .split('.')
        .map(|part| part.parse().unwrap_or(0));
    parts
        .take(3)
        .fold(0, |number: u32, part: u32| number * 1_000 + part.min(999))
}

/// Returns the initial incarnation: the wall clock in milliseconds since the Unix epoch. It is higher than that of the
/// previous run, unless the clock was set back by more than the downtime between the two runs.
fn first_incarnation() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |since_epoch| since_epoch.as_millis() as u64)
}
