//! The shell of failover: the event loop's calls are counted for the membership thread, whose routing plan comes back
//! as a versioned snapshot. `heathspur-failover` makes the decisions, and neither side waits for the other.

use async_io::{Async, Timer};
use futures_lite::future;
use heathspur::Outcome;
use heathspur_config::units::Span;
use heathspur_config::Failover as FailoverConfig;
use heathspur_failover::call_budget::PeerLoad;
use heathspur_failover::decision_register::{Ballot, Decision, Hysteresis};
use heathspur_failover::replica_health::{call_succeeded, ln_latency_ms, CompletedCalls};
use heathspur_failover::replica_picker::ReplicaPicker;
use heathspur_failover::zone_failover::{Failover, Peer, RoutingPlan, StepOutcome};
use heathspur_members::{MemberSnapshot, MemberState, View, ZoneVote};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tracing::info;

/// The interval between steps of the failover state machine.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// A health check fails if its connection takes longer.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Logarithms of latencies cross threads as integers in this fraction of a unit.
const LN_SCALE: f64 = 1e6;

/// Counts of calls and health checks of the local replica that the failover worker has not taken yet.
#[derive(Default)]
struct Counters {
    calls_succeeded: AtomicU32,
    calls_failed: AtomicU32,
    /// The sum of the logarithms of the successful calls' latencies, scaled by [`LN_SCALE`].
    latency_ln_sum: AtomicI64,
    checks_succeeded: AtomicU32,
    checks_failed: AtomicU32,
}

impl Counters {
    fn record_call(&self, outcome: Outcome, latency: Duration) {
        match call_succeeded(outcome) {
            Some(true) => {
                self.calls_succeeded.fetch_add(1, Ordering::Relaxed);
                let latency_ln = (ln_latency_ms(latency) * LN_SCALE) as i64;
                self.latency_ln_sum.fetch_add(latency_ln, Ordering::Relaxed);
            }
            Some(false) => {
                self.calls_failed.fetch_add(1, Ordering::Relaxed);
            }
            None => {}
        }
    }

    fn record_check(&self, succeeded: bool) {
        let counter = if succeeded {
            &self.checks_succeeded
        } else {
            &self.checks_failed
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Moves all counts into the failover state machine.
    fn drain_into(&self, failover: &mut Failover) {
        let take = |counter: &AtomicU32| counter.swap(0, Ordering::Relaxed);
        let succeeded = take(&self.calls_succeeded);
        let failed = take(&self.calls_failed);
        let latency_ln_sum = self.latency_ln_sum.swap(0, Ordering::Relaxed) as f64 / LN_SCALE;
        if succeeded + failed > 0 {
            failover.record_calls(CompletedCalls {
                succeeded,
                failed,
                latency_ln_sum,
            });
        }
        (0..take(&self.checks_succeeded)).for_each(|_| failover.record_check(true));
        (0..take(&self.checks_failed)).for_each(|_| failover.record_check(false));
    }
}

/// The state that the event loop and the membership thread share.
#[derive(Default)]
struct Shared {
    counters: Counters,
    /// Whether the local replica needs health checks.
    needs_check: AtomicBool,
    /// Rises with each plan.
    plan_version: AtomicU64,
    plan: Mutex<Arc<RoutingPlan>>,
}

impl Shared {
    fn publish_plan(&self, plan: RoutingPlan) {
        *self.lock_plan() = Arc::new(plan);
        self.plan_version.fetch_add(1, Ordering::Release);
    }

    /// Locked for no longer than the exchange of a pointer; a poisoned lock still has a whole plan.
    fn lock_plan(&self) -> MutexGuard<'_, Arc<RoutingPlan>> {
        self.plan.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The membership thread's end: steps the failover state machine.
pub(crate) struct FailoverWorker {
    shared: Arc<Shared>,
    failover: Failover,
    stepped_at: Instant,
    plan: RoutingPlan,
    without_quorum: bool,
    local_replica: SocketAddr,
    check_interval: Duration,
}

/// The event loop's end, before it is moved to the event loop's thread.
pub(crate) struct ReplicaRoutes {
    shared: Arc<Shared>,
    zones: Vec<String>,
    addresses: Vec<SocketAddr>,
    home: usize,
}

/// Creates both ends; `home` is the index of the local zone's replica.
pub(crate) fn start(
    config: &FailoverConfig,
    home: usize,
    region: &str,
) -> (FailoverWorker, ReplicaRoutes) {
    let zones: Vec<String> = config.replica.iter().map(|r| r.zone.clone()).collect();
    let addresses: Vec<SocketAddr> = config.replica.iter().map(|r| r.address).collect();
    let shared = Arc::new(Shared::default());
    let worker = FailoverWorker {
        shared: shared.clone(),
        failover: Failover::new(zones.clone(), home, region.to_string(), hysteresis(config)),
        stepped_at: Instant::now(),
        plan: RoutingPlan::default(),
        without_quorum: false,
        local_replica: addresses[home],
        check_interval: config.health_check_interval.0,
    };
    let routes = ReplicaRoutes {
        shared,
        zones,
        addresses,
        home,
    };
    (worker, routes)
}

/// The hysteresis by the names of the operator's file; the dead band keeps its default.
fn hysteresis(config: &FailoverConfig) -> Hysteresis {
    let milliseconds = |span: Span| span.0.as_millis() as u32;
    Hysteresis {
        minimum_hold_ms: milliseconds(config.minimum_hold),
        failover_delay_ms: milliseconds(config.failover_delay),
        recovery_delay_ms: milliseconds(config.recovery_delay),
        ..Hysteresis::default()
    }
}

impl FailoverWorker {
    /// Whether the next step is due; the view is not read at each turn of the thread.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        now.duration_since(self.stepped_at) >= STEP_INTERVAL
    }

    /// Steps with the current view and publishes the routing plan; returns the vote to publish to other members.
    pub(crate) fn step(&mut self, view: &View, local_id: &str) -> ZoneVote {
        let elapsed_ms = self.stepped_at.elapsed().as_millis() as u32;
        self.stepped_at += Duration::from_millis(u64::from(elapsed_ms));
        self.shared.counters.drain_into(&mut self.failover);
        let outcome = self.failover.step(elapsed_ms, &peers(view, local_id));
        self.log_changes(&outcome);
        let Ballot {
            accepted,
            preferred,
        } = outcome.ballot;
        let needs_check = &self.shared.needs_check;
        needs_check.store(outcome.needs_check, Ordering::Relaxed);
        if outcome.plan != self.plan {
            self.plan = outcome.plan.clone();
            self.shared.publish_plan(outcome.plan);
        }
        ZoneVote {
            decision_epoch: accepted.epoch,
            local_traffic_tenths: accepted.local_traffic_tenths,
            preferred_tenths: preferred,
        }
    }

    fn log_changes(&mut self, outcome: &StepOutcome) {
        if let Some(decision) = outcome.new_decision {
            let Decision {
                epoch,
                local_traffic_tenths: tenths,
            } = decision;
            info!(
                epoch,
                local_traffic_tenths = tenths,
                "failover: accepted decision of epoch {epoch}: {tenths} tenths of the traffic stay local"
            );
        }
        let without_quorum = outcome.without_quorum;
        if without_quorum == self.without_quorum {
            return;
        }
        self.without_quorum = without_quorum;
        if without_quorum {
            info!(
                without_quorum,
                "failover: no quorum of the zone: only this server's own calls move"
            );
        } else {
            info!(without_quorum, "failover: quorum of the zone restored");
        }
    }

    /// Checks the local replica while too few calls show its health; never completes.
    pub(crate) fn run_checks(&self) -> impl std::future::Future<Output = ()> {
        let (shared, replica) = (self.shared.clone(), self.local_replica);
        let interval = self.check_interval;
        async move {
            loop {
                Timer::after(interval).await;
                if shared.needs_check.load(Ordering::Relaxed) {
                    let succeeded = accepts_connections(replica).await;
                    shared.counters.record_check(succeeded);
                }
            }
        }
    }
}

/// Whether a TCP connection to the replica is established in time.
async fn accepts_connections(replica: SocketAddr) -> bool {
    let connected = async { Async::<TcpStream>::connect(replica).await.is_ok() };
    let timed_out = async {
        Timer::after(CHECK_TIMEOUT).await;
        false
    };
    future::or(connected, timed_out).await
}

/// All other members in the view that have not left.
fn peers(view: &View, local_id: &str) -> Vec<Peer> {
    let others = view.members.iter().filter(|other| {
        let is_local = other.member.id.0 == local_id;
        !is_local && other.state != MemberState::Left
    });
    others.map(peer).collect()
}

fn peer(snapshot: &MemberSnapshot) -> Peer {
    let MemberSnapshot { member, state, .. } = snapshot;
    Peer {
        zone: member.zone.clone(),
        region: member.region.clone(),
        live: state.live(),
        load: PeerLoad {
            concurrency_limit: member.load.concurrency_limit,
            in_flight: member.load.in_flight,
        },
        ballot: Ballot {
            accepted: Decision {
                epoch: member.decision_epoch,
                local_traffic_tenths: member.local_traffic_tenths,
            },
            preferred: member.preferred_tenths,
        },
    }
}

/// The routing of calls, on the event loop's thread.
pub(crate) struct Router {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
    home: usize,
    plan_version: Cell<u64>,
    picker: RefCell<ReplicaPicker>,
}

impl ReplicaRoutes {
    /// The router, once on the event loop's thread.
    pub(crate) fn into_router(self) -> Rc<Router> {
        Rc::new(Router {
            picker: RefCell::new(ReplicaPicker::new(self.zones, self.home)),
            shared: self.shared,
            addresses: self.addresses,
            home: self.home,
            plan_version: Cell::new(0),
        })
    }
}

impl Router {
    /// The route of the next call; `None` if the replica that is due has no capacity for it.
    pub(crate) fn pick(self: &Rc<Router>) -> Option<Route> {
        self.take_new_plan();
        let replica = self.picker.borrow_mut().pick()?;
        Some(Route {
            router: self.clone(),
            replica,
            started_at: Instant::now(),
            completed: Cell::new(false),
        })
    }

    fn take_new_plan(&self) {
        let version = self.shared.plan_version.load(Ordering::Acquire);
        if self.plan_version.replace(version) != version {
            let plan = self.shared.lock_plan().clone();
            self.picker.borrow_mut().set_plan(RoutingPlan::clone(&plan));
        }
    }
}

/// The route of one call to a replica, released when it is dropped.
pub(crate) struct Route {
    router: Rc<Router>,
    replica: usize,
    started_at: Instant,
    completed: Cell<bool>,
}

impl Route {
    pub(crate) fn address(&self) -> SocketAddr {
        self.router.addresses[self.replica]
    }

    /// Counts the outcome of a call to the local replica, once.
    pub(crate) fn complete(&self, outcome: Outcome) {
        if self.replica != self.router.home || self.completed.replace(true) {
            return;
        }
        let counters = &self.router.shared.counters;
        counters.record_call(outcome, self.started_at.elapsed());
    }
}

impl Drop for Route {
    fn drop(&mut self) {
        self.router.picker.borrow_mut().release(self.replica);
    }
}
