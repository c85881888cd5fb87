//! Every decision of one server: what it holds, runs, turns away and tells its callers.
//!
//! Types, events and actions stand in `interface.rs` beside this file. The path of a request, top to
//! bottom: `take` (read, linked, held), `dispatch` (run), `calls` (what it needs below), `done`
//! (learned from); `control` sets budgets, cap and signals each period; `sweep` answers what is due.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// Seconds between looks at what is due; an answer may be early by this much.
const SWEEP: f64 = 0.02;
/// Seconds of one control period S: long enough for a few starts a class, short against the aims.
const PERIOD: f64 = 0.5;
/// The design's g, slots a second of error, and r, the part of the last error that is taken off again.
const GAIN: f64 = -0.80;
const LAG: f64 = 0.30;
/// Slots that a class keeps however low its control falls, so that none starves unseen.
const MIN_BUDGET: f64 = 1.0;
/// The wanted wait W_k, as a part of the aim less the run time, and at least, as a part of the aim.
const WAIT_SHARE: f64 = 0.5;
const WAIT_FLOOR: f64 = 0.1;
/// The running cap is multiplied by the one when run times over their quiet level pass the other.
const CAP_CUT: f64 = 0.85;
const STRETCH: f64 = 1.15;
/// Part of a core that must stand idle for the cap to grow: on busy cores one more run only slows the others,
/// and reading with them. Hurts where the gauge counts as busy what waits for a disk.
const CAP_ROOM: f64 = 0.5;
/// Part of the crowd that a server survives which may be in flight.
const CROWD_PART: f64 = 0.8;
/// Parts of the memory up to which runs are started, and requests held and keys entered.
const RUN_MEMORY: f64 = 0.85;
const HOLD_MEMORY: f64 = 0.93;
/// Runs a core that must still find memory beside the keys.
const KEY_LEAVES: f64 = 1.5;
/// Weight of a new sample in what is learned quickly, and in what must keep a quiet level.
const FAST: f64 = 0.1;
const SLOW: f64 = 0.01;
/// Parts of its aim that a run is taken to need before any has ended, and at most, whatever its hint.
const RUN_GUESS: f64 = 0.15;
const RUN_MOST: f64 = 0.5;
/// Part of its aim that a request queues before the work ahead of it may have it turned away.
const QUEUE_PART: f64 = 0.1;
/// Part of the runs that may end in vain: the time that the line may be reckoned to take goes by it in steps,
/// down to the least part of what is left, and a run's own down to its least.
const VAIN_PART: f64 = 0.1;
const FIT_STEP: f64 = 0.1;
const FIT_LEAST: f64 = 0.25;
const FIT_RUN: f64 = 0.5;
/// Weight of a run in the mean of its class.
const RUN_WEIGHT: f64 = 0.05;
/// Runs from which it is judged how far hints tell, and the mean square of what they differ by.
const HINT_SAMPLES: f64 = 8.0;
const HINT_SPREAD: f64 = 0.01;
/// Part of the longest advice to stay away that a refusal for want of room carries.
const ADVICE_PART: f64 = 0.5;
/// The same a server for what is beyond a share: with few others to go to, what is within would stay away.
const ADVICE_OVER: f64 = 0.01;
/// Run times that must be left for a try elsewhere to be of use.
const ELSEWHERE: f64 = 2.0;
/// The most that one request may be reckoned larger or smaller than its class's mean, by its hint.
const SIZE_MOST: f64 = 4.0;
/// Seconds without any progress, and the same in run times, after which work counts as stalled.
const STALL: f64 = 1.0;
const STALL_RUNS: f64 = 3.0;
/// Seconds of its quota that a tenant may send at once, and requests that chance may add to them.
const QUOTA_BURST: f64 = 2.0;
const QUOTA_CHANCE: f64 = 4.0;
/// Parts of our part of a shared dependency: that we use at most, and from which calls in hand grow.
const PART_USED: f64 = 0.9;
const PART_LEAST: f64 = 0.33;
/// Seconds of paced calls that may come at once, and the part of them kept for calls that must be made.
const PACE_BURST: f64 = 1.0;
const PACE_KEPT: f64 = 0.5;
/// Part of the time between two calls that are rarer than the window, in which one saved up may begin.
const PACE_SLOT: f64 = 0.25;
/// The first call is of unknown length: lingers that it may take, itself and abandoned, and as much again.
const FIRST_LINGERS: f64 = 4.0;
/// Call time over its quiet level past which fewer calls are made at once, and by how much.
const CALL_STRETCH: f64 = 2.0;
const CALL_CUT: f64 = 0.7;
/// Usual call times after which a call that may be repeated counts as lost. Hurts a class of far longer ones.
const CALL_HANG: f64 = 6.0;
/// Times that one call is made, and seconds before the first repeat (doubled for each).
const CALL_TRIES: u32 = 4;
const CALL_BACKOFF: f64 = 0.05;
/// Part of the aim that a request waits for a call it could leave out.
const SKIP_WAIT: f64 = 0.1;
/// Idle connections for each request read meanwhile: past which most serve one request, and below which many.
const IDLE_MANY: f64 = 0.5;
const IDLE_FEW: f64 = 0.2;
/// Requests that must be read in that time to judge by, and the part turned away that calls for a full table.
const IDLE_SAMPLE: f64 = 8.0;
const IDLE_DOOR: f64 = 0.7;
/// Steps a period in which a full table opens again while under that part of the cores is busy.
const IDLE_EASE: f64 = 0.9;
const IDLE_BUSY: f64 = 0.7;
/// Part of the tightest aim that the hold may take to clear before the level rises, and its steps a period.
const CLEAR_PART: f64 = 0.25;
const LEVEL_UP: f64 = 0.10;
const LEVEL_DOWN: f64 = 0.04;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Phase {
    #[default]
    Held,
    Running,
    /// Stands at a call since then, not to be made before.
    AtCall(Time),
    /// The call is out since then, for so many seconds at the most.
    Calling(Time, f64),
    /// Waits for the result of the request it repeats.
    Attached,
}

#[derive(Default)]
struct Req {
    class: usize,
    line: usize,
    arrived: Time,
    due: Time,
    /// When an answer stops earning its full worth, as far as can be told here.
    aim: Time,
    kb: f64,
    /// Its work against the class's mean.
    size: f64,
    /// Its caller told its patience, so its age is known.
    told: bool,
    phase: Phase,
    /// It was run: never refused any more unless safe.
    ran: bool,
    /// An answer is still owed.
    owed: bool,
    /// Seconds spent at calls, and when the last call was reached.
    away: f64,
    reached: Time,
    began: Time,
    crowd: f64,
    tries: u32,
    /// The first try of the same keyed request.
    root: Option<RequestId>,
    repeats: Option<RequestId>,
}

/// The tries of one keyed request.
struct Group {
    ran: bool,
    /// The entry in the table belongs to this try, until then.
    entry: Option<(RequestId, Time)>,
    held: Vec<RequestId>,
    forget_at: Time,
}

/// PI control and what is learned of one class.
#[derive(Default)]
struct Control {
    slots: f64,
    budget: f64,
    error: f64,
    wait_sum: f64,
    starts: f64,
    running: usize,
    /// Slot seconds held in this period.
    used: f64,
    /// Seconds of a run of mean size, with its calls; and of its work alone, undisturbed.
    run: Mean,
    quiet: Mean,
    cost: Mean,
    /// How far run times follow hints: the product of what both differ from their means, and hints' square.
    follows: Mean,
    squares: Mean,
}

impl Control {
    /// Learns from a run of that size by its hint that took so many seconds.
    fn learn_run(&mut self, took: f64, size: f64) {
        if self.run.count > 0.0 {
            self.follows.add(
                (took / self.run.value.max(1e-6) - 1.0) * (size - 1.0),
                RUN_WEIGHT,
            );
            self.squares.add((size - 1.0) * (size - 1.0), RUN_WEIGHT);
        }
        self.run.add(took / size, RUN_WEIGHT);
    }

    /// A request's size as far as hints have told run times so far; all of it until shown otherwise.
    fn telling(&self, size: f64) -> f64 {
        let shown = self.squares.count >= HINT_SAMPLES && self.squares.value > HINT_SPREAD;
        let part = if shown {
            (self.follows.value / self.squares.value).clamp(0.0, 1.0)
        } else {
            1.0
        };
        1.0 + (size - 1.0) * part
    }
}

/// A running mean: plain at first, then with a fixed weight for what is new.
#[derive(Clone, Copy, Default)]
struct Mean {
    value: f64,
    count: f64,
}

impl Mean {
    fn add(&mut self, sample: f64, weight: f64) {
        self.count += 1.0;
        self.value += (sample - self.value) * weight.max(1.0 / self.count);
    }
    fn or(&self, guess: f64) -> f64 {
        [guess, self.value][usize::from(self.count > 0.0)]
    }
}

#[derive(Default)]
struct TenantShare {
    tokens: f64,
    arrivals: f64,
    rate: f64,
}

/// The decisions of one server, from its start to its end.
#[derive(Default)]
pub struct AdmissionController {
    set: Settings,
    now: Time,
    born: Option<Time>,
    random: u64,
    reqs: BTreeMap<RequestId, Req>,
    /// A FIFO hold for each line: class k within the tenant's share is 2k, beyond it 2k + 1.
    holds: Vec<VecDeque<RequestId>>,
    order: Vec<usize>,
    controls: Vec<Control>,
    tenants: Vec<TenantShare>,
    groups: BTreeMap<RequestId, Group>,
    links: BTreeMap<RequestId, RequestId>,
    entries: usize,
    memory: f64,
    kb: Mean,
    on_core: usize,
    /// Of these, those that wanted no core at the last sweep, but waited for a disk.
    on_disk: usize,
    at_calls: usize,
    calling: usize,
    cap: f64,
    /// Part of the cores that were busy of late, by the gauge.
    busy: Option<f64>,
    stretch: Mean,
    since_cut: f64,
    /// Part of what is left of its aim that a held request's queue and run may be reckoned to take: what they
    /// take is a mean, and half of what starts with just that left ends in vain.
    fit: f64,
    call_quiet: Mean,
    call_time: Mean,
    call_cap: f64,
    /// Part of the calls of late that were not turned away below.
    taken: Mean,
    /// Call seconds of ours at a shared dependency: that pacing still grants, and when it was last brought
    /// forward; that calls in hand may take; and that each ended call took, until it leaves the mean.
    pace: f64,
    paced_at: Time,
    promised: f64,
    spent: VecDeque<(Time, f64)>,
    progress: Time,
    stalled: bool,
    drain: Option<(Time, Time)>,
    level: f64,
    said: f64,
    /// Requests read in this period and a second of late, connections open, and the time that idle ones stay.
    reads: f64,
    read_rate: Mean,
    turned: Mean,
    open: f64,
    idle: f64,
    /// Part of the tightest aim that requests of late waited to be read, and until when the table stays full.
    unread: Mean,
    shut: Time,
    period_at: Time,
    used_at: Time,
    out: Vec<Action>,
}

impl AdmissionController {
    /// A server that has just started, with nothing but its settings.
    pub fn new(set: Settings, seed: u64) -> AdmissionController {
        let (n, cores, servers) = (
            set.classes.len(),
            set.cores.max(1) as f64,
            set.servers.max(1) as f64,
        );
        // The lines by worth: that of the class, less beyond a tenant's share.
        let worth = |line: &usize| {
            set.classes[line / 2].priority_weight * [1.0, set.over_quota_weight.max(0.01)][line % 2]
        };
        let mut order: Vec<usize> = (0..2 * n).collect();
        order.sort_by(|a, b| worth(b).total_cmp(&worth(a)));
        let share = |t: &Tenant| {
            let rate = t.quota_per_s / servers;
            TenantShare {
                tokens: rate * QUOTA_BURST + QUOTA_CHANCE,
                arrivals: 0.0,
                rate,
            }
        };
        AdmissionController {
            random: seed,
            holds: vec![VecDeque::new(); 2 * n],
            order,
            controls: (0..n)
                .map(|_| Control {
                    budget: MIN_BUDGET,
                    ..Control::default()
                })
                .collect(),
            tenants: set.tenants.iter().map(share).collect(),
            cap: cores,
            fit: 1.0,
            taken: Mean {
                value: 1.0,
                count: 1.0 / FAST,
            },
            call_cap: match set.dependency {
                Dependency::Shared {
                    capacity_share: part,
                    ..
                } => PART_LEAST * part,
                _ => 1.0,
            },
            idle: set.client_idle_timeout.secs(),
            set,
            ..AdmissionController::default()
        }
    }

    /// Takes in all events of a batch, then acts once.
    pub fn decide(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        self.count_used();
        let mut swept = false;
        if self.born.is_none() {
            self.born = Some(now);
            (self.paced_at, self.progress, self.period_at) = (now, now, now);
            self.draw_first_call();
            self.out.push(Action::Health {
                healthy: true,
                cached: self.set.costly_health_checks,
            });
            swept = true;
        }
        for event in events {
            match event {
                Event::Request(r) => self.take(r),
                Event::RunCompleted {
                    id,
                    outcome,
                    latency,
                } => self.done(*id, *outcome, *latency),
                Event::CallNeeded(id) => self.needs_call(*id),
                Event::CallCompleted {
                    id,
                    outcome,
                    latency,
                } => self.called(*id, *outcome, *latency),
                Event::ClientCancelled(id) => self.gone(*id),
                Event::Drain(left) => self.leave(*left),
                Event::Timer { gauges, .. } => {
                    (self.open, swept) = (gauges.connections.unwrap_or(0.0), true);
                    self.busy = gauges.cpu;
                    self.on_disk = self.on_core
                        - gauges
                            .runnable
                            .map_or(self.on_core, |r| self.on_core.min(r as usize));
                }
            }
        }
        if swept {
            self.sweep();
            if self.now - self.period_at >= Span::from_secs(PERIOD) {
                self.control();
            }
            self.out.push(Action::SetTimer {
                after: Span::from_secs(SWEEP),
                token: Token(0),
            });
        }
        self.calls();
        self.dispatch();
        actions.append(&mut self.out);
    }

    /// Run slots that the class is granted before idle ones are lent.
    pub fn run_slot_budget(&self, class: ClassId) -> f64 {
        self.controls.get(class.0).map_or(0.0, |c| c.budget)
    }

    /// Requests that may be on the cores at once.
    pub fn concurrency_limit(&self) -> f64 {
        self.cap
    }

    // ---- A request comes in ----

    fn take(&mut self, r: &Request) {
        let k = r.class.0;
        if k >= self.set.classes.len() || self.reqs.contains_key(&r.id) {
            return;
        }
        let class = &self.set.classes[k];
        let (effect, window) = (class.idempotency, class.dedup_window);
        let arrived = self.now - r.queueing_delay;
        let due = r
            .remaining_deadline
            .map_or(arrived + class.client_timeout, |left| self.now + left);
        let cost = r.cost_hint.unwrap_or(1.0).max(1e-6);
        self.controls[k].cost.add(cost, SLOW);
        let size = (cost / self.controls[k].cost.value).clamp(1.0 / SIZE_MOST, SIZE_MOST);
        let run = self.controls[k]
            .run
            .or(RUN_GUESS * class.latency_objective.secs());
        let aim_span = Span::from_secs(
            class.latency_objective.secs() + class.latency_objective_per_work * run * size,
        )
        .min(class.client_timeout);
        // A told patience tells the age of the first try only where more of it is left than an answer may be
        // late: a try may be given up long before the client is. No first try is younger than this one.
        let late_span = Span(class.client_timeout.0 - aim_span.0);
        let aged = r.remaining_deadline.filter(|&left| left > late_span);
        let aim = (arrived + aim_span).min(aged.map_or(due, |_| due - late_span));
        let beyond = r
            .tenant
            .is_some_and(|t| !self.within_share(t.0, r.is_retry));
        // Where a caller tells no patience, a marked retry mostly comes after its aim has passed elsewhere.
        let over = beyond || r.is_retry && r.remaining_deadline.is_none();
        let mut req = Req {
            class: k,
            line: 2 * k + usize::from(over),
            arrived,
            due: self.drain.map_or(due, |(_, stop)| due.min(stop)),
            aim,
            kb: r.queued_memory_kb,
            size,
            told: r.remaining_deadline.is_some(),
            owed: true,
            repeats: r.previous_attempt,
            ..Req::default()
        };
        self.reads += 1.0;
        self.unread
            .add(r.queueing_delay.secs() / self.tightest(), FAST);
        self.memory += r.queued_memory_kb;
        self.kb.add(r.queued_memory_kb, SLOW);
        let line = req.line;
        let admitted = effect != Idempotency::Keyed || self.link(r.id, &mut req, window);
        self.reqs.insert(r.id, req);
        let too_late = self
            .drain
            .is_some_and(|(since, _)| arrived > since + self.set.drain_grace);
        if self.now + self.margin() >= due || too_late || !admitted || self.stalled {
            self.give_up(r.id);
        } else if self.group_ran(r.id) {
            self.attach(r.id);
        } else {
            self.holds[line].push_back(r.id);
        }
        self.shed_for_memory();
    }

    /// Whether a request is within its tenant's local share. Further tries spend nothing: they take the
    /// standing that their tenant has now.
    fn within_share(&mut self, tenant: usize, retry: bool) -> bool {
        let Some(t) = self.tenants.get_mut(tenant) else {
            return true;
        };
        let (within, spent) = (t.tokens >= 1.0, f64::from(u8::from(!retry)));
        t.arrivals += spent;
        t.tokens -= if within { spent } else { 0.0 };
        within
    }

    /// Links the tries of one keyed request, by the table's word; false when no entry fits.
    ///
    /// Each try is entered when read, so a repeat is known while the first is held, run or remembered.
    fn link(&mut self, id: RequestId, req: &mut Req, window: Span) -> bool {
        let now = self.now;
        let root = req
            .repeats
            .map_or(id, |prior| self.links.get(&prior).copied().unwrap_or(prior));
        // A repeat of what we know nothing of: some try of it has run.
        let ran = req.repeats.is_some() && !self.groups.contains_key(&root);
        let leave = KEY_LEAVES * self.set.cores as f64 * self.kb.value * self.set.run_memory_factor;
        let (most, entries) = (HOLD_MEMORY * self.set.memory_kb, (self.entries + 1) as f64);
        let fits = entries * self.set.dedup_entry_kb <= most - leave
            && self.memory + self.set.dedup_entry_kb <= most;
        let forget_at = now + Span(2 * window.0);
        let group = self.groups.entry(root).or_insert(Group {
            ran,
            entry: None,
            held: Vec::new(),
            forget_at,
        });
        group.forget_at = forget_at;
        self.links.insert(id, root);
        req.root = Some(root);
        if group.ran {
            return true;
        }
        if group.entry.is_none() {
            if !fits {
                return false;
            }
            self.entries += 1;
            self.memory += self.set.dedup_entry_kb;
        }
        group.entry = Some((id, now + window));
        group.held.push(id);
        self.out.push(Action::RetainResult { id, ttl: window });
        true
    }

    fn group_ran(&self, id: RequestId) -> bool {
        let root = self.reqs.get(&id).and_then(|r| r.root);
        root.and_then(|root| self.groups.get(&root))
            .is_some_and(|g| g.ran)
    }

    /// Answers a repeat with the result of the try that runs or ran; fails it where memory is short, since
    /// one that waits for a result can no longer be shed.
    fn attach(&mut self, id: RequestId) {
        let Some(req) = self.reqs.get_mut(&id) else {
            return;
        };
        req.phase = Phase::Attached;
        if req.repeats.is_some() && self.memory <= HOLD_MEMORY * self.set.memory_kb {
            self.out.push(Action::ReplayResult(id));
        } else {
            self.give_up(id);
        }
    }

    // ---- It is started ----

    /// Fills free slots: the class worth most within its budget first, then idle slots are lent.
    fn dispatch(&mut self) {
        if self.stalled {
            return;
        }
        loop {
            let ceiling = self.crowd() * CROWD_PART;
            let cap = self.cap.min(ceiling).max(1.0).floor() as usize;
            // What waits below comes back to the cores: where they survive but one or two, a place rounded up
            // past the ceiling is one too many.
            let all = (self.on_core + self.at_calls) as f64;
            if self.on_core >= cap + self.on_disk || all >= ceiling || all + 1.0 > self.crowd() {
                return;
            }
            // With none at a call nobody comes back to the cores: waiting for room there would never end.
            let calls_full = self.at_calls > 0 && (self.at_calls + cap) as f64 >= ceiling;
            let (mut chosen, mut lent) = (None, None);
            for i in 0..self.order.len() {
                let line = self.order[i];
                if calls_full && self.set.classes[line / 2].may_call || !self.trim(line) {
                    continue;
                }
                lent = lent.or(Some(line));
                let control = &self.controls[line / 2];
                if line % 2 == 0 && (control.running as f64) < control.budget {
                    chosen = Some(line);
                    break;
                }
            }
            let Some(line) = chosen.or(lent) else { return };
            let id = self.holds[line][0];
            let extra = self.reqs[&id].kb * (self.set.run_memory_factor - 1.0).max(0.0);
            if self.memory + extra > RUN_MEMORY * self.set.memory_kb {
                return;
            }
            self.holds[line].pop_front();
            self.start(id, extra);
        }
    }

    /// Drops what has ended from a hold's head; true when something is left.
    fn trim(&mut self, line: usize) -> bool {
        while let Some(id) = self.holds[line].front() {
            if self
                .reqs
                .get(id)
                .is_some_and(|r| r.phase == Phase::Held && r.owed)
            {
                return true;
            }
            self.holds[line].pop_front();
        }
        false
    }

    fn start(&mut self, id: RequestId, extra: f64) {
        let crowd = self.on_core as f64 + 1.0;
        let Some(req) = self.reqs.get_mut(&id) else {
            return;
        };
        (req.phase, req.ran, req.crowd, req.began) = (Phase::Running, true, crowd, self.now);
        let control = &mut self.controls[req.class];
        if req.line % 2 == 0 {
            control.wait_sum += (self.now - req.arrived).secs();
            control.starts += 1.0;
        }
        control.running += 1;
        if self.on_core == 0 {
            self.progress = self.now;
        }
        self.on_core += 1;
        self.memory += extra;
        let root = req.root;
        self.out.push(Action::Run(id));
        if let Some(group) = root.and_then(|root| self.groups.get_mut(&root)) {
            group.ran = true;
            for other in std::mem::take(&mut group.held) {
                if other != id
                    && self
                        .reqs
                        .get(&other)
                        .is_some_and(|r| r.owed && r.phase == Phase::Held)
                {
                    self.attach(other);
                }
            }
        }
    }

    // ---- It calls what lies below ----

    fn needs_call(&mut self, id: RequestId) {
        self.progress = self.now;
        let Some(req) = self.reqs.get_mut(&id) else {
            return;
        };
        if req.phase != Phase::Running {
            return;
        }
        (req.phase, req.reached, req.tries) = (Phase::AtCall(self.now), self.now, 0);
        self.on_core -= 1;
        self.at_calls += 1;
        self.controls[req.class].running -= 1;
    }

    /// Makes the calls that requests stand at, most worth first, or leaves them out where that pays.
    fn calls(&mut self) {
        if self.at_calls == self.calling {
            return;
        }
        let place = |r: &Req| self.order.iter().position(|&l| l == r.line);
        let ready = |r: &Req| matches!(r.phase, Phase::AtCall(from) if from <= self.now) && r.owed;
        let at_call = self.reqs.iter().filter(|(_, r)| ready(r));
        let mut waiting: Vec<_> = at_call.map(|(&id, r)| (place(r), r.reached, id)).collect();
        waiting.sort();
        let tries = self.call_tries();
        for (_, reached, id) in waiting {
            let can_skip = self.set.classes[self.reqs[&id].class].degraded_weight > 0.0;
            let most = self.call_room(can_skip);
            let room = most > 0.0;
            let r = &self.reqs[&id];
            let class = &self.set.classes[r.class];
            let useful = if class.late_weight > 0.0 {
                r.due
            } else {
                r.aim.min(r.due)
            };
            let left = (useful - self.margin()) - self.now;
            let waited = (self.now - reached).secs() > SKIP_WAIT * class.latency_objective.secs();
            let hopeless = (r.aim - self.now).secs() < self.call_time.value;
            if can_skip && (hopeless || r.tries >= tries.min(2) || (!room && waited)) {
                self.out.push(Action::SkipCall(id));
                self.resume(id);
            } else if r.tries >= tries || left.0 == 0 {
                self.give_up(id);
            } else if room {
                let mut limit = if can_skip {
                    Span::from_secs(left.secs() * 0.5)
                } else {
                    left
                };
                let mut usual = self.call_time;
                if self.shared().is_some() {
                    // A place in the dependency is worth more to a call that must be made.
                    usual = if can_skip { self.call_quiet } else { usual };
                }
                if class.idempotency == Idempotency::Idempotent {
                    limit = limit.min(Span::from_secs(CALL_HANG * usual.or(left.secs())));
                }
                let limit = limit.min(Span::from_secs(most)).max(Span::from_secs(SWEEP));
                self.out.push(Action::Call { id, timeout: limit });
                self.calling += 1;
                self.promised += limit.secs() + self.shared().map_or(0.0, |s| s.2);
                if let Some(r) = self.reqs.get_mut(&id) {
                    (r.phase, r.tries) = (Phase::Calling(self.now, limit.secs()), r.tries + 1);
                }
            }
        }
    }

    /// Times that one call is made, by what is taken below: where most is turned away repeats only add to it.
    fn call_tries(&self) -> u32 {
        (f64::from(CALL_TRIES) * self.taken.value).ceil().max(1.0) as u32
    }

    /// Seconds that another call may take within our part of a shared dependency's load; 0 for none.
    ///
    /// The guard: what calls took that ended in the period of the mean, and what those in hand may take yet,
    /// stay under our part of it, so no servers together push the dependency over. The pace: calls in hand
    /// come to `call_cap` in the mean, which may be far less than one.
    fn call_room(&mut self, can_skip: bool) -> f64 {
        let Some((part, over, linger)) = self.shared() else {
            return f64::MAX;
        };
        self.count_hands();
        let usual = CALL_HANG * self.call_time.or(linger);
        let whole = PART_USED * part * over - linger;
        let left = whole - self.promised - self.spent.iter().map(|s| s.1).sum::<f64>();
        let kept = if can_skip { PACE_KEPT } else { 0.0 };
        let saved = self
            .rare_call()
            .map_or(PACE_BURST * self.call_cap, |call| PACE_SLOT * call);
        let in_slot = self.rare_call().is_none() || self.pace < saved;
        let paced = self.call_cap >= 1.0 || in_slot && self.pace >= kept * saved;
        let at_once = (self.calling as f64) < self.call_cap.max(1.0).floor();
        left * f64::from(u8::from(paced && at_once && left >= usual.min(0.5 * whole)))
    }

    /// Our part of a shared dependency, the seconds of its mean, and of an abandoned call there. The mean
    /// is longer than told where the part is so small that it would never hold one usual call.
    fn shared(&self) -> Option<(f64, f64, f64)> {
        let Dependency::Shared {
            capacity_share: part,
            averaging_window: over,
            abandoned_call_lifetime: linger,
        } = self.set.dependency
        else {
            return None;
        };
        let (part, linger) = (part.max(1e-6), linger.secs());
        let one = 2.0 * (linger + self.call_time.or(linger));
        Some((part, over.secs().max(one / (PART_USED * part)), linger))
    }

    /// Puts our first call at a random moment of the time in which our part pays for one. All servers start
    /// in step with work waiting, and a call from each at once is more than the sum of their parts where each
    /// is worth less than a call in the time of the mean. A cold one pays twice, since the process before it
    /// spent on the same time. Hurts one that starts alone: it waits all the same.
    fn draw_first_call(&mut self) {
        let Some((part, over, linger)) = self.shared() else {
            return;
        };
        let first = FIRST_LINGERS * linger * [1.0, 2.0][usize::from(self.set.cold_start)];
        self.pace = -self.chance() * (first / (PART_USED * part)).min(over) * self.call_cap;
    }

    /// The seconds of a usual call where we are paced to fewer than one in the time of the mean. Of such
    /// calls one saved up begins in its slot only: a slot comes round as often as the pace pays for a call,
    /// at a moment that is each server's own. Else all that are idle would begin one when requests reach
    /// them at once. Hurts where requests are rare: the first waits for the slot, though nobody else calls.
    fn rare_call(&self) -> Option<f64> {
        let Dependency::Shared {
            averaging_window: over,
            abandoned_call_lifetime: linger,
            ..
        } = self.set.dependency
        else {
            return None;
        };
        let call = self.call_time.or(linger.secs());
        (call > self.call_cap * over.secs()).then_some(call)
    }

    /// Brings what calls in hand and ended calls take up to now.
    fn count_hands(&mut self) {
        let (passed, over) = (
            (self.now - self.paced_at).secs(),
            self.shared().map_or(0.0, |s| s.1),
        );
        self.paced_at = self.now;
        let (most, least) = (PACE_BURST * self.call_cap, -over * self.call_cap);
        let pace = (self.pace + (self.call_cap - self.calling as f64) * passed).max(least);
        self.pace = match self.rare_call() {
            Some(call) if pace > 0.0 => pace % call,
            Some(_) => pace,
            None => pace.min(most),
        };
        while self.spent.front().is_some_and(|s| s.0 <= self.now) {
            self.spent.pop_front();
        }
    }

    fn called(&mut self, id: RequestId, outcome: Outcome, latency: Span) {
        let Some(req) = self.reqs.get(&id) else {
            return;
        };
        let Phase::Calling(since, limit) = req.phase else {
            return;
        };
        let effect = self.set.classes[req.class].idempotency;
        let (owed, tries) = (req.owed, req.tries);
        self.call_ended(outcome, since, limit);
        if matches!(outcome, Outcome::Ok | Outcome::Rejected) {
            self.taken
                .add(f64::from(u8::from(outcome == Outcome::Ok)), FAST);
        }
        if matches!(outcome, Outcome::Ok | Outcome::Timeout) {
            self.call_time.add(latency.secs(), FAST);
        }
        if outcome == Outcome::Ok {
            self.call_quiet.add(latency.secs(), SLOW);
            return self.resume(id);
        }
        let never_ran = matches!(
            outcome,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NoLongerNeeded
        );
        let wait = CALL_BACKOFF * f64::from(1u32 << tries.min(8)) * (0.5 + self.chance());
        // What is not tried again is given up in this batch.
        let again = if tries < self.call_tries() { wait } else { 0.0 };
        if let Some(req) = self.reqs.get_mut(&id) {
            req.phase = Phase::AtCall(self.now + Span::from_secs(again));
        }
        if owed && !never_ran && effect != Idempotency::Idempotent {
            self.give_up(id);
        }
    }

    /// Books the end of a call; one that was abandoned stays in the dependency's hands for a while.
    fn call_ended(&mut self, outcome: Outcome, since: Time, limit: f64) {
        self.count_hands();
        self.calling -= 1;
        let Some((part, over, linger)) = self.shared() else {
            return;
        };
        self.promised -= limit + linger;
        let took = (self.now - since).secs();
        let rest = match outcome {
            Outcome::Timeout | Outcome::Cancelled => linger,
            // One turned away is paid for as a usual one: else all save up while the dependency is full, are
            // back at it in step, and begin more than their parts. Hurts where it is full for single calls.
            Outcome::Rejected => (self.call_time.or(linger) - took).max(0.0),
            _ => 0.0,
        };
        self.spent
            .push_back((self.now + Span::from_secs(rest + over), took + rest));
        self.pace -= rest;
        // Growth of a part of a call is for calls held back, and for none that was turned away.
        let (step, binds) = (
            (PART_LEAST * part).min(1.0),
            self.call_cap >= 1.0 || 1 + self.calling < self.at_calls,
        );
        if self.call_time.value > CALL_STRETCH * self.call_quiet.value {
            self.call_cap = (self.call_cap * CALL_CUT).max(step);
        } else if binds && outcome != Outcome::Rejected && self.calling as f64 + 2.0 > self.call_cap
        {
            self.call_cap = (self.call_cap + step * step / self.call_cap).min(PART_USED * part);
        }
    }

    /// A request goes on from its call.
    fn resume(&mut self, id: RequestId) {
        let Some(req) = self.reqs.get_mut(&id) else {
            return;
        };
        req.phase = Phase::Running;
        req.away += (self.now - req.reached).secs();
        self.at_calls -= 1;
        self.on_core += 1;
        self.controls[req.class].running += 1;
        self.progress = self.now;
    }

    // ---- It ends ----

    fn done(&mut self, id: RequestId, outcome: Outcome, latency: Span) {
        // A run that never began, since its caller had gone, leaves its slot like any other.
        let Some(req) = self.remove(id) else { return };
        if outcome != Outcome::Ok || req.phase == Phase::Attached {
            return;
        }
        self.progress = self.now;
        if !req.owed {
            // A run that went on past its answer tells its length all the same: the longest are among these.
            self.controls[req.class].learn_run(latency.secs(), req.size);
            return;
        }
        self.turned.add(0.0, FAST);
        let cores = self.set.cores.max(1) as f64;
        let control = &mut self.controls[req.class];
        let own = (latency.secs() - req.away).max(0.0) / req.size;
        // Only a run that shared no core tells the quiet level; the cap comes down to the cores for it.
        if req.crowd.max(self.on_core as f64 + 1.0) <= cores || control.quiet.count == 0.0 {
            control.quiet.add(own, SLOW);
        }
        control.learn_run(latency.secs(), req.size);
        self.stretch.add(own / control.quiet.value.max(1e-6), FAST);
        self.learn_fit(self.now <= req.aim);
        self.since_cut += 1.0;
        let waiting = self.holds.iter().any(|h| !h.is_empty());
        let room = (1.0 - self.busy.unwrap_or(0.0)) * cores >= CAP_ROOM;
        if self.now <= req.aim && waiting && room && self.stretch.value <= STRETCH {
            self.cap = (self.cap + 1.0 / self.cap).min(self.crowd() * CROWD_PART);
        }
    }

    /// A run has ended, in time or in vain (late, or nobody waits): whatever the cause, a crowd, a slow
    /// machine or short patience, less is started then. Hurts where late answers earn something.
    fn learn_fit(&mut self, in_time: bool) {
        let part = if in_time {
            VAIN_PART / (1.0 - VAIN_PART)
        } else {
            -1.0
        };
        self.fit = (self.fit * (1.0 + FIT_STEP * part)).clamp(FIT_LEAST, 1.0);
    }

    /// Nobody waits any longer: what is held is gone, what runs is stopped. What stands at a call ends by
    /// itself. Keyed work goes on, since a repeat may still want its result.
    fn gone(&mut self, id: RequestId) {
        let Some(req) = self.reqs.get_mut(&id) else {
            return;
        };
        let (phase, owed) = (req.phase, std::mem::replace(&mut req.owed, false));
        let stops = phase == Phase::Running
            && self.set.preemption != Preemption::None
            && req.root.is_none();
        let took = (self.now - req.began).secs();
        let control = &mut self.controls[req.class];
        if stops {
            // A run cut short would have taken longer: without it, only quick runs tell what a run takes.
            control.learn_run(took.max(control.run.value * req.size), req.size);
        }
        if owed && !self.stalled && !matches!(phase, Phase::Held | Phase::Attached) {
            self.learn_fit(false);
        }
        match phase {
            Phase::Held | Phase::Attached => {
                self.remove(id);
                self.leave_group(id);
            }
            Phase::Running if stops => self.out.push(Action::Stop(id)),
            _ => {}
        }
    }

    /// Gives the last answer at once: a refusal where it is certain that nothing ran or that running
    /// again does no harm, else an error. What runs is stopped.
    fn give_up(&mut self, id: RequestId) {
        let group_ran = self.group_ran(id);
        let Some(req) = self.reqs.get(&id).filter(|r| r.owed) else {
            return;
        };
        let safe = self.set.classes[req.class].idempotency == Idempotency::Idempotent;
        let waits_below = matches!(req.phase, Phase::AtCall(_) | Phase::Calling(..));
        if safe && !waits_below || !req.ran && !group_ran && req.phase != Phase::Attached {
            let away = self.stalled || self.drain.is_some();
            // A refusal is fast: callers that pick the fastest would send more. Hurts where all are full.
            let full = ADVICE_PART.max(self.turned.value);
            let parts = [full, full.min(ADVICE_OVER * self.set.servers as f64)];
            let part = if away { 1.0 } else { parts[req.line % 2] };
            let stay_away = self
                .set
                .max_retry_after
                .map(|most| Span::from_secs(most.secs() * part));
            // Elsewhere is worth a try with enough time left, certain only where patience is told.
            let left = (req.aim - self.now).secs();
            let last = !away && (!req.told || left < ELSEWHERE * self.run_time(req));
            self.turned.add(1.0, FAST);
            self.out.push(Action::Reject {
                id,
                retry_after: stay_away,
                no_retry: last,
            });
        } else {
            self.out.push(Action::Fail(id));
        }
        self.gone(id);
    }

    /// A try of a keyed request that never ran has ended: with the last such try goes the entry.
    fn leave_group(&mut self, id: RequestId) {
        let Some(root) = self.links.get(&id) else {
            return;
        };
        let Some(group) = self.groups.get_mut(root) else {
            return;
        };
        group.held.retain(|&other| other != id);
        if !group.ran && group.held.is_empty() {
            if let Some((entry, _)) = group.entry.take() {
                self.out.push(Action::EvictResult(entry));
                self.entries -= 1;
                self.memory -= self.set.dedup_entry_kb;
            }
        }
    }

    /// Takes a request off the books.
    fn remove(&mut self, id: RequestId) -> Option<Req> {
        let req = self.reqs.remove(&id)?;
        let held = matches!(req.phase, Phase::Held | Phase::Attached);
        self.memory -= req.kb
            * if held {
                1.0
            } else {
                self.set.run_memory_factor.max(1.0)
            };
        if req.phase == Phase::Running {
            self.on_core -= 1;
            self.controls[req.class].running -= 1;
        } else if !held {
            self.at_calls -= 1;
        }
        if let Phase::Calling(since, limit) = req.phase {
            self.call_ended(Outcome::Cancelled, since, limit);
        }
        Some(req)
    }

    // ---- Each sweep: what is due, late or stuck ----

    /// Time before its due at which an answer is given: one sweep, and the clock's steps about it.
    fn margin(&self) -> Span {
        Span(Span::from_secs(SWEEP).0 + 3 * self.set.tick.0)
    }

    /// Seconds that a request would take from start to end.
    fn run_time(&self, req: &Req) -> f64 {
        let aim = self.set.classes[req.class].latency_objective.secs();
        let control = &self.controls[req.class];
        control.run.or(RUN_GUESS * aim).min(RUN_MOST * aim) * control.telling(req.size)
    }

    fn sweep(&mut self) {
        self.watch_stall();
        let margin = self.margin();
        let mut ended = self.hopeless();
        for (&id, r) in self.reqs.iter().filter(|(_, r)| r.owed) {
            let class = &self.set.classes[r.class];
            let due = self.now + margin >= r.due;
            let (held, runs) = (r.phase == Phase::Held, r.phase == Phase::Running);
            let safe = runs && class.idempotency == Idempotency::Idempotent;
            // Late work that earns nothing makes room; writes are seen through while somebody waits.
            let late = safe && class.late_weight == 0.0 && self.now > r.aim;
            if due || late || self.stalled && (held || safe) {
                ended.push(id);
            }
        }
        for id in ended {
            self.give_up(id);
        }
    }

    /// Held requests with too little time left for their worth: for the run itself, or, once they have queued
    /// for a while, for the work ahead and the run. In vain where the work ahead ends early.
    fn hopeless(&self) -> Vec<RequestId> {
        let mut found = Vec::new();
        let mut ahead = 0.0;
        let held = self.holds.iter().map(VecDeque::len).sum::<usize>();
        let wanted = self.on_core >= self.set.cores as usize && held > 1;
        for &line in &self.order {
            for id in &self.holds[line] {
                let Some(r) = self
                    .reqs
                    .get(id)
                    .filter(|r| r.owed && r.phase == Phase::Held)
                else {
                    continue;
                };
                let run = self.run_time(r);
                let left = (r.aim.min(r.due) - self.now).secs();
                let aim = self.set.classes[r.class].latency_objective.secs();
                let queued = (self.now - r.arrived).secs() > QUEUE_PART * aim;
                // With other work for the slot, a run must be likely to end in time.
                let fit = if wanted { self.fit } else { 1.0 };
                // With nobody else for the slot nothing is gained by turning away what is large.
                let tried = if wanted { run } else { run.min(RUN_MOST * aim) };
                if tried > fit.max(FIT_RUN) * left
                    || queued && ahead / self.cap + tried > fit * left
                {
                    found.push(*id);
                } else {
                    ahead += run;
                }
            }
        }
        found
    }

    /// Work has stalled when much runs and nothing moves: then everything goes elsewhere until it does.
    fn watch_stall(&mut self) {
        let run = self
            .controls
            .iter()
            .map(|c| c.run.value)
            .fold(0.0, f64::max);
        let quiet = (self.now - self.progress).secs();
        let much = 2 * self.on_core >= self.set.cores as usize;
        let stalled = much && quiet > STALL.max(STALL_RUNS * run) || self.stalled && quiet > PERIOD;
        let stalled = stalled && self.on_core > 0;
        if stalled != self.stalled {
            self.stalled = stalled;
            let good = !stalled && self.drain.is_none();
            self.out.push(Action::Health {
                healthy: good,
                cached: self.set.costly_health_checks || !good,
            });
            let what = if stalled {
                "work has stalled"
            } else {
                "work moves again"
            };
            let text = format!(
                "{what}: {} on the cores, none ended for {quiet:.1} s",
                self.on_core
            );
            self.out.push(Action::Log(text));
        }
    }

    /// Notice to leave: nothing new past the grace, everything else answered before the stop.
    fn leave(&mut self, left: Span) {
        let stop = self.now + left;
        self.drain = Some((self.now, stop));
        for r in self.reqs.values_mut() {
            r.due = r.due.min(stop);
        }
        self.out.push(Action::Health {
            healthy: false,
            cached: true,
        });
        let text = format!(
            "leaving: {} requests to answer in {:.1} s",
            self.reqs.len(),
            left.secs()
        );
        self.out.push(Action::Log(text));
        self.signal();
    }

    // ---- Each period: budgets, cap, shares, signals ----

    /// Brings the slot seconds that classes held up to now.
    fn count_used(&mut self) {
        let passed = (self.now - self.used_at).secs();
        self.used_at = self.now;
        for c in &mut self.controls {
            c.used += c.running as f64 * passed;
        }
    }

    fn control(&mut self) {
        let passed = (self.now - self.period_at).secs();
        self.period_at = self.now;
        self.forget_groups();
        if self.since_cut >= self.cap && self.stretch.value > STRETCH {
            self.cap = (self.cap * CAP_CUT).max(self.set.cores.max(1) as f64);
            self.since_cut = 0.0;
        }
        self.budgets(passed);
        self.shares(passed);
        self.connections(passed);
        self.signal();
    }

    /// PI control of each class's slots on its wait. After saturation, when budgets came to more than the
    /// cap, it goes on from the slots that were held. A class with no starts is judged by its oldest held
    /// request; with nothing held either there is no wait to judge, and its control stands still.
    fn budgets(&mut self, passed: f64) {
        let saturated = self.controls.iter().map(|c| c.budget).sum::<f64>() > self.cap;
        for k in 0..self.controls.len() {
            let aim = self.set.classes[k].latency_objective.secs();
            let head = if self.trim(2 * k) {
                self.reqs.get(&self.holds[2 * k][0])
            } else {
                None
            };
            let oldest = head.map(|r| (self.now - r.arrived).secs());
            let c = &mut self.controls[k];
            let wait = if c.starts > 0.0 {
                Some(c.wait_sum / c.starts)
            } else {
                oldest
            };
            let held = c.used / passed.max(SWEEP);
            (c.wait_sum, c.starts, c.used) = (0.0, 0.0, 0.0);
            let Some(wait) = wait else { continue };
            let wanted = (WAIT_SHARE * (aim - c.run.or(RUN_GUESS * aim))).max(WAIT_FLOOR * aim);
            let error = wanted - wait;
            let before = if saturated { held } else { c.slots };
            c.slots = pi(before, error, c.error).clamp(MIN_BUDGET.min(self.cap), self.cap);
            c.error = error;
            c.budget = c.slots.round();
        }
    }

    /// Each tenant's local share: its quota by our part of the traffic. That part is at least one server's,
    /// and more when the middle tenant shows that all of them send us more; one that floods moves it little.
    fn shares(&mut self, passed: f64) {
        if self.tenants.is_empty() {
            return;
        }
        let mut parts = Vec::new();
        for (t, quota) in self.tenants.iter_mut().zip(&self.set.tenants) {
            t.rate += (t.arrivals / passed - t.rate) * (passed * 0.2).min(1.0);
            t.arrivals = 0.0;
            parts.push(t.rate / quota.quota_per_s.max(1e-6));
        }
        parts.sort_by(f64::total_cmp);
        let part = parts[(parts.len() - 1) / 2].max(1.0 / self.set.servers.max(1) as f64);
        for (t, quota) in self.tenants.iter_mut().zip(&self.set.tenants) {
            let rate = quota.quota_per_s * part;
            t.tokens = (t.tokens + rate * passed).min(rate * QUOTA_BURST + QUOTA_CHANCE);
        }
    }

    /// The free value. As a level it rises while the hold takes too long to clear, so that callers keep low
    /// ranks to themselves and reading them costs nothing here.
    fn signal(&mut self) {
        let leaving = self.stalled || self.drain.is_some();
        let held = self.reqs.values().filter(|r| r.phase == Phase::Held);
        let unread = self.unread.value * self.tightest();
        let clear = unread + held.map(|r| self.run_time(r)).sum::<f64>() / self.cap;
        let over = clear / (CLEAR_PART * self.tightest()) - 1.0;
        let top = 1.0 - 1.0 / self.set.classes.len().max(1) as f64;
        let step = if over > 0.0 {
            LEVEL_UP * over.min(1.0)
        } else {
            LEVEL_DOWN * over
        };
        self.level = (self.level + step).clamp(0.0, top);
        match self.set.load_signal {
            LoadSignal::None => {}
            LoadSignal::Level => self.say(if leaving { 1.0 } else { self.level }),
            LoadSignal::Weight => self.say(if leaving { 0.0 } else { 1.0 - self.level }),
            // For each caller as much as would fill us, since one may carry nearly all traffic.
            LoadSignal::Credit => self.say(if leaving {
                0.0
            } else {
                2.0 * self.cap * (1.0 - self.level)
            }),
        }
    }

    /// Seconds of the tightest aim.
    fn tightest(&self) -> f64 {
        self.set
            .classes
            .iter()
            .map(|c| c.latency_objective.secs())
            .fold(f64::MAX, f64::min)
    }

    fn say(&mut self, value: f64) {
        if self.said != value {
            self.said = value;
            self.out.push(Action::SetLoadSignal(value));
        }
    }

    /// Closes idle connections early where few serve a second request: a full table takes part of the cores
    /// and keeps callers out. In a flood, with most work turned away, it is a door that costs nothing, and
    /// stays: so too for one idle time after requests waited unread, since new connections and reading take
    /// the cores then. It opens again while cores stand idle. Hurts where the same callers come again just
    /// after.
    fn connections(&mut self, passed: f64) {
        self.read_rate.add(self.reads / passed, FAST);
        self.reads = 0.0;
        let age = self.born.map_or(0.0, |b| (self.now - b).secs());
        let read = self.read_rate.value * self.idle.min(age);
        let idle = self.open - self.reqs.len() as f64;
        // With a connection for every other caller there is room for all of them.
        let room = 2.0 * self.open >= self.set.callers as f64;
        let pressed = self.unread.value > QUEUE_PART;
        let busy = self.busy.is_none_or(|b| b >= IDLE_BUSY);
        self.shut = if pressed {
            self.now + self.set.client_idle_timeout
        } else {
            self.shut
        };
        let factor = match idle / read.max(1.0) {
            _ if room || pressed => f64::MAX,
            _ if self.now < self.shut => [1.0, IDLE_EASE][usize::from(!busy)],
            _ if self.turned.value > IDLE_DOOR && busy => 2.0,
            many if many > IDLE_MANY && read >= IDLE_SAMPLE => 0.5,
            few if few < IDLE_FEW && read >= IDLE_FEW * IDLE_SAMPLE => 2.0,
            _ => 1.0,
        };
        let stay = (self.idle * factor).min(self.set.client_idle_timeout.secs());
        if stay != self.idle {
            self.idle = stay;
            self.out
                .push(Action::CloseIdleConnections(Span::from_secs(stay)));
        }
    }

    // ---- Guards ----

    /// Running requests on the cores that this server survives: fewer while it may still be cold.
    fn crowd(&self) -> f64 {
        let age = self.born.map_or(0.0, |b| (self.now - b).secs());
        let start = if self.set.cold_start {
            self.set.cold_start_capacity
        } else {
            1.0
        };
        let warm = (start + (1.0 - start) * age / self.set.warm_up.secs().max(SWEEP)).min(1.0);
        self.set.cores as f64 * (1.0 + (self.set.overload_concurrency - 1.0) * warm)
    }

    /// Keeps held memory under its bound: the newest of the line worth least goes first.
    fn shed_for_memory(&mut self) {
        while self.memory > HOLD_MEMORY * self.set.memory_kb {
            let Some(line) = self
                .order
                .iter()
                .rev()
                .copied()
                .find(|&l| !self.holds[l].is_empty())
            else {
                return;
            };
            if let Some(id) = self.holds[line].pop_back() {
                self.give_up(id);
            }
        }
    }

    /// Entries whose time is over leave the count; groups are forgotten well after.
    fn forget_groups(&mut self) {
        let now = self.now;
        for group in self.groups.values_mut() {
            if group.entry.is_some_and(|(_, until)| until < now) {
                group.entry = None;
                self.entries -= 1;
                self.memory -= self.set.dedup_entry_kb;
            }
        }
        let reqs = &self.reqs;
        self.groups.retain(|_, g| {
            g.forget_at > now || g.entry.is_some() || g.held.iter().any(|h| reqs.contains_key(h))
        });
        let groups = &self.groups;
        self.links.retain(|_, root| groups.contains_key(root));
    }

    /// A number from 0 to 1 that only the seed decides.
    fn chance(&mut self) -> f64 {
        self.random = self
            .random
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.random >> 33) as f64 / (1u64 << 31) as f64
    }
}

/// The PI law: U(m) = U(m-1) + g (E(m) - r E(m-1)).
fn pi(before: f64, error: f64, last: f64) -> f64 {
    before + GAIN * (error - LAG * last)
}
