//! The admission controller, which combines the modules of the crate and processes events.
//!
//! The controller owns a component from each module and passes values between them; each component
//! owns its state. A request passes through `arrival` (it is joined to its earlier attempts and
//! queued), `dispatch` (it is started), `calls` (its calls to the dependency are made) and
//! `completion` (it is answered, its run is recorded in the estimates, and its resources are
//! released). `tick` answers requests that are due and ends control periods.

mod arrival;
mod calls;
mod completion;
mod dispatch;
mod tick;

use crate::action::Action;
use crate::class_queues::ClassQueues;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::deadline_factor::DeadlineFactor;
use crate::dependency_calls::DependencyCalls;
use crate::drain::DrainState;
use crate::event::{Event, Gauges, Token};
use crate::ewma::Ewma;
use crate::idempotency_groups::IdempotencyGroups;
use crate::idle_connections::IdleConnections;
use crate::load_signal::LoadAdvertiser;
use crate::memory_guard::MemoryGuard;
use crate::overload_ceiling::OverloadCeiling;
use crate::random::Random;
use crate::rejection::RejectionAdvice;
use crate::requests::RequestTable;
use crate::run_estimates::RunEstimates;
use crate::settings::{ClassId, Settings};
use crate::slot_budgets::SlotBudgets;
use crate::stall_detector::StallDetector;
use crate::tenant_quotas::TenantQuotas;
use crate::time::{Span, Time};

/// Time between two ticks, which check for requests that are due, in seconds.
const TICK_INTERVAL_S: f64 = 0.02;
/// Length of a control period, in seconds. It is long enough for several starts of each class and
/// much shorter than the latency objectives.
const CONTROL_PERIOD_S: f64 = 0.5;
/// Largest delay of a tick, in steps of the clock.
const TICK_JITTER_STEPS: u64 = 3;
/// The token of the only timer that the controller sets.
const TICK_TOKEN: Token = Token(0);

/// The admission controller and scheduler of one server, for the lifetime of its process.
///
/// The controller does no I/O and reads no clock: the same settings, seed and events always give
/// the same actions.
#[derive(Debug)]
pub struct AdmissionController {
    settings: Settings,
    now: Time,
    started_at: Option<Time>,
    last_control_at: Time,
    random: Random,
    requests: RequestTable,
    queues: ClassQueues,
    slot_budgets: SlotBudgets,
    concurrency_limit: ConcurrencyLimit,
    overload_ceiling: OverloadCeiling,
    estimates: RunEstimates,
    deadline_factor: DeadlineFactor,
    quotas: TenantQuotas,
    idempotency: IdempotencyGroups,
    memory: MemoryGuard,
    calls: DependencyCalls,
    stall: StallDetector,
    drain: DrainState,
    rejection: RejectionAdvice,
    load: LoadAdvertiser,
    idle_connections: IdleConnections,
    /// Time that recent requests waited unread, as a fraction of the tightest latency objective.
    unread_delay: Ewma,
    /// Fraction of the cores that were busy at the last tick.
    cpu_utilization: Option<f64>,
    /// Number of running requests that needed no core at the last tick, since they waited for a
    /// disk.
    runs_off_cpu: usize,
    actions: Vec<Action>,
}

impl AdmissionController {
    /// Creates the controller of a server that has just started.
    pub fn new(settings: Settings, seed: u64) -> AdmissionController {
        let tightest_objective_s = tightest_objective_s(&settings);
        AdmissionController {
            now: Time::default(),
            started_at: None,
            last_control_at: Time::default(),
            random: Random::new(seed),
            requests: RequestTable::default(),
            queues: ClassQueues::new(&settings),
            slot_budgets: SlotBudgets::new(settings.classes.len()),
            concurrency_limit: ConcurrencyLimit::new(settings.cores),
            overload_ceiling: OverloadCeiling::new(&settings),
            estimates: RunEstimates::new(&settings.classes),
            deadline_factor: DeadlineFactor::new(),
            quotas: TenantQuotas::new(&settings.tenants, settings.servers),
            idempotency: IdempotencyGroups::default(),
            memory: MemoryGuard::new(&settings),
            calls: DependencyCalls::new(&settings, Span::from_secs(TICK_INTERVAL_S)),
            stall: StallDetector::default(),
            drain: DrainState::default(),
            rejection: RejectionAdvice::new(&settings),
            load: LoadAdvertiser::new(&settings, tightest_objective_s),
            idle_connections: IdleConnections::new(&settings),
            unread_delay: Ewma::default(),
            cpu_utilization: None,
            runs_off_cpu: 0,
            actions: Vec::new(),
            settings,
        }
    }

    /// Processes all events of a batch, then decides once and appends the resulting actions.
    ///
    /// `now` is the time of the batch, on a clock that only advances.
    pub fn decide(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        self.slot_budgets.accrue_usage(self.now);
        let mut has_ticked = false;
        if self.started_at.is_none() {
            self.start(now);
            has_ticked = true;
        }
        for event in events {
            has_ticked |= matches!(event, Event::Timer { .. });
            self.on_event(event);
        }
        if has_ticked {
            self.on_tick();
        }
        self.make_calls();
        self.dispatch();
        actions.append(&mut self.actions);
    }

    /// Returns the number of run slots that a class is guaranteed, or 0 for a class that does not
    /// exist. Slots that other classes leave idle are lent to it in addition.
    pub fn run_slot_budget(&self, class: ClassId) -> f64 {
        self.slot_budgets.budget(class.0)
    }

    /// Returns the adaptive limit on running requests.
    pub fn concurrency_limit(&self) -> f64 {
        self.concurrency_limit.get()
    }

    fn start(&mut self, now: Time) {
        self.started_at = Some(now);
        self.last_control_at = now;
        self.overload_ceiling.start(now);
        self.stall.record_progress(now);
        self.calls
            .start(now, self.settings.cold_start, &mut self.random);
        self.actions.push(Action::Health {
            healthy: true,
            cached: self.settings.costly_health_checks,
        });
    }

    fn on_event(&mut self, event: &Event) {
        match event {
            Event::Request(request) => self.on_request(request),
            Event::RunCompleted {
                id,
                outcome,
                latency,
            } => self.on_run_completed(*id, *outcome, *latency),
            Event::CallNeeded(id) => self.on_call_needed(*id),
            Event::CallCompleted {
                id,
                outcome,
                latency,
            } => self.on_call_completed(*id, *outcome, *latency),
            Event::ClientCancelled(id) => self.on_client_cancelled(*id),
            Event::Drain(remaining) => self.begin_drain(*remaining),
            Event::Timer { gauges, .. } => self.update_gauges(gauges),
        }
    }

    fn update_gauges(&mut self, gauges: &Gauges) {
        self.idle_connections
            .set_open(gauges.connections.unwrap_or(0.0));
        self.cpu_utilization = gauges.cpu;
        let running = self.requests.running();
        self.runs_off_cpu = match gauges.runnable {
            Some(runnable) => running.saturating_sub(runnable as usize),
            None => 0,
        };
    }

    /// Returns how long before its deadline a request is answered: the tick interval plus the
    /// largest delay of a tick.
    fn answer_margin(&self) -> Span {
        let jitter = TICK_JITTER_STEPS * self.settings.tick.0;
        Span(Span::from_secs(TICK_INTERVAL_S).0 + jitter)
    }

    /// Returns the server's age, in seconds.
    fn age_s(&self) -> f64 {
        self.started_at.map_or(0.0, |at| (self.now - at).secs())
    }
}

/// Returns the shortest latency objective of all classes, in seconds.
fn tightest_objective_s(settings: &Settings) -> f64 {
    settings
        .classes
        .iter()
        .map(|class| class.latency_objective.secs())
        .fold(f64::MAX, f64::min)
}
