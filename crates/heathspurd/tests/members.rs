//! Several servers keep one view of the fleet through a fault relay of ours: joins, kill -9 and restart,
//! partition and heal, a pause, delay, loss and garbage. Tests wait on the servers' own log lines.

use heathspur_testkit::fleet::Fleet;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

#[test]
fn seven_join_through_one_seed_then_a_crash_is_known_and_the_restart_rejoins_higher() {
    let mut fleet = Fleet::start(7);
    fleet.assert_eventually("all see all", Fleet::all_views_alive);
    let before = fleet.members[1].view["m4"].1;
    fleet.kill(4);
    fleet.assert_eventually("all others hold m4 dead", |f| f.count_viewing_dead(4) == 6);
    fleet.start_member(4);
    fleet.assert_eventually("m4 back in every view", Fleet::all_views_alive);
    let after = fleet.members[1].view["m4"].1;
    assert!(after > before, "incarnation {after} is not above {before}");
    // Nobody but the one killed was taken for dead.
    assert_eq!(fleet.total_logged_deaths(), fleet.logged_deaths(4));
}

#[test]
fn a_partition_of_three_and_four_heals_into_one_view_without_flapping() {
    let mut fleet = Fleet::start_with_attributes(7, "period=\"500 ms\" probe-timeout=\"200 ms\"");
    fleet.assert_eventually("all see all", Fleet::all_views_alive);
    fleet
        .relay
        .update_rules(|r| r.partitions = vec![0, 0, 0, 1, 1, 1, 1]);
    fleet.assert_eventually("each side holds the other dead", |f| {
        f.view_shows(0, 5, "dead") && f.view_shows(5, 0, "dead")
    });
    fleet.read_logs_for(Duration::from_secs(4));
    fleet.relay.update_rules(|r| r.partitions.clear());
    fleet.assert_eventually("one view after the heal", Fleet::all_views_alive);
    let deaths: Vec<usize> = (0..7).map(|i| fleet.logged_deaths(i)).collect();
    fleet.read_logs_for(Duration::from_secs(5));
    fleet.read_logs();
    // Once healed, nobody is taken for dead again.
    assert_eq!(
        deaths,
        (0..7).map(|i| fleet.logged_deaths(i)).collect::<Vec<_>>()
    );
    assert!(fleet.all_views_alive());
}

#[test]
fn a_pause_a_slow_member_and_loss_kill_nobody() {
    let mut fleet = Fleet::start(5);
    fleet.assert_eventually("all see all", Fleet::all_views_alive);
    fleet.signal(2, "STOP");
    std::thread::sleep(Duration::from_secs(3));
    fleet.signal(2, "CONT");
    fleet
        .relay
        .update_rules(|r| r.extra_delay[3] = Duration::from_millis(500));
    fleet.read_logs_for(Duration::from_secs(8));
    fleet.relay.update_rules(|r| {
        r.extra_delay[3] = Duration::ZERO;
        r.loss = 0.20;
    });
    fleet.read_logs_for(Duration::from_secs(10));
    assert_eq!(
        fleet.total_logged_deaths(),
        0,
        "healthy members were taken for dead"
    );
    fleet.relay.update_rules(|r| r.loss = 0.0);
    fleet.assert_eventually("one view", Fleet::all_views_alive);
}

#[test]
fn a_flood_of_garbage_harms_neither_the_view_nor_serving() {
    let mut fleet = Fleet::start(3);
    fleet.assert_eventually("all see all", Fleet::all_views_alive);
    let flood = UdpSocket::bind("127.0.0.1:0").unwrap();
    let target = fleet.relay.member_addresses[1];
    for i in 0..20_000u32 {
        let mut bytes = i.to_le_bytes().repeat(1 + (i % 400) as usize);
        if i % 3 == 0 {
            bytes.splice(0..0, *b"hm\x01");
        }
        let _ = flood.send_to(&bytes, target);
    }
    fleet.assert_eventually("the flood told in the log", |f| {
        f.members[1].drop_log_lines > 0
    });
    fleet.read_logs_for(Duration::from_secs(3));
    // Told once a period, not once a datagram.
    assert!(
        fleet.members[1].drop_log_lines <= 6,
        "{} lines",
        fleet.members[1].drop_log_lines
    );
    let rig = fleet.fixture(1);
    assert!(fleet.all_views_alive());
    assert_eq!(fleet.total_logged_deaths(), 0);
    // It still serves: a request is read and goes to the interpreter.
    let mut vm = rig.accept_link();
    let mut client = rig.connect_client();
    client.send(&heathspur_testkit::prelude::request(1, None, b"abc"));
    assert_eq!(vm.read_apply().2, b"abc");
}

#[test]
fn a_flood_that_leaves_no_pause_stops_neither_the_clock_nor_the_word_of_a_death() {
    let mut fleet = Fleet::start(3);
    fleet.assert_eventually("all see all", Fleet::all_views_alive);
    let (target, over) = (
        fleet.relay.member_addresses[1],
        Arc::new(AtomicBool::new(false)),
    );
    let flood = || {
        let over = over.clone();
        std::thread::spawn(move || {
            let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
            while !over.load(Ordering::Relaxed) {
                let _ = socket.send_to(&[7; 16], target);
            }
        })
    };
    let floods = [flood(), flood(), flood()];
    // It says so itself, by its own clock, while more comes than it can read.
    fleet.assert_eventually("the flood told in the log of who suffers it", |f| {
        f.members[1].drop_log_lines > 1
    });
    over.store(true, Ordering::Relaxed);
    for flood in floods {
        flood.join().unwrap();
    }
    fleet.kill(2);
    fleet.assert_eventually("both others hold the killed one dead", |f| {
        f.count_viewing_dead(2) == 2
    });
    fleet.assert_eventually("the two that live see each other", Fleet::all_views_alive);
}
