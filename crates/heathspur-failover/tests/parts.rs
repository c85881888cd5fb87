//! Replica health, decision register, traffic split and call budget, each by itself.

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

/// Records 20 calls a second to a replica.
fn calls(health: &mut ReplicaHealth, seconds: u64, call: impl Fn(u64) -> (bool, f64)) {
    for n in 0..seconds * 20 {
        health.advance(50);
        let (good, latency) = call(n);
        let latency_ln_sum = if good {
            ln_latency_ms(Duration::from_secs_f64(latency / 1e3))
        } else {
            0.0
        };
        health.record_calls(CompletedCalls {
            succeeded: u32::from(good),
            failed: u32::from(!good),
            latency_ln_sum,
        });
    }
}

#[test]
fn the_level_falls_with_failed_calls_and_with_latency_over_the_baseline() {
    let mut health = ReplicaHealth::default();
    assert_eq!(health.level(), None);
    calls(&mut health, 10, |_| (true, 2.0));
    assert_eq!(health.level(), Some(ALL_TRAFFIC_TENTHS));
    // A quarter of the calls fails: still within the overprovisioning factor.
    let mut some = health.clone();
    calls(&mut some, 10, |n| (n % 4 != 0, 2.0));
    assert_eq!(some.level(), Some(ALL_TRAFFIC_TENTHS));
    let mut half = health.clone();
    calls(&mut half, 10, |n| (n % 2 == 0, 2.0));
    assert!(
        (6..=8).contains(&half.level().unwrap()),
        "{:?}",
        half.level()
    );
    let mut slow = health.clone();
    calls(&mut slow, 10, |_| (true, 10.0));
    assert!(
        (4..=8).contains(&slow.level().unwrap()),
        "{:?}",
        slow.level()
    );
    let mut dead = health.clone();
    calls(&mut dead, 10, |_| (false, 0.0));
    assert_eq!(dead.level(), Some(0));
    calls(&mut dead, 15, |_| (true, 2.0));
    assert_eq!(dead.level(), Some(ALL_TRAFFIC_TENTHS));
    // Latencies that differ widely are no degradation.
    let mut wide = ReplicaHealth::default();
    calls(&mut wide, 60, |n| {
        (
            true,
            if n % 10 == 0 {
                60.0
            } else {
                0.3 + (n % 7) as f64
            },
        )
    });
    assert_eq!(wide.level(), Some(ALL_TRAFFIC_TENTHS));
    // A slow minute does not become the baseline.
    let mut long = wide.clone();
    calls(&mut long, 60, |n| {
        (
            true,
            if n % 10 == 0 {
                600.0
            } else {
                3.0 + 10.0 * (n % 7) as f64
            },
        )
    });
    assert!(long.level() < Some(6), "{:?}", long.level());
    // Stalls of the local machine are no degradation of the replica.
    let mut stalls = health.clone();
    calls(&mut stalls, 20, |n| {
        (true, if n % 20 == 0 { 200.0 } else { 2.0 })
    });
    assert_eq!(stalls.level(), Some(ALL_TRAFFIC_TENTHS));
    // Without recent calls the level is unknown.
    health.advance(60_000);
    assert_eq!(health.level(), None);
}

/// Three instances of a zone that exchange ballots at each step of 500 ms; `observed` is the level that each observes.
fn zone(
    steps: u32,
    observed: impl Fn(usize, u32) -> u8,
) -> (Vec<DecisionRegister>, Vec<(u32, Decision)>) {
    let mut all = vec![DecisionRegister::new(Hysteresis::default()); 3];
    let mut newest = Vec::new();
    for step in 0..steps {
        let ballots: Vec<Ballot> = all.iter().map(DecisionRegister::ballot).collect();
        for (i, register) in all.iter_mut().enumerate() {
            let others: Vec<Ballot> = (0..3).filter(|j| *j != i).map(|j| ballots[j]).collect();
            let changed = register.step(500, Some(observed(i, step)), &others, 3);
            if let Some(decision) =
                changed.filter(|d| newest.last().is_none_or(|(_, last)| d.supersedes(*last)))
            {
                newest.push((step * 500, decision));
            }
        }
    }
    (all, newest)
}

#[test]
fn instances_of_a_zone_fail_over_and_recover_together_when_their_replica_does() {
    // The replica is dead from 5 s to 20 s.
    let (all, changes) = zone(200, |_, step| {
        if (10..40).contains(&step) {
            0
        } else {
            ALL_TRAFFIC_TENTHS
        }
    });
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert!(
        (6_000..8_000).contains(&changes[0].0) && changes[0].1.local_traffic_tenths == 0,
        "{changes:?}"
    );
    assert!(
        (36_000..40_000).contains(&changes[1].0)
            && changes[1].1.local_traffic_tenths == ALL_TRAFFIC_TENTHS,
        "{changes:?}"
    );
    assert!(all.iter().all(|r| r.accepted() == changes[1].1));
}

#[test]
fn a_failure_that_one_instance_observes_alone_moves_no_traffic() {
    let (all, changes) = zone(200, |i, _| if i == 0 { 0 } else { ALL_TRAFFIC_TENTHS });
    assert_eq!(changes, []);
    assert!(all
        .iter()
        .all(|r| r.local_traffic_tenths() == ALL_TRAFFIC_TENTHS));
}

#[test]
fn a_replica_that_flaps_every_five_seconds_moves_its_zone_once() {
    let (all, changes) = zone(1_000, |_, step| {
        if step / 10 % 2 == 1 {
            0
        } else {
            ALL_TRAFFIC_TENTHS
        }
    });
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert!(all.iter().all(|r| r.local_traffic_tenths() == 0));
}

#[test]
fn an_instance_without_quorum_moves_only_its_own_calls_until_it_has_one_again() {
    let mut cut = DecisionRegister::new(Hysteresis::default());
    for _ in 0..10 {
        assert_eq!(cut.step(500, Some(0), &[], 3), None);
    }
    assert!(cut.without_quorum() && cut.local_traffic_tenths() == 0);
    let others = [Ballot {
        accepted: Decision::FIRST,
        preferred: ALL_TRAFFIC_TENTHS,
    }; 2];
    cut.step(500, Some(ALL_TRAFFIC_TENTHS), &others, 3);
    assert_eq!(
        (
            cut.without_quorum(),
            cut.local_traffic_tenths(),
            cut.accepted()
        ),
        (false, ALL_TRAFFIC_TENTHS, Decision::FIRST)
    );
}

#[test]
fn a_cancelled_call_counts_neither_for_nor_against_a_replica() {
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
fn checks_without_calls_justify_a_low_level_only() {
    let mut health = ReplicaHealth::default();
    for _ in 0..10 {
        health.advance(1_000);
        health.record_check(true);
    }
    assert_eq!(health.level(), Some(MAX_LEVEL_BY_CHECKS));
    calls(&mut health, 2, |_| (true, 2.0));
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
fn an_instance_plans_by_the_view_and_picks_replicas_by_its_plan() {
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
    // The local zone decided to move six tenths of its traffic.
    peers.iter_mut().take(2).for_each(|p| {
        p.ballot = Ballot {
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
    // Two calls may be in flight to b; a third that is due there is rejected and not kept in the local zone.
    let picked: Vec<_> = (0..10).map(|_| picker.pick()).collect();
    let count = |to| picked.iter().filter(|p| **p == to).count();
    assert_eq!(
        (count(Some(0)), count(Some(1)), count(None)),
        (4, 2, 4),
        "{picked:?}"
    );
    picker.release(1);
    let picked: Vec<_> = (0..10).map(|_| picker.pick()).collect();
    assert_eq!(picked.iter().filter(|p| **p == Some(1)).count(), 1);
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
fn traffic_moves_within_the_region_by_spare_capacity_and_to_other_regions_only_without_any() {
    let zones = [
        other("b", true, 30, ALL_TRAFFIC_TENTHS),
        other("c", true, 10, ALL_TRAFFIC_TENTHS),
        other("d", false, 500, ALL_TRAFFIC_TENTHS),
    ];
    let split = split_traffic(6, &zones);
    assert_eq!((split.local_thousandths, split.panic), (600, false));
    assert_eq!(split.remote, [share("b", 300), share("c", 100)]);
    // A zone that moves its own traffic away takes no other's, and the region has no capacity.
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
    fn shares_add_up_and_go_only_to_zones_with_spare_capacity(
        near in 0u8..=10,
        zones in proptest::collection::vec((any::<bool>(), 0u32..50, 0u8..=10), 0..6),
    ) {
        let zones: Vec<RemoteZone> = zones.into_iter().enumerate()
            .map(|(i, (region, spare_capacity, near))| other(&format!("z{i}"), region, spare_capacity, near)).collect();
        let split = split_traffic(near, &zones);
        let far: u32 = split.remote.iter().map(|share| u32::from(share.thousandths)).sum();
        prop_assert_eq!(u32::from(split.local_thousandths) + far, 1_000);
        for ZoneShare { zone, thousandths } in &split.remote {
            let to = zones.iter().find(|z| z.zone == *zone).unwrap();
            prop_assert!(*thousandths > 0 && to.spare_capacity > 0 && to.local_traffic_tenths > 0);
        }
        prop_assert!(split.panic || u32::from(split.local_thousandths) == u32::from(near) * 100);
    }

    #[test]
    fn all_senders_together_never_exceed_the_spare_capacity(
        room in 0u32..40,
        senders in 1usize..8,
        moves in proptest::collection::vec((0usize..8, any::<bool>()), 0..300),
    ) {
        let capacity = ZoneCapacity { zone: "b".to_string(), spare_capacity: room, senders };
        let mut budgets = vec![CallBudget::default(); senders];
        budgets.iter_mut().for_each(|b| b.set_capacities([capacity.clone()].into_iter()));
        for (who, takes) in moves {
            let budget = &mut budgets[who % senders];
            let before = budget.in_flight("b");
            if takes {
                let latency = budget.try_acquire("b");
                prop_assert_eq!(budget.in_flight("b"), before + u32::from(latency));
            } else {
                budget.release("b");
                prop_assert_eq!(budget.in_flight("b"), before.saturating_sub(1));
            }
            prop_assert!(budgets.iter().map(|b| b.in_flight("b")).sum::<u32>() <= room);
        }
    }
}

#[test]
fn spare_capacity_is_the_limit_less_the_requests_in_flight_and_never_negative() {
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
        "a zone without reported capacity takes nothing"
    );
}
