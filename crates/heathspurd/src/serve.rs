//! Starts all tasks of a server and serves until it has drained.

use crate::config::Config;
use crate::event_loop::inbox::LoopEvent;
use crate::event_loop::{EventLoop, EventLoopParts, PeerAddresses, INBOX_CAPACITY};
use crate::frontend::accept::accept;
use crate::frontend::connection_pool::ConnectionPools;
use crate::frontend::http1;
use crate::frontend::http2;
use crate::frontend::request_queue::RequestQueues;
use crate::frontend::response_budget::ResponseBudget;
use crate::frontend::{FrontendContext, FrontendHandle, IncomingRequest};
use crate::idempotency::IdempotencyStore;
use crate::membership::failover::ReplicaRoutes;
use crate::membership::MembershipHandle;
use crate::peers::interpreter;
use crate::peers::registration;
use crate::peers::store;
use crate::recording::RecorderHandle;
use crate::signals::{self, SignalState};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use async_signal::Signals;
use heathspur::{Idempotency, Settings};
use heathspur_config::Http2;
use heathspur_streams::response_memory::MemoryLimits;
use std::future::Future;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use tracing::info;

/// Capacity of a frontend's queue of requests to the event loop.
const REQUEST_QUEUE_CAPACITY: usize = 256;
/// Capacity of a frontend's queue of requests whose clients have disconnected.
const DISCONNECTED_QUEUE_CAPACITY: usize = 256;
/// File descriptors reserved for the peer links, the log and the standard library.
const RESERVED_DESCRIPTORS: usize = 20;
/// The store's share of the file descriptors, as a divisor: one in 8 is reserved for connections to the store.
const STORE_DESCRIPTOR_DIVISOR: usize = 8;
/// Maximum number of entries in the idempotency store.
const MAX_IDEMPOTENCY_ENTRIES: usize = 16 * 1024;
/// The share of the memory limit for results in the idempotency store, as a divisor: a quarter.
const RESULT_MEMORY_DIVISOR: usize = 4;

/// The bound sockets of the frontends.
pub(crate) struct Listeners {
    pub http1: TcpListener,
    /// The socket for HTTP/2 and its settings, if HTTP/2 is enabled.
    pub http2: Option<(TcpListener, Http2)>,
}

/// The handles of fleet membership and of failover, if they are enabled.
pub(crate) struct FleetHandles {
    pub membership: Option<MembershipHandle>,
    /// The replicas between which failover routes the calls to the store.
    pub routes: Option<ReplicaRoutes>,
}

/// Starts all tasks and serves until the server has drained. Fails if a listening socket cannot be registered with the
/// I/O reactor.
pub(crate) async fn serve(
    executor: Rc<LocalExecutor<'static>>,
    config: Config,
    listeners: Listeners,
    signals: Signals,
    recorder: Option<Rc<RecorderHandle>>,
    fleet: FleetHandles,
) -> io::Result<()> {
    let (to_event_loop, inbox) = async_channel::bounded(INBOX_CAPACITY);
    let (stop_accepting, accepting_stopped) = async_channel::bounded(1);
    let (connection_closed, closed_connections) = async_channel::bounded(1);
    let tasks = Tasks {
        executor: executor.clone(),
        to_event_loop: to_event_loop.clone(),
    };
    let frontend = frontend_context(&config, &listeners, accepting_stopped, recorder.clone());
    let interpreter = interpreter::Link::new();
    let store = store::Link::new(
        executor,
        config.store,
        config.max_descriptors / STORE_DESCRIPTOR_DIVISOR,
        to_event_loop.clone(),
        recorder.clone(),
        fleet.routes.map(ReplicaRoutes::into_router),
    );
    let peer_addresses = PeerAddresses::new(&config);
    let readiness = registration::Readiness::new();
    let queues = start_frontends(&tasks, &frontend, listeners)?;
    tasks.spawn(interpreter::run(
        peer_addresses.interpreter.clone(),
        interpreter.clone(),
        to_event_loop,
        recorder,
    ));
    tasks.spawn(registration::run(
        peer_addresses.registration.clone(),
        config.name.clone(),
        readiness.clone(),
    ));
    tasks.forward(closed_connections);
    let signal_state = SignalState::new();
    tasks.spawn(signals::handle(
        signals,
        config.clone(),
        signal_state.clone(),
    ));
    let idempotency = idempotency_store(&config);
    let event_loop = EventLoop::new(EventLoopParts {
        settings: config.settings,
        seed: config.seed,
        stop_timeout: config.stop_timeout,
        frontend,
        readiness,
        interpreter,
        store,
        peer_addresses,
        idempotency,
        membership: fleet.membership,
        signals: signal_state,
        stop_accepting,
        connection_closed,
    });
    event_loop.run(RequestQueues::new(queues), inbox).await;
    Ok(())
}

/// Spawns tasks, including those that forward queues to the event loop's inbox.
struct Tasks {
    executor: Rc<LocalExecutor<'static>>,
    to_event_loop: Sender<LoopEvent>,
}

impl Tasks {
    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Spawns a task that forwards the items of a queue to the event loop, in order.
    fn forward<T: Into<LoopEvent> + 'static>(&self, queue: Receiver<T>) {
        self.spawn(forward(queue, self.to_event_loop.clone()));
    }
}

async fn forward<T: Into<LoopEvent>>(queue: Receiver<T>, to_event_loop: Sender<LoopEvent>) {
    while let Ok(item) = queue.recv().await {
        if to_event_loop.send(item.into()).await.is_err() {
            return;
        }
    }
}

/// Creates the state that the frontends share with the event loop.
fn frontend_context(
    config: &Config,
    listeners: &Listeners,
    accepting_stopped: Receiver<()>,
    recorder: Option<Rc<RecorderHandle>>,
) -> Rc<FrontendContext> {
    let store_descriptors = config.max_descriptors / STORE_DESCRIPTOR_DIVISOR;
    let max_connections = config
        .max_descriptors
        .saturating_sub(RESERVED_DESCRIPTORS + store_descriptors);
    let http2 = listeners.http2.as_ref().map(|(_, http2)| http2);
    let max_http2_connections = http2.map_or(max_connections, |http2| {
        http2.max_connections(config.memory_bytes as u64) as usize
    });
    Rc::new(FrontendContext::new(
        config.names.clone(),
        keyed_classes(&config.settings),
        config.settings.client_idle_timeout,
        accepting_stopped,
        recorder,
        ConnectionPools::new(max_connections, max_http2_connections),
        http2.map(response_budget),
    ))
}

/// Returns, for each class, whether its requests carry an idempotency key.
fn keyed_classes(settings: &Settings) -> Vec<bool> {
    settings
        .classes
        .iter()
        .map(|class| class.idempotency == Idempotency::Keyed)
        .collect()
}

fn response_budget(http2: &Http2) -> Rc<ResponseBudget> {
    ResponseBudget::new(MemoryLimits {
        per_connection: http2.memory.connection.0,
        total: http2.memory.responses.0,
    })
}

/// Starts the frontends and returns their request queues, one per frontend.
fn start_frontends(
    tasks: &Tasks,
    frontend: &Rc<FrontendContext>,
    listeners: Listeners,
) -> io::Result<Vec<Receiver<IncomingRequest>>> {
    let mut queues = Vec::new();
    let address = listeners.http1.local_addr()?;
    info!(%address, "listening on {address}");
    let (handle, queue) = new_frontend(tasks, frontend);
    queues.push(queue);
    let connections = http1::serve(tasks.executor.clone(), Rc::new(handle));
    let listener = Async::new(listeners.http1)?;
    let pool = frontend.connections.http1.clone();
    tasks.spawn(accept(listener, frontend.clone(), pool, connections));

    if let (Some((listener, http2)), Some(budget)) = (listeners.http2, &frontend.response_budget) {
        let address = listener.local_addr()?;
        info!(%address, "listening for HTTP/2 on {address}");
        let (handle, queue) = new_frontend(tasks, frontend);
        queues.push(queue);
        let connections = http2::serve(tasks.executor.clone(), handle, http2, budget.clone());
        let listener = Async::new(listener)?;
        let pool = frontend.connections.http2().clone();
        tasks.spawn(accept(listener, frontend.clone(), pool, connections));
    }
    Ok(queues)
}

/// Creates the handle of a new frontend and the queue of its requests.
fn new_frontend(
    tasks: &Tasks,
    frontend: &Rc<FrontendContext>,
) -> (FrontendHandle, Receiver<IncomingRequest>) {
    let (requests, queue) = async_channel::bounded(REQUEST_QUEUE_CAPACITY);
    let (disconnected, disconnections) = async_channel::bounded(DISCONNECTED_QUEUE_CAPACITY);
    tasks.forward(disconnections);
    let handle = FrontendHandle {
        context: frontend.clone(),
        requests,
        disconnected,
    };
    (handle, queue)
}

fn idempotency_store(config: &Config) -> IdempotencyStore {
    // An attempt is read at the latest when its client stops waiting for the answer.
    let max_read_delay = config
        .settings
        .classes
        .iter()
        .map(|class| class.client_timeout)
        .max()
        .unwrap_or_default();
    IdempotencyStore::new(
        MAX_IDEMPOTENCY_ENTRIES,
        config.memory_bytes / RESULT_MEMORY_DIVISOR,
        max_read_delay,
    )
}
