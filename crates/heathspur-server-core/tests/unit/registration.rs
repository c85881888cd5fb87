//! Tests of `src/registration/mod.rs`, which includes this file as its test module: the schedule against a simulated
//! service whose connection attempts and answers follow a generated plan, in any order.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// How long the service keeps an entry after its last accepted report, in ms.
const ENTRY_LIFETIME: u64 = 3000;
/// The longest connection attempt to a healthy service, in ms.
const HEALTHY_CONNECT: u64 = 250;
/// Length of a run, in ms.
const END: u64 = 40_000;

fn ms(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// How a connection attempt ends, and after how many ms.
#[derive(Clone, Copy, Debug)]
enum ConnectOutcome {
    Succeeds(u64),
    Fails(u64),
    Hangs,
}

/// What happens to a report.
#[derive(Clone, Copy, Debug)]
struct ReportOutcome {
    /// The connection turns out to be closed before the report.
    closed: bool,
    /// A reused connection breaks during this report after so long.
    breaks: Option<u64>,
    /// When the service accepts the report, if at all.
    accepted: Option<u64>,
    /// When the report is answered, or its connection breaks if it has no status; `None`: never.
    ends: Option<u64>,
    status: Option<u16>,
    /// The connection stays open, and for how long it is idle.
    open: bool,
    idle: u64,
}

#[derive(Clone, Copy, Debug)]
enum Change {
    Ready(bool),
    AddressChanged,
}

#[derive(Clone, Debug)]
struct Plan {
    /// Used in turn, then from the first again.
    connects: Vec<ConnectOutcome>,
    reports: Vec<ReportOutcome>,
    /// With the time since the last one.
    changes: Vec<(u64, Change)>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Occurrence {
    Connected(ConnectionId),
    Failed(ConnectionId),
    Closed(ConnectionId),
    Answer {
        connection: ConnectionId,
        status: u16,
        open: bool,
        reported: bool,
    },
    Accepted {
        reported: bool,
        epoch: u32,
    },
    Change(usize),
}

impl Occurrence {
    fn connection(self) -> Option<ConnectionId> {
        match self {
            Occurrence::Connected(connection)
            | Occurrence::Failed(connection)
            | Occurrence::Closed(connection) => Some(connection),
            Occurrence::Answer { connection, .. } => Some(connection),
            Occurrence::Accepted { .. } | Occurrence::Change(_) => None,
        }
    }
}

/// The simulated service and clock, with a record of the run.
struct Simulation {
    plan: Plan,
    schedule: Schedule,
    now: u64,
    ready: bool,
    /// Number of address changes so far.
    epoch: u32,
    upcoming: Vec<(u64, Occurrence)>,
    open: Vec<ConnectionId>,
    /// Connections that carried a report.
    reused: Vec<ConnectionId>,
    connects: usize,
    reports_started: usize,
    sent: Vec<(u64, bool)>,
    accepted: Vec<(u64, bool)>,
    /// Changes of the readiness, and how many reports were in flight then.
    changed: Vec<(u64, bool, usize)>,
    /// The reports in flight.
    in_flight: Vec<(ConnectionId, bool)>,
    /// When outdated reports ended, with the readiness and the number of reports sent until then.
    outdated: Vec<(u64, bool, usize)>,
}

impl Simulation {
    fn run(plan: &Plan) -> Simulation {
        let (mut upcoming, mut at) = (Vec::new(), 0);
        for (i, (gap, _)) in plan.changes.iter().enumerate() {
            at += gap;
            upcoming.push((at, Occurrence::Change(i)));
        }
        let mut simulation = Simulation {
            plan: plan.clone(),
            schedule: Schedule::new(Duration::ZERO),
            now: 0,
            ready: true,
            epoch: 0,
            upcoming,
            open: Vec::new(),
            reused: Vec::new(),
            connects: 0,
            reports_started: 0,
            sent: Vec::new(),
            accepted: Vec::new(),
            changed: Vec::new(),
            in_flight: Vec::new(),
            outdated: Vec::new(),
        };
        simulation.handle(Event::Ready(true));
        simulation.act();
        while simulation.now < END {
            simulation.advance();
        }
        simulation
    }

    fn handle(&mut self, event: Event) {
        self.schedule.handle(Duration::from_millis(self.now), event);
    }

    fn after(&mut self, wait: u64, occurrence: Occurrence) {
        self.upcoming.push((self.now + wait, occurrence));
    }

    /// Advances to the next occurrence or wake-up.
    fn advance(&mut self) {
        let next = (0..self.upcoming.len()).min_by_key(|&i| self.upcoming[i].0);
        let wake = self
            .schedule
            .next_wakeup()
            .map_or(END, ms)
            .clamp(self.now, END);
        match next.filter(|&i| self.upcoming[i].0 <= wake) {
            Some(i) => {
                let (at, occurrence) = self.upcoming.remove(i);
                self.now = at;
                self.occur(occurrence);
            }
            None => self.now = wake,
        }
        let before = (self.now, self.connects, self.reports_started);
        self.act();
        let busy = self
            .schedule
            .next_wakeup()
            .is_some_and(|at| ms(at) <= self.now);
        assert!(
            !busy || before != (self.now, self.connects, self.reports_started),
            "a wake-up without an action"
        );
    }

    fn occur(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Connected(connection) => self.handle(Event::Connected(connection)),
            Occurrence::Failed(connection) => {
                self.remove(connection);
                self.handle(Event::Failed {
                    connection,
                    timed_out: false,
                });
            }
            Occurrence::Closed(connection) => {
                self.remove(connection);
                self.handle(Event::Closed(connection));
            }
            Occurrence::Answer {
                connection,
                status,
                open,
                reported,
            } => {
                self.report_ended(connection);
                if !open {
                    self.remove(connection);
                }
                let idle =
                    self.plan.reports[(self.reports_started - 1) % self.plan.reports.len()].idle;
                if open {
                    self.after(idle, Occurrence::Closed(connection));
                }
                let sent = self.sent.len();
                self.handle(Event::ReportAnswered {
                    connection,
                    status,
                    reusable: open,
                });
                self.act();
                // The outdated report may have been accepted last: the readiness is reported again, at once on a connection.
                if open && reported != self.ready && self.open.contains(&connection) {
                    assert_eq!(
                        self.sent[sent..],
                        [(self.now, self.ready)],
                        "the last accepted report was {reported}"
                    );
                }
            }
            Occurrence::Accepted { reported, epoch } if epoch == self.epoch => {
                self.accepted.push((self.now, reported))
            }
            Occurrence::Accepted { .. } => {}
            Occurrence::Change(i) => match self.plan.changes[i].1 {
                Change::Ready(ready) => {
                    if ready != self.ready {
                        self.changed.push((self.now, ready, self.in_flight.len()));
                    }
                    self.ready = ready;
                    self.handle(Event::Ready(ready));
                }
                Change::AddressChanged => {
                    self.epoch += 1;
                    self.handle(Event::AddressChanged);
                    self.handle(Event::Ready(self.ready));
                }
            },
        }
    }

    fn report_ended(&mut self, connection: ConnectionId) {
        if self
            .in_flight
            .iter()
            .any(|(other, reported)| *other == connection && *reported != self.ready)
        {
            self.outdated.push((self.now, self.ready, self.sent.len()));
        }
        self.in_flight.retain(|(other, _)| *other != connection);
    }

    fn remove(&mut self, connection: ConnectionId) {
        self.report_ended(connection);
        self.open.retain(|other| *other != connection);
        self.upcoming
            .retain(|(_, occurrence)| occurrence.connection() != Some(connection));
    }

    fn act(&mut self) {
        let mut actions = 0;
        while let Some(action) = self.schedule.poll(Duration::from_millis(self.now)) {
            actions += 1;
            assert!(actions < 32, "endless actions");
            match action {
                Action::Connect(connection) => {
                    self.open.push(connection);
                    assert!(self.open.len() <= MAX_CONNECTIONS, "{:?}", self.open);
                    match self.plan.connects[self.connects % self.plan.connects.len()] {
                        ConnectOutcome::Succeeds(wait) => {
                            self.after(wait, Occurrence::Connected(connection))
                        }
                        ConnectOutcome::Fails(wait) => {
                            self.after(wait, Occurrence::Failed(connection))
                        }
                        ConnectOutcome::Hangs => {}
                    }
                    self.connects += 1;
                }
                Action::SendReport { connection, ready } => self.report(connection, ready),
                Action::Close(connection) => {
                    assert!(self.open.contains(&connection));
                    self.remove(connection);
                }
                Action::LogFailure(_) => {}
            }
        }
    }

    fn report(&mut self, connection: ConnectionId, ready: bool) {
        assert!(
            self.open.contains(&connection)
                && self.in_flight.iter().all(|(other, _)| *other != connection)
        );
        assert_eq!(ready, self.ready);
        let outcome = self.plan.reports[self.reports_started % self.plan.reports.len()];
        self.reports_started += 1;
        self.upcoming
            .retain(|(_, occurrence)| occurrence.connection() != Some(connection));
        if outcome.closed {
            self.remove(connection);
            return self.handle(Event::Closed(connection));
        }
        self.sent.push((self.now, ready));
        self.in_flight.push((connection, ready));
        if let Some(wait) = outcome.breaks.filter(|_| self.reused.contains(&connection)) {
            self.after(wait, Occurrence::Failed(connection));
            return self.handle(Event::ReportSent(connection));
        }
        self.reused.push(connection);
        if let Some(wait) = outcome.accepted {
            self.after(
                wait,
                Occurrence::Accepted {
                    reported: ready,
                    epoch: self.epoch,
                },
            );
        }
        match (outcome.ends, outcome.status) {
            (Some(wait), Some(status)) => {
                self.after(
                    wait,
                    Occurrence::Answer {
                        connection,
                        status,
                        open: outcome.open,
                        reported: ready,
                    },
                );
            }
            (Some(wait), None) => self.after(wait, Occurrence::Failed(connection)),
            (None, _) => {}
        }
        self.handle(Event::ReportSent(connection));
    }

    /// The longest time between two sent reports, and between two accepted ones, including the time to the end.
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
        (longest(&self.sent), longest(&self.accepted))
    }
}

fn any_connect() -> impl Strategy<Value = ConnectOutcome> {
    prop_oneof![
        6 => (0..3000u64).prop_map(ConnectOutcome::Succeeds),
        2 => (0..3000u64).prop_map(ConnectOutcome::Fails),
        1 => Just(ConnectOutcome::Hangs),
    ]
}

fn breaks() -> impl Strategy<Value = Option<u64>> {
    prop_oneof![5 => Just(None), 1 => (0..50u64).prop_map(Some)]
}

fn any_report() -> impl Strategy<Value = ReportOutcome> {
    let status = prop_oneof![6 => Just(Some(204)), 1 => Just(Some(500)), 1 => Just(None)];
    let ends = prop_oneof![3 => (0..400u64).prop_map(Some), 2 => (0..2500u64).prop_map(Some), 1 => Just(None)];
    let rest = (
        prop::option::of(0..2500u64),
        ends,
        status,
        0..8u8,
        0..1500u64,
    );
    (0..10u8, breaks(), rest).prop_map(|(closed, breaks, (accepted, ends, status, open, idle))| {
        ReportOutcome {
            closed: closed == 0,
            breaks,
            accepted,
            ends,
            status,
            open: open > 0,
            idle,
        }
    })
}

/// A report that is accepted and answered within the limit; the connection may end at any time behind it.
fn accepted_report(limit: u64) -> impl Strategy<Value = ReportOutcome> {
    (breaks(), 0..=limit, 0..=limit, 0..6u8, 0..4000u64).prop_map(
        |(breaks, one, other, open, idle)| ReportOutcome {
            closed: false,
            breaks,
            accepted: Some(one.min(other)),
            ends: Some(one.max(other)),
            status: Some(204),
            open: open > 0,
            idle,
        },
    )
}

fn changes(moves: bool) -> impl Strategy<Value = Vec<(u64, Change)>> {
    let change = (0..8u8, any::<bool>()).prop_map(move |(kind, ready)| match kind {
        0 if moves => Change::AddressChanged,
        _ => Change::Ready(ready),
    });
    // Also a change and its reversal during one connection attempt or report.
    let gap = prop_oneof![0..3000u64, 0..HEALTHY_CONNECT];
    prop::collection::vec((gap, change), 0..10)
}

fn plan(
    connect: impl Strategy<Value = ConnectOutcome>,
    report: impl Strategy<Value = ReportOutcome>,
    changes: impl Strategy<Value = Vec<(u64, Change)>>,
) -> impl Strategy<Value = Plan> {
    let (connects, reports) = (
        prop::collection::vec(connect, 1..12),
        prop::collection::vec(report, 1..24),
    );
    (connects, reports, changes).prop_map(|(connects, reports, changes)| Plan {
        connects,
        reports,
        changes,
    })
}

fn healthy_service(limit: u64) -> impl Strategy<Value = Plan> {
    plan(
        (0..=HEALTHY_CONNECT).prop_map(ConnectOutcome::Succeeds),
        accepted_report(limit),
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

    /// The simulation itself checks that at most `MAX_CONNECTIONS` connections are open, that each report uses an idle
    /// connection and carries the readiness, and that an outdated report that ends is followed by a current one.
    #[test]
    fn connections_are_bounded_and_an_outdated_report_is_followed_by_a_current_one(
        plan in plan(any_connect(), any_report(), changes(true))
    ) {
        Simulation::run(&plan);
    }

    /// Each connection may carry one report immediately after another; then the retry delay applies. A change is
    /// reported immediately, and so is the readiness after the end of each outdated report.
    #[test]
    fn the_rate_of_reports_is_bounded(plan in plan(any_connect(), any_report(), changes(true))) {
        let simulation = Simulation::run(&plan);
        for (i, (from, _)) in simulation.sent.iter().enumerate() {
            let within = simulation.sent[i..].iter().filter(|(at, _)| *at < from + 1000).count();
            let changes = simulation.changed.iter().filter(|(at, ..)| at + ms(RESPONSE_TIMEOUT) >= *from && *at < from + 1000);
            let moves = simulation.plan.changes.iter().filter(|(_, change)| matches!(change, Change::AddressChanged)).count();
            let most = 2 * (1000 / ms(RETRY_DELAY)) as usize + (1 + MAX_CONNECTIONS) * changes.count() + moves;
            prop_assert!(within <= most, "{within} reports from {from} on, not {most}");
        }
    }

    #[test]
    fn a_healthy_service_gets_a_report_each_interval(plan in healthy_service(ms(HEDGE_DELAY))) {
        let (sent, accepted) = Simulation::run(&plan).gaps();
        // An answer, the interval, and a connection attempt that takes longer than the last one.
        prop_assert!(sent <= ms(REPORT_INTERVAL + HEDGE_DELAY) + HEALTHY_CONNECT + 1, "{sent}");
        prop_assert!(accepted < ENTRY_LIFETIME, "{accepted}");
    }

    #[test]
    fn a_service_that_answers_within_the_timeout_gets_reports(plan in healthy_service(ms(RESPONSE_TIMEOUT) - 1)) {
        let (sent, _) = Simulation::run(&plan).gaps();
        prop_assert!(sent <= ms(REPORT_INTERVAL + RESPONSE_TIMEOUT) + HEALTHY_CONNECT + 1, "{sent}");
    }

    #[test]
    fn one_hanging_connection_attempt_or_report_does_not_delay_reports(
        plan in healthy_service(ms(HEDGE_DELAY)), connect in any::<bool>(), which in 0..6usize
    ) {
        let mut plan = plan;
        // So many that none hangs a second time.
        plan.connects = plan.connects.iter().copied().cycle().take(200).collect();
        plan.reports = plan.reports.iter().copied().cycle().take(200).collect();
        if connect {
            plan.connects[which] = ConnectOutcome::Hangs;
        } else {
            plan.reports[which] = ReportOutcome { breaks: None, accepted: None, ends: None, ..plan.reports[which] };
        }
        let simulation = Simulation::run(&plan);
        let (sent, accepted) = simulation.gaps();
        // The first one may hang from the start.
        prop_assert!(simulation.accepted[0].0 < ENTRY_LIFETIME);
        prop_assert!(sent <= ms(REPORT_INTERVAL + HEDGE_DELAY + HEDGE_DELAY) + 2 * HEALTHY_CONNECT + 1, "{sent}");
        prop_assert!(accepted < ENTRY_LIFETIME, "{accepted}");
    }

    #[test]
    fn a_change_is_reported_immediately_and_accepted_last(plan in healthy_service(ms(RESPONSE_TIMEOUT) - 1)) {
        let simulation = Simulation::run(&plan);
        for (i, (at, ready, in_flight)) in simulation.changed.iter().enumerate() {
            let (at, ready) = (*at, *ready);
            let next = simulation.changed.get(i + 1).map_or(END, |(at, ..)| *at);
            // With capacity for a connection the change needs an attempt, at most two if an answer ends the first; without,
            // one of the reports in flight has to end.
            let wait = if *in_flight < MAX_CONNECTIONS { 0 } else { ms(RESPONSE_TIMEOUT) };
            let deadline = at + wait + ms(RETRY_DELAY) + 2 * HEALTHY_CONNECT + 1;
            let first_sent = simulation.sent.iter().find(|(sent, reported)| *sent >= at && *reported == ready).map(|(sent, _)| *sent);
            prop_assert!(next <= deadline || first_sent.is_some_and(|first| first <= deadline), "{at} {first_sent:?}");
            // All reports until the next change carry it.
            prop_assert!(simulation.sent.iter().all(|(sent, reported)| *sent <= at || *sent >= next || *reported == ready));
            // Reports in flight may be accepted until their timeout, and the ones that follow need as long.
            let settled = at + 2 * ms(RESPONSE_TIMEOUT) + ms(RETRY_DELAY) + 2 * HEALTHY_CONNECT + 1;
            let late = simulation.accepted.iter().find(|(accepted, reported)| (settled..next).contains(accepted) && *reported != ready);
            prop_assert!(late.is_none(), "{at} {late:?}");
            let last = simulation.accepted.iter().rfind(|(accepted, _)| *accepted < next);
            prop_assert!(next < settled || last.is_some_and(|(_, reported)| *reported == ready), "{at} {last:?}");
        }
        // An outdated report may have been accepted last: once it has ended, the readiness is sent again.
        for (at, ready, sent) in &simulation.outdated {
            let next = simulation.changed.iter().map(|(next, ..)| *next).find(|next| next > at).unwrap_or(END);
            let deadline = at + ms(RETRY_DELAY) + 2 * HEALTHY_CONNECT + 1;
            let again = simulation.sent[*sent..].first();
            prop_assert!(next <= deadline || again.is_some_and(|again| again.0 <= deadline && again.1 == *ready));
        }
    }
}
