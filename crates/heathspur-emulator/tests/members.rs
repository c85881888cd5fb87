//! The membership protocol in the emulator: joins, crashes, partitions, slow members and loss, on fixed seeds.

use heathspur_emulator::Fleet;
use heathspur_members::{MemberState, Settings};

fn new_fleet(members: usize, seed: u64) -> Fleet {
    Fleet::new(members, 3, Settings::default(), seed)
}

/// Returns a fleet whose membership views have converged.
fn converged_fleet(members: usize, seed: u64, settings: Settings) -> Fleet {
    let mut fleet = Fleet::new(members, 3, settings, seed);
    assert!(
        fleet.run_until_condition(30_000, Fleet::has_converged),
        "the views did not converge within 30 s"
    );
    fleet
}

/// Returns the number of deaths observed up to `span_ms` after `fault` was injected.
fn deaths_under(fleet: &mut Fleet, span_ms: u64, fault: impl FnOnce(&mut Fleet)) -> usize {
    fault(fleet);
    let at = fleet.now;
    fleet.run_until(at + span_ms);
    fleet.false_deaths(|_, _| true)
}

/// Returns the number of deaths observed with 20% loss and one member that is slow by 500 ms in each direction. In
/// plain SWIM the slow member accuses healthy ones.
fn deaths_with_slow_member(settings: Settings) -> usize {
    let deaths = |seed| {
        let mut fleet = converged_fleet(20, seed, settings.clone());
        deaths_under(&mut fleet, 120_000, |fleet| {
            fleet.network.faults.loss = 0.20;
            fleet.nodes[5].extra_delay_ms = 500;
        })
    };
    (4..8).map(deaths).sum()
}

#[test]
fn fifty_members_join_through_one_seed() {
    let mut fleet = new_fleet(50, 1);
    assert!(
        fleet.run_until_condition(30_000, Fleet::has_converged),
        "the views did not converge within 30 s"
    );
    assert_eq!(fleet.false_deaths(|_, _| true), 0);
}

#[test]
fn crash_is_detected_by_all_and_restart_rejoins_with_higher_incarnation() {
    let mut fleet = new_fleet(30, 2);
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
        fleet.run_until_condition(at + 15_000, |fleet| fleet
            .views
            .failure_detection(7)
            .detected_by
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
fn views_converge_after_partition_heals() {
    let mut fleet = new_fleet(20, 3);
    assert!(fleet.run_until_condition(30_000, Fleet::has_converged));
    fleet.network.faults.partition(20, 8);
    let at = fleet.now;
    fleet.run_until(at + 25_000);
    // Each side considers the other one dead by now.
    assert!(fleet.views.failure_detection(0).detected_by >= 11);
    fleet.network.faults.heal();
    let at = fleet.now;
    assert!(
        fleet.run_until_condition(at + 60_000, Fleet::has_converged),
        "the two sides did not merge within 60 s"
    );
}

#[test]
fn lifeguard_prevents_false_deaths_with_slow_member() {
    assert_eq!(deaths_with_slow_member(Settings::default()), 0);
}

#[test]
fn plain_swim_has_false_deaths_with_slow_member() {
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
        deaths_under(&mut fleet, 20_000, |fleet| fleet.nodes[4].paused_until =
            fleet.now + 3_000),
        0
    );
    assert!(fleet.has_converged());
}

#[test]
fn loss_of_twenty_percent_causes_no_false_deaths() {
    let mut fleet = converged_fleet(15, 6, Settings::default());
    let faults = |fleet: &mut Fleet| {
        fleet.network.faults.loss = 0.20;
        fleet.network.faults.duplicate = 0.05;
        fleet.network.faults.jitter_ms = 30;
    };
    assert_eq!(deaths_under(&mut fleet, 60_000, faults), 0);
}

#[test]
fn graceful_leave_is_not_observed_as_death() {
    let mut fleet = new_fleet(10, 7);
    assert!(fleet.run_until_condition(30_000, Fleet::has_converged));
    fleet.leave(2);
    let at = fleet.now;
    fleet.run_until(at + 2_000);
    fleet.crash(2);
    let observers = fleet.views.failure_detection(2).observers;
    assert!(fleet.run_until_condition(at + 10_000, |fleet| fleet
        .views
        .failure_detection(2)
        .detected_by
        == observers));
    assert!(fleet
        .changes
        .iter()
        .filter(|change| change.subject.0 == "m2")
        .all(|change| change.state != Some(MemberState::Dead)));
}

#[test]
fn partition_longer_than_dead_retention_heals_through_seeds() {
    let settings = Settings {
        dead_retention_ms: 30_000,
        ..Settings::default()
    };
    let mut fleet = converged_fleet(12, 8, settings);
    fleet.network.faults.partition(12, 5);
    let at = fleet.now;
    fleet.run_until(at + 120_000);
    // Each side has removed its entries of the other one.
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
        "the two sides did not merge within 120 s"
    );
}
