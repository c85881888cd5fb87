//! The membership core in the emulator: joins, crashes, partitions, slow members and loss, on fixed seeds.

use heathspur_emulator::Fleet;
use heathspur_members::{MemberState, Settings};

fn fleet(members: usize, seed: u64) -> Fleet {
    Fleet::new(members, 3, Settings::default(), seed)
}

/// A fleet that has come to one view.
fn settled(members: usize, seed: u64, settings: Settings) -> Fleet {
    let mut fleet = Fleet::new(members, 3, settings, seed);
    assert!(
        fleet.run_until_condition(30_000, Fleet::has_converged),
        "not one view after 30 s"
    );
    fleet
}

/// Deaths seen while `fault` holds for `span` ms.
fn deaths_under(fleet: &mut Fleet, span: u64, fault: impl FnOnce(&mut Fleet)) -> usize {
    fault(fleet);
    let at = fleet.now;
    fleet.run_until(at + span);
    fleet.false_deaths(|_, _| true)
}

/// A member slow by 500 ms each way, with 20% loss: in plain SWIM it is the slow one that accuses healthy others.
fn slow_member(settings: Settings) -> usize {
    let play = |seed| {
        let mut fleet = settled(20, seed, settings.clone());
        deaths_under(&mut fleet, 120_000, |f| {
            f.network.faults.loss = 0.20;
            f.nodes[5].slow_ms = 500;
        })
    };
    (4..8).map(play).sum()
}

#[test]
fn fifty_join_through_one_seed_and_all_see_all() {
    let mut fleet = fleet(50, 1);
    assert!(
        fleet.run_until_condition(30_000, Fleet::has_converged),
        "not one view after 30 s"
    );
    assert_eq!(fleet.false_deaths(|_, _| true), 0);
}

#[test]
fn a_crash_is_known_to_all_then_the_restart_rejoins_higher() {
    let mut fleet = fleet(30, 2);
    assert!(fleet.run_until_condition(30_000, Fleet::has_converged));
    let before = fleet.nodes[7]
        .membership
        .as_ref()
        .map(|c| c.incarnation())
        .unwrap();
    let at = fleet.now;
    fleet.crash(7);
    let all = fleet.views.failure_detection(7).observers;
    assert!(
        fleet.run_until_condition(at + 15_000, |f| f.views.failure_detection(7).aware == all),
        "not all knew of the crash in 15 s"
    );
    fleet.start(7);
    let at = fleet.now;
    assert!(
        fleet.run_until_condition(at + 20_000, Fleet::has_converged),
        "the restarted member did not rejoin"
    );
    let after = fleet.nodes[3]
        .membership
        .as_ref()
        .unwrap()
        .entry(&fleet.nodes[7].member.id)
        .unwrap()
        .incarnation;
    assert!(after > before, "incarnation {after} not above {before}");
}

#[test]
fn a_healed_partition_becomes_one_view_again() {
    let mut fleet = fleet(20, 3);
    assert!(fleet.run_until_condition(30_000, Fleet::has_converged));
    fleet.network.faults.partition(20, 8);
    let at = fleet.now;
    fleet.run_until(at + 25_000);
    // Each half has taken the other for dead by now.
    assert!(fleet.views.failure_detection(0).aware >= 11);
    fleet.network.faults.heal();
    let at = fleet.now;
    assert!(
        fleet.run_until_condition(at + 60_000, Fleet::has_converged),
        "the halves did not merge within 60 s"
    );
}

#[test]
fn with_lifeguard_a_slow_member_is_not_taken_for_dead_nor_are_others() {
    assert_eq!(slow_member(Settings::default()), 0);
}

#[test]
fn without_lifeguard_the_same_slow_member_is_taken_for_dead() {
    assert!(
        slow_member(Settings {
            lifeguard: false,
            ..Settings::default()
        }) > 0
    );
}

#[test]
fn a_pause_of_three_seconds_is_refuted_in_time() {
    let mut fleet = settled(12, 5, Settings::default());
    assert_eq!(
        deaths_under(&mut fleet, 20_000, |f| f.nodes[4].paused_until =
            f.now + 3_000),
        0
    );
    assert!(fleet.has_converged());
}

#[test]
fn twenty_percent_loss_on_every_link_kills_nobody() {
    let mut fleet = settled(15, 6, Settings::default());
    let faults = |f: &mut Fleet| {
        f.network.faults.loss = 0.20;
        f.network.faults.duplicate = 0.05;
        f.network.faults.jitter_ms = 30;
    };
    assert_eq!(deaths_under(&mut fleet, 60_000, faults), 0);
}

#[test]
fn a_member_that_leaves_is_seen_to_leave_not_to_die() {
    let mut fleet = fleet(10, 7);
    assert!(fleet.run_until_condition(30_000, Fleet::has_converged));
    fleet.leave(2);
    let at = fleet.now;
    fleet.run_until(at + 2_000);
    fleet.crash(2);
    let all = fleet.views.failure_detection(2).observers;
    assert!(fleet.run_until_condition(at + 10_000, |f| f.views.failure_detection(2).aware == all));
    assert!(fleet
        .changes
        .iter()
        .filter(|change| change.subject.0 == "m2")
        .all(|change| change.state != Some(MemberState::Dead)));
}

#[test]
fn halves_apart_for_longer_than_the_dead_are_kept_meet_again_through_the_seeds() {
    let settings = Settings {
        dead_keep_ms: 30_000,
        ..Settings::default()
    };
    let mut fleet = settled(12, 8, settings);
    fleet.network.faults.partition(12, 5);
    let at = fleet.now;
    fleet.run_until(at + 120_000);
    // Each half has forgotten the other.
    assert!(fleet.nodes[0]
        .membership
        .as_ref()
        .unwrap()
        .entry(&fleet.nodes[9].member.id)
        .is_none());
    assert!(fleet.nodes[9]
        .membership
        .as_ref()
        .unwrap()
        .entry(&fleet.nodes[0].member.id)
        .is_none());
    fleet.network.faults.heal();
    assert!(
        fleet.run_until_condition(at + 240_000, Fleet::has_converged),
        "the halves did not merge within 120 s"
    );
}
