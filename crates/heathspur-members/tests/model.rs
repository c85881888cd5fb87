//! A model of three members under crashes, restarts and partitions, which is explored exhaustively and uses the crate's
//! own state records. Messages are delivered in any order, and a suspicion may time out at any moment.
//!
//! Each mutant omits one part of the protocol. The test fails unless the model detects every mutant.

use heathspur_members::state_record::{refuting_incarnation, StateRecord, UpdateEffect};
use heathspur_members::MemberState;
use stateright::{Checker, HasDiscoveries, Model, Property};

const MEMBERS: usize = 3;
/// The number of rounds of probes, push-pulls and suspicion timeouts after which all views must agree.
const CONVERGENCE_ROUNDS: usize = 4;
/// The maximum number of crashes, partitions and lost probes in one history.
const MAX_FAULTS: u8 = 2;
/// The highest incarnation up to which histories are explored.
const MAX_INCARNATION: u64 = 5;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    up: bool,
    incarnation: u64,
    /// Its record of each member; the one of itself is always `None`.
    view: [Option<StateRecord>; MEMBERS],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    nodes: [Node; MEMBERS],
    /// The member that is partitioned from the others.
    partitioned: Option<usize>,
    faults: u8,
    /// Whether a member was declared dead without having been suspect.
    died_unsuspected: bool,
    /// Whether a known incarnation was lowered.
    incarnation_lowered: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ModelAction {
    Crash(usize),
    Restart(usize),
    Partition(usize),
    Heal,
    /// An observer's probe of a subject fails. The probe of a reachable member may fail too, by loss.
    FailProbe(usize, usize),
    /// An observer's suspicion of a subject times out.
    Expire(usize, usize),
    /// A member sends its full view to another one.
    SendView(usize, usize),
}

/// The part of the protocol that is omitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// A suspected member does not refute.
    NoRefutation,
    /// A reported death is accepted without suspicion.
    DeathOverrides,
    /// A failed probe declares death at once.
    NoSuspicion,
    /// Dead members receive no view, so that the sides of a partition never merge.
    NoViewsToDead,
}

struct Swim {
    mutant: Mutant,
}

impl Fleet {
    /// Returns whether datagrams between two members are delivered.
    fn reaches(&self, from: usize, to: usize) -> bool {
        let side = |member| self.partitioned == Some(member);
        self.nodes[from].up && self.nodes[to].up && side(from) == side(to)
    }

    /// Sets an observer's record of a subject.
    fn set(&mut self, observer: usize, subject: usize, to: StateRecord) {
        let before = self.nodes[observer].view[subject];
        self.died_unsuspected |= to.state == MemberState::Dead
            && before.is_some_and(|known| known.state != MemberState::Suspect);
        self.incarnation_lowered |= before.is_some_and(|known| to.incarnation < known.incarnation);
        self.nodes[observer].view[subject] = Some(to);
    }

    /// Makes an observer suspect a subject.
    fn suspect(&mut self, observer: usize, subject: usize, incarnation: u64, mutant: Mutant) {
        let Some(known) = self.nodes[observer].view[subject] else {
            return;
        };
        let Some(mut suspected) = known.suspect(incarnation) else {
            return;
        };
        if mutant == Mutant::NoSuspicion {
            suspected.state = MemberState::Dead;
        }
        self.set(observer, subject, suspected);
    }

    /// Applies a report about a subject to an observer.
    fn apply(&mut self, observer: usize, subject: usize, reported: StateRecord, mutant: Mutant) {
        if observer == subject {
            let node = &mut self.nodes[observer];
            match refuting_incarnation(node.incarnation, reported) {
                Some(_) if mutant == Mutant::NoRefutation => {}
                Some(higher) => node.incarnation = higher,
                None => {}
            }
            return;
        }
        let Some(known) = self.nodes[observer].view[subject] else {
            // A newcomer is added unless it is dead.
            if reported.state.is_live() {
                self.nodes[observer].view[subject] = Some(StateRecord {
                    state: MemberState::Alive,
                    ..reported
                });
            }
            return;
        };
        match known.effect_of(reported) {
            UpdateEffect::Alive => self.set(observer, subject, reported),
            UpdateEffect::Accused {
                declared_dead: true,
            } if mutant == Mutant::DeathOverrides => self.set(observer, subject, reported),
            UpdateEffect::Accused { .. } => {
                self.suspect(observer, subject, reported.incarnation, mutant)
            }
            UpdateEffect::Left => self.set(observer, subject, reported),
            UpdateEffect::Unchanged | UpdateEffect::Stale => {}
        }
    }

    /// Sends the full view of one member to another one.
    fn send_view(&mut self, from: usize, to: usize, mutant: Mutant) {
        let view = self.nodes[from].view;
        for (subject, reported) in view
            .iter()
            .enumerate()
            .filter_map(|(subject, reported)| Some((subject, (*reported)?)))
        {
            self.apply(to, subject, reported, mutant);
        }
        // The sender's own record is applied last, so that its refutation prevails.
        let incarnation = self.nodes[from].incarnation;
        self.apply(
            to,
            from,
            StateRecord {
                state: MemberState::Alive,
                incarnation,
            },
            mutant,
        );
    }

    /// Returns the members to which `from` sends its view. They include dead ones, so that the sides of a partition
    /// merge.
    fn receivers(&self, from: usize, mutant: Mutant) -> Vec<usize> {
        let dead =
            |to: usize| self.nodes[from].view[to].is_some_and(|known| !known.state.is_live());
        let skip = |to: usize| mutant == Mutant::NoViewsToDead && dead(to);
        (0..MEMBERS)
            .filter(|&to| to != from && self.reaches(from, to) && !skip(to))
            .collect()
    }

    /// Runs one round without faults: only probes of unreachable members fail, and a suspect has time to refute.
    fn fault_free_round(&mut self, mutant: Mutant) {
        let suspects: Vec<(usize, usize)> = pairs()
            .filter(|&(observer, subject)| {
                self.nodes[observer].up
                    && self.nodes[observer].view[subject]
                        .is_some_and(|known| known.state == MemberState::Suspect)
            })
            .collect();
        for (observer, subject) in pairs() {
            let live = self.nodes[observer].view[subject].filter(|known| known.state.is_live());
            if let Some(known) =
                live.filter(|_| self.nodes[observer].up && !self.reaches(observer, subject))
            {
                self.suspect(observer, subject, known.incarnation, mutant);
            }
        }
        // The first pass delivers accusations, which their subjects refute; the second one delivers the refutations.
        for _ in 0..2 {
            for from in 0..MEMBERS {
                for to in self.receivers(from, mutant) {
                    self.send_view(from, to, mutant);
                }
            }
        }
        for (observer, subject) in suspects {
            if let Some(dead) = self.nodes[observer].view[subject].and_then(StateRecord::expire) {
                self.set(observer, subject, dead);
            }
        }
    }

    /// Returns whether all running members consider exactly the running members alive, at their current incarnation.
    fn agrees(&self) -> bool {
        pairs()
            .filter(|(observer, _)| self.nodes[*observer].up)
            .all(|(observer, subject)| {
                let known =
                    self.nodes[observer].view[subject].filter(|known| known.state.is_live());
                match self.nodes[subject].up {
                    true => {
                        known
                            == Some(StateRecord {
                                state: MemberState::Alive,
                                incarnation: self.nodes[subject].incarnation,
                            })
                    }
                    false => known.is_none(),
                }
            })
    }
}

/// Returns all pairs of an observer and a subject.
fn pairs() -> impl Iterator<Item = (usize, usize)> {
    (0..MEMBERS).flat_map(|observer| {
        (0..MEMBERS)
            .filter(move |subject| *subject != observer)
            .map(move |subject| (observer, subject))
    })
}

impl Model for Swim {
    type State = Fleet;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<Fleet> {
        let alive = StateRecord {
            state: MemberState::Alive,
            incarnation: 1,
        };
        let nodes = std::array::from_fn(|member| Node {
            up: true,
            incarnation: 1,
            view: std::array::from_fn(|subject| (subject != member).then_some(alive)),
        });
        vec![Fleet {
            nodes,
            partitioned: None,
            faults: 0,
            died_unsuspected: false,
            incarnation_lowered: false,
        }]
    }

    fn actions(&self, state: &Fleet, actions: &mut Vec<ModelAction>) {
        let may_fail = state.faults < MAX_FAULTS;
        for member in 0..MEMBERS {
            match state.nodes[member].up {
                true if may_fail => actions.push(ModelAction::Crash(member)),
                false => actions.push(ModelAction::Restart(member)),
                true => {}
            }
            if may_fail && state.partitioned.is_none() {
                actions.push(ModelAction::Partition(member));
            }
        }
        if state.partitioned.is_some() {
            actions.push(ModelAction::Heal);
        }
        for (observer, subject) in pairs().filter(|(observer, _)| state.nodes[*observer].up) {
            match state.nodes[observer].view[subject].map(|known| known.state) {
                // Any probe may fail by loss, which counts as a fault if the member is reachable.
                Some(MemberState::Alive) if !state.reaches(observer, subject) || may_fail => {
                    actions.push(ModelAction::FailProbe(observer, subject))
                }
                Some(MemberState::Suspect) => actions.push(ModelAction::Expire(observer, subject)),
                _ => {}
            }
            if state.receivers(observer, self.mutant).contains(&subject) {
                actions.push(ModelAction::SendView(observer, subject));
            }
        }
    }

    fn next_state(&self, before: &Fleet, step: ModelAction) -> Option<Fleet> {
        let mut state = before.clone();
        match step {
            ModelAction::Crash(member) => {
                state.nodes[member].up = false;
                state.faults += 1;
            }
            ModelAction::Restart(member) => {
                // The member restarts with a higher incarnation and an empty view.
                let node = &mut state.nodes[member];
                node.up = true;
                node.incarnation += 1;
                node.view = [None; MEMBERS];
            }
            ModelAction::Partition(member) => {
                state.partitioned = Some(member);
                state.faults += 1;
            }
            ModelAction::Heal => state.partitioned = None,
            ModelAction::FailProbe(observer, subject) => {
                state.faults += state.reaches(observer, subject) as u8;
                let incarnation = state.nodes[observer].view[subject]?.incarnation;
                state.suspect(observer, subject, incarnation, self.mutant);
            }
            ModelAction::Expire(observer, subject) => {
                let dead = state.nodes[observer].view[subject]?.expire()?;
                state.set(observer, subject, dead);
            }
            ModelAction::SendView(from, to) => state.send_view(from, to, self.mutant),
        }
        Some(state)
    }

    fn within_boundary(&self, state: &Fleet) -> bool {
        state
            .nodes
            .iter()
            .all(|node| node.incarnation <= MAX_INCARNATION)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "invariant: after faults end, all running members agree within the convergence rounds",
                |model, state: &Fleet| {
                    let mut later = state.clone();
                    later.partitioned = None;
                    (0..CONVERGENCE_ROUNDS).for_each(|_| later.fault_free_round(model.mutant));
                    later.agrees()
                },
            ),
            Property::always(
                "invariant: no member is declared dead without having been suspect",
                |_, state: &Fleet| !state.died_unsuspected,
            ),
            Property::always("invariant: no known incarnation is lowered", |_, state: &Fleet| {
                !state.incarnation_lowered
            }),
            Property::sometimes(
                "a running member is declared dead and refutes",
                |_, state: &Fleet| {
                    state.nodes[0].up && state.nodes[0].incarnation > 1 && state.faults == 1 && state.agrees()
                },
            ),
            Property::sometimes(
                "the others consider a crashed member dead",
                |_, state: &Fleet| {
                    !state.nodes[2].up
                        && (0..2).all(|observer| {
                            state.nodes[observer].view[2].is_some_and(|known| known.state == MemberState::Dead)
                        })
                },
            ),
        ]
    }
}

/// Returns the invariants that a mutant violates.
fn invariants_violated_by(mutant: Mutant) -> Vec<&'static str> {
    let checker = Swim { mutant }
        .checker()
        .threads(4)
        .finish_when(HasDiscoveries::AnyFailures);
    checker
        .spawn_bfs()
        .join()
        .discoveries()
        .into_keys()
        .filter(|name| name.starts_with("invariant"))
        .collect()
}

#[test]
fn views_agree_after_every_history_of_faults() {
    let checker = Swim {
        mutant: Mutant::None,
    }
    .checker()
    .threads(4)
    .spawn_bfs()
    .join();
    checker.assert_properties();
    assert!(checker.is_done());
    println!("{} states", checker.unique_state_count());
}

#[test]
fn every_mutant_violates_an_invariant() {
    for mutant in [
        Mutant::NoRefutation,
        Mutant::DeathOverrides,
        Mutant::NoSuspicion,
        Mutant::NoViewsToDead,
    ] {
        let violated = invariants_violated_by(mutant);
        assert!(!violated.is_empty(), "{mutant:?} violates no invariant");
    }
}
