//! Starts all tasks of a server and serves until it has left.

use crate::clock::Clock;
use crate::config::Config;
use crate::event_loop::inbox::LoopEvent;
use crate::event_loop::request_table::RequestTable;
use crate::event_loop::state::{EventLoop, LinkState, PeerAddresses};
use crate::event_loop::{EVENTS, PRUNE};
use crate::frontend::accept::accept;
use crate::frontend::connection_pool::ConnectionPool;
use crate::frontend::http1;
use crate::frontend::http2;
use crate::frontend::request_queue::RequestQueues;
use crate::frontend::response_buffer::ResponseBudget;
use crate::frontend::{FrontendContext, FrontendHandle};
use crate::idempotency::IdempotencyStore;
use crate::membership::failover::ReplicaRoutes;
use crate::membership::MembershipHandle;
use crate::peers::connection::PeerAddress;
use crate::peers::interpreter;
use crate::peers::registration;
use crate::peers::store;
use crate::recording::RecorderHandle;
use crate::signals;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use async_signal::Signals;
use heathspur::Idempotency;
use heathspur_config::Http2;
use heathspur_streams::response_memory::MemoryLimits;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use tracing::info;

/// Requests of each front that may wait to be taken in.
const REQUESTS: usize = 256;
/// Callers of each front that are gone and may wait to be told.
const GONE: usize = 256;
/// Descriptors kept for the links, the log and what the standard library opens.
const SPARE: usize = 20;
/// The part of the descriptors that calls may take.
const CALLS_PART: usize = 8;
/// Entries in the table of keys at most, and the part of the memory for their results.
const KEYS: usize = 16 * 1024;
const RESULTS_PART: usize = 4;

/// Hands on what comes in one queue to the owner, in order.
async fn hand_on<T: Into<LoopEvent>>(from: Receiver<T>, to_owner: Sender<LoopEvent>) {
    while let Ok(item) = from.recv().await {
        if to_owner.send(item.into()).await.is_err() {
            return;
        }
    }
}

/// The sockets of the fronts, bound already.
pub(crate) struct Listeners {
    pub http1: TcpListener,
    /// The port for HTTP/2 and its bounds, where it is on.
    pub http2: Option<(TcpListener, Http2)>,
}

/// What the fleet's view and failover give the owner, where they are on.
#[derive(Default)]
pub(crate) struct Peers {
    pub members: Option<MembershipHandle>,
    pub replica_routes: Option<ReplicaRoutes>,
}

/// Starts all tasks and serves until the server has left.
pub(crate) async fn serve(
    executor: Rc<LocalExecutor<'static>>,
    config: Config,
    listeners: Listeners,
    signals: Signals,
    tap: Option<Rc<RecorderHandle>>,
    peers: Peers,
) -> io::Result<()> {
    let (to_owner, inbox) = async_channel::bounded(EVENTS);
    let (shutter, shutting) = async_channel::bounded(1);
    let (closed, closings) = async_channel::bounded(1);
    let settings = config.settings.clone();
    let room = listeners.http2.as_ref().map(|(_, http2)| {
        let memory = &http2.memory;
        ResponseBudget::new(MemoryLimits {
            per_connection: memory.connection.0,
            total: memory.answers.0,
        })
    });
    let desk = Rc::new(FrontendContext::new(
        config.names.clone(),
        settings
            .classes
            .iter()
            .map(|c| c.idempotency == Idempotency::Keyed)
            .collect(),
        settings.client_idle_timeout,
        shutting,
        tap.clone(),
        Rc::new(ConnectionPool::new(
            config
                .sockets
                .saturating_sub(SPARE + config.sockets / CALLS_PART),
        )),
        room.clone(),
    ));
    let interpreter = interpreter::Link::new();
    let places = config.sockets / CALLS_PART;
    let store = {
        let routes = peers.replica_routes.map(ReplicaRoutes::routes);
        store::Link::new(
            executor.clone(),
            config.store,
            places,
            to_owner.clone(),
            tap.clone(),
            routes,
        )
    };
    let targets = PeerAddresses {
        interpreter: Rc::new(PeerAddress::new(config.vm)),
        registration: Rc::new(PeerAddress::new(config.announce)),
    };
    let readiness = registration::Readiness::new();
    let mut queues = Vec::new();
    let mut front = || {
        let ((requests, queue), (gone, going)) = (
            async_channel::bounded(REQUESTS),
            async_channel::bounded(GONE),
        );
        queues.push(queue);
        executor.spawn(hand_on(going, to_owner.clone())).detach();
        FrontendHandle {
            context: desk.clone(),
            requests,
            disconnected: gone,
        }
    };
    let address = listeners.http1.local_addr()?;
    info!(%address, "listening on {address}");
    let spoken = http1::serve(executor.clone(), Rc::new(front()));
    executor
        .spawn(accept(Async::new(listeners.http1)?, desk.clone(), spoken))
        .detach();
    if let (Some((listener, bounds)), Some(room)) = (listeners.http2, room) {
        let address = listener.local_addr()?;
        info!(%address, "listening for HTTP/2 on {address}");
        let spoken = http2::serve(executor.clone(), front(), bounds, room);
        executor
            .spawn(accept(Async::new(listener)?, desk.clone(), spoken))
            .detach();
    }
    executor
        .spawn(interpreter::run(
            targets.interpreter.clone(),
            interpreter.clone(),
            to_owner.clone(),
            tap,
        ))
        .detach();
    executor
        .spawn(registration::run(
            targets.registration.clone(),
            config.name.clone(),
            readiness.clone(),
        ))
        .detach();
    executor.spawn(hand_on(closings, to_owner.clone())).detach();
    let notices = signals::SignalState::new();
    executor
        .spawn(signals::hear(signals, config.clone(), notices.clone()))
        .detach();
    let clock = Clock::start();
    let late = settings
        .classes
        .iter()
        .map(|c| c.client_timeout)
        .max()
        .unwrap_or_default();
    let owner = EventLoop {
        settings,
        frontend: desk,
        readiness,
        interpreter,
        peer_addresses: targets,
        interpreter_link: LinkState::Down,
        store,
        table: RequestTable::default(),
        idempotency: IdempotencyStore::new(KEYS, config.memory / RESULTS_PART, late),
        timers: BinaryHeap::new(),
        call_timers: BTreeSet::new(),
        next_call: 1,
        members: peers.members,
        signals: notices,
        events: Vec::new(),
        now: clock.now(),
        clock,
        seed: config.seed,
        stop: config.stop,
        controller: None,
        pending_timers: VecDeque::new(),
        next_nonce: 1,
        answered: 0,
        prune_at: clock.now() + PRUNE,
        drain: None,
        stop_accepting: shutter,
        closed,
    };
    owner.work(RequestQueues::new(queues), inbox).await;
    Ok(())
}
