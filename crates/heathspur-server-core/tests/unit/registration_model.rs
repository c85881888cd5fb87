//! A model of `src/registration.rs`, which names this file as its module: a service that takes and answers reports of two
//! connections in any order, dials that come up, fail or stand, connections that end while they are idle or with a
//! report, and changes of what is to be reported there and back, between steps of the clock of 100 ms.
//!
//! The mutants take out one part each; every one has to be found.

use super::*;
use stateright::{Checker, HasDiscoveries, Model, Property};

const STEP: Duration = Duration::from_millis(100);
/// Connections that fail, and dials.
const FAULTS: u8 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum At {
    Dial,
    Idle,
    Told { said: bool, taken: bool },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    schedule: Schedule,
    steps: u32,
    ready: bool,
    lines: Vec<(Line, At)>,
    /// What the service holds.
    entry: Option<bool>,
    changes: u8,
    /// What holds was not sent since it does, or not since a report that said otherwise has ended.
    owed: bool,
    /// The older report was taken after the later one.
    crossed: bool,
    faults: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Move {
    Step,
    Change,
    Up(Line),
    Fails(Line),
    Taken(Line),
    Answered(Line),
    /// Answered, and the connection closed.
    Closed(Line),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// What holds is not told again after an older report.
    NotAgain,
    /// A change is told with the next report that is due.
    NotAtOnce,
    /// What is to be closed stays.
    NotClosed,
}

struct Reports {
    mutant: Mutant,
    /// Steps of the clock.
    steps: u32,
    /// Changes of what is to be reported.
    changes: u8,
    /// Connections also end with a report, or behind its answer.
    ends: bool,
}

impl Reports {
    /// One change, in a time past a period, and past the patience with what was begun then.
    fn long(mutant: Mutant) -> Reports {
        Reports {
            mutant,
            steps: 12,
            changes: 1,
            ends: false,
        }
    }

    /// There and back, in a time past the patience.
    fn back(mutant: Mutant) -> Reports {
        Reports {
            mutant,
            steps: 3,
            changes: 2,
            ends: true,
        }
    }
}

impl World {
    fn now(&self) -> Duration {
        STEP * self.steps
    }

    fn handle(&mut self, event: Event, mutant: Mutant) {
        let now = self.now();
        self.schedule.handle(now, event);
        while let Some(action) = self.schedule.poll(now) {
            match action {
                Action::Dial(line) => self.lines.push((line, At::Dial)),
                Action::Report { line, ready } => {
                    self.set(
                        line,
                        At::Told {
                            said: ready,
                            taken: false,
                        },
                    );
                    self.owed &= ready != self.ready;
                    self.schedule.handle(now, Event::Sent(line));
                }
                Action::Close(_) if mutant == Mutant::NotClosed => {}
                Action::Close(line) => self.ends(line),
                Action::Failed(_) => {}
            }
        }
    }

    fn set(&mut self, line: Line, at: At) {
        self.lines.retain(|(other, _)| *other != line);
        self.lines.push((line, at));
    }

    fn at(&self, line: Line) -> Option<&At> {
        self.lines
            .iter()
            .find(|(other, _)| *other == line)
            .map(|(_, at)| at)
    }

    /// A report ends, and its line.
    fn ends(&mut self, line: Line) {
        self.owed |= matches!(self.at(line), Some(At::Told { said, .. }) if *said != self.ready);
        self.lines.retain(|(other, _)| *other != line);
    }

    fn is_told(&self) -> bool {
        self.lines
            .iter()
            .any(|(_, at)| matches!(at, At::Told { .. }))
    }
}

impl Model for Reports {
    type State = World;
    type Action = Move;

    fn init_states(&self) -> Vec<World> {
        let mut world = World {
            schedule: Schedule::new(Duration::ZERO),
            steps: 0,
            ready: true,
            lines: Vec::new(),
            entry: None,
            changes: 0,
            owed: true,
            crossed: false,
            faults: 0,
        };
        world.handle(Event::Ready(true), self.mutant);
        vec![world]
    }

    fn actions(&self, world: &World, moves: &mut Vec<Move>) {
        if world.steps < self.steps {
            moves.push(Move::Step);
        }
        if world.changes < self.changes {
            moves.push(Move::Change);
        }
        for (line, at) in &world.lines {
            match at {
                At::Dial => moves.push(Move::Up(*line)),
                At::Told { taken: false, .. } => moves.push(Move::Taken(*line)),
                At::Told { taken: true, .. } => moves.push(Move::Answered(*line)),
                At::Idle => {}
            }
            if self.ends && matches!(at, At::Told { taken: true, .. }) {
                moves.push(Move::Closed(*line));
            }
            if world.faults < FAULTS && (self.ends || !matches!(at, At::Told { .. })) {
                moves.push(Move::Fails(*line));
            }
        }
    }

    fn next_state(&self, before: &World, step: Move) -> Option<World> {
        let (mut world, mutant) = (before.clone(), self.mutant);
        match step {
            Move::Step => {
                world.steps += 1;
                // Nothing new is to be reported: only time has passed.
                let ready = world.schedule.ready?;
                world.handle(Event::Ready(ready), mutant);
            }
            Move::Change => {
                world.ready = !world.ready;
                world.changes += 1;
                world.owed = true;
                if mutant == Mutant::NotAtOnce {
                    world.schedule.ready = Some(world.ready);
                }
                world.handle(Event::Ready(world.ready), mutant);
            }
            Move::Up(line) => {
                world.set(line, At::Idle);
                world.handle(Event::Up(line), mutant);
            }
            Move::Fails(line) => {
                world.faults += 1;
                let idle = world.at(line) == Some(&At::Idle);
                world.ends(line);
                let event = if idle {
                    Event::Spent(line)
                } else {
                    Event::Lost { line, late: false }
                };
                world.handle(event, mutant);
            }
            Move::Taken(line) => {
                let Some(At::Told { said, .. }) = world.at(line).cloned() else {
                    return None;
                };
                world.crossed |= world.entry == Some(world.ready) && said != world.ready;
                world.entry = Some(said);
                let at = world.lines.iter_mut().find(|(other, _)| *other == line)?;
                at.1 = At::Told { said, taken: true };
            }
            Move::Answered(line) => {
                let Some(At::Told { said, .. }) = world.at(line).cloned() else {
                    return None;
                };
                world.ends(line);
                world.lines.push((line, At::Idle));
                if mutant == Mutant::NotAgain && said != world.ready {
                    world.schedule.ready = Some(said);
                    world.schedule.handle(
                        world.now(),
                        Event::Answered {
                            line,
                            status: 204,
                            open: true,
                        },
                    );
                    world.schedule.ready = Some(world.ready);
                    world.handle(Event::Ready(world.ready), mutant);
                } else {
                    world.handle(
                        Event::Answered {
                            line,
                            status: 204,
                            open: true,
                        },
                        mutant,
                    );
                }
            }
            Move::Closed(line) => {
                world.ends(line);
                world.handle(
                    Event::Answered {
                        line,
                        status: 204,
                        open: false,
                    },
                    mutant,
                );
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("rule: two lines at most", |_, w: &World| {
                w.lines.len() <= MOST
            }),
            Property::always(
                "rule: what is wrong in the list is being put right",
                |_, w: &World| {
                    // A report is on its way, or one is due as soon as there is a line: after a failure's pause, if any.
                    let pause = AGAIN * u32::from(w.faults);
                    w.entry.is_none_or(|entry| entry == w.ready)
                        || w.is_told()
                        || w.schedule.due <= w.now() + pause
                },
            ),
            Property::always(
                "rule: what holds is told as soon as there is a line",
                |_, w: &World| {
                    let idle = w.lines.iter().any(|(_, at)| *at == At::Idle);
                    !w.owed || !idle && w.schedule.due <= w.now()
                },
            ),
            Property::always(
                "rule: a line is had for it, or dialled after the pause",
                |_, w: &World| {
                    let under_way =
                        w.lines.iter().any(|(_, at)| *at == At::Dial) || w.lines.len() == MOST;
                    !w.owed
                        || under_way
                        || w.schedule.wake().is_some_and(|at| at <= w.now() + AGAIN)
                },
            ),
            Property::sometimes("an older report is taken last", |_, w: &World| w.crossed),
            Property::sometimes("and is put right", |_, w: &World| {
                w.crossed && w.entry == Some(w.ready)
            }),
            Property::sometimes("a second dial", |_, w: &World| {
                w.lines.iter().filter(|(_, at)| *at == At::Dial).count() == MOST
            }),
        ]
    }
}

fn check(reports: Reports) {
    let checker = reports.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.is_done());
    println!("{} states", checker.unique_state_count());
}

#[test]
fn a_change_is_the_last_word_in_every_order_of_events() {
    check(Reports::long(Mutant::None));
}

#[test]
fn a_change_there_and_back_is_told_in_every_order_of_events() {
    check(Reports::back(Mutant::None));
}

#[test]
fn each_mutant_is_found() {
    for mutant in [Mutant::NotAgain, Mutant::NotAtOnce, Mutant::NotClosed] {
        let checker = Reports::long(mutant)
            .checker()
            .threads(2)
            .finish_when(HasDiscoveries::AnyFailures);
        let found = checker.spawn_bfs().join().discoveries();
        let rules: Vec<_> = found
            .keys()
            .filter(|name| name.starts_with("rule"))
            .collect();
        println!("{mutant:?}: {rules:?}");
        assert!(!rules.is_empty(), "{mutant:?} breaks no rule");
    }
}
