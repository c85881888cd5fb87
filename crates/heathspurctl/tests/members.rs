//! Tests of the `members` command against a running fleet: states, load, a draining member, and a stopped daemon.

use heathspur_testkit::fleet::Fleet;
use heathspur_testkit::prelude::{program_path, request};
use serde_json::Value;
use std::net::SocketAddr;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

fn members(address: SocketAddr, arguments: &[&str]) -> Output {
    let program = program_path("heathspurctl");
    Command::new(program)
        .args(["members", &address.to_string()])
        .args(arguments)
        .output()
        .unwrap()
}

/// Returns the row of a member in the view of the server at `address`, or null.
fn row_of_member(address: SocketAddr, id: &str) -> Value {
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

/// Waits until the row of a member in the view of the server at `address` meets a condition.
fn wait_for_row(
    address: SocketAddr,
    id: &str,
    description: &str,
    condition: impl Fn(&Value) -> bool,
) {
    let start = Instant::now();
    loop {
        let row = row_of_member(address, id);
        if condition(&row) {
            return;
        }
        assert!(
            start.elapsed() < Duration::from_secs(20),
            "{description}: {row}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn view_shows_load_and_draining_member_as_left_while_request_is_in_flight() {
    let mut fleet = Fleet::start(3);
    fleet.assert_eventually(
        "all members view each other as alive",
        Fleet::all_views_alive,
    );
    let observer = fleet.relay.member_addresses[0];
    let mut interpreter = fleet.fixture(1).accept_link();
    let mut client = fleet.fixture(1).connect_client();
    client.send(&request(1, None, b"abc"));
    let (task, _, body) = interpreter.read_apply();
    assert_eq!(body, b"abc");
    wait_for_row(observer, "m1", "one request in flight", |row| {
        row["in_flight"] == 1 && row["cap"].as_u64() > Some(0)
    });
    let row = row_of_member(observer, "m1");
    assert_eq!(
        (&row["state"], &row["zone"], &row["region"]),
        (&"alive".into(), &"z1".into(), &"r1".into())
    );
    // The version is 0.1.0 or later, and the same for all members of one build.
    assert!(
        row["version"].as_u64() >= Some(1_000)
            && row["version"] == row_of_member(observer, "m0")["version"],
        "{row}"
    );
    fleet.signal(1, "TERM");
    wait_for_row(observer, "m1", "left", |row| row["state"] == "left");
    interpreter.send_value(&task, "complete", b"done");
    assert_eq!(client.read_response().2, b"done");
    let mut fixture = fleet.members[1].fixture.take().unwrap();
    assert!(fixture.process.wait().success());
    fleet.read_logs_for(Duration::from_secs(1));
    assert_eq!(
        fleet.total_logged_deaths(),
        0,
        "a member that left was declared dead"
    );
}

#[test]
fn view_is_printed_as_table_and_stopped_daemon_is_an_error() {
    let mut fleet = Fleet::start(2);
    fleet.assert_eventually(
        "all members view each other as alive",
        Fleet::all_views_alive,
    );
    let output = members(fleet.relay.member_addresses[1], &[]);
    let stdout = String::from_utf8(output.stdout).unwrap();
    assert!(
        stdout.starts_with("view ") && stdout.contains("of m1: 2 members"),
        "{stdout}"
    );
    assert!(
        stdout.contains("refusals/s") && stdout.lines().count() == 4,
        "{stdout}"
    );
    fleet.kill(1);
    let output = members(fleet.relay.member_addresses[1], &["--wait", "20"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("cannot get the membership view"));
}
