//! The shell of the fleet's view: UDP on its own thread and local executor, the core's actions carried out.
//!
//! Nothing here decides: `heathspur-members` does. Nothing on the owner's thread reads the view yet; failover
//! will, as a versioned snapshot, without waiting on this thread.

use async_io::{Async, Timer};
use futures_lite::future;
use heathspur_members::{wire, Action, Event, Id, Load, Member, Members, Settings, State};
use heathspur_operator::Members as Operated;
use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

/// A leaving member goes on so long to spread that it leaves.
const LEAVING: Duration = Duration::from_millis(300);

/// The running membership: its thread, and how to tell it to leave.
pub(crate) struct Membership {
    leave: async_channel::Sender<()>,
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
        probe_timeout_ms: operated.probe_timeout.0.as_millis() as u64,
        suspicion_mult: operated.suspicion,
        max_members: operated.most,
        lifeguard: operated.lifeguard,
        ..Settings::default()
    }
}

/// An incarnation that never goes back across restarts: the wall clock's milliseconds at the start. A clock
/// set back by more than the time down is the one case where it does; the recovery issue keeps it on disk.
fn first_incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_millis() as u64)
}

impl Membership {
    /// Binds the socket and starts the thread.
    pub(crate) fn start(operated: &Operated, version: u32) -> io::Result<Membership> {
        let invalid = |what: &str| io::Error::new(io::ErrorKind::InvalidInput, what.to_string());
        let settings = settings(operated);
        settings.check().map_err(|e| invalid(&e.to_string()))?;
        let advertise =
            v4(operated.advertise.unwrap_or(operated.listen)).ok_or_else(|| invalid("IPv4 is expected"))?;
        let seeds = operated.seed.iter().filter_map(|s| v4(s.address)).collect();
        let socket = UdpSocket::bind(operated.listen)?;
        let me = Member {
            id: Id(operated.id.clone()),
            address: advertise,
            zone: operated.zone.clone(),
            region: operated.region.clone(),
            version,
            load: Load::default(),
            epoch: 0,
        };
        let incarnation = first_incarnation();
        let core = Members::new(settings, me, incarnation, seeds, incarnation ^ 0x9e37_79b9_7f4a_7c15);
        let (leave, told) = async_channel::bounded(1);
        info!(member = %operated.id, incarnation, address = %advertise, "members: joining");
        let thread = thread::Builder::new().name("members".into()).spawn(move || {
            let executor = async_executor::LocalExecutor::new();
            let running = run(socket, core, told);
            if let Err(e) = async_io::block_on(executor.run(running)) {
                warn!(error = %e, "members: stopped: {e}");
            }
        })?;
        Ok(Membership { leave, thread: Some(thread) })
    }

    /// Says to the fleet that this member leaves, and ends the thread.
    pub(crate) fn leave(mut self) {
        let _ = self.leave.try_send(());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

enum Woken {
    Datagram(io::Result<(usize, SocketAddr)>),
    Tick,
    Leave,
}

async fn run(socket: UdpSocket, mut core: Members, leave: async_channel::Receiver<()>) -> io::Result<()> {
    let socket = Async::new(socket)?;
    let started = Instant::now();
    let now = || started.elapsed().as_millis() as u64;
    let tick = Duration::from_millis(20);
    let mut buffer = vec![0u8; wire::LARGEST + 1];
    let mut out = Vec::new();
    core.handle(now(), Event::Join, &mut out);
    let mut leaving: Option<Instant> = None;
    loop {
        let woken = future::or(
            async { Woken::Datagram(socket.recv_from(&mut buffer).await) },
            future::or(async { leave.recv().await.map_or(Woken::Leave, |_| Woken::Leave) }, async {
                Timer::after(tick).await;
                Woken::Tick
            }),
        )
        .await;
        match woken {
            Woken::Datagram(Ok((len, from))) => match v4(from) {
                Some(from) => core.handle(now(), Event::Datagram { from, bytes: &buffer[..len] }, &mut out),
                None => continue,
            },
            // A datagram's error (a port unreachable after a send) says nothing of the socket itself.
            Woken::Datagram(Err(_)) => continue,
            Woken::Tick => core.handle(now(), Event::Tick, &mut out),
            Woken::Leave if leaving.is_none() => {
                leaving = Some(Instant::now());
                core.handle(now(), Event::Leave, &mut out);
            }
            Woken::Leave => {}
        }
        for action in out.drain(..) {
            carry_out(&socket, action).await;
        }
        if leaving.is_some_and(|at| at.elapsed() >= LEAVING) {
            info!("members: left");
            return Ok(());
        }
    }
}

async fn carry_out(socket: &Async<UdpSocket>, action: Action) {
    match action {
        // A send that fails is a datagram lost: SWIM is made for that.
        Action::Send { to, bytes } => {
            let _ = socket.send_to(&bytes, to).await;
        }
        Action::Changed { id, to, incarnation, cause } => {
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
