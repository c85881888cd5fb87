//! An experiment played: the plan's faults carried out on a fleet, and what came of each, by seed.

use crate::fleet::{Fleet, ObservedChange};
use crate::network::Traffic;
use crate::plan::{Fault, Kind, Plan};
use heathspur_members::MemberState;
use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Beliefs and traffic are sampled so often.
const SAMPLE_MS: u64 = 1_000;

/// What came of one fault that others had to notice, or to get over.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Course {
    /// Its place in the plan.
    pub fault: usize,
    /// Its kind.
    pub kind: Kind,
    /// A crash: until the first suspected it, in milliseconds; `None`: not before the next fault or the end.
    pub noticed_ms: Option<u64>,
    /// Until the first held it dead.
    pub first_ms: Option<u64>,
    /// Until 99 in 100 of the others did.
    pub most_ms: Option<u64>,
    /// Until all did.
    pub all_ms: Option<u64>,
    /// Until there was one view: no running member holds anything of another that is not so.
    pub settled_ms: Option<u64>,
}

impl Course {
    /// Whether others have to hold somebody gone for it.
    pub fn kind_has_deaths(&self) -> bool {
        matches!(self.kind, Kind::Crash | Kind::Leave)
    }
}

/// One play.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Play {
    /// Its seed.
    pub seed: u64,
    /// Faults that had to be noticed or got over: crashes, restarts, leaves, heals; and the start, where all join.
    pub courses: Vec<Course>,
    /// Times that a member held a running, reachable one dead.
    pub false_deaths: u64,
    /// Emulated hours times running members, in member-hours.
    pub member_hours: f64,
    /// Datagrams that a member sent a second, in the mean.
    pub datagrams: f64,
    /// Bytes that a member sent a second, IP and UDP counted in.
    pub bytes: f64,
    /// The busiest member's bytes a second.
    pub most_bytes: f64,
    /// Each second: the part of what members hold of each other that is not so, and bytes a member.
    pub samples: Vec<(f64, f64)>,
}

/// Plays all seeds of a plan, side by side on the machine's cores.
pub fn play(plan: &Plan) -> Vec<Play> {
    let next = AtomicU64::new(0);
    let plays = Mutex::new(Vec::new());
    let workers = std::thread::available_parallelism()
        .map_or(1, usize::from)
        .min(plan.seeds as usize);
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, Ordering::Relaxed);
                if at >= plan.seeds {
                    return;
                }
                let play = play_seed(plan, plan.first_seed.wrapping_add(at));
                plays
                    .lock()
                    .expect("no play panics while it holds the list")
                    .push(play);
            });
        }
    });
    let mut plays = plays.into_inner().expect("all plays have ended");
    plays.sort_by_key(|play| play.seed);
    plays
}

/// Plays one seed.
pub fn play_seed(plan: &Plan, seed: u64) -> Play {
    let settings = plan.settings();
    let fleet = match plan.standing {
        true => Fleet::established(plan.members, plan.zones, settings, seed),
        false => Fleet::new(plan.members, plan.zones, settings, seed),
    };
    let mut player = Player {
        fleet,
        courses: Vec::new(),
        watched: Vec::new(),
        up_ms: 0,
        samples: Vec::new(),
    };
    if !plan.standing {
        player.watch(usize::MAX, Kind::Restart, None);
    }
    for (at, fault) in plan.faults.iter().enumerate() {
        player.until(fault.at.0.as_millis() as u64);
        player.carry_out(at, fault);
    }
    player.until(plan.duration.0.as_millis() as u64);
    player.finish(seed, plan)
}

struct Player {
    fleet: Fleet,
    courses: Vec<Course>,
    /// Courses that go on: when they began, and whose crash it is.
    watched: Vec<(usize, u64, Option<usize>)>,
    up_ms: u64,
    samples: Vec<(f64, f64)>,
}

impl Player {
    fn watch(&mut self, fault: usize, kind: Kind, gone: Option<usize>) {
        self.watched
            .push((self.courses.len(), self.fleet.now, gone));
        let course = Course {
            fault,
            kind,
            noticed_ms: None,
            first_ms: None,
            most_ms: None,
            all_ms: None,
            settled_ms: None,
        };
        self.courses.push(course);
    }

    fn carry_out(&mut self, at: usize, fault: &Fault) {
        let member = fault.member.unwrap_or(0);
        let span = fault.span.map_or(0, |s| s.0.as_millis() as u64);
        let fleet = &mut self.fleet;
        match fault.kind {
            Kind::Crash => fleet.crash(member),
            Kind::Restart => fleet.start(member),
            Kind::Leave => fleet.leave(member),
            Kind::Pause => fleet.nodes[member].paused_until = fleet.now + span,
            Kind::Slow => fleet.nodes[member].slow_ms = span,
            Kind::Clock => fleet.nodes[member].clock_rate = fault.rate.unwrap_or(1.0),
            Kind::Partition => fleet.network.faults.partition(fleet.nodes.len(), member),
            Kind::Heal => fleet.network.faults.heal(),
            Kind::Cut => {
                fleet
                    .network
                    .faults
                    .cut
                    .insert((member, fault.other.unwrap_or(0)));
            }
            Kind::Loss => fleet.network.faults.loss = fault.share.unwrap_or(0.0),
            Kind::Duplicate => fleet.network.faults.duplicate = fault.share.unwrap_or(0.0),
            Kind::Delay => {
                fleet.network.faults.delay_ms = span;
                fleet.network.faults.jitter_ms = fault.jitter.map_or(0, |s| s.0.as_millis() as u64);
            }
        }
        match fault.kind {
            Kind::Crash | Kind::Leave => self.watch(at, fault.kind, Some(member)),
            Kind::Restart | Kind::Heal => self.watch(at, fault.kind, None),
            _ => {}
        }
    }

    fn until(&mut self, end: u64) {
        while self.fleet.now < end {
            let before = self.fleet.now;
            self.fleet.step();
            let up = (0..self.fleet.nodes.len())
                .filter(|&i| self.fleet.views.is_up(i))
                .count() as u64;
            self.up_ms += up * (self.fleet.now - before);
            self.look();
            if self.fleet.now / SAMPLE_MS > before / SAMPLE_MS {
                let sent: u64 = self
                    .fleet
                    .network
                    .traffic()
                    .iter()
                    .map(|traffic| traffic.bytes)
                    .sum();
                let wrong = self.fleet.views.wrong_share();
                self.samples.push((wrong, sent as f64 / up.max(1) as f64));
            }
        }
    }

    /// What of the courses that go on has come by now.
    fn look(&mut self) {
        let (fleet, courses) = (&self.fleet, &mut self.courses);
        self.watched.retain(|&(at, began, gone)| {
            let (course, passed) = (&mut courses[at], fleet.now - began);
            if let Some(of) = gone {
                let detection = fleet.views.failure_detection(of);
                let (know, others) = (detection.aware, detection.observers);
                let came = |slot: &mut Option<u64>, has: bool| {
                    if slot.is_none() && has {
                        *slot = Some(passed);
                    }
                };
                came(&mut course.noticed_ms, fleet.views.is_suspected(of));
                came(&mut course.first_ms, know > 0);
                came(&mut course.most_ms, know * 100 >= others * 99);
                came(&mut course.all_ms, know == others);
                if course.all_ms.is_none() {
                    return true;
                }
            }
            if fleet.has_converged() {
                course.settled_ms = Some(passed);
            }
            course.settled_ms.is_none()
        });
    }

    fn finish(self, seed: u64, plan: &Plan) -> Play {
        let false_deaths = false_deaths(&self.fleet, plan);
        let seconds = (self.up_ms as f64 / 1e3).max(1e-3);
        let sum = |part: &dyn Fn(&Traffic) -> u64| {
            self.fleet.network.traffic().iter().map(part).sum::<u64>() as f64
        };
        let most = self
            .fleet
            .network
            .traffic()
            .iter()
            .map(|traffic| traffic.bytes)
            .max()
            .unwrap_or(0);
        let mut samples = self.samples;
        for at in (1..samples.len()).rev() {
            samples[at].1 -= samples[at - 1].1;
        }
        Play {
            seed,
            courses: self.courses,
            false_deaths,
            member_hours: seconds / 3_600.0,
            datagrams: sum(&|traffic| traffic.datagrams) / seconds,
            bytes: sum(&|traffic| traffic.bytes) / seconds,
            most_bytes: most as f64 / plan.duration.0.as_secs_f64(),
            samples,
        }
    }
}

/// After a heal, a suspicion from before it may still run out: a death over the cut counts as false only later.
const HEALING_MS: u64 = 2_000;

/// Deaths that members saw of others which ran then, could be reached, and had not said that they leave.
fn false_deaths(fleet: &Fleet, plan: &Plan) -> u64 {
    let at = |fault: &Fault| fault.at.0.as_millis() as u64;
    let is_false = |seen: &&ObservedChange| {
        let Some(of) = seen.subject_index() else {
            return false;
        };
        let before = plan.faults.iter().filter(|fault| at(fault) <= seen.at);
        let (mut up, mut split, mut cut) = (true, None, None);
        for fault in before {
            match fault.kind {
                Kind::Crash | Kind::Leave if fault.member == Some(of) => up = false,
                Kind::Restart if fault.member == Some(of) => up = true,
                Kind::Partition => split = fault.member,
                Kind::Heal => {
                    cut = split.filter(|_| at(fault) + HEALING_MS > seen.at);
                    split = None;
                }
                _ => {}
            }
        }
        up && split
            .or(cut)
            .is_none_or(|split| (of < split) == (seen.observer < split))
    };
    fleet
        .changes
        .iter()
        .filter(|seen| seen.state == Some(MemberState::Dead))
        .filter(is_false)
        .count() as u64
}

/// The value at a quantile, 0 to 1, of what came; `None` where any did not come, or there is nothing.
pub fn quantile(times: impl Iterator<Item = Option<u64>>, q: f64) -> Option<u64> {
    let mut all: Vec<u64> = times.map(|t| t.unwrap_or(u64::MAX)).collect();
    all.sort_unstable();
    let last = all.len().checked_sub(1)?;
    let at = all[(last as f64 * q).ceil() as usize];
    (at != u64::MAX).then_some(at)
}
