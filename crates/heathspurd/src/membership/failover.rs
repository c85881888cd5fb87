//! Failover between zones: connects the event loop, which routes calls, with the membership thread, which runs the
//! failover state machine of `heathspur-failover`.
//!
//! The event loop counts the outcomes of its calls. The membership thread feeds these counts into the state machine and
//! publishes the resulting routing plan as a versioned snapshot. Neither thread waits for the other, except for the
//! lock on the plan, which is held only to copy or replace a pointer.

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
/// The timeout of a health check, which fails if the connection is not established by then.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// The factor by which logarithms of latencies are scaled, so that an atomic integer can hold their sum.
const LN_SCALE: f64 = 1e6;

/// Counts of calls to and health checks of the local replica since the failover worker last reset them.
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
    /// Counts a call, unless its outcome is no evidence of the replica's health.
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

    /// Counts a health check.
    fn record_check(&self, succeeded: bool) {
        let counter = if succeeded {
            &self.checks_succeeded
        } else {
            &self.checks_failed
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Passes all counts to the failover state machine and resets them.
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
    /// Whether the local replica needs health checks, because too few calls show its health.
    needs_check: AtomicBool,
    /// Increases with each published plan.
    plan_version: AtomicU64,
    plan: Mutex<Arc<RoutingPlan>>,
}

impl Shared {
    /// Publishes a plan for the event loop.
    fn publish_plan(&self, plan: RoutingPlan) {
        *self.lock_plan() = Arc::new(plan);
        self.plan_version.fetch_add(1, Ordering::Release);
    }

    /// Locks the plan, which callers do only to copy or replace the pointer. A poisoned lock is used nevertheless,
    /// because a pointer is never partly written.
    fn lock_plan(&self) -> MutexGuard<'_, Arc<RoutingPlan>> {
        self.plan.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The membership thread's part, which steps the failover state machine.
pub(crate) struct FailoverWorker {
    shared: Arc<Shared>,
    failover: Failover,
    /// The time up to which the state machine has been advanced.
    advanced_to: Instant,
    /// The last published plan.
    plan: RoutingPlan,
    without_quorum: bool,
    local_replica: SocketAddr,
    check_interval: Duration,
}

/// The data from which the event loop's thread creates its [`Router`], which cannot be moved between threads.
pub(crate) struct ReplicaRoutes {
    shared: Arc<Shared>,
    zones: Vec<String>,
    addresses: Vec<SocketAddr>,
    /// The index of the local zone.
    local_index: usize,
}

/// Creates the membership thread's part and the event loop's part of failover. `local_index` is the index of the local
/// zone's replica.
pub(crate) fn start(
    config: &FailoverConfig,
    local_index: usize,
    region: &str,
) -> (FailoverWorker, ReplicaRoutes) {
    let zones: Vec<String> = config.replica.iter().map(|r| r.zone.clone()).collect();
    let addresses: Vec<SocketAddr> = config.replica.iter().map(|r| r.address).collect();
    let shared = Arc::new(Shared::default());
    let worker = FailoverWorker {
        shared: shared.clone(),
        failover: Failover::new(
            zones.clone(),
            local_index,
            region.to_string(),
            hysteresis(config),
        ),
        advanced_to: Instant::now(),
        plan: RoutingPlan::default(),
        without_quorum: false,
        local_replica: addresses[local_index],
        check_interval: config.health_check_interval.0,
    };
    let routes = ReplicaRoutes {
        shared,
        zones,
        addresses,
        local_index,
    };
    (worker, routes)
}

/// Converts the hysteresis settings of the operator's file. The dead band is not configurable and keeps its default.
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
    /// Returns whether the next step is due, so that the caller creates the membership view only for due steps.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        now.duration_since(self.advanced_to) >= STEP_INTERVAL
    }

    /// Advances the state machine with the current membership view, and publishes a changed routing plan to the event
    /// loop. Returns the vote to publish to the other members.
    pub(crate) fn step(&mut self, view: &View, local_id: &str) -> ZoneVote {
        let elapsed_ms = self.advanced_to.elapsed().as_millis() as u32;
        self.advanced_to += Duration::from_millis(u64::from(elapsed_ms));
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
            preferred_local_traffic_tenths: preferred,
        }
    }

    /// Logs a new decision and a change of the quorum.
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
                "failover: no quorum in the local zone; only this server's own calls are rerouted"
            );
        } else {
            info!(
                without_quorum,
                "failover: quorum in the local zone restored"
            );
        }
    }

    /// Runs health checks of the local replica whenever too few calls show its health. Never completes.
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

/// Returns whether a TCP connection to the replica is established within [`CHECK_TIMEOUT`].
async fn accepts_connections(replica: SocketAddr) -> bool {
    let connected = async { Async::<TcpStream>::connect(replica).await.is_ok() };
    let timed_out = async {
        Timer::after(CHECK_TIMEOUT).await;
        false
    };
    future::or(connected, timed_out).await
}

/// Returns all other members in the view that have not left.
fn peers(view: &View, local_id: &str) -> Vec<Peer> {
    let others = view.members.iter().filter(|other| {
        let is_local = other.member.id.0 == local_id;
        !is_local && other.state != MemberState::Left
    });
    others.map(peer).collect()
}

/// Converts a member of the view into a peer of the failover state machine.
fn peer(snapshot: &MemberSnapshot) -> Peer {
    let MemberSnapshot { member, state, .. } = snapshot;
    Peer {
        zone: member.zone.clone(),
        region: member.region.clone(),
        live: state.is_live(),
        load: PeerLoad {
            concurrency_limit: member.load.concurrency_limit,
            in_flight: member.load.in_flight,
        },
        ballot: Ballot {
            accepted: Decision {
                epoch: member.decision_epoch,
                local_traffic_tenths: member.local_traffic_tenths,
            },
            preferred: member.preferred_local_traffic_tenths,
        },
    }
}

/// The event loop's part, which routes calls by the published plan.
pub(crate) struct Router {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
    /// The index of the local zone.
    local_index: usize,
    /// The version of the plan that `picker` uses.
    plan_version: Cell<u64>,
    picker: RefCell<ReplicaPicker>,
}

impl ReplicaRoutes {
    /// Creates the router. Must be called on the event loop's thread.
    pub(crate) fn into_router(self) -> Rc<Router> {
        Rc::new(Router {
            picker: RefCell::new(ReplicaPicker::new(self.zones, self.local_index)),
            shared: self.shared,
            addresses: self.addresses,
            local_index: self.local_index,
            plan_version: Cell::new(0),
        })
    }
}

impl Router {
    /// Returns the route of the next call, or `None` if the plan sends it to another zone and no remote replica has
    /// capacity for it.
    pub(crate) fn pick(self: &Rc<Router>) -> Option<Route> {
        self.update_plan();
        let replica = self.picker.borrow_mut().pick()?;
        Some(Route {
            router: self.clone(),
            replica,
            started_at: Instant::now(),
            completed: Cell::new(false),
        })
    }

    /// Passes the published plan to the picker if it is a new one.
    fn update_plan(&self) {
        let version = self.shared.plan_version.load(Ordering::Acquire);
        if self.plan_version.replace(version) != version {
            let plan = self.shared.lock_plan().clone();
            self.picker.borrow_mut().set_plan(RoutingPlan::clone(&plan));
        }
    }
}

/// The route of one call to a replica. Dropping it releases the capacity that the call occupies.
pub(crate) struct Route {
    router: Rc<Router>,
    /// The index of the replica.
    replica: usize,
    started_at: Instant,
    /// Whether the outcome has been counted.
    completed: Cell<bool>,
}

impl Route {
    /// Returns the address of the replica.
    pub(crate) fn address(&self) -> SocketAddr {
        self.router.addresses[self.replica]
    }

    /// Counts the outcome of the call if it went to the local replica. Only the first outcome counts.
    pub(crate) fn complete(&self, outcome: Outcome) {
        if self.replica != self.router.local_index || self.completed.replace(true) {
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
