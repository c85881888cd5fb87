//! Three members under crashes, restarts, partitions and heals, explored to completion with the crate's own
//! records in them. Who hears whom, and when, comes in any order; a suspicion may run out at any moment.
//!
//! The mutants take out one part each; every one has to be found.

use heathspur_members::state_record::{refuting_incarnation, StateRecord, UpdateEffect};
use heathspur_members::MemberState;
use stateright::{Checker, HasDiscoveries, Model, Property};

const MEMBERS: usize = 3;
/// Rounds, each a probe, an exchange with everyone and a suspicion's time, that bring one view.
const ROUNDS: usize = 4;
/// Crashes and partitions in one history.
const FAULTS: u8 = 2;
/// No incarnation passes this in a history; what would is not explored.
const HIGHEST: u64 = 5;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    up: bool,
    incarnation: u64,
    /// What it holds of each; its own place stays empty.
    view: [Option<StateRecord>; MEMBERS],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    nodes: [Node; MEMBERS],
    /// The member that is alone on its side.
    apart: Option<usize>,
    faults: u8,
    /// Somebody went from alive to dead without having been suspect.
    skipped: bool,
    /// An incarnation went back.
    back: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Move {
    Crash(usize),
    Restart(usize),
    Partition(usize),
    Heal,
    /// A probe, where it fails; a live reachable one may be missed too, by loss.
    Miss(usize, usize),
    /// A suspicion runs out.
    Expire(usize, usize),
    /// One tells another its whole view.
    Tell(usize, usize),
}

/// What is wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// Who hears that it is suspected says nothing.
    NoRefutation,
    /// A word of death is taken as it comes.
    DeathOverrides,
    /// A missed probe kills at once.
    NoSuspicion,
    /// The dead are not told anything, so that halves never meet.
    DeadNotTold,
}

struct Swim {
    mutant: Mutant,
}

impl Fleet {
    fn reaches(&self, from: usize, to: usize) -> bool {
        let side = |i| self.apart == Some(i);
        self.nodes[from].up && self.nodes[to].up && side(from) == side(to)
    }

    fn set(&mut self, by: usize, of: usize, to: StateRecord) {
        let before = self.nodes[by].view[of];
        self.skipped |= to.state == MemberState::Dead
            && before.is_some_and(|b| b.state != MemberState::Suspect);
        self.back |= before.is_some_and(|b| to.incarnation < b.incarnation);
        self.nodes[by].view[of] = Some(to);
    }

    fn accuse(&mut self, by: usize, of: usize, incarnation: u64, mutant: Mutant) {
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

    fn hear(&mut self, by: usize, of: usize, said: StateRecord, mutant: Mutant) {
        if by == of {
            let node = &mut self.nodes[by];
            match refuting_incarnation(node.incarnation, said) {
                Some(_) if mutant == Mutant::NoRefutation => {}
                Some(higher) => node.incarnation = higher,
                None => {}
            }
            return;
        }
        let Some(known) = self.nodes[by].view[of] else {
            // A newcomer; the dead are none.
            if said.state.live() {
                self.nodes[by].view[of] = Some(StateRecord {
                    state: MemberState::Alive,
                    ..said
                });
            }
            return;
        };
        match known.effect_of(said) {
            UpdateEffect::Alive => self.set(by, of, said),
            UpdateEffect::Accused {
                declared_dead: true,
            } if mutant == Mutant::DeathOverrides => self.set(by, of, said),
            UpdateEffect::Accused { .. } => self.accuse(by, of, said.incarnation, mutant),
            UpdateEffect::Left => self.set(by, of, said),
            UpdateEffect::Unchanged | UpdateEffect::Stale => {}
        }
    }

    fn tell(&mut self, from: usize, to: usize, mutant: Mutant) {
        let view = self.nodes[from].view;
        for (of, said) in view
            .iter()
            .enumerate()
            .filter_map(|(of, said)| Some((of, (*said)?)))
        {
            self.hear(to, of, said, mutant);
        }
        // Its own record last: what it refutes by has the last word.
        let incarnation = self.nodes[from].incarnation;
        self.hear(
            to,
            from,
            StateRecord {
                state: MemberState::Alive,
                incarnation,
            },
            mutant,
        );
    }

    /// Whom one would tell: everyone, the dead too, since that is how halves meet.
    fn told(&self, from: usize, mutant: Mutant) -> Vec<usize> {
        let dead = |to: usize| self.nodes[from].view[to].is_some_and(|r| !r.state.live());
        let skip = |to: usize| mutant == Mutant::DeadNotTold && dead(to);
        (0..MEMBERS)
            .filter(|&to| to != from && self.reaches(from, to) && !skip(to))
            .collect()
    }

    /// From here on no fault: probes fail only where nobody answers, and a suspect has its time to refute.
    fn calm_round(&mut self, mutant: Mutant) {
        let suspects: Vec<(usize, usize)> = pairs()
            .filter(|&(by, of)| {
                self.nodes[by].up
                    && self.nodes[by].view[of].is_some_and(|r| r.state == MemberState::Suspect)
            })
            .collect();
        for (by, of) in pairs() {
            let live = self.nodes[by].view[of].filter(|r| r.state.live());
            if let Some(known) = live.filter(|_| self.nodes[by].up && !self.reaches(by, of)) {
                self.accuse(by, of, known.incarnation, mutant);
            }
        }
        // Word goes out, the accused refute, word of that goes out.
        for _ in 0..2 {
            for from in 0..MEMBERS {
                for to in self.told(from, mutant) {
                    self.tell(from, to, mutant);
                }
            }
        }
        for (by, of) in suspects {
            if let Some(dead) = self.nodes[by].view[of].and_then(StateRecord::expire) {
                self.set(by, of, dead);
            }
        }
    }

    /// All that live hold all that live alive, at their incarnation, and none of the others.
    fn agrees(&self) -> bool {
        pairs()
            .filter(|(by, _)| self.nodes[*by].up)
            .all(|(by, of)| {
                let held = self.nodes[by].view[of].filter(|r| r.state.live());
                match self.nodes[of].up {
                    true => {
                        held == Some(StateRecord {
                            state: MemberState::Alive,
                            incarnation: self.nodes[of].incarnation,
                        })
                    }
                    false => held.is_none(),
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
            apart: None,
            faults: 0,
            skipped: false,
            back: false,
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
            if may_fail && state.apart.is_none() {
                moves.push(Move::Partition(i));
            }
        }
        if state.apart.is_some() {
            moves.push(Move::Heal);
        }
        for (by, of) in pairs().filter(|(by, _)| state.nodes[*by].up) {
            match state.nodes[by].view[of].map(|r| r.state) {
                // Loss makes anyone miss a probe, but counts as a fault where the member would have answered.
                Some(MemberState::Alive) if !state.reaches(by, of) || may_fail => {
                    moves.push(Move::Miss(by, of))
                }
                Some(MemberState::Suspect) => moves.push(Move::Expire(by, of)),
                _ => {}
            }
            if state.told(by, self.mutant).contains(&of) {
                moves.push(Move::Tell(by, of));
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
                // It knows nobody but its seeds, and comes back higher.
                let node = &mut state.nodes[i];
                node.up = true;
                node.incarnation += 1;
                node.view = [None; MEMBERS];
            }
            Move::Partition(i) => {
                state.apart = Some(i);
                state.faults += 1;
            }
            Move::Heal => state.apart = None,
            Move::Miss(by, of) => {
                state.faults += state.reaches(by, of) as u8;
                let incarnation = state.nodes[by].view[of]?.incarnation;
                state.accuse(by, of, incarnation, self.mutant);
            }
            Move::Expire(by, of) => {
                let dead = state.nodes[by].view[of]?.expire()?;
                state.set(by, of, dead);
            }
            Move::Tell(from, to) => state.tell(from, to, self.mutant),
        }
        Some(state)
    }

    fn within_boundary(&self, state: &Fleet) -> bool {
        state.nodes.iter().all(|node| node.incarnation <= HIGHEST)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "rule: once healed, all that live agree within so many rounds",
                |model, s: &Fleet| {
                    let mut calm = s.clone();
                    calm.apart = None;
                    (0..ROUNDS).for_each(|_| calm.calm_round(model.mutant));
                    calm.agrees()
                },
            ),
            Property::always(
                "rule: nobody is taken for dead who was not suspect before",
                |_, s: &Fleet| !s.skipped,
            ),
            Property::always("rule: no incarnation held goes back", |_, s: &Fleet| {
                !s.back
            }),
            Property::sometimes(
                "one that lives is taken for dead, and comes back",
                |_, s: &Fleet| {
                    s.nodes[0].up && s.nodes[0].incarnation > 1 && s.faults == 1 && s.agrees()
                },
            ),
            Property::sometimes("the others hold a crashed one dead", |_, s: &Fleet| {
                !s.nodes[2].up
                    && (0..2)
                        .all(|by| s.nodes[by].view[2].is_some_and(|r| r.state == MemberState::Dead))
            }),
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
        Mutant::DeadNotTold,
    ] {
        let found = broken_by(mutant);
        assert!(!found.is_empty(), "{mutant:?} breaks no rule");
    }
}
