//! The shell of the fleet's view: UDP on its own thread and local executor, the core's actions carried out.
//!
//! Nothing here decides: `heathspur-members` does. The owner and this thread share a few numbers and a bounded
//! channel, and neither waits for the other.

pub(crate) mod failover;

use crate::membership::failover::FailoverWorker;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use heathspur_config::Members as Operated;
use heathspur_members::{
    wire, Action, Event, Load, Member, MemberId, MemberState, Membership, Settings,
};
use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

/// A leaving member goes on so long to spread that it leaves.
const LEAVING: Duration = Duration::from_millis(300);

/// The core's clock moves on at least so often, and ten times a period.
const TICK: Duration = Duration::from_millis(20);
/// Refusals are counted over this.
const SECOND: Duration = Duration::from_secs(1);

/// What the owner says of its load; read by the membership's thread when it likes.
#[derive(Default)]
struct Gauge {
    in_flight: AtomicU32,
    cap: AtomicU32,
    refused: AtomicU64,
}

/// The owner's end.
pub(crate) struct MembershipHandle {
    gauge: Arc<Gauge>,
    tell: Sender<LastCommand>,
}

impl MembershipHandle {
    /// Requests in flight and the module's cap, as they are now.
    pub(crate) fn load(&self, in_flight: usize, cap: f64) {
        self.gauge
            .in_flight
            .store(in_flight as u32, Ordering::Relaxed);
        self.gauge.cap.store(cap as u32, Ordering::Relaxed);
    }

    /// One request was refused.
    pub(crate) fn refused(&self) {
        self.gauge.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// This server drains: nobody should count on it from now on.
    pub(crate) fn leave(&self) {
        // There is room for both things that are ever told.
        let _ = self.tell.try_send(LastCommand::Leave);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastCommand {
    /// Say that this member leaves, and go on listening.
    Leave,
    /// End, once that was said for long enough.
    Stop,
}

/// The running membership: its thread, and how to tell it what is to come.
pub(crate) struct MembershipThread {
    gauge: Arc<Gauge>,
    tell: Sender<LastCommand>,
    thread: Option<JoinHandle<()>>,
}

fn v4(address: SocketAddr) -> Option<SocketAddrV4> {
    match address {
        SocketAddr::V4(v4) => Some(v4),
        SocketAddr::V6(_) => None,
    }
}

/// The core's settings from the operator's file; the rest keep the core's defaults.
fn settings(operated: &Operated) -> Settings {
    Settings {
        period_ms: operated.period.0.as_millis() as u64,
        gossip_ms: (operated.period.0.as_millis() as u64 / 5).max(10),
        probe_timeout_ms: operated.probe_timeout.0.as_millis() as u64,
        suspicion_mult: operated.suspicion,
        max_members: operated.most,
        lifeguard: operated.lifeguard,
        ..Settings::default()
    }
}

/// The program's version as one number, so that fleets show who runs what: 1.2.3 is 1002003.
fn program_version() -> u32 {
    let parts = env!("CARGO_PKG_VERSION")
        .split('.')
        .map(|part| part.parse().unwrap_or(0));
    parts
        .take(3)
        .fold(0, |number: u32, part: u32| number * 1_000 + part.min(999))
}

/// An incarnation that never goes back across restarts: the wall clock's milliseconds at the start. A clock
/// set back by more than the time down is the one case where it does; the recovery issue keeps it on disk.
fn first_incarnation() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |d| d.as_millis() as u64)
}

impl MembershipThread {
    /// Binds the socket and starts the thread.
    pub(crate) fn start(
        operated: &Operated,
        failover_worker: Option<FailoverWorker>,
    ) -> io::Result<MembershipThread> {
        let invalid = |what: &str| io::Error::new(io::ErrorKind::InvalidInput, what.to_string());
        let settings = settings(operated);
        settings.check().map_err(|e| invalid(&e.to_string()))?;
        let advertise = v4(operated.advertise.unwrap_or(operated.listen))
            .ok_or_else(|| invalid("IPv4 is expected"))?;
        let seeds = operated.seed.iter().filter_map(|s| v4(s.address)).collect();
        let socket = UdpSocket::bind(operated.listen)?;
        let me = Member {
            id: MemberId(operated.id.clone()),
            address: advertise,
            zone: operated.zone.clone(),
            region: operated.region.clone(),
            version: program_version(),
            load: Load::default(),
            usual_round_trip_ms: 0,
            decision_epoch: 0,
            local_traffic_tenths: 10,
            preferred_tenths: 10,
        };
        let incarnation = first_incarnation();
        let tick = TICK.min(operated.period.0 / 10);
        let core = Membership::new(
            settings,
            me,
            incarnation,
            seeds,
            incarnation ^ 0x9e37_79b9_7f4a_7c15,
        );
        let gauge = Arc::new(Gauge::default());
        let (tell, told) = async_channel::bounded(2);
        info!(member = %operated.id, incarnation, address = %advertise, "members: joining");
        let keeper = Keeper {
            core,
            gauge: gauge.clone(),
            told,
            tick,
            started: Instant::now(),
            failover_worker,
        };
        let thread = thread::Builder::new()
            .name("members".into())
            .spawn(move || {
                let executor = async_executor::LocalExecutor::new();
                if let Some(failover_worker) = &keeper.failover_worker {
                    executor.spawn(failover_worker.checks()).detach();
                }
                if let Err(e) = async_io::block_on(executor.run(keeper.run(socket))) {
                    warn!(error = %e, "members: stopped: {e}");
                }
            })?;
        Ok(MembershipThread {
            gauge,
            tell,
            thread: Some(thread),
        })
    }

    /// The end for the owner.
    pub(crate) fn handle(&self) -> MembershipHandle {
        MembershipHandle {
            gauge: self.gauge.clone(),
            tell: self.tell.clone(),
        }
    }

    /// Ends the thread; where the fleet was not told yet that this member leaves, it is now.
    pub(crate) fn stop(mut self) {
        let _ = self.tell.try_send(LastCommand::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

enum Woken {
    Datagram(io::Result<(usize, SocketAddr)>),
    Time,
    LastCommand(LastCommand),
}

/// What the thread owns.
struct Keeper {
    core: Membership,
    gauge: Arc<Gauge>,
    told: Receiver<LastCommand>,
    tick: Duration,
    started: Instant,
    failover_worker: Option<FailoverWorker>,
}

impl Keeper {
    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    async fn run(mut self, socket: UdpSocket) -> io::Result<()> {
        let socket = Async::new(socket)?;
        let mut buffer = vec![0u8; wire::MAX_DATAGRAM_BYTES + 1];
        let mut out = Vec::new();
        self.core.handle(self.now(), Event::Join, &mut out);
        let (mut left, mut stop) = (None, None);
        let mut next = Instant::now();
        let mut counted = (Instant::now(), 0, 0);
        loop {
            let woken = future::or(
                async { Woken::Datagram(socket.recv_from(&mut buffer).await) },
                future::or(
                    async {
                        Woken::LastCommand(self.told.recv().await.unwrap_or(LastCommand::Stop))
                    },
                    async {
                        Timer::at(next).await;
                        Woken::Time
                    },
                ),
            );
            match woken.await {
                Woken::Datagram(Ok((len, from))) => {
                    if let Some(from) = v4(from) {
                        self.core.handle(
                            self.now(),
                            Event::Datagram {
                                from,
                                bytes: &buffer[..len],
                            },
                            &mut out,
                        );
                    }
                }
                // A datagram's error (a port unreachable after a send) says nothing of the socket itself.
                Woken::Datagram(Err(_)) | Woken::Time => {}
                Woken::LastCommand(told) => {
                    let at = *left.get_or_insert_with(Instant::now);
                    self.core.handle(self.now(), Event::Leave, &mut out);
                    if told == LastCommand::Stop {
                        stop = Some(at + LEAVING);
                        self.told.close();
                    }
                }
            }
            // By the clock, not by a timer that datagrams keep from its turn: a flood must not stop the probes.
            let now = Instant::now();
            if now >= next {
                next = now + self.tick;
                self.say_load(now, &mut counted);
                self.core.handle(self.now(), Event::Tick, &mut out);
                if let Some(failover_worker) = self
                    .failover_worker
                    .as_mut()
                    .filter(|failover_worker| failover_worker.is_due(now))
                {
                    let view = self.core.view();
                    let stand = failover_worker.step(&view, self.core.id());
                    self.core.set_zone_vote(stand, &mut out);
                }
            }
            for action in out.drain(..) {
                carry_out(&socket, action).await;
            }
            if stop.is_some_and(|at| now >= at) {
                info!("members: left");
                return Ok(());
            }
        }
    }

    /// What the owner's numbers are now; `counted` is when refusals were counted last, their sum then, and how
    /// many there were in the second before.
    fn say_load(&mut self, now: Instant, counted: &mut (Instant, u64, u32)) {
        let refused = self.gauge.refused.load(Ordering::Relaxed);
        if now.duration_since(counted.0) >= SECOND {
            *counted = (now, refused, (refused - counted.1) as u32);
        }
        let load = Load {
            in_flight: self.gauge.in_flight.load(Ordering::Relaxed),
            concurrency_limit: self.gauge.cap.load(Ordering::Relaxed),
            rejections_per_second: counted.2,
        };
        self.core.set_load(load);
    }
}

async fn carry_out(socket: &Async<UdpSocket>, action: Action) {
    match action {
        // A send that fails is a datagram lost: SWIM is made for that.
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
            info!(member = %id, state, incarnation, cause = cause.as_str(), "members: {id} is {state} at incarnation {incarnation}, {}", cause.as_str());
        }
        Action::IncarnationRaised(incarnation) => {
            info!(incarnation, "members: own incarnation raised")
        }
        Action::InputRejected(report) => {
            let sender = report
                .last_sender
                .map(|s| s.to_string())
                .unwrap_or_default();
            let totals = report.totals;
            warn!(
                new = report.new_rejections, sender = %sender, garbage = totals.malformed, oversized = totals.oversized, version = totals.unsupported_version,
                rate = totals.rate_limited, conflict = totals.id_conflict, future = totals.future_incarnation, table_full = totals.table_full,
                "members: {} datagrams or updates dropped, the last from {sender}", report.new_rejections
            );
        }
    }
}
