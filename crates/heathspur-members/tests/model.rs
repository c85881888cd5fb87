//! A model of three members under crashes, restarts and partitions, explored exhaustively with the crate's own state
//! records. Messages are delivered in any order, and a suspicion may time out at any moment.
//!
//! Each mutant leaves out one part of the protocol, and the model has to find every mutant.

use heathspur_members::state_record::{refuting_incarnation, StateRecord, UpdateEffect};
use heathspur_members::MemberState;
use stateright::{Checker, HasDiscoveries, Model, Property};

const MEMBERS: usize = 3;
/// Rounds of probes, push-pulls and suspicion timeouts after which all views agree.
const ROUNDS: usize = 4;
/// Crashes and partitions in one history.
const FAULTS: u8 = 2;
/// Histories with a higher incarnation are not explored.
const HIGHEST: u64 = 5;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    up: bool,
    incarnation: u64,
    /// Its record of each member; its own is always `None`.
    view: [Option<StateRecord>; MEMBERS],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    nodes: [Node; MEMBERS],
    /// The member that is partitioned from the others.
    partitioned: Option<usize>,
    faults: u8,
    /// A member was declared dead without having been suspect.
    died_unsuspected: bool,
    /// A known incarnation was lowered.
    incarnation_lowered: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Move {
    Crash(usize),
    Restart(usize),
    Partition(usize),
    Heal,
    /// A probe fails; by loss, that of a reachable member may fail too.
    FailProbe(usize, usize),
    /// A suspicion times out.
    Expire(usize, usize),
    /// A member sends another its whole view.
    SendView(usize, usize),
}

/// The part of the protocol that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// A suspected member does not refute.
    NoRefutation,
    /// A reported death is accepted without suspicion.
    DeathOverrides,
    /// A failed probe declares death at once.
    NoSuspicion,
    /// The dead get no view, so that the halves of a partition never merge.
    DeadGetNoView,
}

struct Swim {
    mutant: Mutant,
}

impl Fleet {
    fn reaches(&self, from: usize, to: usize) -> bool {
        let side = |i| self.partitioned == Some(i);
        self.nodes[from].up && self.nodes[to].up && side(from) == side(to)
    }

    fn set(&mut self, by: usize, of: usize, to: StateRecord) {
        let before = self.nodes[by].view[of];
        self.died_unsuspected |= to.state == MemberState::Dead
            && before.is_some_and(|b| b.state != MemberState::Suspect);
        self.incarnation_lowered |= before.is_some_and(|b| to.incarnation < b.incarnation);
        self.nodes[by].view[of] = Some(to);
    }

    fn suspect(&mut self, by: usize, of: usize, incarnation: u64, mutant: Mutant) {
        let Some(known) = self.nodes[by].view[of] else {
            return;
        };
        let Some(mut suspected) = known.suspect(incarnation) else {
            return;
        };
        if mutant == Mutant::NoSuspicion {
            suspected.state = MemberState::Dead;
        }
        self.set(by, of, suspected);
    }

    fn apply(&mut self, by: usize, of: usize, reported: StateRecord, mutant: Mutant) {
        if by == of {
            let node = &mut self.nodes[by];
            match refuting_incarnation(node.incarnation, reported) {
                Some(_) if mutant == Mutant::NoRefutation => {}
                Some(higher) => node.incarnation = higher,
                None => {}
            }
            return;
        }
        let Some(known) = self.nodes[by].view[of] else {
            // A newcomer is added unless it is dead.
            if reported.state.live() {
                self.nodes[by].view[of] = Some(StateRecord {
                    state: MemberState::Alive,
                    ..reported
                });
            }
            return;
        };
        match known.effect_of(reported) {
            UpdateEffect::Alive => self.set(by, of, reported),
            UpdateEffect::Accused {
                declared_dead: true,
            } if mutant == Mutant::DeathOverrides => self.set(by, of, reported),
            UpdateEffect::Accused { .. } => self.suspect(by, of, reported.incarnation, mutant),
            UpdateEffect::Left => self.set(by, of, reported),
            UpdateEffect::Unchanged | UpdateEffect::Stale => {}
        }
    }

    fn send_view(&mut self, from: usize, to: usize, mutant: Mutant) {
        let view = self.nodes[from].view;
        for (of, reported) in view
            .iter()
            .enumerate()
            .filter_map(|(of, reported)| Some((of, (*reported)?)))
        {
            self.apply(to, of, reported, mutant);
        }
        // Its own record comes last, so that its refutation prevails.
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

    /// The members that it sends its view to: the dead too, since that is how the halves of a partition merge.
    fn receivers(&self, from: usize, mutant: Mutant) -> Vec<usize> {
        let dead = |to: usize| self.nodes[from].view[to].is_some_and(|r| !r.state.live());
        let skip = |to: usize| mutant == Mutant::DeadGetNoView && dead(to);
        (0..MEMBERS)
            .filter(|&to| to != from && self.reaches(from, to) && !skip(to))
            .collect()
    }

    /// One round without faults: only probes of unreachable members fail, and a suspect has time to refute.
    fn fault_free_round(&mut self, mutant: Mutant) {
        let suspects: Vec<(usize, usize)> = pairs()
            .filter(|&(by, of)| {
                self.nodes[by].up
                    && self.nodes[by].view[of].is_some_and(|r| r.state == MemberState::Suspect)
            })
            .collect();
        for (by, of) in pairs() {
            let live = self.nodes[by].view[of].filter(|r| r.state.live());
            if let Some(known) = live.filter(|_| self.nodes[by].up && !self.reaches(by, of)) {
                self.suspect(by, of, known.incarnation, mutant);
            }
        }
        // Views are sent, the accused refute, and the refutations are sent.
        for _ in 0..2 {
            for from in 0..MEMBERS {
                for to in self.receivers(from, mutant) {
                    self.send_view(from, to, mutant);
                }
            }
        }
        for (by, of) in suspects {
            if let Some(dead) = self.nodes[by].view[of].and_then(StateRecord::expire) {
                self.set(by, of, dead);
            }
        }
    }

    /// Whether all running members know exactly the running members as alive, at their current incarnation.
    fn agrees(&self) -> bool {
        pairs()
            .filter(|(by, _)| self.nodes[*by].up)
            .all(|(by, of)| {
                let known = self.nodes[by].view[of].filter(|r| r.state.live());
                match self.nodes[of].up {
                    true => {
                        known
                            == Some(StateRecord {
                                state: MemberState::Alive,
                                incarnation: self.nodes[of].incarnation,
                            })
                    }
                    false => known.is_none(),
                }
            })
    }
}

fn pairs() -> impl Iterator<Item = (usize, usize)> {
    (0..MEMBERS).flat_map(|by| {
        (0..MEMBERS)
            .filter(move |of| *of != by)
            .map(move |of| (by, of))
    })
}

impl Model for Swim {
    type State = Fleet;
    type Action = Move;

    fn init_states(&self) -> Vec<Fleet> {
        let alive = StateRecord {
            state: MemberState::Alive,
            incarnation: 1,
        };
        let nodes = std::array::from_fn(|i| Node {
            up: true,
            incarnation: 1,
            view: std::array::from_fn(|of| (of != i).then_some(alive)),
        });
        vec![Fleet {
            nodes,
            partitioned: None,
            faults: 0,
            died_unsuspected: false,
            incarnation_lowered: false,
        }]
    }

    fn actions(&self, state: &Fleet, moves: &mut Vec<Move>) {
        let may_fail = state.faults < FAULTS;
        for i in 0..MEMBERS {
            match state.nodes[i].up {
                true if may_fail => moves.push(Move::Crash(i)),
                false => moves.push(Move::Restart(i)),
                true => {}
            }
            if may_fail && state.partitioned.is_none() {
                moves.push(Move::Partition(i));
            }
        }
        if state.partitioned.is_some() {
            moves.push(Move::Heal);
        }
        for (by, of) in pairs().filter(|(by, _)| state.nodes[*by].up) {
            match state.nodes[by].view[of].map(|r| r.state) {
                // Loss may fail any probe, but counts as a fault if the member would have answered.
                Some(MemberState::Alive) if !state.reaches(by, of) || may_fail => {
                    moves.push(Move::FailProbe(by, of))
                }
                Some(MemberState::Suspect) => moves.push(Move::Expire(by, of)),
                _ => {}
            }
            if state.receivers(by, self.mutant).contains(&of) {
                moves.push(Move::SendView(by, of));
            }
        }
    }

    fn next_state(&self, before: &Fleet, step: Move) -> Option<Fleet> {
        let mut state = before.clone();
        match step {
            Move::Crash(i) => {
                state.nodes[i].up = false;
                state.faults += 1;
            }
            Move::Restart(i) => {
                // It restarts with a higher incarnation and an empty view.
                let node = &mut state.nodes[i];
                node.up = true;
                node.incarnation += 1;
                node.view = [None; MEMBERS];
            }
            Move::Partition(i) => {
                state.partitioned = Some(i);
                state.faults += 1;
            }
            Move::Heal => state.partitioned = None,
            Move::FailProbe(by, of) => {
                state.faults += state.reaches(by, of) as u8;
                let incarnation = state.nodes[by].view[of]?.incarnation;
                state.suspect(by, of, incarnation, self.mutant);
            }
            Move::Expire(by, of) => {
                let dead = state.nodes[by].view[of]?.expire()?;
                state.set(by, of, dead);
            }
            Move::SendView(from, to) => state.send_view(from, to, self.mutant),
        }
        Some(state)
    }

    fn within_boundary(&self, state: &Fleet) -> bool {
        state.nodes.iter().all(|node| node.incarnation <= HIGHEST)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "rule: once healed, all running members agree within the given rounds",
                |model, s: &Fleet| {
                    let mut calm = s.clone();
                    calm.partitioned = None;
                    (0..ROUNDS).for_each(|_| calm.fault_free_round(model.mutant));
                    calm.agrees()
                },
            ),
            Property::always(
                "rule: no member is declared dead without having been suspect",
                |_, s: &Fleet| !s.died_unsuspected,
            ),
            Property::always("rule: no known incarnation is lowered", |_, s: &Fleet| {
                !s.incarnation_lowered
            }),
            Property::sometimes(
                "a running member is declared dead and refutes",
                |_, s: &Fleet| {
                    s.nodes[0].up && s.nodes[0].incarnation > 1 && s.faults == 1 && s.agrees()
                },
            ),
            Property::sometimes(
                "the others know a crashed member as dead",
                |_, s: &Fleet| {
                    !s.nodes[2].up
                        && (0..2).all(|by| {
                            s.nodes[by].view[2].is_some_and(|r| r.state == MemberState::Dead)
                        })
                },
            ),
        ]
    }
}

fn broken_by(mutant: Mutant) -> Vec<&'static str> {
    let checker = Swim { mutant }
        .checker()
        .threads(4)
        .finish_when(HasDiscoveries::AnyFailures);
    checker
        .spawn_bfs()
        .join()
        .discoveries()
        .into_keys()
        .filter(|name| name.starts_with("rule"))
        .collect()
}

#[test]
fn views_agree_again_after_every_history_of_faults() {
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
fn each_mutant_is_found() {
    for mutant in [
        Mutant::NoRefutation,
        Mutant::DeathOverrides,
        Mutant::NoSuspicion,
        Mutant::DeadGetNoView,
    ] {
        let found = broken_by(mutant);
        assert!(!found.is_empty(), "{mutant:?} breaks no rule");
    }
}
