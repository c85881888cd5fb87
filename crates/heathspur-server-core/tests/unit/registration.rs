//! Tests of `src/registration.rs`, which names this file as its module of tests: the schedule with a service whose dials
//! and answers come as a plan says, in any order.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const LAPSE: u64 = 3000;
/// The longest dial of a service that is well.
const WELL: u64 = 250;
const END: u64 = 40_000;

fn ms(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// How a dial ends, and after how long; never where it has no end.
#[derive(Clone, Copy, Debug)]
enum Dialled {
    Up(u64),
    Fails(u64),
    Stands,
}

/// What becomes of a report.
#[derive(Clone, Copy, Debug)]
struct Fate {
    /// The line turns out to be spent before it.
    spent: bool,
    /// Where the line carried a report before, its connection breaks under this one after so long.
    breaks: Option<u64>,
    /// When the service takes it in, if at all.
    taken: Option<u64>,
    /// When it is answered, or its connection breaks where it has no status; never where there is no time.
    ends: Option<u64>,
    status: Option<u16>,
    /// The connection stays open, and for how long.
    open: bool,
    idle: u64,
}

#[derive(Clone, Copy, Debug)]
enum Change {
    Ready(bool),
    Moved,
}

#[derive(Clone, Debug)]
struct Plan {
    /// In order, and then from the first again.
    dials: Vec<Dialled>,
    reports: Vec<Fate>,
    /// With the time since the last one.
    changes: Vec<(u64, Change)>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Happens {
    Up(Line),
    Lost(Line),
    Spent(Line),
    Answer {
        line: Line,
        status: u16,
        open: bool,
        said: bool,
    },
    Taken {
        said: bool,
        epoch: u32,
    },
    Change(usize),
}

impl Happens {
    fn line(self) -> Option<Line> {
        match self {
            Happens::Up(line) | Happens::Lost(line) | Happens::Spent(line) => Some(line),
            Happens::Answer { line, .. } => Some(line),
            Happens::Taken { .. } | Happens::Change(_) => None,
        }
    }
}

/// What was seen, with its time.
struct World {
    plan: Plan,
    schedule: Schedule,
    now: u64,
    ready: bool,
    /// Services so far.
    epoch: u32,
    ahead: Vec<(u64, Happens)>,
    open: Vec<Line>,
    /// Lines that carried a report.
    kept: Vec<Line>,
    dials: usize,
    told: usize,
    sent: Vec<(u64, bool)>,
    taken: Vec<(u64, bool)>,
    /// Changes of what is reported, and how many reports were on their way then.
    changed: Vec<(u64, bool, usize)>,
    /// The reports on their way.
    under_way: Vec<(Line, bool)>,
    /// When reports ended that said what held no more, with what held and how many reports were sent until then.
    outdated: Vec<(u64, bool, usize)>,
}

impl World {
    fn played(plan: &Plan) -> World {
        let (mut ahead, mut at) = (Vec::new(), 0);
        for (i, (gap, _)) in plan.changes.iter().enumerate() {
            at += gap;
            ahead.push((at, Happens::Change(i)));
        }
        let mut world = World {
            plan: plan.clone(),
            schedule: Schedule::new(Duration::ZERO),
            now: 0,
            ready: true,
            epoch: 0,
            ahead,
            open: Vec::new(),
            kept: Vec::new(),
            dials: 0,
            told: 0,
            sent: Vec::new(),
            taken: Vec::new(),
            changed: Vec::new(),
            under_way: Vec::new(),
            outdated: Vec::new(),
        };
        world.handle(Event::Ready(true));
        world.act();
        while world.now < END {
            world.turn();
        }
        world
    }

    fn handle(&mut self, event: Event) {
        self.schedule.handle(Duration::from_millis(self.now), event);
    }

    fn after(&mut self, wait: u64, happens: Happens) {
        self.ahead.push((self.now + wait, happens));
    }

    /// Goes to the next time at which something is to be done.
    fn turn(&mut self) {
        let next = (0..self.ahead.len()).min_by_key(|&i| self.ahead[i].0);
        let wake = self.schedule.wake().map_or(END, ms).clamp(self.now, END);
        match next.filter(|&i| self.ahead[i].0 <= wake) {
            Some(i) => {
                let (at, happens) = self.ahead.remove(i);
                self.now = at;
                self.happen(happens);
            }
            None => self.now = wake,
        }
        let before = (self.now, self.dials, self.told);
        self.act();
        let busy = self.schedule.wake().is_some_and(|at| ms(at) <= self.now);
        assert!(
            !busy || before != (self.now, self.dials, self.told),
            "it wakes for nothing"
        );
    }

    fn happen(&mut self, happens: Happens) {
        match happens {
            Happens::Up(line) => self.handle(Event::Up(line)),
            Happens::Lost(line) => {
                self.gone(line);
                self.handle(Event::Lost { line, late: false });
            }
            Happens::Spent(line) => {
                self.gone(line);
                self.handle(Event::Spent(line));
            }
            Happens::Answer {
                line,
                status,
                open,
                said,
            } => {
                self.report_ended(line);
                if !open {
                    self.gone(line);
                }
                let idle = self.plan.reports[(self.told - 1) % self.plan.reports.len()].idle;
                if open {
                    self.after(idle, Happens::Spent(line));
                }
                let sent = self.sent.len();
                self.handle(Event::Answered { line, status, open });
                self.act();
                // The older report may have been taken last: what holds is told again, at once where a line is there.
                if open && said != self.ready && self.open.contains(&line) {
                    assert_eq!(
                        self.sent[sent..],
                        [(self.now, self.ready)],
                        "the last word was {said}"
                    );
                }
            }
            Happens::Taken { said, epoch } if epoch == self.epoch => {
                self.taken.push((self.now, said))
            }
            Happens::Taken { .. } => {}
            Happens::Change(i) => match self.plan.changes[i].1 {
                Change::Ready(ready) => {
                    if ready != self.ready {
                        self.changed.push((self.now, ready, self.under_way.len()));
                    }
                    self.ready = ready;
                    self.handle(Event::Ready(ready));
                }
                Change::Moved => {
                    self.epoch += 1;
                    self.handle(Event::Moved);
                    self.handle(Event::Ready(self.ready));
                }
            },
        }
    }

    fn report_ended(&mut self, line: Line) {
        if self
            .under_way
            .iter()
            .any(|(other, said)| *other == line && *said != self.ready)
        {
            self.outdated.push((self.now, self.ready, self.sent.len()));
        }
        self.under_way.retain(|(other, _)| *other != line);
    }

    fn gone(&mut self, line: Line) {
        self.report_ended(line);
        self.open.retain(|other| *other != line);
        self.ahead
            .retain(|(_, happens)| happens.line() != Some(line));
    }

    fn act(&mut self) {
        let mut actions = 0;
        while let Some(action) = self.schedule.poll(Duration::from_millis(self.now)) {
            actions += 1;
            assert!(actions < 32, "it acts for ever");
            match action {
                Action::Dial(line) => {
                    self.open.push(line);
                    assert!(self.open.len() <= MOST, "{:?}", self.open);
                    match self.plan.dials[self.dials % self.plan.dials.len()] {
                        Dialled::Up(wait) => self.after(wait, Happens::Up(line)),
                        Dialled::Fails(wait) => self.after(wait, Happens::Lost(line)),
                        Dialled::Stands => {}
                    }
                    self.dials += 1;
                }
                Action::Report { line, ready } => self.report(line, ready),
                Action::Close(line) => {
                    assert!(self.open.contains(&line));
                    self.gone(line);
                }
                Action::Failed(_) => {}
            }
        }
    }

    fn report(&mut self, line: Line, ready: bool) {
        assert!(
            self.open.contains(&line) && self.under_way.iter().all(|(other, _)| *other != line)
        );
        assert_eq!(ready, self.ready);
        let fate = self.plan.reports[self.told % self.plan.reports.len()];
        self.told += 1;
        self.ahead
            .retain(|(_, happens)| happens.line() != Some(line));
        if fate.spent {
            self.gone(line);
            return self.handle(Event::Spent(line));
        }
        self.sent.push((self.now, ready));
        self.under_way.push((line, ready));
        if let Some(wait) = fate.breaks.filter(|_| self.kept.contains(&line)) {
            self.after(wait, Happens::Lost(line));
            return self.handle(Event::Sent(line));
        }
        self.kept.push(line);
        if let Some(wait) = fate.taken {
            self.after(
                wait,
                Happens::Taken {
                    said: ready,
                    epoch: self.epoch,
                },
            );
        }
        match (fate.ends, fate.status) {
            (Some(wait), Some(status)) => {
                self.after(
                    wait,
                    Happens::Answer {
                        line,
                        status,
                        open: fate.open,
                        said: ready,
                    },
                );
            }
            (Some(wait), None) => self.after(wait, Happens::Lost(line)),
            (None, _) => {}
        }
        self.handle(Event::Sent(line));
    }

    /// The longest time between two reports on their way, and between two that were taken, also to the end.
    fn gaps(&self) -> (u64, u64) {
        let longest = |times: &[(u64, bool)]| {
            let ends = times.iter().skip(1).map(|(at, _)| *at).chain([END]);
            times
                .iter()
                .zip(ends)
                .map(|((at, _), next)| next - at)
                .max()
                .unwrap_or(END)
        };
        (longest(&self.sent), longest(&self.taken))
    }
}

fn any_dial() -> impl Strategy<Value = Dialled> {
    prop_oneof![
        6 => (0..3000u64).prop_map(Dialled::Up),
        2 => (0..3000u64).prop_map(Dialled::Fails),
        1 => Just(Dialled::Stands),
    ]
}

fn breaks() -> impl Strategy<Value = Option<u64>> {
    prop_oneof![5 => Just(None), 1 => (0..50u64).prop_map(Some)]
}

fn any_report() -> impl Strategy<Value = Fate> {
    let status = prop_oneof![6 => Just(Some(204)), 1 => Just(Some(500)), 1 => Just(None)];
    let ends = prop_oneof![3 => (0..400u64).prop_map(Some), 2 => (0..2500u64).prop_map(Some), 1 => Just(None)];
    let rest = (
        prop::option::of(0..2500u64),
        ends,
        status,
        0..8u8,
        0..1500u64,
    );
    (0..10u8, breaks(), rest).prop_map(|(spent, breaks, (taken, ends, status, open, idle))| Fate {
        spent: spent == 0,
        breaks,
        taken,
        ends,
        status,
        open: open > 0,
        idle,
    })
}

/// A report that is taken and answered within the limit; the connection may end at any time behind it.
fn well_told(limit: u64) -> impl Strategy<Value = Fate> {
    (breaks(), 0..=limit, 0..=limit, 0..6u8, 0..4000u64).prop_map(
        |(breaks, one, other, open, idle)| Fate {
            spent: false,
            breaks,
            taken: Some(one.min(other)),
            ends: Some(one.max(other)),
            status: Some(204),
            open: open > 0,
            idle,
        },
    )
}

fn changes(moves: bool) -> impl Strategy<Value = Vec<(u64, Change)>> {
    let change = (0..8u8, any::<bool>()).prop_map(move |(kind, ready)| match kind {
        0 if moves => Change::Moved,
        _ => Change::Ready(ready),
    });
    // Also there and back while one dial or report is under way.
    let gap = prop_oneof![0..3000u64, 0..WELL];
    prop::collection::vec((gap, change), 0..10)
}

fn plan(
    dial: impl Strategy<Value = Dialled>,
    report: impl Strategy<Value = Fate>,
    changes: impl Strategy<Value = Vec<(u64, Change)>>,
) -> impl Strategy<Value = Plan> {
    let (dials, reports) = (
        prop::collection::vec(dial, 1..12),
        prop::collection::vec(report, 1..24),
    );
    (dials, reports, changes).prop_map(|(dials, reports, changes)| Plan {
        dials,
        reports,
        changes,
    })
}

fn well(limit: u64) -> impl Strategy<Value = Plan> {
    plan(
        (0..=WELL).prop_map(Dialled::Up),
        well_told(limit),
        changes(false),
    )
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_202),
        ..Config::default()
    })]

    /// The world itself checks that no more than `MOST` lines are open, that each report has an idle line and says
    /// what holds, and that a report of another content that ends is followed by what holds.
    #[test]
    fn whatever_comes_lines_are_few_and_no_older_report_has_the_last_word(
        plan in plan(any_dial(), any_report(), changes(true))
    ) {
        World::played(&plan);
    }

    /// Each line may carry one report at once after another; from there on a failure's pause holds. A change has what
    /// holds told at once, and so has the end of each older report.
    #[test]
    fn whatever_comes_reports_and_dials_are_no_flood(plan in plan(any_dial(), any_report(), changes(true))) {
        let world = World::played(&plan);
        for (i, (from, _)) in world.sent.iter().enumerate() {
            let within = world.sent[i..].iter().filter(|(at, _)| *at < from + 1000).count();
            let changes = world.changed.iter().filter(|(at, ..)| at + ms(ANSWER) >= *from && *at < from + 1000);
            let moves = world.plan.changes.iter().filter(|(_, change)| matches!(change, Change::Moved)).count();
            let most = 2 * (1000 / ms(AGAIN)) as usize + (1 + MOST) * changes.count() + moves;
            prop_assert!(within <= most, "{within} reports from {from} on, not {most}");
        }
    }

    #[test]
    fn a_service_that_is_well_is_reported_to_each_period(plan in well(ms(PATIENCE))) {
        let (sent, taken) = World::played(&plan).gaps();
        // An answer, the pause, and a dial that takes longer than the last one.
        prop_assert!(sent <= ms(PERIOD + PATIENCE) + WELL + 1, "{sent}");
        prop_assert!(taken < LAPSE, "{taken}");
    }

    #[test]
    fn a_service_that_answers_within_the_limit_is_reported_to(plan in well(ms(ANSWER) - 1)) {
        let (sent, _) = World::played(&plan).gaps();
        prop_assert!(sent <= ms(PERIOD + ANSWER) + WELL + 1, "{sent}");
    }

    #[test]
    fn one_dial_or_report_that_never_ends_does_not_hold_reports_up(
        plan in well(ms(PATIENCE)), dial in any::<bool>(), which in 0..6usize
    ) {
        let mut plan = plan;
        // So many that none stands a second time.
        plan.dials = plan.dials.iter().copied().cycle().take(200).collect();
        plan.reports = plan.reports.iter().copied().cycle().take(200).collect();
        if dial {
            plan.dials[which] = Dialled::Stands;
        } else {
            plan.reports[which] = Fate { breaks: None, taken: None, ends: None, ..plan.reports[which] };
        }
        let world = World::played(&plan);
        let (sent, taken) = world.gaps();
        // The first one may stand from the start.
        prop_assert!(world.taken[0].0 < LAPSE);
        prop_assert!(sent <= ms(PERIOD + PATIENCE + PATIENCE) + 2 * WELL + 1, "{sent}");
        prop_assert!(taken < LAPSE, "{taken}");
    }

    #[test]
    fn a_change_is_told_at_once_and_is_the_last_word(plan in well(ms(ANSWER) - 1)) {
        let world = World::played(&plan);
        for (i, (at, ready, under_way)) in world.changed.iter().enumerate() {
            let (at, ready) = (*at, *ready);
            let next = world.changed.get(i + 1).map_or(END, |(at, ..)| *at);
            // With a place for a line it needs a dial, at most one more where an answer ends that one; else one of the
            // reports that are on their way has to end.
            let place = if *under_way < MOST { 0 } else { ms(ANSWER) };
            let promptly = at + place + ms(AGAIN) + 2 * WELL + 1;
            let told = world.sent.iter().find(|(sent, said)| *sent >= at && *said == ready).map(|(sent, _)| *sent);
            prop_assert!(next <= promptly || told.is_some_and(|told| told <= promptly), "{at} {told:?}");
            // What is said after it is the same.
            prop_assert!(world.sent.iter().all(|(sent, said)| *sent <= at || *sent >= next || *said == ready));
            // Reports that were on their way may be taken until the limit, and what follows them needs as long.
            let settled = at + 2 * ms(ANSWER) + ms(AGAIN) + 2 * WELL + 1;
            let late = world.taken.iter().find(|(taken, said)| (settled..next).contains(taken) && *said != ready);
            prop_assert!(late.is_none(), "{at} {late:?}");
            let last = world.taken.iter().rfind(|(taken, _)| *taken < next);
            prop_assert!(next < settled || last.is_some_and(|(_, said)| *said == ready), "{at} {last:?}");
        }
        // The last word may have been a report that was outdated: once it has ended, what holds is sent anew.
        for (at, ready, sent) in &world.outdated {
            let next = world.changed.iter().map(|(next, ..)| *next).find(|next| next > at).unwrap_or(END);
            let promptly = at + ms(AGAIN) + 2 * WELL + 1;
            let again = world.sent[*sent..].first();
            prop_assert!(next <= promptly || again.is_some_and(|again| again.0 <= promptly && again.1 == *ready));
        }
    }
}
