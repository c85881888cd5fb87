//! Two zones of two instances, a replica in each: replicas that fail and heal, an instance cut off alone, word passed
//! on in any order between steps of the clock, calls handed to the other zone. The crate's own register and budget
//! are in it.
//!
//! The mutants take out one part each; every one has to be found.

use heathspur_failover::call_budget::{CallBudget, ZoneCapacity};
use heathspur_failover::decision_register::{Ballot, Decision, DecisionRegister, Hysteresis};
use heathspur_failover::ALL_TRAFFIC_TENTHS;
use stateright::{Checker, HasDiscoveries, Model, Property};

const ZONES: usize = 2;
const EACH: usize = 2;
const ALL: usize = ZONES * EACH;
const HYSTERESIS: Hysteresis = Hysteresis {
    minimum_hold_ms: 3,
    failover_delay_ms: 1,
    recovery_delay_ms: 2,
    dead_band_tenths: 2,
};
/// Replicas that change and instances that are cut off, in one history.
const FAULTS: u8 = 3;
/// Steps without a fault after which all instances of a zone hold what is right.
const CALM: u32 = HYSTERESIS.minimum_hold_ms + HYSTERESIS.recovery_delay_ms + 3;
/// What each zone has spare for others.
const SPARE: u32 = 2;
const HIGHEST: u64 = 4;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Instance {
    register: DecisionRegister,
    /// What its partner said last.
    heard: Ballot,
    budget: CallBudget,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    instances: [Instance; ALL],
    up: [bool; ZONES],
    was_down: [bool; ZONES],
    /// The instance that is cut off from all.
    apart: Option<usize>,
    faults: u8,
    /// Steps since a zone's newest decision was made, up to the dwell.
    since: [u32; ZONES],
    /// A decision was made before the one before it had stood for its dwell.
    hasty: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Move {
    Step,
    Tell(usize),
    Replica(usize),
    Cut(usize),
    Heal,
    Hand(usize),
    Done(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// One instance is quorum enough.
    NoQuorum,
    /// Decisions stand for no time, and a healed replica is believed at once.
    NoHysteresis,
    /// What another instance holds is not taken over.
    NotTakenOver,
    /// Each sender takes all that the far side has spare.
    SpareNotShared,
}

struct Failover {
    mutant: Mutant,
}

fn zone(i: usize) -> usize {
    i / EACH
}

fn partner(i: usize) -> usize {
    zone(i) * EACH + (i + 1) % EACH
}

impl Fleet {
    fn step(&mut self, mutant: Mutant) {
        let newest = |fleet: &Fleet, z: usize| {
            (0..ALL)
                .filter(|&i| zone(i) == z)
                .map(|i| fleet.instances[i].register.accepted().epoch)
                .max()
        };
        let before: Vec<_> = (0..ZONES).map(|z| newest(self, z)).collect();
        for i in 0..ALL {
            let apart = self.apart == Some(i);
            let sight = if apart || !self.up[zone(i)] {
                0
            } else {
                ALL_TRAFFIC_TENTHS
            };
            let hears = !apart && self.apart != Some(partner(i));
            let mut ballot = self.instances[i].heard;
            if mutant == Mutant::NotTakenOver {
                ballot.accepted = self.instances[i].register.accepted();
            }
            let others: &[Ballot] = if hears { &[ballot] } else { &[] };
            let known = if mutant == Mutant::NoQuorum { 1 } else { EACH };
            self.instances[i]
                .register
                .step(1, Some(sight), others, known);
        }
        for (z, before) in before.into_iter().enumerate() {
            self.since[z] = (self.since[z] + 1).min(HYSTERESIS.minimum_hold_ms);
            if newest(self, z) > before {
                self.hasty |= self.since[z] < HYSTERESIS.minimum_hold_ms;
                self.since[z] = 0;
            }
        }
    }

    fn tell(&mut self, from: usize) {
        self.instances[partner(from)].heard = self.instances[from].register.ballot();
    }

    fn calm(&self, mutant: Mutant) -> Fleet {
        let mut calm = self.clone();
        calm.apart = None;
        for _ in 0..CALM {
            (0..ALL).for_each(|i| calm.tell(i));
            calm.step(mutant);
        }
        calm
    }
}

impl Model for Failover {
    type State = Fleet;
    type Action = Move;

    fn init_states(&self) -> Vec<Fleet> {
        let hysteresis = match self.mutant {
            Mutant::NoHysteresis => Hysteresis {
                minimum_hold_ms: 0,
                recovery_delay_ms: 0,
                ..HYSTERESIS
            },
            _ => HYSTERESIS,
        };
        let register = DecisionRegister::new(hysteresis);
        let senders = if self.mutant == Mutant::SpareNotShared {
            1
        } else {
            EACH
        };
        let instance = |i: usize| {
            let mut budget = CallBudget::default();
            let other_zone = ZoneCapacity {
                zone: (1 - zone(i)).to_string(),
                spare_capacity: SPARE,
                senders,
            };
            budget.set_capacities([other_zone].into_iter());
            Instance {
                heard: register.ballot(),
                register: register.clone(),
                budget,
            }
        };
        vec![Fleet {
            instances: std::array::from_fn(instance),
            up: [true; ZONES],
            was_down: [false; ZONES],
            apart: None,
            faults: 0,
            since: [HYSTERESIS.minimum_hold_ms; ZONES],
            hasty: false,
        }]
    }

    fn actions(&self, state: &Fleet, moves: &mut Vec<Move>) {
        moves.push(Move::Step);
        let fails = state.faults < FAULTS;
        for z in (0..ZONES).filter(|_| fails) {
            moves.push(Move::Replica(z));
        }
        match state.apart {
            Some(_) => moves.push(Move::Heal),
            // By symmetry one instance is as good as another.
            None if fails => moves.push(Move::Cut(0)),
            None => {}
        }
        for i in 0..ALL {
            let parted = [Some(i), Some(partner(i))].contains(&state.apart);
            if !parted && state.instances[partner(i)].heard != state.instances[i].register.ballot()
            {
                moves.push(Move::Tell(i));
            }
            // What the first zone hands on shows all that the budget does.
            if zone(i) == 0
                && state.instances[i].register.local_traffic_tenths() < ALL_TRAFFIC_TENTHS
            {
                moves.push(Move::Hand(i));
            }
            if state.instances[i]
                .budget
                .in_flight(&(1 - zone(i)).to_string())
                > 0
            {
                moves.push(Move::Done(i));
            }
        }
    }

    fn next_state(&self, before: &Fleet, step: Move) -> Option<Fleet> {
        let mut state = before.clone();
        match step {
            Move::Step => state.step(self.mutant),
            Move::Tell(i) => state.tell(i),
            Move::Replica(z) => {
                state.up[z] = !state.up[z];
                state.was_down[z] |= !state.up[z];
                state.faults += 1;
            }
            Move::Cut(i) => {
                state.apart = Some(i);
                state.faults += 1;
            }
            Move::Heal => state.apart = None,
            Move::Hand(i) => {
                if !state.instances[i]
                    .budget
                    .try_acquire(&(1 - zone(i)).to_string())
                {
                    return None;
                }
            }
            Move::Done(i) => state.instances[i]
                .budget
                .release(&(1 - zone(i)).to_string()),
        }
        Some(state)
    }

    fn within_boundary(&self, state: &Fleet) -> bool {
        state
            .instances
            .iter()
            .all(|i| i.register.accepted().epoch <= HIGHEST)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "rule: without faults the instances of a zone soon hold one decision, and it is right",
                |model, s: &Fleet| {
                    let calm = s.calm(model.mutant);
                    (0..ALL).all(|i| {
                        let (mine, other) =
                            (&calm.instances[i].register, &calm.instances[partner(i)].register);
                        let right = if calm.up[zone(i)] { ALL_TRAFFIC_TENTHS } else { 0 };
                        mine.accepted() == other.accepted() && mine.local_traffic_tenths() == right
                    })
                },
            ),
            Property::always("rule: a zone whose replica never failed holds what it held", |_, s: &Fleet| {
                (0..ALL).all(|i| s.was_down[zone(i)] || s.instances[i].register.accepted() == Decision::FIRST)
            }),
            Property::always("rule: a decision stands for its dwell", |_, s: &Fleet| !s.hasty),
            Property::always("rule: no zone is handed more than it has spare", |_, s: &Fleet| {
                let handed = |z: usize| -> u32 {
                    s.instances.iter().map(|i| i.budget.in_flight(&z.to_string())).sum()
                };
                (0..ZONES).all(|z| handed(z) <= SPARE)
            }),
            Property::sometimes("one that is cut off moves itself alone", |_, s: &Fleet| {
                s.instances[0].register.local_traffic_tenths() == 0
                    && s.instances[1].register.local_traffic_tenths() == ALL_TRAFFIC_TENTHS
                    && s.apart == Some(0)
            }),
            Property::sometimes("a zone moves away and comes back", |_, s: &Fleet| {
                (0..EACH).all(|i| s.instances[i].register.accepted() == Decision { epoch: 2, local_traffic_tenths: ALL_TRAFFIC_TENTHS })
            }),
        ]
    }
}

#[test]
fn zones_decide_in_common_in_every_order_of_events() {
    let checker = Failover {
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
        Mutant::NoQuorum,
        Mutant::NoHysteresis,
        Mutant::NotTakenOver,
        Mutant::SpareNotShared,
    ] {
        let checker = Failover { mutant }
            .checker()
            .threads(4)
            .finish_when(HasDiscoveries::AnyFailures);
        let found = checker.spawn_bfs().join().discoveries();
        assert!(
            found.keys().any(|name| name.starts_with("rule")),
            "{mutant:?} breaks no rule"
        );
    }
}
