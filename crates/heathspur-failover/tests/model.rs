//! A model of two zones, each with two instances and a replica, which is explored exhaustively and uses the crate's own
//! decision register and call budget. Replicas fail and recover, an instance is partitioned, ballots are delivered in
//! any order between steps of the clock, and calls are sent to the other zone.
//!
//! Each mutant omits one part of the protocol. The test fails unless the model detects every mutant.

use heathspur_failover::call_budget::{CallBudget, ZoneCapacity};
use heathspur_failover::decision_register::{Ballot, Decision, DecisionRegister, Hysteresis};
use heathspur_failover::ALL_TRAFFIC_TENTHS;
use stateright::{Checker, HasDiscoveries, Model, Property};

const ZONES: usize = 2;
const INSTANCES_PER_ZONE: usize = 2;
const INSTANCES: usize = ZONES * INSTANCES_PER_ZONE;
const HYSTERESIS: Hysteresis = Hysteresis {
    minimum_hold_ms: 3,
    failover_delay_ms: 1,
    recovery_delay_ms: 2,
    dead_band_tenths: 2,
};
/// The maximum number of partitions and of changes of a replica's health in one history.
const MAX_FAULTS: u8 = 3;
/// The number of steps without a fault after which all instances of a zone must have accepted the correct decision.
const FAULT_FREE_STEPS: u32 = HYSTERESIS.minimum_hold_ms + HYSTERESIS.recovery_delay_ms + 3;
/// The spare capacity of each zone, in requests.
const SPARE_CAPACITY: u32 = 2;
/// The highest epoch up to which histories are explored.
const MAX_EPOCH: u64 = 4;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Instance {
    register: DecisionRegister,
    /// The last ballot received from the other instance of its zone.
    received: Ballot,
    budget: CallBudget,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    instances: [Instance; INSTANCES],
    up: [bool; ZONES],
    was_down: [bool; ZONES],
    /// The instance that is partitioned from all others.
    partitioned: Option<usize>,
    faults: u8,
    /// The number of steps since each zone's newest decision, up to the minimum time in force.
    steps_since_decision: [u32; ZONES],
    /// Whether a decision was made before the previous one had been in force for its minimum time.
    decided_early: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ModelAction {
    /// The clock advances by one step in all instances.
    Step,
    /// The other instance of its zone receives an instance's ballot.
    DeliverBallot(usize),
    /// A zone's replica fails or recovers.
    ToggleReplica(usize),
    /// An instance is partitioned from all others.
    Partition(usize),
    /// The partition ends.
    Heal,
    /// An instance sends a call to the other zone.
    SendCall(usize),
    /// A call of an instance to the other zone completes.
    CompleteCall(usize),
}

/// The part of the protocol that is omitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// A single instance is a quorum.
    NoQuorum,
    /// Decisions have no minimum time in force, and a recovery is preferred without a delay.
    NoHysteresis,
    /// The accepted decisions of other instances are ignored.
    IgnoresDecisions,
    /// Each sender uses the full spare capacity instead of its share.
    SpareNotShared,
}

struct Failover {
    mutant: Mutant,
}

/// Returns the zone of an instance.
fn zone_of(instance: usize) -> usize {
    instance / INSTANCES_PER_ZONE
}

/// Returns the other instance of an instance's zone.
fn other_instance(instance: usize) -> usize {
    zone_of(instance) * INSTANCES_PER_ZONE + (instance + 1) % INSTANCES_PER_ZONE
}

impl Fleet {
    /// Advances all instances by one step of the clock.
    fn step(&mut self, mutant: Mutant) {
        let newest_epoch = |fleet: &Fleet, zone: usize| {
            (0..INSTANCES)
                .filter(|&instance| zone_of(instance) == zone)
                .map(|instance| fleet.instances[instance].register.accepted().epoch)
                .max()
        };
        let before: Vec<_> = (0..ZONES).map(|zone| newest_epoch(self, zone)).collect();
        for instance in 0..INSTANCES {
            let partitioned = self.partitioned == Some(instance);
            let observed = if partitioned || !self.up[zone_of(instance)] {
                0
            } else {
                ALL_TRAFFIC_TENTHS
            };
            let connected = !partitioned && self.partitioned != Some(other_instance(instance));
            let mut ballot = self.instances[instance].received;
            if mutant == Mutant::IgnoresDecisions {
                ballot.accepted = self.instances[instance].register.accepted();
            }
            let others: &[Ballot] = if connected { &[ballot] } else { &[] };
            let zone_size = if mutant == Mutant::NoQuorum {
                1
            } else {
                INSTANCES_PER_ZONE
            };
            self.instances[instance]
                .register
                .step(1, Some(observed), others, zone_size);
        }
        for (zone, before) in before.into_iter().enumerate() {
            self.steps_since_decision[zone] =
                (self.steps_since_decision[zone] + 1).min(HYSTERESIS.minimum_hold_ms);
            if newest_epoch(self, zone) > before {
                self.decided_early |= self.steps_since_decision[zone] < HYSTERESIS.minimum_hold_ms;
                self.steps_since_decision[zone] = 0;
            }
        }
    }

    fn deliver_ballot(&mut self, from: usize) {
        self.instances[other_instance(from)].received = self.instances[from].register.ballot();
    }

    /// Returns the fleet after the partition ends and enough steps without faults for agreement.
    fn after_fault_free_steps(&self, mutant: Mutant) -> Fleet {
        let mut later = self.clone();
        later.partitioned = None;
        for _ in 0..FAULT_FREE_STEPS {
            (0..INSTANCES).for_each(|instance| later.deliver_ballot(instance));
            later.step(mutant);
        }
        later
    }
}

impl Model for Failover {
    type State = Fleet;
    type Action = ModelAction;

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
            INSTANCES_PER_ZONE
        };
        let new_instance = |instance: usize| {
            let mut budget = CallBudget::default();
            let other_zone = ZoneCapacity {
                zone: (1 - zone_of(instance)).to_string(),
                spare_capacity: SPARE_CAPACITY,
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
            instances: std::array::from_fn(new_instance),
            up: [true; ZONES],
            was_down: [false; ZONES],
            partitioned: None,
            faults: 0,
            steps_since_decision: [HYSTERESIS.minimum_hold_ms; ZONES],
            decided_early: false,
        }]
    }

    fn actions(&self, state: &Fleet, actions: &mut Vec<ModelAction>) {
        actions.push(ModelAction::Step);
        let may_fail = state.faults < MAX_FAULTS;
        for zone in (0..ZONES).filter(|_| may_fail) {
            actions.push(ModelAction::ToggleReplica(zone));
        }
        match state.partitioned {
            Some(_) => actions.push(ModelAction::Heal),
            // Partitioning one instance is sufficient, since instances are symmetric.
            None if may_fail => actions.push(ModelAction::Partition(0)),
            None => {}
        }
        for instance in 0..INSTANCES {
            let unreachable =
                [Some(instance), Some(other_instance(instance))].contains(&state.partitioned);
            if !unreachable
                && state.instances[other_instance(instance)].received
                    != state.instances[instance].register.ballot()
            {
                actions.push(ModelAction::DeliverBallot(instance));
            }
            // Calls from the first zone are sufficient, since zones are symmetric.
            if zone_of(instance) == 0
                && state.instances[instance].register.local_traffic_tenths() < ALL_TRAFFIC_TENTHS
            {
                actions.push(ModelAction::SendCall(instance));
            }
            if state.instances[instance]
                .budget
                .in_flight(&(1 - zone_of(instance)).to_string())
                > 0
            {
                actions.push(ModelAction::CompleteCall(instance));
            }
        }
    }

    fn next_state(&self, before: &Fleet, step: ModelAction) -> Option<Fleet> {
        let mut state = before.clone();
        match step {
            ModelAction::Step => state.step(self.mutant),
            ModelAction::DeliverBallot(instance) => state.deliver_ballot(instance),
            ModelAction::ToggleReplica(zone) => {
                state.up[zone] = !state.up[zone];
                state.was_down[zone] |= !state.up[zone];
                state.faults += 1;
            }
            ModelAction::Partition(instance) => {
                state.partitioned = Some(instance);
                state.faults += 1;
            }
            ModelAction::Heal => state.partitioned = None,
            ModelAction::SendCall(instance) => {
                if !state.instances[instance]
                    .budget
                    .try_acquire(&(1 - zone_of(instance)).to_string())
                {
                    return None;
                }
            }
            ModelAction::CompleteCall(instance) => state.instances[instance]
                .budget
                .release(&(1 - zone_of(instance)).to_string()),
        }
        Some(state)
    }

    fn within_boundary(&self, state: &Fleet) -> bool {
        state
            .instances
            .iter()
            .all(|instance| instance.register.accepted().epoch <= MAX_EPOCH)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "invariant: without faults, a zone's instances accept one correct decision",
                |model, state: &Fleet| {
                    let later = state.after_fault_free_steps(model.mutant);
                    (0..INSTANCES).all(|instance| {
                        let own = &later.instances[instance].register;
                        let other = &later.instances[other_instance(instance)].register;
                        let correct = if later.up[zone_of(instance)] {
                            ALL_TRAFFIC_TENTHS
                        } else {
                            0
                        };
                        own.accepted() == other.accepted() && own.local_traffic_tenths() == correct
                    })
                },
            ),
            Property::always(
                "invariant: a zone whose replica never failed makes no decision",
                |_, state: &Fleet| {
                    (0..INSTANCES).all(|instance| {
                        state.was_down[zone_of(instance)]
                            || state.instances[instance].register.accepted() == Decision::FIRST
                    })
                },
            ),
            Property::always(
                "invariant: a decision is in force for its minimum time",
                |_, state: &Fleet| !state.decided_early,
            ),
            Property::always(
                "invariant: no zone receives more calls than its spare capacity",
                |_, state: &Fleet| {
                    let calls_to = |zone: usize| -> u32 {
                        state
                            .instances
                            .iter()
                            .map(|instance| instance.budget.in_flight(&zone.to_string()))
                            .sum()
                    };
                    (0..ZONES).all(|zone| calls_to(zone) <= SPARE_CAPACITY)
                },
            ),
            Property::sometimes(
                "a partitioned instance moves only its own calls",
                |_, state: &Fleet| {
                    state.instances[0].register.local_traffic_tenths() == 0
                        && state.instances[1].register.local_traffic_tenths() == ALL_TRAFFIC_TENTHS
                        && state.partitioned == Some(0)
                },
            ),
            Property::sometimes("a zone fails over and recovers", |_, state: &Fleet| {
                let recovered = Decision {
                    epoch: 2,
                    local_traffic_tenths: ALL_TRAFFIC_TENTHS,
                };
                let first_zone = 0..INSTANCES_PER_ZONE;
                first_zone
                    .map(|instance| state.instances[instance].register.accepted())
                    .all(|accepted| accepted == recovered)
            }),
        ]
    }
}

#[test]
fn instances_agree_on_decisions_in_every_order_of_events() {
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
fn every_mutant_violates_an_invariant() {
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
        let violated = checker.spawn_bfs().join().discoveries();
        assert!(
            violated.keys().any(|name| name.starts_with("invariant")),
            "{mutant:?} violates no invariant"
        );
    }
}
