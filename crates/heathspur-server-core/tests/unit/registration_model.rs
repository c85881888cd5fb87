//! Model check of `src/registration/mod.rs`, which includes this file as a module.
//!
//! In the model, the service accepts and answers the reports of two connections in any order, connection attempts
//! succeed, fail or hang, connections fail while idle or with a report in flight, the readiness changes and changes
//! back, and the clock advances by ticks of 100 ms. Each mutant breaks one part of the schedule, and the model check
//! has to detect it as a violated rule.

use super::*;
use stateright::{Checker, HasDiscoveries, Model, Property};

/// Duration of a tick of the model's clock.
const TICK: Duration = Duration::from_millis(100);
/// Maximum number of failures of connections and connection attempts in one sequence of steps.
const MAX_FAILURES: u8 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Connecting,
    Idle,
    Reporting { ready: bool, accepted: bool },
}

/// State of the model: the schedule, the connections on the side of the service, and observations.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    schedule: Schedule,
    ticks: u32,
    ready: bool,
    connections: Vec<(ConnectionId, Stage)>,
    /// The readiness in the service's entry for this server.
    registered: Option<bool>,
    changes: u8,
    /// Whether the current readiness has not been sent since it changed, or since an outdated report ended.
    report_pending: bool,
    /// Whether an outdated report was accepted after a current one.
    reordered: bool,
    failures: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    Change,
    Connected(ConnectionId),
    Failed(ConnectionId),
    Accepted(ConnectionId),
    Answered(ConnectionId),
    /// The report was answered, and the connection was closed.
    AnsweredAndClosed(ConnectionId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// The readiness is not reported again after the end of an outdated report.
    NoRepeat,
    /// A change is only reported when the next report of the interval is due.
    DelayedChange,
    /// Connections that the schedule closes stay open.
    NoClose,
}

struct RegistrationModel {
    mutant: Mutant,
    /// Maximum number of clock ticks.
    ticks: u32,
    /// Maximum number of changes of the readiness.
    changes: u8,
    /// Whether connections also fail with a report in flight, or close after its answer.
    failures_in_reports: bool,
}

impl RegistrationModel {
    /// Returns a model with one change, over more than a report interval and a hedge delay.
    fn one_change(mutant: Mutant) -> RegistrationModel {
        RegistrationModel {
            mutant,
            ticks: 12,
            changes: 1,
            failures_in_reports: false,
        }
    }

    /// Returns a model with a change and its reversal, over more than the hedge delay.
    fn reversed_change(mutant: Mutant) -> RegistrationModel {
        RegistrationModel {
            mutant,
            ticks: 3,
            changes: 2,
            failures_in_reports: true,
        }
    }
}

impl World {
    fn now(&self) -> Duration {
        TICK * self.ticks
    }

    fn handle(&mut self, event: Event, mutant: Mutant) {
        let now = self.now();
        self.schedule.handle(now, event);
        while let Some(action) = self.schedule.poll(now) {
            match action {
                Action::Connect(connection) => {
                    self.connections.push((connection, Stage::Connecting))
                }
                Action::SendReport { connection, ready } => {
                    self.set(
                        connection,
                        Stage::Reporting {
                            ready,
                            accepted: false,
                        },
                    );
                    self.report_pending &= ready != self.ready;
                    self.schedule.handle(now, Event::ReportSent(connection));
                }
                Action::Close(_) if mutant == Mutant::NoClose => {}
                Action::Close(connection) => self.remove(connection),
                Action::LogFailure(_) => {}
            }
        }
    }

    fn set(&mut self, connection: ConnectionId, stage: Stage) {
        self.connections.retain(|(other, _)| *other != connection);
        self.connections.push((connection, stage));
    }

    fn stage(&self, connection: ConnectionId) -> Option<&Stage> {
        self.connections
            .iter()
            .find(|(other, _)| *other == connection)
            .map(|(_, stage)| stage)
    }

    /// Ends a connection and the report in flight on it, if any.
    fn remove(&mut self, connection: ConnectionId) {
        self.report_pending |= matches!(self.stage(connection), Some(Stage::Reporting { ready, .. }) if *ready != self.ready);
        self.connections.retain(|(other, _)| *other != connection);
    }

    fn is_reporting(&self) -> bool {
        self.connections
            .iter()
            .any(|(_, stage)| matches!(stage, Stage::Reporting { .. }))
    }
}

impl Model for RegistrationModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut world = World {
            schedule: Schedule::new(Duration::ZERO),
            ticks: 0,
            ready: true,
            connections: Vec::new(),
            registered: None,
            changes: 0,
            report_pending: true,
            reordered: false,
            failures: 0,
        };
        world.handle(Event::Ready(true), self.mutant);
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.ticks < self.ticks {
            steps.push(Step::Tick);
        }
        if world.changes < self.changes {
            steps.push(Step::Change);
        }
        for (connection, stage) in &world.connections {
            match stage {
                Stage::Connecting => steps.push(Step::Connected(*connection)),
                Stage::Reporting {
                    accepted: false, ..
                } => steps.push(Step::Accepted(*connection)),
                Stage::Reporting { accepted: true, .. } => steps.push(Step::Answered(*connection)),
                Stage::Idle => {}
            }
            if self.failures_in_reports && matches!(stage, Stage::Reporting { accepted: true, .. })
            {
                steps.push(Step::AnsweredAndClosed(*connection));
            }
            if world.failures < MAX_FAILURES
                && (self.failures_in_reports || !matches!(stage, Stage::Reporting { .. }))
            {
                steps.push(Step::Failed(*connection));
            }
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let (mut world, mutant) = (before.clone(), self.mutant);
        match step {
            Step::Tick => {
                world.ticks += 1;
                // An event that changes nothing lets the schedule act on the passed time.
                let ready = world.schedule.ready?;
                world.handle(Event::Ready(ready), mutant);
            }
            Step::Change => {
                world.ready = !world.ready;
                world.changes += 1;
                world.report_pending = true;
                if mutant == Mutant::DelayedChange {
                    world.schedule.ready = Some(world.ready);
                }
                world.handle(Event::Ready(world.ready), mutant);
            }
            Step::Connected(connection) => {
                world.set(connection, Stage::Idle);
                world.handle(Event::Connected(connection), mutant);
            }
            Step::Failed(connection) => {
                world.failures += 1;
                let idle = world.stage(connection) == Some(&Stage::Idle);
                world.remove(connection);
                let event = if idle {
                    Event::Closed(connection)
                } else {
                    Event::Failed {
                        connection,
                        timed_out: false,
                    }
                };
                world.handle(event, mutant);
            }
            Step::Accepted(connection) => {
                let Some(Stage::Reporting { ready, .. }) = world.stage(connection).cloned() else {
                    return None;
                };
                world.reordered |= world.registered == Some(world.ready) && ready != world.ready;
                world.registered = Some(ready);
                let entry = world
                    .connections
                    .iter_mut()
                    .find(|(other, _)| *other == connection)?;
                entry.1 = Stage::Reporting {
                    ready,
                    accepted: true,
                };
            }
            Step::Answered(connection) => {
                let Some(Stage::Reporting { ready, .. }) = world.stage(connection).cloned() else {
                    return None;
                };
                world.remove(connection);
                world.connections.push((connection, Stage::Idle));
                if mutant == Mutant::NoRepeat && ready != world.ready {
                    world.schedule.ready = Some(ready);
                    world.schedule.handle(
                        world.now(),
                        Event::ReportCompleted {
                            connection,
                            status: 204,
                            reusable: true,
                        },
                    );
                    world.schedule.ready = Some(world.ready);
                    world.handle(Event::Ready(world.ready), mutant);
                } else {
                    world.handle(
                        Event::ReportCompleted {
                            connection,
                            status: 204,
                            reusable: true,
                        },
                        mutant,
                    );
                }
            }
            Step::AnsweredAndClosed(connection) => {
                world.remove(connection);
                world.handle(
                    Event::ReportCompleted {
                        connection,
                        status: 204,
                        reusable: false,
                    },
                    mutant,
                );
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "rule: at most two connections are open",
                |_, world: &World| world.connections.len() <= MAX_CONNECTIONS,
            ),
            Property::always(
                "rule: a wrong registration is being corrected",
                |_, world: &World| {
                    // A report is in flight, or it is due: at once, or after the retry delay of a failure.
                    let retry_delay = RETRY_DELAY * u32::from(world.failures);
                    world
                        .registered
                        .is_none_or(|registered| registered == world.ready)
                        || world.is_reporting()
                        || world.schedule.report_due <= world.now() + retry_delay
                },
            ),
            Property::always(
                "rule: a change is reported as soon as there is a connection",
                |_, world: &World| {
                    let idle = world
                        .connections
                        .iter()
                        .any(|(_, stage)| *stage == Stage::Idle);
                    !world.report_pending || !idle && world.schedule.report_due <= world.now()
                },
            ),
            Property::always(
                "rule: a pending report has a connection, or an attempt within the retry delay",
                |_, world: &World| {
                    let has_connection = world
                        .connections
                        .iter()
                        .any(|(_, stage)| *stage == Stage::Connecting)
                        || world.connections.len() == MAX_CONNECTIONS;
                    !world.report_pending
                        || has_connection
                        || world
                            .schedule
                            .next_wakeup()
                            .is_some_and(|at| at <= world.now() + RETRY_DELAY)
                },
            ),
            Property::sometimes(
                "an outdated report is accepted after a current one",
                |_, world: &World| world.reordered,
            ),
            Property::sometimes(
                "a registration by an outdated report is corrected",
                |_, world: &World| world.reordered && world.registered == Some(world.ready),
            ),
            Property::sometimes("a connection attempt is hedged", |_, world: &World| {
                world
                    .connections
                    .iter()
                    .filter(|(_, stage)| *stage == Stage::Connecting)
                    .count()
                    == MAX_CONNECTIONS
            }),
        ]
    }
}

fn check(model: RegistrationModel) {
    let checker = model.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.is_done());
    println!("{} states", checker.unique_state_count());
}

#[test]
fn change_is_registered_last_in_every_order_of_events() {
    check(RegistrationModel::one_change(Mutant::None));
}

#[test]
fn reversed_change_is_reported_in_every_order_of_events() {
    check(RegistrationModel::reversed_change(Mutant::None));
}

#[test]
fn each_mutant_violates_a_rule() {
    for mutant in [Mutant::NoRepeat, Mutant::DelayedChange, Mutant::NoClose] {
        let checker = RegistrationModel::one_change(mutant)
            .checker()
            .threads(2)
            .finish_when(HasDiscoveries::AnyFailures);
        let found = checker.spawn_bfs().join().discoveries();
        let rules: Vec<_> = found
            .keys()
            .filter(|name| name.starts_with("rule"))
            .collect();
        println!("{mutant:?}: {rules:?}");
        assert!(!rules.is_empty(), "{mutant:?} violates no rule");
    }
}
