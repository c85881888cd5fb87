//! A model of two zones with two instances and a replica each: replicas fail and recover, an instance is partitioned,
//! ballots are delivered in any order between steps of the clock, and calls go to the other zone. The decision
//! register and the call budget are the crate's own.
//!
//! Each mutant leaves out one part of the protocol, and the model has to find every mutant.

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
/// Changes of replicas and partitions in one history.
const FAULTS: u8 = 3;
/// Steps without a fault after which all instances of a zone have accepted the right decision.
const FAULT_FREE_STEPS: u32 = HYSTERESIS.minimum_hold_ms + HYSTERESIS.recovery_delay_ms + 3;
/// The spare capacity of each zone.
const SPARE: u32 = 2;
const HIGHEST: u64 = 4;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Instance {
    register: DecisionRegister,
    /// The last ballot of the other instance of its zone.
    received: Ballot,
    budget: CallBudget,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    instances: [Instance; ALL],
    up: [bool; ZONES],
    was_down: [bool; ZONES],
    /// The instance that is partitioned from all others.
    partitioned: Option<usize>,
    faults: u8,
    /// Steps since a zone's newest decision, up to the minimum hold.
    steps_since_decision: [u32; ZONES],
    /// A decision was made before the previous one had held for its minimum.
    decided_early: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Move {
    Step,
    DeliverBallot(usize),
    ToggleReplica(usize),
    Partition(usize),
    Heal,
    SendCall(usize),
    CompleteCall(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// One instance is a quorum.
    NoQuorum,
    /// Decisions have no minimum hold, and a recovered replica counts at once.
    NoHysteresis,
    /// The accepted decision of another instance is ignored.
    IgnoresDecisions,
    /// Each sender uses all of the spare capacity.
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
            let partitioned = self.partitioned == Some(i);
            let observed = if partitioned || !self.up[zone(i)] {
                0
            } else {
                ALL_TRAFFIC_TENTHS
            };
            let connected = !partitioned && self.partitioned != Some(partner(i));
            let mut ballot = self.instances[i].received;
            if mutant == Mutant::IgnoresDecisions {
                ballot.accepted = self.instances[i].register.accepted();
            }
            let others: &[Ballot] = if connected { &[ballot] } else { &[] };
            let known = if mutant == Mutant::NoQuorum { 1 } else { EACH };
            self.instances[i]
                .register
                .step(1, Some(observed), others, known);
        }
        for (z, before) in before.into_iter().enumerate() {
            self.steps_since_decision[z] =
                (self.steps_since_decision[z] + 1).min(HYSTERESIS.minimum_hold_ms);
            if newest(self, z) > before {
                self.decided_early |= self.steps_since_decision[z] < HYSTERESIS.minimum_hold_ms;
                self.steps_since_decision[z] = 0;
            }
        }
    }

    fn deliver_ballot(&mut self, from: usize) {
        self.instances[partner(from)].received = self.instances[from].register.ballot();
    }

    fn after_fault_free_steps(&self, mutant: Mutant) -> Fleet {
        let mut later = self.clone();
        later.partitioned = None;
        for _ in 0..FAULT_FREE_STEPS {
            (0..ALL).for_each(|i| later.deliver_ballot(i));
            later.step(mutant);
        }
        later
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
                received: register.ballot(),
                register: register.clone(),
                budget,
            }
        };
        vec![Fleet {
            instances: std::array::from_fn(instance),
            up: [true; ZONES],
            was_down: [false; ZONES],
            partitioned: None,
            faults: 0,
            steps_since_decision: [HYSTERESIS.minimum_hold_ms; ZONES],
            decided_early: false,
        }]
    }

    fn actions(&self, state: &Fleet, moves: &mut Vec<Move>) {
        moves.push(Move::Step);
        let may_fail = state.faults < FAULTS;
        for z in (0..ZONES).filter(|_| may_fail) {
            moves.push(Move::ToggleReplica(z));
        }
        match state.partitioned {
            Some(_) => moves.push(Move::Heal),
            // By symmetry it is enough to partition one instance.
            None if may_fail => moves.push(Move::Partition(0)),
            None => {}
        }
        for i in 0..ALL {
            let unreachable = [Some(i), Some(partner(i))].contains(&state.partitioned);
            if !unreachable
                && state.instances[partner(i)].received != state.instances[i].register.ballot()
            {
                moves.push(Move::DeliverBallot(i));
            }
            // By symmetry it is enough that the first zone sends calls.
            if zone(i) == 0
                && state.instances[i].register.local_traffic_tenths() < ALL_TRAFFIC_TENTHS
            {
                moves.push(Move::SendCall(i));
            }
            if state.instances[i]
                .budget
                .in_flight(&(1 - zone(i)).to_string())
                > 0
            {
                moves.push(Move::CompleteCall(i));
            }
        }
    }

    fn next_state(&self, before: &Fleet, step: Move) -> Option<Fleet> {
        let mut state = before.clone();
        match step {
            Move::Step => state.step(self.mutant),
            Move::DeliverBallot(i) => state.deliver_ballot(i),
            Move::ToggleReplica(z) => {
                state.up[z] = !state.up[z];
                state.was_down[z] |= !state.up[z];
                state.faults += 1;
            }
            Move::Partition(i) => {
                state.partitioned = Some(i);
                state.faults += 1;
            }
            Move::Heal => state.partitioned = None,
            Move::SendCall(i) => {
                if !state.instances[i]
                    .budget
                    .try_acquire(&(1 - zone(i)).to_string())
                {
                    return None;
                }
            }
            Move::CompleteCall(i) => state.instances[i]
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
                "rule: without faults the instances of a zone soon accept one decision, and the right one",
                |model, s: &Fleet| {
                    let later = s.after_fault_free_steps(model.mutant);
                    (0..ALL).all(|i| {
                        let (mine, other) =
                            (&later.instances[i].register, &later.instances[partner(i)].register);
                        let right = if later.up[zone(i)] { ALL_TRAFFIC_TENTHS } else { 0 };
                        mine.accepted() == other.accepted() && mine.local_traffic_tenths() == right
                    })
                },
            ),
            Property::always("rule: a zone whose replica never failed makes no decision", |_, s: &Fleet| {
                (0..ALL).all(|i| s.was_down[zone(i)] || s.instances[i].register.accepted() == Decision::FIRST)
            }),
            Property::always("rule: a decision holds for its minimum", |_, s: &Fleet| !s.decided_early),
            Property::always("rule: no zone gets more calls than its spare capacity", |_, s: &Fleet| {
                let calls_to = |z: usize| -> u32 {
                    s.instances.iter().map(|i| i.budget.in_flight(&z.to_string())).sum()
                };
                (0..ZONES).all(|z| calls_to(z) <= SPARE)
            }),
            Property::sometimes("a partitioned instance moves only its own calls", |_, s: &Fleet| {
                s.instances[0].register.local_traffic_tenths() == 0
                    && s.instances[1].register.local_traffic_tenths() == ALL_TRAFFIC_TENTHS
                    && s.partitioned == Some(0)
            }),
            Property::sometimes("a zone may_fail over and recovers", |_, s: &Fleet| {
                (0..EACH).all(|i| s.instances[i].register.accepted() == Decision { epoch: 2, local_traffic_tenths: ALL_TRAFFIC_TENTHS })
            }),
        ]
    }
}

#[test]
fn zones_agree_on_decisions_in_every_order_of_events() {
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
        Mutant::IgnoresDecisions,
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
