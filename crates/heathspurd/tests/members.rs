//! Tests of membership among several servers that are connected by a relay that injects faults: joins, kill -9 and
//! restart, a partition, a suspended process, delay, packet loss and invalid datagrams. They wait for the servers' log
//! lines.

use heathspur_testkit::fleet::Fleet;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

#[test]
fn crashed_member_is_detected_and_rejoins_with_higher_incarnation() {
    // All seven join through the same seed member.
    let mut fleet = Fleet::start(7);
    fleet.assert_eventually("all members see each other alive", Fleet::all_views_alive);
    let before = fleet.members[1].view["m4"].1;
    fleet.kill(4);
    fleet.assert_eventually("all others see m4 dead", |f| f.count_viewing_dead(4) == 6);
    fleet.start_member(4);
    fleet.assert_eventually("m4 is alive in all views", Fleet::all_views_alive);
    let after = fleet.members[1].view["m4"].1;
    assert!(
        after > before,
        "incarnation {after} is not higher than {before}"
    );
    // Only the killed member was declared dead.
    assert_eq!(fleet.total_logged_deaths(), fleet.logged_deaths(4));
}

#[test]
fn healed_partition_converges_without_flapping() {
    let mut fleet = Fleet::start_with_attributes(7, "period=\"500 ms\" probe-timeout=\"200 ms\"");
    fleet.assert_eventually("all members see each other alive", Fleet::all_views_alive);
    fleet
        .relay
        .update_rules(|r| r.partitions = vec![0, 0, 0, 1, 1, 1, 1]);
    fleet.assert_eventually("each side sees the other dead", |f| {
        f.view_shows(0, 5, "dead") && f.view_shows(5, 0, "dead")
    });
    fleet.read_logs_for(Duration::from_secs(4));
    fleet.relay.update_rules(|r| r.partitions.clear());
    fleet.assert_eventually(
        "all members see each other alive after the partition",
        Fleet::all_views_alive,
    );
    let deaths: Vec<usize> = (0..7).map(|i| fleet.logged_deaths(i)).collect();
    fleet.read_logs_for(Duration::from_secs(5));
    fleet.read_logs();
    // After the partition has healed, no member is declared dead again.
    assert_eq!(
        deaths,
        (0..7).map(|i| fleet.logged_deaths(i)).collect::<Vec<_>>()
    );
    assert!(fleet.all_views_alive());
}

#[test]
fn suspension_delay_and_loss_cause_no_false_deaths() {
    let mut fleet = Fleet::start(5);
    fleet.assert_eventually("all members see each other alive", Fleet::all_views_alive);
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
        "healthy members were declared dead"
    );
    fleet.relay.update_rules(|r| r.loss = 0.0);
    fleet.assert_eventually(
        "all members see each other alive after the faults",
        Fleet::all_views_alive,
    );
}

#[test]
fn flood_of_invalid_datagrams_harms_neither_membership_nor_serving() {
    let mut fleet = Fleet::start(3);
    fleet.assert_eventually("all members see each other alive", Fleet::all_views_alive);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let target = fleet.relay.member_addresses[1];
    for i in 0..20_000u32 {
        let mut bytes = i.to_le_bytes().repeat(1 + (i % 400) as usize);
        if i % 3 == 0 {
            bytes.splice(0..0, *b"hm\x01");
        }
        let _ = socket.send_to(&bytes, target);
    }
    fleet.assert_eventually("the dropped datagrams are logged", |f| {
        f.members[1].drop_log_lines > 0
    });
    fleet.read_logs_for(Duration::from_secs(3));
    // Drops are logged once per period rather than once per datagram.
    assert!(
        fleet.members[1].drop_log_lines <= 6,
        "{} log lines about dropped datagrams, expected at most 6",
        fleet.members[1].drop_log_lines
    );
    let server = fleet.fixture(1);
    assert!(fleet.all_views_alive());
    assert_eq!(fleet.total_logged_deaths(), 0);
    // The server still reads a request and forwards it to the interpreter.
    let mut interpreter = server.accept_link();
    let mut client = server.connect_client();
    client.send(&heathspur_testkit::prelude::request(1, None, b"abc"));
    assert_eq!(interpreter.read_apply().2, b"abc");
}

#[test]
fn continuous_datagram_flood_stops_neither_timers_nor_death_detection() {
    let mut fleet = Fleet::start(3);
    fleet.assert_eventually("all members see each other alive", Fleet::all_views_alive);
    let (target, stopped) = (
        fleet.relay.member_addresses[1],
        Arc::new(AtomicBool::new(false)),
    );
    let start_flood = || {
        let stopped = stopped.clone();
        std::thread::spawn(move || {
            let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
            while !stopped.load(Ordering::Relaxed) {
                let _ = socket.send_to(&[7; 16], target);
            }
        })
    };
    let flooders = [start_flood(), start_flood(), start_flood()];
    // The log line is written by a timer while datagrams arrive faster than the server reads them.
    fleet.assert_eventually("the flooded member logs dropped datagrams", |f| {
        f.members[1].drop_log_lines > 1
    });
    stopped.store(true, Ordering::Relaxed);
    for flooder in flooders {
        flooder.join().unwrap();
    }
    fleet.kill(2);
    fleet.assert_eventually("both other members see the killed one dead", |f| {
        f.count_viewing_dead(2) == 2
    });
    fleet.assert_eventually(
        "the two running members see each other alive",
        Fleet::all_views_alive,
    );
}
