//! The membership protocol in the emulator: joins, crashes, partitions, slow members and loss, on fixed seeds.

use heathspur_emulator::Fleet;
use heathspur_members::{MemberState, Settings};

fn fleet(members: usize, seed: u64) -> Fleet {
    Fleet::new(members, 3, Settings::default(), seed)
}

/// A fleet whose membership views have converged.
fn converged_fleet(members: usize, seed: u64, settings: Settings) -> Fleet {
    let mut fleet = Fleet::new(members, 3, settings, seed);
    assert!(
        fleet.run_until_condition(30_000, Fleet::has_converged),
        "the views did not converge within 30 s"
    );
    fleet
}

/// Deaths observed up to `span_ms` after `fault` was injected.
fn deaths_under(fleet: &mut Fleet, span_ms: u64, fault: impl FnOnce(&mut Fleet)) -> usize {
    fault(fleet);
    let at = fleet.now;
    fleet.run_until(at + span_ms);
    fleet.false_deaths(|_, _| true)
}

/// Deaths observed with a member slow by 500 ms each way and 20% loss. In plain SWIM the slow member accuses
/// healthy ones.
fn deaths_with_slow_member(settings: Settings) -> usize {
    let deaths = |seed| {
        let mut fleet = converged_fleet(20, seed, settings.clone());
        deaths_under(&mut fleet, 120_000, |f| {
            f.network.faults.loss = 0.20;
            f.nodes[5].slow_ms = 500;
        })
    };
    (4..8).map(deaths).sum()
}

#[test]
fn fifty_members_join_through_one_seed() {
    let mut fleet = fleet(50, 1);
    assert!(
        fleet.run_until_condition(30_000, Fleet::has_converged),
        "the views did not converge within 30 s"
    );
    assert_eq!(fleet.false_deaths(|_, _| true), 0);
}

#[test]
fn crash_is_detected_by_all_and_restart_rejoins_with_higher_incarnation() {
    let mut fleet = fleet(30, 2);
    assert!(fleet.run_until_condition(30_000, Fleet::has_converged));
    let before = fleet.nodes[7]
        .membership
        .as_ref()
        .map(|membership| membership.incarnation())
        .unwrap();
    let at = fleet.now;
    fleet.crash(7);
    let observers = fleet.views.failure_detection(7).observers;
    assert!(
        fleet.run_until_condition(at + 15_000, |f| f.views.failure_detection(7).aware
            == observers),
        "not all members detected the crash within 15 s"
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
fn views_converge_after_a_partition_heals() {
    let mut fleet = fleet(20, 3);
    assert!(fleet.run_until_condition(30_000, Fleet::has_converged));
    fleet.network.faults.partition(20, 8);
    let at = fleet.now;
    fleet.run_until(at + 25_000);
    // Each half considers the other dead by now.
    assert!(fleet.views.failure_detection(0).aware >= 11);
    fleet.network.faults.heal();
    let at = fleet.now;
    assert!(
        fleet.run_until_condition(at + 60_000, Fleet::has_converged),
        "the halves did not merge within 60 s"
    );
}

#[test]
fn lifeguard_prevents_false_deaths_with_a_slow_member() {
    assert_eq!(deaths_with_slow_member(Settings::default()), 0);
}

#[test]
fn plain_swim_has_false_deaths_with_a_slow_member() {
    assert!(
        deaths_with_slow_member(Settings {
            lifeguard: false,
            ..Settings::default()
        }) > 0
    );
}

#[test]
fn pause_of_three_seconds_is_refuted_in_time() {
    let mut fleet = converged_fleet(12, 5, Settings::default());
    assert_eq!(
        deaths_under(&mut fleet, 20_000, |f| f.nodes[4].paused_until =
            f.now + 3_000),
        0
    );
    assert!(fleet.has_converged());
}

#[test]
fn loss_of_twenty_percent_causes_no_false_deaths() {
    let mut fleet = converged_fleet(15, 6, Settings::default());
    let faults = |f: &mut Fleet| {
        f.network.faults.loss = 0.20;
        f.network.faults.duplicate = 0.05;
        f.network.faults.jitter_ms = 30;
    };
    assert_eq!(deaths_under(&mut fleet, 60_000, faults), 0);
}

#[test]
fn graceful_leave_is_not_observed_as_death() {
    let mut fleet = fleet(10, 7);
    assert!(fleet.run_until_condition(30_000, Fleet::has_converged));
    fleet.leave(2);
    let at = fleet.now;
    fleet.run_until(at + 2_000);
    fleet.crash(2);
    let observers = fleet.views.failure_detection(2).observers;
    assert!(
        fleet.run_until_condition(at + 10_000, |f| f.views.failure_detection(2).aware
            == observers)
    );
    assert!(fleet
        .changes
        .iter()
        .filter(|change| change.subject.0 == "m2")
        .all(|change| change.state != Some(MemberState::Dead)));
}

#[test]
fn partition_longer_than_dead_entries_are_kept_heals_through_the_seeds() {
    let settings = Settings {
        dead_retention_ms: 30_000,
        ..Settings::default()
    };
    let mut fleet = converged_fleet(12, 8, settings);
    fleet.network.faults.partition(12, 5);
    let at = fleet.now;
    fleet.run_until(at + 120_000);
    // Each half has dropped its entries of the other.
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
