//! Sight, register, shares and budget, each by itself.

use heathspur::Outcome;
use heathspur_failover::health::{ln_ms, tells, Health, CHECKED};
use heathspur_failover::pick::Picker;
use heathspur_failover::register::{Decision, Pace, Register, Voice};
use heathspur_failover::shares::{shares, Other};
use heathspur_failover::spare::{spare, Budget};
use heathspur_failover::zone::{Failover, Peer, Plan};
use heathspur_failover::WHOLE;
use proptest::prelude::*;
use std::time::Duration;

/// Calls to a replica for so many seconds, 20 a second.
fn calls(health: &mut Health, seconds: u64, call: impl Fn(u64) -> (bool, f64)) {
    for n in 0..seconds * 20 {
        health.pass(50);
        let (good, took) = call(n);
        let took_ln = if good {
            ln_ms(Duration::from_secs_f64(took / 1e3))
        } else {
            0.0
        };
        health.called(
            f64::from(u8::from(good)),
            f64::from(u8::from(!good)),
            took_ln,
        );
    }
}

#[test]
fn a_replica_is_seen_by_its_failures_and_by_its_slowness() {
    let mut health = Health::default();
    assert_eq!(health.level(), None);
    calls(&mut health, 10, |_| (true, 2.0));
    assert_eq!(health.level(), Some(WHOLE));
    // A quarter of the calls fails: still within what is provided over.
    let mut some = health.clone();
    calls(&mut some, 10, |n| (n % 4 != 0, 2.0));
    assert_eq!(some.level(), Some(WHOLE));
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
    assert_eq!(dead.level(), Some(WHOLE));
    // Times that differ widely are not slowness.
    let mut wide = Health::default();
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
    assert_eq!(wide.level(), Some(WHOLE));
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
    assert_eq!(stalls.level(), Some(WHOLE));
    // What nobody called of late is not seen.
    health.pass(60_000);
    assert_eq!(health.level(), None);
}

/// Three instances of a zone that hear each other at each step of 500 ms; what each sees is given.
fn zone(steps: u32, sight: impl Fn(usize, u32) -> u8) -> (Vec<Register>, Vec<(u32, Decision)>) {
    let mut all = vec![Register::new(Pace::default()); 3];
    let mut newest = Vec::new();
    for step in 0..steps {
        let voices: Vec<Voice> = all.iter().map(Register::voice).collect();
        for (i, register) in all.iter_mut().enumerate() {
            let others: Vec<Voice> = (0..3).filter(|j| *j != i).map(|j| voices[j]).collect();
            let changed = register.step(500, Some(sight(i, step)), &others, 3);
            if let Some(decision) =
                changed.filter(|d| newest.last().is_none_or(|(_, last)| d.replaces(*last)))
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
    let (all, changes) = zone(
        200,
        |_, step| if (10..40).contains(&step) { 0 } else { WHOLE },
    );
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert!(
        (6_000..8_000).contains(&changes[0].0) && changes[0].1.near == 0,
        "{changes:?}"
    );
    assert!(
        (36_000..40_000).contains(&changes[1].0) && changes[1].1.near == WHOLE,
        "{changes:?}"
    );
    assert!(all.iter().all(|r| r.held() == changes[1].1));
}

#[test]
fn one_that_sees_a_dead_replica_alone_moves_nobody() {
    let (all, changes) = zone(200, |i, _| if i == 0 { 0 } else { WHOLE });
    assert_eq!(changes, []);
    assert!(all.iter().all(|r| r.near() == WHOLE));
}

#[test]
fn a_replica_that_flaps_every_five_seconds_moves_its_zone_once() {
    let (all, changes) = zone(1_000, |_, step| if step / 10 % 2 == 1 { 0 } else { WHOLE });
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert!(all.iter().all(|r| r.near() == 0));
}

#[test]
fn who_hears_no_quorum_moves_only_itself_and_comes_back_to_its_zone() {
    let mut cut = Register::new(Pace::default());
    for _ in 0..10 {
        assert_eq!(cut.step(500, Some(0), &[], 3), None);
    }
    assert!(cut.alone() && cut.near() == 0);
    let others = [Voice {
        held: Decision::FIRST,
        wants: WHOLE,
    }; 2];
    cut.step(500, Some(WHOLE), &others, 3);
    assert_eq!(
        (cut.alone(), cut.near(), cut.held()),
        (false, WHOLE, Decision::FIRST)
    );
}

#[test]
fn a_call_that_was_broken_off_tells_nothing_of_a_replica() {
    assert_eq!(tells(Outcome::Cancelled), None);
    assert_eq!(
        (
            tells(Outcome::Ok),
            tells(Outcome::Rejected),
            tells(Outcome::Reset)
        ),
        (Some(true), Some(false), Some(false))
    );
}

#[test]
fn what_only_answers_checks_is_believed_a_little() {
    let mut health = Health::default();
    for _ in 0..10 {
        health.pass(1_000);
        health.checked(true);
    }
    assert_eq!(health.level(), Some(CHECKED));
    calls(&mut health, 2, |_| (true, 2.0));
    assert_eq!(health.level(), Some(WHOLE));
}

fn peer(zone: &str, region: &str, load: (u32, u32), epoch: u64, near: u8) -> Peer {
    let voice = Voice {
        held: Decision { epoch, near },
        wants: near,
    };
    Peer {
        zone: zone.into(),
        region: region.into(),
        live: true,
        load,
        voice,
    }
}

#[test]
fn an_instance_plans_by_the_view_and_picks_by_its_plan() {
    let zones: Vec<String> = ["a", "b", "c"].map(String::from).into();
    let mut failover = Failover::new(zones.clone(), 0, "west".into(), Pace::default());
    let mut peers = vec![
        peer("a", "west", (8, 0), 0, WHOLE),
        peer("a", "west", (8, 0), 0, WHOLE),
    ];
    peers.extend([
        peer("b", "west", (10, 4), 0, WHOLE),
        peer("c", "east", (90, 0), 0, WHOLE),
    ]);
    let step = failover.step(100, &peers);
    assert_eq!(
        (step.plan.shares.clone(), step.decided, step.check),
        (vec![1_000, 0, 0], None, false)
    );
    // Its own zone decided to move six tenths away.
    peers.iter_mut().take(2).for_each(|p| {
        p.voice = Voice {
            held: Decision { epoch: 1, near: 4 },
            wants: 4,
        }
    });
    let step = failover.step(100, &peers);
    assert_eq!(step.decided, Some(Decision { epoch: 1, near: 4 }));
    assert_eq!(
        step.plan,
        Plan {
            shares: vec![400, 600, 0],
            may: vec![0, 2, 30]
        }
    );
    assert!(step.check);
    let mut picker = Picker::new(zones, 0);
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
    picker.give_back(1);
    let picked: Vec<_> = (0..10).map(|_| picker.pick()).collect();
    assert_eq!(picked.iter().filter(|p| **p == Some(1)).count(), 1);
}

fn other(zone: &str, same_region: bool, spare: u32, near: u8) -> Other {
    Other {
        zone: zone.into(),
        same_region,
        spare,
        near,
    }
}

#[test]
fn what_moves_goes_to_the_region_by_what_it_has_spare_and_elsewhere_only_then() {
    let zones = [
        other("b", true, 30, WHOLE),
        other("c", true, 10, WHOLE),
        other("d", false, 500, WHOLE),
    ];
    let told = shares(6, &zones);
    assert_eq!((told.near, told.panic), (600, false));
    assert_eq!(told.far, [("b".to_string(), 300), ("c".to_string(), 100)]);
    // A zone that moves its own traffic away takes nobody else's; the region is full: elsewhere.
    let told = shares(
        0,
        &[
            other("b", true, 30, 0),
            other("c", true, 0, WHOLE),
            other("d", false, 5, WHOLE),
        ],
    );
    assert_eq!((told.near, told.far), (0, vec![("d".to_string(), 1_000)]));
    let told = shares(0, &[other("b", true, 0, WHOLE)]);
    assert_eq!((told.near, told.far.len(), told.panic), (1_000, 0, true));
}

proptest! {
    #[test]
    fn shares_add_up_and_only_go_where_there_is_room(
        near in 0u8..=10,
        zones in proptest::collection::vec((any::<bool>(), 0u32..50, 0u8..=10), 0..6),
    ) {
        let zones: Vec<Other> = zones.into_iter().enumerate()
            .map(|(i, (region, spare, near))| other(&format!("z{i}"), region, spare, near)).collect();
        let told = shares(near, &zones);
        let far: u32 = told.far.iter().map(|(_, part)| u32::from(*part)).sum();
        prop_assert_eq!(u32::from(told.near) + far, 1_000);
        for (zone, part) in &told.far {
            let to = zones.iter().find(|z| z.zone == *zone).unwrap();
            prop_assert!(*part > 0 && to.spare > 0 && to.near > 0);
        }
        prop_assert!(told.panic || u32::from(told.near) == u32::from(near) * 100);
    }

    #[test]
    fn all_senders_together_never_pass_what_is_spare(
        room in 0u32..40,
        senders in 1usize..8,
        moves in proptest::collection::vec((0usize..8, any::<bool>()), 0..300),
    ) {
        let mut budgets = vec![Budget::default(); senders];
        budgets.iter_mut().for_each(|b| b.set([("b".to_string(), room, senders)].into_iter()));
        for (who, takes) in moves {
            let budget = &mut budgets[who % senders];
            let before = budget.under_way("b");
            if takes {
                let took = budget.take("b");
                prop_assert_eq!(budget.under_way("b"), before + u32::from(took));
            } else {
                budget.give_back("b");
                prop_assert_eq!(budget.under_way("b"), before.saturating_sub(1));
            }
            prop_assert!(budgets.iter().map(|b| b.under_way("b")).sum::<u32>() <= room);
        }
    }
}

#[test]
fn what_is_spare_is_the_cap_less_what_is_in_flight_and_never_negative() {
    assert_eq!(spare([(10, 4), (5, 9), (3, 3), (8, 0)].into_iter()), 14);
    let mut budget = Budget::default();
    assert!(
        !budget.take("b"),
        "a zone that nobody reported takes nothing"
    );
}
