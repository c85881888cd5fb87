//! Tests of failover between replicas of the dependency: three zones of three servers in two regions, with one replica
//! per zone. Replicas are killed, slowed down and made to flap, and members are partitioned. The tests wait for log
//! messages and counts; they do not measure latencies.

use heathspur_testkit::auto_stubs::{self, InterpreterOptions, RunCounts};
use heathspur_testkit::fleet::Fleet;
use heathspur_testkit::prelude::{request, Http1Client};
use heathspur_testkit::replica::StubReplica;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const SERVERS: usize = 9;
const ZONES: usize = 3;
/// Dwell time between two decisions, as configured for these tests.
const DWELL: Duration = Duration::from_secs(4);
const SETTINGS: &str = "period=\"500 ms\" probe-timeout=\"200 ms\"";

/// Lets two tests run at a time, each in the slot that it names. With four at a time (36 servers and their clients on
/// four cores) the machine's own delays make a replica that answers at once appear slow.
static TEST_SLOTS: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];

/// Returns the element of the operator's file that enables failover between these replicas, one per zone.
fn failover_element(replicas: &[StubReplica]) -> String {
    let replica_elements: String = replicas
        .iter()
        .enumerate()
        .map(|(z, r)| format!("<replica zone=\"z{z}\" address=\"{}\"/>", r.address))
        .collect();
    format!(
        "<failover dwell=\"{} s\" leave=\"500 ms\" back=\"1 s\" check=\"200 ms\">{replica_elements}</failover>",
        DWELL.as_secs()
    )
}

/// The servers, their interpreters and the replicas of all zones.
struct ZonedFleet {
    fleet: Fleet,
    replicas: Vec<StubReplica>,
    runs: Vec<RunCounts>,
    _test_slot: MutexGuard<'static, ()>,
}

impl ZonedFleet {
    /// Starts the fleet: zones z0 and z1 are in the west, z2 in the east; server `i` is in zone `i % 3`.
    fn start(test_slot: usize) -> ZonedFleet {
        // A failed test poisons the mutex, but leaves no state that affects the next one.
        let slot_guard = TEST_SLOTS[test_slot]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let replicas: Vec<StubReplica> = (0..ZONES).map(|_| StubReplica::start()).collect();
        let failover = failover_element(&replicas);
        let region = |i| if i % ZONES == 2 { "east" } else { "west" };
        let mut fleet = Fleet::start_with_regions(SERVERS, SETTINGS, region, &failover);
        let options = InterpreterOptions {
            calls_dependency: true,
            ..InterpreterOptions::default()
        };
        let runs = (0..SERVERS)
            .map(|i| {
                auto_stubs::interpreter_with(
                    fleet.fixture(i).interpreter_listener.try_clone().unwrap(),
                    options,
                )
            })
            .collect();
        fleet.assert_eventually("all members see all others alive", Fleet::all_views_alive);
        ZonedFleet {
            fleet,
            replicas,
            runs,
            _test_slot: slot_guard,
        }
    }

    /// Returns the indexes of the servers in the zone.
    fn members(zone: usize) -> impl Iterator<Item = usize> {
        (0..SERVERS).filter(move |i| i % ZONES == zone)
    }

    /// Returns the number of calls that each replica completes in the next `span`.
    fn count_calls_for(&mut self, span: Duration) -> Vec<u64> {
        let before: Vec<u64> = self
            .replicas
            .iter()
            .map(StubReplica::completed_calls)
            .collect();
        self.fleet.read_logs_for(span);
        self.replicas
            .iter()
            .zip(before)
            .map(|(r, before)| r.completed_calls() - before)
            .collect()
    }

    /// Returns the local traffic, in tenths, of each decision that the server has logged, in order.
    fn logged_local_tenths(fleet: &Fleet, i: usize) -> Vec<u8> {
        let decisions = fleet.members[i]
            .failover_log
            .iter()
            .filter(|(_, message)| message.contains("accepted decision of epoch"));
        // "accepted decision of epoch 1: 0 tenths of the traffic stay local"
        decisions
            .filter_map(|(_, message)| message.split(": ").nth(1)?.split(' ').next()?.parse().ok())
            .collect()
    }

    /// Returns whether the last decision logged by each server of the zone has this local traffic, in tenths.
    fn zone_local_tenths_is(fleet: &Fleet, zone: usize, local_tenths: u8) -> bool {
        ZonedFleet::members(zone)
            .all(|i| ZonedFleet::logged_local_tenths(fleet, i).last() == Some(&local_tenths))
    }
}

/// Clients, one per server, that each send one request after another, every request with its own idempotency key.
struct Clients {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    /// Server index and status of each response.
    responses: Arc<Mutex<Vec<(usize, u16)>>>,
}

impl Clients {
    fn start(zones: &ZonedFleet, servers: impl Iterator<Item = usize>, pause: Duration) -> Clients {
        let (stopped, responses) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(Mutex::new(Vec::new())),
        );
        let threads = servers
            .map(|i| {
                let address = zones.fleet.fixture(i).address;
                let (stopped, responses) = (stopped.clone(), responses.clone());
                thread::spawn(move || {
                    let mut client = Http1Client::connect(address);
                    for n in 0.. {
                        if stopped.load(Ordering::Relaxed) {
                            return;
                        }
                        let number = ((i as u64) << 32) + n;
                        let key = format!("{number:032x}");
                        client.send(&request(number, Some(&key), key.as_bytes()));
                        // Blocks until the response arrives, so that every request must be answered.
                        let (status, fields, _) = client.read_response();
                        responses.lock().unwrap().push((i, status));
                        if fields.get("connection").is_some_and(|c| c == "close") {
                            client = Http1Client::connect(address);
                        }
                        thread::sleep(pause);
                    }
                })
            })
            .collect();
        Clients {
            stopped,
            threads,
            responses,
        }
    }

    /// Waits until each of these clients has received two more responses. Its earlier requests are answered then.
    fn wait_for_two_responses(&self, fleet: &mut Fleet, servers: impl Iterator<Item = usize>) {
        let count = |i| {
            self.responses
                .lock()
                .unwrap()
                .iter()
                .filter(|(server, _)| *server == i)
                .count()
        };
        let before: Vec<(usize, usize)> = servers.map(|i| (i, count(i))).collect();
        fleet.assert_eventually("each client has received two more responses", |_| {
            before.iter().all(|(i, previous)| count(*i) >= previous + 2)
        });
    }

    /// Stops the clients and returns the number of responses and the number of those with status 200.
    ///
    /// # Panics
    ///
    /// Panics if a request was run more than once.
    fn stop(self, zones: &ZonedFleet) -> (usize, usize) {
        self.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().unwrap();
        }
        for runs in &zones.runs {
            let runs = runs.lock().unwrap();
            assert!(
                runs.values().all(|count| *count == 1),
                "a request with one key was run more than once"
            );
        }
        let responses = self.responses.lock().unwrap();
        (
            responses.len(),
            responses
                .iter()
                .filter(|(_, status)| *status == 200)
                .count(),
        )
    }
}

/// Pause of a client between a response and its next request.
const PAUSE: Duration = Duration::from_millis(20);

#[test]
fn zone_fails_over_within_region_when_replica_dies_and_fails_back() {
    let mut zones = ZonedFleet::start(0);
    let clients = Clients::start(&zones, ZonedFleet::members(0), PAUSE);
    let baseline = zones.count_calls_for(Duration::from_secs(2));
    assert!(
        baseline[0] > 30 && baseline[1] == 0 && baseline[2] == 0,
        "calls before the failure, by replica: {baseline:?}"
    );
    zones.replicas[0].kill();
    zones
        .fleet
        .assert_eventually("all of z0 have decided that no traffic stays local", |f| {
            ZonedFleet::zone_local_tenths_is(f, 0, 0)
        });
    clients.wait_for_two_responses(&mut zones.fleet, ZonedFleet::members(0));
    let failed_over = zones.count_calls_for(Duration::from_secs(2));
    assert!(
        failed_over[1] > 30 && failed_over[2] == 0,
        "calls after failover, by replica: {failed_over:?}"
    );
    zones.replicas[0].restart();
    zones.fleet.assert_eventually(
        "all of z0 have decided that all traffic is local again",
        |f| ZonedFleet::zone_local_tenths_is(f, 0, 10),
    );
    // A call sent to the previous replica may still be in flight when its server logs the decision.
    clients.wait_for_two_responses(&mut zones.fleet, ZonedFleet::members(0));
    let failed_back = zones.count_calls_for(Duration::from_secs(2));
    assert!(
        failed_back[0] > 30 && failed_back[1] == 0,
        "calls after failback, by replica: {failed_back:?}"
    );
    // No other zone has changed its decision.
    for i in ZonedFleet::members(1).chain(ZonedFleet::members(2)) {
        assert_eq!(
            ZonedFleet::logged_local_tenths(&zones.fleet, i),
            [] as [u8; 0],
            "m{i} accepted a decision"
        );
    }
    let (responses, served) = clients.stop(&zones);
    assert!(
        served * 10 > responses * 7,
        "{served} of {responses} served, expected more than 70%"
    );
}

#[test]
fn flapping_replica_changes_zone_decision_at_most_once_per_dwell() {
    let mut zones = ZonedFleet::start(1);
    let clients = Clients::start(&zones, ZonedFleet::members(0), PAUSE);
    let start = Instant::now();
    zones.fleet.read_logs_for(Duration::from_secs(1));
    while start.elapsed() < Duration::from_secs(14) {
        zones.replicas[0].kill();
        zones.fleet.read_logs_for(Duration::from_millis(1_500));
        zones.replicas[0].restart();
        zones.fleet.read_logs_for(Duration::from_millis(500));
    }
    zones.fleet.read_logs();
    let max_decisions = 1 + (start.elapsed().as_millis() / DWELL.as_millis()) as usize;
    for i in ZonedFleet::members(0) {
        let decisions = ZonedFleet::logged_local_tenths(&zones.fleet, i);
        assert!(
            (1..=max_decisions).contains(&decisions.len()),
            "m{i}, expected 1 to {max_decisions} decisions: {decisions:?}"
        );
    }
    clients.stop(&zones);
}

#[test]
fn partitioned_zone_and_member_keep_healthy_local_replica() {
    let mut zones = ZonedFleet::start(0);
    let clients = Clients::start(&zones, 0..SERVERS, PAUSE);
    // Zone z0 is partitioned from the other members; its replica is healthy.
    zones
        .fleet
        .relay
        .update_rules(|r| r.partitions = (0..SERVERS).map(|i| (i % ZONES == 0) as u8).collect());
    zones
        .fleet
        .assert_eventually("z0 considers another zone's member dead", |f| {
            ZonedFleet::members(0).all(|i| f.view_shows(i, 1, "dead"))
        });
    let calls = zones.count_calls_for(Duration::from_secs(2));
    assert!(
        calls.iter().all(|count| *count > 60),
        "calls by replica, expected more than 60 each: {calls:?}"
    );
    zones
        .fleet
        .relay
        .update_rules(|r| r.partitions = (0..SERVERS).map(|i| (i == 4) as u8).collect());
    let has_no_quorum = |f: &Fleet| {
        f.members[4]
            .failover_log
            .iter()
            .any(|(_, message)| message.contains("no quorum"))
    };
    zones
        .fleet
        .assert_eventually("m4 logs that it has no quorum", has_no_quorum);
    let calls = zones.count_calls_for(Duration::from_secs(2));
    assert!(
        calls.iter().all(|count| *count > 60),
        "calls by replica, expected more than 60 each: {calls:?}"
    );
    for i in 0..SERVERS {
        assert_eq!(
            ZonedFleet::logged_local_tenths(&zones.fleet, i),
            [] as [u8; 0],
            "m{i} accepted a decision"
        );
    }
    let (responses, served) = clients.stop(&zones);
    assert!(
        served * 100 >= responses * 99,
        "{served} of {responses} served, expected at least 99%"
    );
}

#[test]
fn slow_replica_shifts_part_of_zone_traffic_and_lost_region_fails_over() {
    let mut zones = ZonedFleet::start(1);
    zones
        .replicas
        .iter()
        .for_each(|r| r.set_delay(Duration::from_millis(10)));
    let clients = Clients::start(&zones, 0..SERVERS, PAUSE);
    zones.fleet.read_logs_for(Duration::from_secs(3));
    // Five times as slow: its latency score falls to about 0.4.
    zones.replicas[0].set_delay(Duration::from_millis(50));
    let some_traffic_is_local = |f: &Fleet| {
        ZonedFleet::members(0).all(|i| {
            ZonedFleet::logged_local_tenths(f, i)
                .last()
                .is_some_and(|tenths| (2..=8).contains(tenths))
        })
    };
    zones.fleet.assert_eventually(
        "all of z0 have decided that part of the traffic stays local",
        some_traffic_is_local,
    );
    let split = zones.count_calls_for(Duration::from_secs(2));
    assert!(
        split[0] > 10 && split[1] > split[2],
        "calls by replica: {split:?}"
    );
    // Both replicas in the west are lost: the traffic of z0 and z1 goes to the east.
    zones.replicas[0].kill();
    zones.replicas[1].kill();
    let no_traffic_is_local = |f: &Fleet| {
        ZonedFleet::zone_local_tenths_is(f, 0, 0) && ZonedFleet::zone_local_tenths_is(f, 1, 0)
    };
    zones.fleet.assert_eventually(
        "z0 and z1 have decided that no traffic stays local",
        no_traffic_is_local,
    );
    let after_loss = zones.count_calls_for(Duration::from_secs(2));
    assert!(
        after_loss[0] + after_loss[1] == 0 && after_loss[2] > split[2] * 3 / 2,
        "calls by replica: {after_loss:?}, before {split:?}"
    );
    for i in ZonedFleet::members(2) {
        assert_eq!(
            ZonedFleet::logged_local_tenths(&zones.fleet, i),
            [] as [u8; 0],
            "m{i} accepted a decision"
        );
    }
    clients.stop(&zones);
}

// Guards against a reply to the wrong call: a replica carries out any call, also one for which no run waits any more, so a
// call whose reply may have been received must not be made again.
#[test]
fn run_whose_call_reply_was_lost_fails_without_another_call_to_a_replica() {
    let replicas: Vec<StubReplica> = (0..ZONES).map(|_| StubReplica::start()).collect();
    let failover = failover_element(&replicas);
    let fleet = Fleet::start_with_regions(1, SETTINGS, |_| "west", &failover);
    let server = fleet.fixture(0);
    let mut interpreter = server.accept_link();
    let mut client = server.connect_client();
    client.send(&request(1, None, b"abc"));
    let task = interpreter.read_apply().0;
    interpreter.send_await(&task, b"one");
    assert_eq!(interpreter.read_command()["verb"], "RESOLVE");
    drop(interpreter);
    let mut interpreter = server.accept_link();
    interpreter.answer_gauge_queries(1);
    assert_eq!(client.read_response().0, 500);
    let calls: u64 = replicas.iter().map(StubReplica::completed_calls).sum();
    assert_eq!(calls, 1);
}
