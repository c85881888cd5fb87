//! Sight, register, shares and budget, each by itself.

use heathspur::Outcome;
use heathspur_failover::call_budget::{spare_capacity, CallBudget};
use heathspur_failover::decision_register::{Ballot, Decision, DecisionRegister, Hysteresis};
use heathspur_failover::replica_health::{
    call_succeeded, ln_latency_ms, ReplicaHealth, MAX_LEVEL_BY_CHECKS,
};
use heathspur_failover::replica_picker::ReplicaPicker;
use heathspur_failover::traffic_split::{split_traffic, RemoteZone};
use heathspur_failover::zone_failover::{Failover, Peer, RoutingPlan};
use heathspur_failover::ALL_TRAFFIC_TENTHS;
use proptest::prelude::*;
use std::time::Duration;

/// Calls to a replica for so many seconds, 20 a second.
fn calls(health: &mut ReplicaHealth, seconds: u64, call: impl Fn(u64) -> (bool, f64)) {
    for n in 0..seconds * 20 {
        health.advance(50);
        let (good, latency) = call(n);
        let latency_ln_sum = if good {
            ln_latency_ms(Duration::from_secs_f64(latency / 1e3))
        } else {
            0.0
        };
        health.record_calls(
            f64::from(u8::from(good)),
            f64::from(u8::from(!good)),
            latency_ln_sum,
        );
    }
}

#[test]
fn a_replica_is_seen_by_its_failures_and_by_its_slowness() {
    let mut health = ReplicaHealth::default();
    assert_eq!(health.level(), None);
    calls(&mut health, 10, |_| (true, 2.0));
    assert_eq!(health.level(), Some(ALL_TRAFFIC_TENTHS));
    // A quarter of the calls fails: still within what is provided over.
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
    // Times that differ widely are not slowness.
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
    // Nor does a slow minute become the quiet.
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
    // Nor is a machine that stands still now and then: the calls that it held say nothing of the replica.
    let mut stalls = health.clone();
    calls(&mut stalls, 20, |n| {
        (true, if n % 20 == 0 { 200.0 } else { 2.0 })
    });
    assert_eq!(stalls.level(), Some(ALL_TRAFFIC_TENTHS));
    // What nobody called of late is not seen.
    health.advance(60_000);
    assert_eq!(health.level(), None);
}

/// Three instances of a zone that hear each other at each step of 500 ms; what each sees is given.
fn zone(
    steps: u32,
    sight: impl Fn(usize, u32) -> u8,
) -> (Vec<DecisionRegister>, Vec<(u32, Decision)>) {
    let mut all = vec![DecisionRegister::new(Hysteresis::default()); 3];
    let mut newest = Vec::new();
    for step in 0..steps {
        let ballots: Vec<Ballot> = all.iter().map(DecisionRegister::ballot).collect();
        for (i, register) in all.iter_mut().enumerate() {
            let others: Vec<Ballot> = (0..3).filter(|j| *j != i).map(|j| ballots[j]).collect();
            let changed = register.step(500, Some(sight(i, step)), &others, 3);
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
fn a_dead_replica_moves_its_zone_together_and_back_together() {
    // It is dead from 5 s to 20 s.
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
fn one_that_sees_a_dead_replica_alone_moves_nobody() {
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
fn who_hears_no_quorum_moves_only_itself_and_comes_back_to_its_zone() {
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
fn a_call_that_was_broken_off_tells_nothing_of_a_replica() {
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
fn what_only_answers_checks_is_believed_a_little() {
    let mut health = ReplicaHealth::default();
    for _ in 0..10 {
        health.advance(1_000);
        health.record_check(true);
    }
    assert_eq!(health.level(), Some(MAX_LEVEL_BY_CHECKS));
    calls(&mut health, 2, |_| (true, 2.0));
    assert_eq!(health.level(), Some(ALL_TRAFFIC_TENTHS));
}

fn peer(zone: &str, region: &str, load: (u32, u32), epoch: u64, local_traffic_tenths: u8) -> Peer {
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
fn an_instance_plans_by_the_view_and_picks_by_its_plan() {
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
    // Its own zone decided to move six tenths away.
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
    picker.set(step.plan);
    // Two may be under way to b; a third that is due there is turned away, and near is not pushed on for it.
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

#[test]
fn what_moves_goes_to_the_region_by_what_it_has_spare_and_elsewhere_only_then() {
    let zones = [
        other("b", true, 30, ALL_TRAFFIC_TENTHS),
        other("c", true, 10, ALL_TRAFFIC_TENTHS),
        other("d", false, 500, ALL_TRAFFIC_TENTHS),
    ];
    let split = split_traffic(6, &zones);
    assert_eq!((split.local_thousandths, split.panic), (600, false));
    assert_eq!(
        split.remote,
        [("b".to_string(), 300), ("c".to_string(), 100)]
    );
    // A zone that moves its own traffic away takes nobody else's; the region is full: elsewhere.
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
        (0, vec![("d".to_string(), 1_000)])
    );
    let split = split_traffic(0, &[other("b", true, 0, ALL_TRAFFIC_TENTHS)]);
    assert_eq!(
        (split.local_thousandths, split.remote.len(), split.panic),
        (1_000, 0, true)
    );
}

proptest! {
    #[test]
    fn shares_add_up_and_only_go_where_there_is_room(
        near in 0u8..=10,
        zones in proptest::collection::vec((any::<bool>(), 0u32..50, 0u8..=10), 0..6),
    ) {
        let zones: Vec<RemoteZone> = zones.into_iter().enumerate()
            .map(|(i, (region, spare_capacity, near))| other(&format!("z{i}"), region, spare_capacity, near)).collect();
        let split = split_traffic(near, &zones);
        let far: u32 = split.remote.iter().map(|(_, part)| u32::from(*part)).sum();
        prop_assert_eq!(u32::from(split.local_thousandths) + far, 1_000);
        for (zone, part) in &split.remote {
            let to = zones.iter().find(|z| z.zone == *zone).unwrap();
            prop_assert!(*part > 0 && to.spare_capacity > 0 && to.local_traffic_tenths > 0);
        }
        prop_assert!(split.panic || u32::from(split.local_thousandths) == u32::from(near) * 100);
    }

    #[test]
    fn all_senders_together_never_pass_what_is_spare(
        room in 0u32..40,
        senders in 1usize..8,
        moves in proptest::collection::vec((0usize..8, any::<bool>()), 0..300),
    ) {
        let mut budgets = vec![CallBudget::default(); senders];
        budgets.iter_mut().for_each(|b| b.set([("b".to_string(), room, senders)].into_iter()));
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
fn what_is_spare_is_the_cap_less_what_is_in_flight_and_never_negative() {
    assert_eq!(
        spare_capacity([(10, 4), (5, 9), (3, 3), (8, 0)].into_iter()),
        14
    );
    let mut budget = CallBudget::default();
    assert!(
        !budget.try_acquire("b"),
        "a zone that nobody reported takes nothing"
    );
}
