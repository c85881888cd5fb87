//! The membership thread's loop, which passes datagrams, ticks and commands to the state machine and performs its
//! actions.

use crate::membership::failover::FailoverWorker;
use crate::membership::load_gauge::LoadSampler;
use crate::membership::{ipv4, Command};
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future;
use heathspur_members::{wire, Action, Event, MemberState, Membership, RejectionReport};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// How long a member gossips that it leaves before it stops.
const LEAVE_ANNOUNCEMENT: Duration = Duration::from_millis(300);

/// The event that ends a wait of the loop.
enum Wakeup {
    Datagram(io::Result<(usize, SocketAddr)>),
    TickDue,
    Command(Command),
}

/// The state of the membership thread.
pub(super) struct MembershipWorker {
    membership: Membership,
    load: LoadSampler,
    commands: Receiver<Command>,
    tick_interval: Duration,
    failover: Option<FailoverWorker>,
    /// Time zero of the state machine.
    started_at: Instant,
    /// When this member began to announce that it leaves.
    leaving_since: Option<Instant>,
    /// When the loop ends.
    stops_at: Option<Instant>,
}

impl MembershipWorker {
    /// Creates a worker. `failover` is `None` if zone failover is disabled.
    pub(super) fn new(
        membership: Membership,
        load: LoadSampler,
        commands: Receiver<Command>,
        tick_interval: Duration,
        failover: Option<FailoverWorker>,
    ) -> MembershipWorker {
        MembershipWorker {
            membership,
            load,
            commands,
            tick_interval,
            failover,
            started_at: Instant::now(),
            leaving_since: None,
            stops_at: None,
        }
    }

    /// Returns the failover worker if zone failover is enabled.
    pub(super) fn failover(&self) -> Option<&FailoverWorker> {
        self.failover.as_ref()
    }

    /// Runs until a stop command has arrived and the departure has been announced for long enough.
    pub(super) async fn run(mut self, socket: UdpSocket) -> io::Result<()> {
        let socket = Async::new(socket)?;
        let mut buffer = vec![0u8; wire::MAX_DATAGRAM_BYTES + 1];
        let mut actions = Vec::new();
        self.handle(Event::Join, &mut actions);
        let mut next_tick_at = Instant::now();
        loop {
            match self.wait(&socket, &mut buffer, next_tick_at).await {
                Wakeup::Datagram(Ok((len, from))) => {
                    self.on_datagram(from, &buffer[..len], &mut actions);
                }
                // A receive error, such as a port unreachable reported for an earlier send, does not mean that the
                // socket is unusable.
                Wakeup::Datagram(Err(_)) | Wakeup::TickDue => {}
                Wakeup::Command(command) => self.on_command(command, &mut actions),
            }
            // Checked against the clock, because a flood of datagrams would keep the timer from being polled.
            let now = Instant::now();
            if now >= next_tick_at {
                next_tick_at = now + self.tick_interval;
                self.on_tick(now, &mut actions);
            }
            for action in actions.drain(..) {
                perform_action(&socket, action).await;
            }
            if self.stops_at.is_some_and(|at| now >= at) {
                info!("members: left");
                return Ok(());
            }
        }
    }

    /// Waits for a datagram, a command or the next tick, in this order of priority.
    async fn wait(
        &self,
        socket: &Async<UdpSocket>,
        buffer: &mut [u8],
        next_tick_at: Instant,
    ) -> Wakeup {
        let datagram = async { Wakeup::Datagram(socket.recv_from(buffer).await) };
        // The channel is closed after a stop command, or once all senders have been dropped.
        let command =
            async { Wakeup::Command(self.commands.recv().await.unwrap_or(Command::Stop)) };
        let tick = async {
            Timer::at(next_tick_at).await;
            Wakeup::TickDue
        };
        future::or(datagram, future::or(command, tick)).await
    }

    /// Passes an event to the state machine, which adds its actions to `actions`.
    fn handle(&mut self, event: Event<'_>, actions: &mut Vec<Action>) {
        let now_ms = self.started_at.elapsed().as_millis() as u64;
        self.membership.handle(now_ms, event, actions);
    }

    /// Handles a datagram. Datagrams from IPv6 addresses are ignored.
    fn on_datagram(&mut self, from: SocketAddr, bytes: &[u8], actions: &mut Vec<Action>) {
        if let Some(from) = ipv4(from) {
            self.handle(Event::Datagram { from, bytes }, actions);
        }
    }

    /// Announces that this member leaves, and schedules the end of the loop if the command is to stop.
    fn on_command(&mut self, command: Command, actions: &mut Vec<Action>) {
        let leaving_since = *self.leaving_since.get_or_insert_with(Instant::now);
        self.handle(Event::Leave, actions);
        if command == Command::Stop {
            self.stops_at = Some(leaving_since + LEAVE_ANNOUNCEMENT);
            self.commands.close();
        }
    }

    /// Updates the published load, advances the state machine, and steps failover if that is due.
    fn on_tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let load = self.load.sample(now);
        self.membership.set_load(load);
        self.handle(Event::Tick, actions);
        let failover = self.failover.as_mut();
        if let Some(failover) = failover.filter(|failover| failover.is_due(now)) {
            let view = self.membership.view();
            let vote = failover.step(&view, self.membership.id());
            self.membership.set_zone_vote(vote, actions);
        }
    }
}

/// Performs an action of the state machine.
async fn perform_action(socket: &Async<UdpSocket>, action: Action) {
    match action {
        // A failed send amounts to a lost datagram, which SWIM tolerates.
        Action::Send { to, bytes } => {
            let _ = socket.send_to(&bytes, to).await;
        }
        Action::StateChanged {
            id,
            to,
            incarnation,
            cause,
        } => {
            let state = to.map_or("gone", MemberState::as_str);
            let cause = cause.as_str();
            info!(
                member = %id, state, incarnation, cause,
                "members: {id} is {state} at incarnation {incarnation}, {cause}"
            );
        }
        Action::IncarnationRaised(incarnation) => {
            info!(
                incarnation,
                "members: own incarnation raised to {incarnation}"
            );
        }
        Action::InputRejected(report) => log_rejections(&report),
    }
}

/// Logs the numbers of rejected datagrams and updates by reason.
fn log_rejections(report: &RejectionReport) {
    let sender = report.last_sender.map(|sender| sender.to_string());
    let sender = sender.unwrap_or_default();
    let totals = report.totals;
    warn!(
        new = report.new_rejections,
        sender = %sender,
        garbage = totals.malformed,
        oversized = totals.oversized,
        version = totals.unsupported_version,
        rate = totals.rate_limited,
        conflict = totals.id_conflict,
        future = totals.future_incarnation,
        table_full = totals.table_full,
        "members: {} datagrams or updates dropped, the last from {sender}",
        report.new_rejections
    );
}
