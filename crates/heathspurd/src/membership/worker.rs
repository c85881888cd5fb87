//! The membership thread's loop: datagrams, ticks and commands into the state machine, its actions carried out.

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

/// How long a stopping member goes on gossiping that it leaves.
const LEAVE_ANNOUNCEMENT: Duration = Duration::from_millis(300);

/// What the loop waits for.
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
    started_at: Instant,
    left_at: Option<Instant>,
    stops_at: Option<Instant>,
}

impl MembershipWorker {
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
            left_at: None,
            stops_at: None,
        }
    }

    pub(super) fn failover(&self) -> Option<&FailoverWorker> {
        self.failover.as_ref()
    }

    /// Runs until a stop command, once the departure has been announced for long enough.
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
                // A datagram's error (a port unreachable after a send) says nothing about the socket.
                Wakeup::Datagram(Err(_)) | Wakeup::TickDue => {}
                Wakeup::Command(command) => self.on_command(command, &mut actions),
            }
            // By the clock and not by the timer, which a flood of datagrams would starve.
            let now = Instant::now();
            if now >= next_tick_at {
                next_tick_at = now + self.tick_interval;
                self.on_tick(now, &mut actions);
            }
            for action in actions.drain(..) {
                carry_out(&socket, action).await;
            }
            if self.stops_at.is_some_and(|at| now >= at) {
                info!("members: left");
                return Ok(());
            }
        }
    }

    async fn wait(
        &self,
        socket: &Async<UdpSocket>,
        buffer: &mut [u8],
        next_tick_at: Instant,
    ) -> Wakeup {
        let datagram = async { Wakeup::Datagram(socket.recv_from(buffer).await) };
        // The channel is closed once the event loop has ended.
        let command =
            async { Wakeup::Command(self.commands.recv().await.unwrap_or(Command::Stop)) };
        let tick = async {
            Timer::at(next_tick_at).await;
            Wakeup::TickDue
        };
        future::or(datagram, future::or(command, tick)).await
    }

    fn handle(&mut self, event: Event<'_>, actions: &mut Vec<Action>) {
        let now_ms = self.started_at.elapsed().as_millis() as u64;
        self.membership.handle(now_ms, event, actions);
    }

    fn on_datagram(&mut self, from: SocketAddr, bytes: &[u8], actions: &mut Vec<Action>) {
        if let Some(from) = ipv4(from) {
            self.handle(Event::Datagram { from, bytes }, actions);
        }
    }

    fn on_command(&mut self, command: Command, actions: &mut Vec<Action>) {
        let left_at = *self.left_at.get_or_insert_with(Instant::now);
        self.handle(Event::Leave, actions);
        if command == Command::Stop {
            self.stops_at = Some(left_at + LEAVE_ANNOUNCEMENT);
            self.commands.close();
        }
    }

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

async fn carry_out(socket: &Async<UdpSocket>, action: Action) {
    match action {
        // A failed send is a lost datagram, which SWIM tolerates.
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
            info!(incarnation, "members: own incarnation raised");
        }
        Action::InputRejected(report) => log_rejections(&report),
    }
}

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
