//! Replica health, decision register, traffic split, call budget and replica picker, each tested separately.

use heathspur::Outcome;
use heathspur_failover::call_budget::{spare_capacity, CallBudget, PeerLoad, ZoneCapacity};
use heathspur_failover::decision_register::{Ballot, Decision, DecisionRegister, Hysteresis};
use heathspur_failover::replica_health::{
    call_succeeded, ln_latency_ms, CompletedCalls, ReplicaHealth, MAX_LEVEL_BY_CHECKS,
};
use heathspur_failover::replica_picker::ReplicaPicker;
use heathspur_failover::traffic_split::{split_traffic, RemoteZone, ZoneShare};
use heathspur_failover::zone_failover::{Failover, Peer, RoutingPlan};
use heathspur_failover::ALL_TRAFFIC_TENTHS;
use proptest::prelude::*;
use std::time::Duration;

/// Records 20 calls per second to a replica. `call` returns whether the call with this index succeeds, and its latency
/// in milliseconds.
fn record_calls(health: &mut ReplicaHealth, seconds: u64, call: impl Fn(u64) -> (bool, f64)) {
    for index in 0..seconds * 20 {
        health.advance(50);
        let (succeeded, latency_ms) = call(index);
        let latency_ln_sum = if succeeded {
            ln_latency_ms(Duration::from_secs_f64(latency_ms / 1e3))
        } else {
            0.0
        };
        health.record_calls(CompletedCalls {
            succeeded: u32::from(succeeded),
            failed: u32::from(!succeeded),
            latency_ln_sum,
        });
    }
}

#[test]
fn level_falls_with_failed_calls_and_latency_above_baseline() {
    let mut health = ReplicaHealth::default();
    assert_eq!(health.level(), None);
    record_calls(&mut health, 10, |_| (true, 2.0));
    assert_eq!(health.level(), Some(ALL_TRAFFIC_TENTHS));
    // A quarter of the calls fail, which is within the overprovisioning factor.
    let mut quarter_failing = health.clone();
    record_calls(&mut quarter_failing, 10, |index| (index % 4 != 0, 2.0));
    assert_eq!(quarter_failing.level(), Some(ALL_TRAFFIC_TENTHS));
    let mut half_failing = health.clone();
    record_calls(&mut half_failing, 10, |index| (index % 2 == 0, 2.0));
    assert!(
        (6..=8).contains(&half_failing.level().unwrap()),
        "{:?}",
        half_failing.level()
    );
    let mut slow_calls = health.clone();
    record_calls(&mut slow_calls, 10, |_| (true, 10.0));
    assert!(
        (4..=8).contains(&slow_calls.level().unwrap()),
        "{:?}",
        slow_calls.level()
    );
    let mut all_failing = health.clone();
    record_calls(&mut all_failing, 10, |_| (false, 0.0));
    assert_eq!(all_failing.level(), Some(0));
    record_calls(&mut all_failing, 15, |_| (true, 2.0));
    assert_eq!(all_failing.level(), Some(ALL_TRAFFIC_TENTHS));
    // Latencies that differ widely don't lower the level.
    let mut varied_calls = ReplicaHealth::default();
    record_calls(&mut varied_calls, 60, |index| {
        (
            true,
            if index % 10 == 0 {
                60.0
            } else {
                0.3 + (index % 7) as f64
            },
        )
    });
    assert_eq!(varied_calls.level(), Some(ALL_TRAFFIC_TENTHS));
    // A slow minute does not become the baseline.
    let mut slow_minute = varied_calls.clone();
    record_calls(&mut slow_minute, 60, |index| {
        (
            true,
            if index % 10 == 0 {
                600.0
            } else {
                3.0 + 10.0 * (index % 7) as f64
            },
        )
    });
    assert!(slow_minute.level() < Some(6), "{:?}", slow_minute.level());
    // Stalls of the local machine don't lower the level of the replica.
    let mut stalled_calls = health.clone();
    record_calls(&mut stalled_calls, 20, |index| {
        (true, if index % 20 == 0 { 200.0 } else { 2.0 })
    });
    assert_eq!(stalled_calls.level(), Some(ALL_TRAFFIC_TENTHS));
    // Without recent calls the level is unknown.
    health.advance(60_000);
    assert_eq!(health.level(), None);
}

/// Runs three instances of a zone that exchange ballots in each step of 500 ms. `observed` returns the level that an
/// instance observes in a step. Returns the registers at the end, and the zone's decisions with their times in ms.
fn run_zone(
    steps: u32,
    observed: impl Fn(usize, u32) -> u8,
) -> (Vec<DecisionRegister>, Vec<(u32, Decision)>) {
    let mut registers = vec![DecisionRegister::new(Hysteresis::default()); 3];
    let mut decisions: Vec<(u32, Decision)> = Vec::new();
    for step in 0..steps {
        let ballots: Vec<Ballot> = registers.iter().map(DecisionRegister::ballot).collect();
        for (instance, register) in registers.iter_mut().enumerate() {
            let others: Vec<Ballot> = (0..3)
                .filter(|other| *other != instance)
                .map(|other| ballots[other])
                .collect();
            let accepted = register.step(500, Some(observed(instance, step)), &others, 3);
            let is_new = |decision: &Decision| {
                let newest = decisions.last();
                newest.is_none_or(|(_, newest)| decision.supersedes(*newest))
            };
            if let Some(decision) = accepted.filter(is_new) {
                decisions.push((step * 500, decision));
            }
        }
    }
    (registers, decisions)
}

#[test]
fn zone_fails_over_and_recovers_with_its_replica() {
    // The replica is dead from 5 s to 20 s.
    let (registers, decisions) = run_zone(200, |_, step| {
        if (10..40).contains(&step) {
            0
        } else {
            ALL_TRAFFIC_TENTHS
        }
    });
    assert_eq!(decisions.len(), 2, "{decisions:?}");
    assert!(
        (6_000..8_000).contains(&decisions[0].0) && decisions[0].1.local_traffic_tenths == 0,
        "{decisions:?}"
    );
    assert!(
        (36_000..40_000).contains(&decisions[1].0)
            && decisions[1].1.local_traffic_tenths == ALL_TRAFFIC_TENTHS,
        "{decisions:?}"
    );
    assert!(registers
        .iter()
        .all(|register| register.accepted() == decisions[1].1));
}

#[test]
fn failure_observed_by_one_instance_moves_no_traffic() {
    let (registers, decisions) = run_zone(
        200,
        |instance, _| if instance == 0 { 0 } else { ALL_TRAFFIC_TENTHS },
    );
    assert_eq!(decisions, []);
    assert!(registers
        .iter()
        .all(|register| register.local_traffic_tenths() == ALL_TRAFFIC_TENTHS));
}

#[test]
fn replica_flapping_every_five_seconds_moves_zone_once() {
    let (registers, decisions) = run_zone(1_000, |_, step| {
        if step / 10 % 2 == 1 {
            0
        } else {
            ALL_TRAFFIC_TENTHS
        }
    });
    assert_eq!(decisions.len(), 1, "{decisions:?}");
    assert!(registers
        .iter()
        .all(|register| register.local_traffic_tenths() == 0));
}

#[test]
fn instance_without_quorum_moves_only_own_calls_until_quorum_returns() {
    let mut register = DecisionRegister::new(Hysteresis::default());
    for _ in 0..10 {
        assert_eq!(register.step(500, Some(0), &[], 3), None);
    }
    assert!(register.without_quorum() && register.local_traffic_tenths() == 0);
    let others = [Ballot {
        accepted: Decision::FIRST,
        preferred: ALL_TRAFFIC_TENTHS,
    }; 2];
    register.step(500, Some(ALL_TRAFFIC_TENTHS), &others, 3);
    assert_eq!(
        (
            register.without_quorum(),
            register.local_traffic_tenths(),
            register.accepted()
        ),
        (false, ALL_TRAFFIC_TENTHS, Decision::FIRST)
    );
}

#[test]
fn cancelled_call_indicates_neither_success_nor_failure() {
    assert_eq!(call_succeeded(Outcome::Cancelled), None);
    assert_eq!(
        (
            call_succeeded(Outcome::Ok),
            call_succeeded(Outcome::Rejected),
            call_succeeded(Outcome::Reset)
        ),
        (Some(true), Some(false), Some(false))
    );
}

#[test]
fn health_checks_without_calls_justify_only_low_level() {
    let mut health = ReplicaHealth::default();
    for _ in 0..10 {
        health.advance(1_000);
        health.record_check(true);
    }
    assert_eq!(health.level(), Some(MAX_LEVEL_BY_CHECKS));
    record_calls(&mut health, 2, |_| (true, 2.0));
    assert_eq!(health.level(), Some(ALL_TRAFFIC_TENTHS));
}

fn peer(
    zone: &str,
    region: &str,
    (concurrency_limit, in_flight): (u32, u32),
    epoch: u64,
    local_traffic_tenths: u8,
) -> Peer {
    let load = PeerLoad {
        concurrency_limit,
        in_flight,
    };
    let ballot = Ballot {
        accepted: Decision {
            epoch,
            local_traffic_tenths,
        },
        preferred: local_traffic_tenths,
    };
    Peer {
        zone: zone.into(),
        region: region.into(),
        live: true,
        load,
        ballot,
    }
}

#[test]
fn plan_follows_zone_decision_and_picker_follows_plan() {
    let zones: Vec<String> = ["a", "b", "c"].map(String::from).into();
    let mut failover = Failover::new(zones.clone(), 0, "west".into(), Hysteresis::default());
    let mut peers = vec![
        peer("a", "west", (8, 0), 0, ALL_TRAFFIC_TENTHS),
        peer("a", "west", (8, 0), 0, ALL_TRAFFIC_TENTHS),
    ];
    peers.extend([
        peer("b", "west", (10, 4), 0, ALL_TRAFFIC_TENTHS),
        peer("c", "east", (90, 0), 0, ALL_TRAFFIC_TENTHS),
    ]);
    let step = failover.step(100, &peers);
    assert_eq!(
        (
            step.plan.shares.clone(),
            step.new_decision,
            step.needs_check
        ),
        (vec![1_000, 0, 0], None, false)
    );
    // The other instances of the local zone have accepted a decision to move six tenths of its traffic.
    peers.iter_mut().take(2).for_each(|peer| {
        peer.ballot = Ballot {
            accepted: Decision {
                epoch: 1,
                local_traffic_tenths: 4,
            },
            preferred: 4,
        }
    });
    let step = failover.step(100, &peers);
    assert_eq!(
        step.new_decision,
        Some(Decision {
            epoch: 1,
            local_traffic_tenths: 4
        })
    );
    assert_eq!(
        step.plan,
        RoutingPlan {
            shares: vec![400, 600, 0],
            call_limits: vec![0, 2, 30]
        }
    );
    assert!(step.needs_check);
    let mut picker = ReplicaPicker::new(zones, 0);
    assert_eq!((picker.pick(), picker.pick()), (Some(0), Some(0)));
    picker.set_plan(step.plan);
    // At most two calls may be in flight to b. A third one due there is rejected instead of staying in the local zone.
    let picked: Vec<_> = (0..10).map(|_| picker.pick()).collect();
    let count = |to| picked.iter().filter(|replica| **replica == to).count();
    assert_eq!(
        (count(Some(0)), count(Some(1)), count(None)),
        (4, 2, 4),
        "{picked:?}"
    );
    picker.release(1);
    let picked: Vec<_> = (0..10).map(|_| picker.pick()).collect();
    assert_eq!(
        picked.iter().filter(|replica| **replica == Some(1)).count(),
        1
    );
}

fn other(
    zone: &str,
    same_region: bool,
    spare_capacity: u32,
    local_traffic_tenths: u8,
) -> RemoteZone {
    RemoteZone {
        zone: zone.into(),
        same_region,
        spare_capacity,
        local_traffic_tenths,
    }
}

fn share(zone: &str, thousandths: u16) -> ZoneShare {
    ZoneShare {
        zone: zone.into(),
        thousandths,
    }
}

#[test]
fn traffic_moves_to_other_regions_only_without_capacity_in_region() {
    let zones = [
        other("b", true, 30, ALL_TRAFFIC_TENTHS),
        other("c", true, 10, ALL_TRAFFIC_TENTHS),
        other("d", false, 500, ALL_TRAFFIC_TENTHS),
    ];
    let split = split_traffic(6, &zones);
    assert_eq!((split.local_thousandths, split.panic), (600, false));
    assert_eq!(split.remote, [share("b", 300), share("c", 100)]);
    // Zone b has moved its own traffic away and c has no capacity, so the region can't accept calls.
    let split = split_traffic(
        0,
        &[
            other("b", true, 30, 0),
            other("c", true, 0, ALL_TRAFFIC_TENTHS),
            other("d", false, 5, ALL_TRAFFIC_TENTHS),
        ],
    );
    assert_eq!(
        (split.local_thousandths, split.remote),
        (0, vec![share("d", 1_000)])
    );
    let split = split_traffic(0, &[other("b", true, 0, ALL_TRAFFIC_TENTHS)]);
    assert_eq!(
        (split.local_thousandths, split.remote.len(), split.panic),
        (1_000, 0, true)
    );
}

proptest! {
    #[test]
    fn shares_add_up_and_only_zones_with_spare_capacity_receive_them(
        local_traffic_tenths in 0u8..=10,
        zones in proptest::collection::vec((any::<bool>(), 0u32..50, 0u8..=10), 0..6),
    ) {
        let zones: Vec<RemoteZone> = zones.into_iter().enumerate()
            .map(|(index, (same_region, spare_capacity, level))| {
                other(&format!("z{index}"), same_region, spare_capacity, level)
            })
            .collect();
        let split = split_traffic(local_traffic_tenths, &zones);
        let moved: u32 = split.remote.iter().map(|share| u32::from(share.thousandths)).sum();
        prop_assert_eq!(u32::from(split.local_thousandths) + moved, 1_000);
        for ZoneShare { zone, thousandths } in &split.remote {
            let receiver = zones.iter().find(|remote| remote.zone == *zone).unwrap();
            prop_assert!(*thousandths > 0 && receiver.spare_capacity > 0 && receiver.local_traffic_tenths > 0);
        }
        let local_thousandths = u32::from(local_traffic_tenths) * 100;
        prop_assert!(split.panic || u32::from(split.local_thousandths) == local_thousandths);
    }

    #[test]
    fn senders_together_never_exceed_spare_capacity(
        spare_capacity in 0u32..40,
        senders in 1usize..8,
        operations in proptest::collection::vec((0usize..8, any::<bool>()), 0..300),
    ) {
        let capacity = ZoneCapacity { zone: "b".to_string(), spare_capacity, senders };
        let mut budgets = vec![CallBudget::default(); senders];
        budgets.iter_mut().for_each(|budget| budget.set_capacities([capacity.clone()].into_iter()));
        for (sender, acquires) in operations {
            let budget = &mut budgets[sender % senders];
            let before = budget.in_flight("b");
            if acquires {
                let acquired = budget.try_acquire("b");
                prop_assert_eq!(budget.in_flight("b"), before + u32::from(acquired));
            } else {
                budget.release("b");
                prop_assert_eq!(budget.in_flight("b"), before.saturating_sub(1));
            }
            prop_assert!(budgets.iter().map(|budget| budget.in_flight("b")).sum::<u32>() <= spare_capacity);
        }
    }
}

#[test]
fn spare_capacity_is_limit_less_in_flight_and_never_negative() {
    let loads = [(10, 4), (5, 9), (3, 3), (8, 0)];
    assert_eq!(
        spare_capacity(
            loads
                .into_iter()
                .map(|(concurrency_limit, in_flight)| PeerLoad {
                    concurrency_limit,
                    in_flight,
                })
        ),
        14
    );
    let mut budget = CallBudget::default();
    assert!(
        !budget.try_acquire("b"),
        "a zone without reported capacity accepts no calls"
    );
}
