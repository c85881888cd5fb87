//! Unit tests of `src/registration/mod.rs`, which includes this file as its test module: the schedule runs against a
//! simulated service, whose connection attempts and answers follow a generated plan.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Lifetime of the service's entry after the last accepted report.
const ENTRY_LIFETIME_MS: u64 = 3000;
/// Longest duration of a connection attempt to a healthy service.
const MAX_HEALTHY_CONNECT_MS: u64 = 250;
/// Length of a simulation.
const END_MS: u64 = 40_000;

fn ms(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// How a connection attempt ends, and after how many milliseconds.
#[derive(Clone, Copy, Debug)]
enum ConnectOutcome {
    Succeeds(u64),
    Fails(u64),
    Hangs,
}

/// What happens to a report. Times are in milliseconds from the sending of the report.
#[derive(Clone, Copy, Debug)]
struct ReportOutcome {
    /// Whether the connection turns out to be closed before the report is sent.
    closed: bool,
    /// When the connection fails, if it carried an earlier report.
    reused_fails_after: Option<u64>,
    /// When the service accepts the report, if at all.
    accepted_after: Option<u64>,
    /// When the report is answered, or its connection fails if there is no `status`. `None` means never.
    ends_after: Option<u64>,
    status: Option<u16>,
    /// Whether the connection stays open after the answer.
    stays_open: bool,
    /// Time from the answer until the service closes the connection, if it stays open.
    idle_ms: u64,
}

#[derive(Clone, Copy, Debug)]
enum Change {
    Ready(bool),
    AddressChanged,
}

/// A generated plan of a simulation.
#[derive(Clone, Debug)]
struct Plan {
    /// Outcomes of the connection attempts, used cyclically.
    connects: Vec<ConnectOutcome>,
    /// Outcomes of the reports, used cyclically.
    reports: Vec<ReportOutcome>,
    /// Each change with the time since the last one, in milliseconds.
    changes: Vec<(u64, Change)>,
}

/// A simulated event.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Occurrence {
    Connected(ConnectionId),
    Failed(ConnectionId),
    Closed(ConnectionId),
    Answer {
        connection: ConnectionId,
        status: u16,
        stays_open: bool,
        reported: bool,
    },
    Accepted {
        reported: bool,
        epoch: u32,
    },
    /// The change with this index in the plan.
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

/// The simulated service and clock, with a record of what happened. Times are in milliseconds.
struct Simulation {
    plan: Plan,
    schedule: Schedule,
    now: u64,
    ready: bool,
    /// Number of address changes so far.
    epoch: u32,
    upcoming: Vec<(u64, Occurrence)>,
    /// Open connections and connection attempts.
    open: Vec<ConnectionId>,
    /// Connections that have carried a report.
    reused: Vec<ConnectionId>,
    /// Number of connection attempts so far.
    connects: usize,
    /// Number of reports so far, including those on closed connections.
    reports_started: usize,
    /// When reports were sent, with the readiness in them.
    sent: Vec<(u64, bool)>,
    /// When the service accepted reports, with the readiness in them.
    accepted: Vec<(u64, bool)>,
    /// Changes of the readiness, with the number of reports in flight at that time.
    changed: Vec<(u64, bool, usize)>,
    /// Reports in flight, with the readiness in them.
    in_flight: Vec<(ConnectionId, bool)>,
    /// When outdated reports ended, with the current readiness and the number of reports sent until then.
    outdated: Vec<(u64, bool, usize)>,
}

impl Simulation {
    fn run(plan: &Plan) -> Simulation {
        let (mut upcoming, mut at) = (Vec::new(), 0);
        for (index, (gap, _)) in plan.changes.iter().enumerate() {
            at += gap;
            upcoming.push((at, Occurrence::Change(index)));
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
        simulation.carry_out_actions();
        while simulation.now < END_MS {
            simulation.advance();
        }
        simulation
    }

    fn handle(&mut self, event: Event) {
        self.schedule.handle(Duration::from_millis(self.now), event);
    }

    fn after(&mut self, wait_ms: u64, occurrence: Occurrence) {
        self.upcoming.push((self.now + wait_ms, occurrence));
    }

    /// Advances the clock to the next occurrence or wake-up and handles it.
    fn advance(&mut self) {
        let next = (0..self.upcoming.len()).min_by_key(|&i| self.upcoming[i].0);
        let wake = self
            .schedule
            .next_wakeup()
            .map_or(END_MS, ms)
            .clamp(self.now, END_MS);
        match next.filter(|&i| self.upcoming[i].0 <= wake) {
            Some(i) => {
                let (at, occurrence) = self.upcoming.remove(i);
                self.now = at;
                self.apply(occurrence);
            }
            None => self.now = wake,
        }
        let before = (self.now, self.connects, self.reports_started);
        self.carry_out_actions();
        let wakes_again = self
            .schedule
            .next_wakeup()
            .is_some_and(|at| ms(at) <= self.now);
        assert!(
            !wakes_again || before != (self.now, self.connects, self.reports_started),
            "a wake-up caused no action"
        );
    }

    fn apply(&mut self, occurrence: Occurrence) {
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
                stays_open,
                reported,
            } => {
                self.report_ended(connection);
                if !stays_open {
                    self.remove(connection);
                }
                let idle_ms =
                    self.plan.reports[(self.reports_started - 1) % self.plan.reports.len()].idle_ms;
                if stays_open {
                    self.after(idle_ms, Occurrence::Closed(connection));
                }
                let sent = self.sent.len();
                self.handle(Event::ReportCompleted {
                    connection,
                    status,
                    reusable: stays_open,
                });
                self.carry_out_actions();
                // The outdated report may have been accepted last, so the readiness is reported again at once.
                if stays_open && reported != self.ready && self.open.contains(&connection) {
                    assert_eq!(
                        self.sent[sent..],
                        [(self.now, self.ready)],
                        "an outdated report of {reported} was not followed by a current one"
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

    fn carry_out_actions(&mut self) {
        let mut actions = 0;
        while let Some(action) = self.schedule.poll(Duration::from_millis(self.now)) {
            actions += 1;
            assert!(actions < 32, "endless sequence of actions");
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
                Action::SendReport { connection, ready } => self.send_report(connection, ready),
                Action::Close(connection) => {
                    assert!(self.open.contains(&connection));
                    self.remove(connection);
                }
                Action::LogFailure(_) => {}
            }
        }
    }

    fn send_report(&mut self, connection: ConnectionId, ready: bool) {
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
        if let Some(wait) = outcome
            .reused_fails_after
            .filter(|_| self.reused.contains(&connection))
        {
            self.after(wait, Occurrence::Failed(connection));
            return self.handle(Event::ReportSent(connection));
        }
        self.reused.push(connection);
        if let Some(wait) = outcome.accepted_after {
            self.after(
                wait,
                Occurrence::Accepted {
                    reported: ready,
                    epoch: self.epoch,
                },
            );
        }
        match (outcome.ends_after, outcome.status) {
            (Some(wait), Some(status)) => {
                self.after(
                    wait,
                    Occurrence::Answer {
                        connection,
                        status,
                        stays_open: outcome.stays_open,
                        reported: ready,
                    },
                );
            }
            (Some(wait), None) => self.after(wait, Occurrence::Failed(connection)),
            (None, _) => {}
        }
        self.handle(Event::ReportSent(connection));
    }

    /// Returns the longest time between two sent reports and between two accepted reports, both including the time from
    /// the last one to the end of the simulation.
    fn longest_gaps(&self) -> (u64, u64) {
        let longest = |times: &[(u64, bool)]| {
            let ends = times.iter().skip(1).map(|(at, _)| *at).chain([END_MS]);
            times
                .iter()
                .zip(ends)
                .map(|((at, _), next)| next - at)
                .max()
                .unwrap_or(END_MS)
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

fn reused_failure() -> impl Strategy<Value = Option<u64>> {
    prop_oneof![5 => Just(None), 1 => (0..50u64).prop_map(Some)]
}

fn any_report() -> impl Strategy<Value = ReportOutcome> {
    let status = prop_oneof![6 => Just(Some(204)), 1 => Just(Some(500)), 1 => Just(None)];
    let ends_after = prop_oneof![3 => (0..400u64).prop_map(Some), 2 => (0..2500u64).prop_map(Some), 1 => Just(None)];
    let rest = (
        prop::option::of(0..2500u64),
        ends_after,
        status,
        0..8u8,
        0..1500u64,
    );
    (0..10u8, reused_failure(), rest).prop_map(
        |(closed, reused_fails_after, (accepted_after, ends_after, status, open, idle_ms))| {
            ReportOutcome {
                closed: closed == 0,
                reused_fails_after,
                accepted_after,
                ends_after,
                status,
                stays_open: open > 0,
                idle_ms,
            }
        },
    )
}

/// Generates reports that are accepted and answered within `limit_ms`. The connection may end at any time afterwards.
fn accepted_report(limit_ms: u64) -> impl Strategy<Value = ReportOutcome> {
    (
        reused_failure(),
        0..=limit_ms,
        0..=limit_ms,
        0..6u8,
        0..4000u64,
    )
        .prop_map(
            |(reused_fails_after, one, other, open, idle_ms)| ReportOutcome {
                closed: false,
                reused_fails_after,
                accepted_after: Some(one.min(other)),
                ends_after: Some(one.max(other)),
                status: Some(204),
                stays_open: open > 0,
                idle_ms,
            },
        )
}

fn changes(with_address_changes: bool) -> impl Strategy<Value = Vec<(u64, Change)>> {
    let change = (0..8u8, any::<bool>()).prop_map(move |(kind, ready)| match kind {
        0 if with_address_changes => Change::AddressChanged,
        _ => Change::Ready(ready),
    });
    // Short gaps produce a change and its reversal during one connection attempt or report.
    let gap = prop_oneof![0..3000u64, 0..MAX_HEALTHY_CONNECT_MS];
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

fn healthy_service(limit_ms: u64) -> impl Strategy<Value = Plan> {
    plan(
        (0..=MAX_HEALTHY_CONNECT_MS).prop_map(ConnectOutcome::Succeeds),
        accepted_report(limit_ms),
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

    /// The simulation itself asserts that at most `MAX_CONNECTIONS` connections are open, that each report uses an idle
    /// connection and carries the current readiness, and that the end of an outdated report is followed by a current
    /// report.
    #[test]
    fn connections_are_bounded_and_outdated_report_is_followed_by_current_one(
        plan in plan(any_connect(), any_report(), changes(true))
    ) {
        Simulation::run(&plan);
    }

    /// Each connection may carry one report immediately after another; then the retry delay applies. Changes, and the
    /// ends of outdated reports, cause further immediate reports.
    #[test]
    fn rate_of_reports_is_bounded(plan in plan(any_connect(), any_report(), changes(true))) {
        let simulation = Simulation::run(&plan);
        for (index, (from, _)) in simulation.sent.iter().enumerate() {
            let in_one_second = simulation.sent[index..].iter().filter(|(at, _)| *at < from + 1000).count();
            let changes = simulation.changed.iter().filter(|(at, ..)| at + ms(RESPONSE_TIMEOUT) >= *from && *at < from + 1000);
            let address_changes = simulation.plan.changes.iter().filter(|(_, change)| matches!(change, Change::AddressChanged)).count();
            let limit = 2 * (1000 / ms(RETRY_DELAY)) as usize + (1 + MAX_CONNECTIONS) * changes.count() + address_changes;
            prop_assert!(in_one_second <= limit, "{in_one_second} reports in the second from {from} ms on, limit {limit}");
        }
    }

    #[test]
    fn healthy_service_gets_report_each_interval(plan in healthy_service(ms(HEDGE_DELAY))) {
        let (sent, accepted) = Simulation::run(&plan).longest_gaps();
        // A gap consists of an answer, the interval, and a connection attempt that takes longer than the last one.
        prop_assert!(sent <= ms(REPORT_INTERVAL + HEDGE_DELAY) + MAX_HEALTHY_CONNECT_MS + 1, "{sent}");
        prop_assert!(accepted < ENTRY_LIFETIME_MS, "{accepted}");
    }

    #[test]
    fn service_that_answers_within_timeout_gets_reports(plan in healthy_service(ms(RESPONSE_TIMEOUT) - 1)) {
        let (sent, _) = Simulation::run(&plan).longest_gaps();
        prop_assert!(sent <= ms(REPORT_INTERVAL + RESPONSE_TIMEOUT) + MAX_HEALTHY_CONNECT_MS + 1, "{sent}");
    }

    #[test]
    fn hanging_connection_attempt_or_report_does_not_delay_reports(
        plan in healthy_service(ms(HEDGE_DELAY)), is_connect in any::<bool>(), index in 0..6usize
    ) {
        let mut plan = plan;
        // The plans are long enough that the hanging entry is not used a second time.
        plan.connects = plan.connects.iter().copied().cycle().take(200).collect();
        plan.reports = plan.reports.iter().copied().cycle().take(200).collect();
        if is_connect {
            plan.connects[index] = ConnectOutcome::Hangs;
        } else {
            plan.reports[index] = ReportOutcome { reused_fails_after: None, accepted_after: None, ends_after: None, ..plan.reports[index] };
        }
        let simulation = Simulation::run(&plan);
        let (sent, accepted) = simulation.longest_gaps();
        // The first connection attempt or report may be the one that hangs.
        prop_assert!(simulation.accepted[0].0 < ENTRY_LIFETIME_MS);
        prop_assert!(sent <= ms(REPORT_INTERVAL + HEDGE_DELAY + HEDGE_DELAY) + 2 * MAX_HEALTHY_CONNECT_MS + 1, "{sent}");
        prop_assert!(accepted < ENTRY_LIFETIME_MS, "{accepted}");
    }

    #[test]
    fn change_is_reported_immediately_and_accepted_last(plan in healthy_service(ms(RESPONSE_TIMEOUT) - 1)) {
        let simulation = Simulation::run(&plan);
        for (index, (at, ready, in_flight)) in simulation.changed.iter().enumerate() {
            let (at, ready) = (*at, *ready);
            let next = simulation.changed.get(index + 1).map_or(END_MS, |(at, ..)| *at);
            // If another connection is allowed, the report of the change needs one connection attempt, or two if an
            // answer ends the first. Otherwise, one of the reports in flight has to end before.
            let wait = if *in_flight < MAX_CONNECTIONS { 0 } else { ms(RESPONSE_TIMEOUT) };
            let deadline = at + wait + ms(RETRY_DELAY) + 2 * MAX_HEALTHY_CONNECT_MS + 1;
            let first_sent = simulation.sent.iter().find(|(sent, reported)| *sent >= at && *reported == ready).map(|(sent, _)| *sent);
            prop_assert!(next <= deadline || first_sent.is_some_and(|first| first <= deadline), "{at} {first_sent:?}");
            // All reports until the next change carry the new readiness.
            prop_assert!(simulation.sent.iter().all(|(sent, reported)| *sent <= at || *sent >= next || *reported == ready));
            // Reports in flight may be accepted until their timeout, and the reports that follow may take as long.
            let settled = at + 2 * ms(RESPONSE_TIMEOUT) + ms(RETRY_DELAY) + 2 * MAX_HEALTHY_CONNECT_MS + 1;
            let late = simulation.accepted.iter().find(|(accepted, reported)| (settled..next).contains(accepted) && *reported != ready);
            prop_assert!(late.is_none(), "{at} {late:?}");
            let last = simulation.accepted.iter().rfind(|(accepted, _)| *accepted < next);
            prop_assert!(next < settled || last.is_some_and(|(_, reported)| *reported == ready), "{at} {last:?}");
        }
        // An outdated report may have been accepted last, so the readiness is sent again once it has ended.
        for (at, ready, sent) in &simulation.outdated {
            let next = simulation.changed.iter().map(|(next, ..)| *next).find(|next| next > at).unwrap_or(END_MS);
            let deadline = at + ms(RETRY_DELAY) + 2 * MAX_HEALTHY_CONNECT_MS + 1;
            let again = simulation.sent[*sent..].first();
            prop_assert!(next <= deadline || again.is_some_and(|again| again.0 <= deadline && again.1 == *ready));
        }
    }
}
