//! A running fleet's view, asked for from outside: states, load, and the word of a drain at its start.

use heathspur_testkit::fleet::Fleet;
use heathspur_testkit::prelude::{program_path, request};
use serde_json::Value;
use std::net::SocketAddr;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

fn members(address: SocketAddr, more: &[&str]) -> Output {
    let program = program_path("heathspurctl");
    Command::new(program)
        .args(["members", &address.to_string()])
        .args(more)
        .output()
        .unwrap()
}

/// What the server at `address` holds of a member.
fn held(address: SocketAddr, id: &str) -> Value {
    let output = members(address, &["--json"]);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let view: Value = serde_json::from_slice(&output.stdout).unwrap();
    let rows = view["members"].as_array().unwrap();
    rows.iter()
        .find(|row| row["id"] == id)
        .cloned()
        .unwrap_or(Value::Null)
}

/// Waits for what a server holds of a member to pass a test.
fn until(address: SocketAddr, id: &str, what: &str, test: impl Fn(&Value) -> bool) {
    let start = Instant::now();
    loop {
        let row = held(address, id);
        if test(&row) {
            return;
        }
        assert!(start.elapsed() < Duration::from_secs(20), "{what}: {row}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn load_is_told_and_a_drain_is_told_as_leaving_while_it_still_owes_an_answer() {
    let mut fleet = Fleet::start(3);
    fleet.assert_eventually("all see all", Fleet::all_views_alive);
    let asked = fleet.relay.member_addresses[0];
    let mut vm = fleet.fixture(1).accept_link();
    let mut client = fleet.fixture(1).connect_client();
    client.send(&request(1, None, b"abc"));
    let (task, _, body) = vm.read_apply();
    assert_eq!(body, b"abc");
    until(asked, "m1", "one request in flight", |row| {
        row["in_flight"] == 1 && row["cap"].as_u64() > Some(0)
    });
    let row = held(asked, "m1");
    assert_eq!(
        (&row["state"], &row["zone"], &row["region"]),
        (&"alive".into(), &"z1".into(), &"r1".into())
    );
    // 0.1.0 and on; the same for all that run one build.
    assert!(
        row["version"].as_u64() >= Some(1_000) && row["version"] == held(asked, "m0")["version"],
        "{row}"
    );
    fleet.signal(1, "TERM");
    until(asked, "m1", "left", |row| row["state"] == "left");
    vm.send_value(&task, "complete", b"done");
    assert_eq!(client.read_response().2, b"done");
    let mut rig = fleet.members[1].fixture.take().unwrap();
    assert!(rig.process.wait().success());
    fleet.read_logs_for(Duration::from_secs(1));
    assert_eq!(
        fleet.total_logged_deaths(),
        0,
        "who left was taken for dead"
    );
}

#[test]
fn a_table_for_people_and_a_plain_word_where_nobody_answers() {
    let mut fleet = Fleet::start(2);
    fleet.assert_eventually("all see all", Fleet::all_views_alive);
    let output = members(fleet.relay.member_addresses[1], &[]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(
        text.starts_with("view ") && text.contains("of m1: 2 members"),
        "{text}"
    );
    assert!(
        text.contains("refusals/s") && text.lines().count() == 4,
        "{text}"
    );
    fleet.kill(1);
    let output = members(fleet.relay.member_addresses[1], &["--wait", "20"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("does not tell its view"));
}
