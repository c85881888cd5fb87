//! Starts all tasks of a server and serves until it has left.

use crate::clock::Clock;
use crate::config::Config;
use crate::event_loop::inbox::OwnerEvent;
use crate::event_loop::request_table::Table;
use crate::event_loop::state::{LinkState, Owner, Targets};
use crate::event_loop::{EVENTS, PRUNE};
use crate::frontend::accept::accept;
use crate::frontend::connection_pool::Pool;
use crate::frontend::http1;
use crate::frontend::http2;
use crate::frontend::request_queue::Intake;
use crate::frontend::response_buffer::Room;
use crate::frontend::{Desk, Front};
use crate::idempotency::Keys;
use crate::membership::failover::Ways;
use crate::membership::Handle;
use crate::peers::connection::Target;
use crate::peers::interpreter;
use crate::peers::registration;
use crate::peers::store;
use crate::recording::recorded_stream::Tap;
use crate::signals;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use async_signal::Signals;
use heathspur::Idempotency;
use heathspur_config::Http2;
use heathspur_streams::ledger::Bounds;
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
async fn hand_on<T: Into<OwnerEvent>>(from: Receiver<T>, to_owner: Sender<OwnerEvent>) {
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
    pub members: Option<Handle>,
    pub ways: Option<Ways>,
}

/// Starts all tasks and serves until the server has left.
pub(crate) async fn serve(
    executor: Rc<LocalExecutor<'static>>,
    config: Config,
    listeners: Listeners,
    signals: Signals,
    tap: Option<Rc<Tap>>,
    peers: Peers,
) -> io::Result<()> {
    let (to_owner, inbox) = async_channel::bounded(EVENTS);
    let (shutter, shutting) = async_channel::bounded(1);
    let (closed, closings) = async_channel::bounded(1);
    let settings = config.settings.clone();
    let room = listeners.http2.as_ref().map(|(_, http2)| {
        let memory = &http2.memory;
        Room::new(Bounds {
            connection: memory.connection.0,
            all: memory.responses.0,
        })
    });
    let desk = Rc::new(Desk::new(
        config.names.clone(),
        settings
            .classes
            .iter()
            .map(|c| c.idempotency == Idempotency::Keyed)
            .collect(),
        settings.client_idle_timeout,
        shutting,
        tap.clone(),
        Rc::new(Pool::new(
            config
                .sockets
                .saturating_sub(SPARE + config.sockets / CALLS_PART),
        )),
        room.clone(),
    ));
    let interpreter = interpreter::Link::new();
    let places = config.sockets / CALLS_PART;
    let store = {
        let routes = peers.ways.map(Ways::routes);
        store::Link::new(
            executor.clone(),
            config.store,
            places,
            to_owner.clone(),
            tap.clone(),
            routes,
        )
    };
    let targets = Targets {
        vm: Rc::new(Target::new(config.vm)),
        announce: Rc::new(Target::new(config.announce)),
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
        Front {
            desk: desk.clone(),
            requests,
            gone,
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
        .spawn(interpreter::keep(
            targets.vm.clone(),
            interpreter.clone(),
            to_owner.clone(),
            tap,
        ))
        .detach();
    executor
        .spawn(registration::keep(
            targets.announce.clone(),
            config.name.clone(),
            readiness.clone(),
        ))
        .detach();
    executor.spawn(hand_on(closings, to_owner.clone())).detach();
    let notices = signals::Notices::new();
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
    let owner = Owner {
        settings,
        desk,
        readiness,
        interpreter,
        targets,
        link: LinkState::Down,
        store,
        table: Table::default(),
        keys: Keys::new(KEYS, config.memory / RESULTS_PART, late),
        timers: BinaryHeap::new(),
        call_timers: BTreeSet::new(),
        next_call: 1,
        members: peers.members,
        notices,
        events: Vec::new(),
        now: clock.now(),
        clock,
        seed: config.seed,
        stop: config.stop,
        module: None,
        due: VecDeque::new(),
        next_nonce: 1,
        answered: 0,
        prune_at: clock.now() + PRUNE,
        leaving: None,
        shutter,
        closed,
    };
    owner.work(Intake::new(queues), inbox).await;
    Ok(())
}
