//! The shell of the fleet's view: UDP on its own thread and local executor, the core's actions carried out.
//!
//! Nothing here decides: `heathspur-members` does. The owner and this thread share a few numbers and a bounded
//! channel, and neither waits for the other.

pub(crate) mod failover;

use crate::membership::failover::Decider;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use heathspur_config::Members as Operated;
use heathspur_members::{wire, Action, Event, Id, Load, Member, Members, Settings, State};
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
pub(crate) struct Handle {
    gauge: Arc<Gauge>,
    tell: Sender<Told>,
}

impl Handle {
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
        let _ = self.tell.try_send(Told::Leave);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    /// Say that this member leaves, and go on listening.
    Leave,
    /// End, once that was said for long enough.
    Stop,
}

/// The running membership: its thread, and how to tell it what is to come.
pub(crate) struct Membership {
    gauge: Arc<Gauge>,
    tell: Sender<Told>,
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
        max_members: operated.max_members,
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

impl Membership {
    /// Binds the socket and starts the thread.
    pub(crate) fn start(operated: &Operated, decider: Option<Decider>) -> io::Result<Membership> {
        let invalid = |what: &str| io::Error::new(io::ErrorKind::InvalidInput, what.to_string());
        let settings = settings(operated);
        settings.check().map_err(|e| invalid(&e.to_string()))?;
        let advertise = v4(operated.advertise.unwrap_or(operated.listen))
            .ok_or_else(|| invalid("IPv4 is expected"))?;
        let seeds = operated.seed.iter().filter_map(|s| v4(s.address)).collect();
        let socket = UdpSocket::bind(operated.listen)?;
        let me = Member {
            id: Id(operated.id.clone()),
            address: advertise,
            zone: operated.zone.clone(),
            region: operated.region.clone(),
            version: program_version(),
            load: Load::default(),
            lag_ms: 0,
            epoch: 0,
            near: 10,
            wants: 10,
        };
        let incarnation = first_incarnation();
        let tick = TICK.min(operated.period.0 / 10);
        let core = Members::new(
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
            decider,
        };
        let thread = thread::Builder::new()
            .name("members".into())
            .spawn(move || {
                let executor = async_executor::LocalExecutor::new();
                if let Some(decider) = &keeper.decider {
                    executor.spawn(decider.checks()).detach();
                }
                if let Err(e) = async_io::block_on(executor.run(keeper.run(socket))) {
                    warn!(error = %e, "members: stopped: {e}");
                }
            })?;
        Ok(Membership {
            gauge,
            tell,
            thread: Some(thread),
        })
    }

    /// The end for the owner.
    pub(crate) fn handle(&self) -> Handle {
        Handle {
            gauge: self.gauge.clone(),
            tell: self.tell.clone(),
        }
    }

    /// Ends the thread; where the fleet was not told yet that this member leaves, it is now.
    pub(crate) fn stop(mut self) {
        let _ = self.tell.try_send(Told::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

enum Woken {
    Datagram(io::Result<(usize, SocketAddr)>),
    Time,
    Told(Told),
}

/// What the thread owns.
struct Keeper {
    core: Members,
    gauge: Arc<Gauge>,
    told: Receiver<Told>,
    tick: Duration,
    started: Instant,
    decider: Option<Decider>,
}

impl Keeper {
    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    async fn run(mut self, socket: UdpSocket) -> io::Result<()> {
        let socket = Async::new(socket)?;
        let mut buffer = vec![0u8; wire::LARGEST + 1];
        let mut out = Vec::new();
        self.core.handle(self.now(), Event::Join, &mut out);
        let (mut left, mut stop) = (None, None);
        let mut next = Instant::now();
        let mut counted = (Instant::now(), 0, 0);
        loop {
            let woken = future::or(
                async { Woken::Datagram(socket.recv_from(&mut buffer).await) },
                future::or(
                    async { Woken::Told(self.told.recv().await.unwrap_or(Told::Stop)) },
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
                Woken::Told(told) => {
                    let at = *left.get_or_insert_with(Instant::now);
                    self.core.handle(self.now(), Event::Leave, &mut out);
                    if told == Told::Stop {
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
                if let Some(decider) = self.decider.as_mut().filter(|decider| decider.is_due(now)) {
                    let view = self.core.view();
                    let stand = decider.step(&view, self.core.id());
                    self.core.set_stand(stand, &mut out);
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
            cap: self.gauge.cap.load(Ordering::Relaxed),
            refusals: counted.2,
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
        Action::Changed {
            id,
            to,
            incarnation,
            cause,
        } => {
            let state = to.map_or("gone", State::word);
            info!(member = %id, state, incarnation, cause = cause.word(), "members: {id} is {state} at incarnation {incarnation}, {}", cause.word());
        }
        Action::Incarnation(incarnation) => info!(incarnation, "members: own incarnation raised"),
        Action::Refused(told) => {
            let sender = told.last_sender.map(|s| s.to_string()).unwrap_or_default();
            let c = told.counts;
            warn!(
                new = told.new, sender = %sender, garbage = c.garbage, oversized = c.oversized, version = c.version,
                rate = c.rate, conflict = c.conflict, future = c.future, table_full = c.table_full,
                "members: {} datagrams or updates dropped, the last from {sender}", told.new
            );
        }
    }
}
