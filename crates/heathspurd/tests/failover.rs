//! Three zones of three servers in two regions, a replica of the dependency in each zone: replicas killed, slowed,
//! made to flap, members cut off. Tests wait on logs and counts; figures belong to a measurement.

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
/// The dwell of these tests.
const DWELL: Duration = Duration::from_secs(4);
const SETTINGS: &str = "period=\"500 ms\" probe-timeout=\"200 ms\"";

/// Two tests at a time: with four side by side, thirty-six servers and their callers on four cores, a replica that
/// answers at once looks slow by what the machine itself takes. Each test takes the place that is named for it.
static PLACES: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];

struct Zones {
    fleet: Fleet,
    replicas: Vec<StubReplica>,
    runs: Vec<RunCounts>,
    _place: MutexGuard<'static, ()>,
}

impl Zones {
    /// Zones z0 and z1 are in the west, z2 in the east; server `i` is in zone `i % 3`.
    fn start(place: usize) -> Zones {
        // A test that failed has left it poisoned, and nothing behind it.
        let taken = PLACES[place].lock().unwrap_or_else(PoisonError::into_inner);
        let replicas: Vec<StubReplica> = (0..ZONES).map(|_| StubReplica::start()).collect();
        let listed: String = replicas
            .iter()
            .enumerate()
            .map(|(z, r)| format!("<replica zone=\"z{z}\" address=\"{}\"/>", r.address))
            .collect();
        let failover = format!(
            "<failover dwell=\"{} s\" leave=\"500 ms\" back=\"1 s\" check=\"200 ms\">{listed}</failover>",
            DWELL.as_secs()
        );
        let region = |i| if i % ZONES == 2 { "east" } else { "west" };
        let mut fleet = Fleet::start_with_regions(SERVERS, SETTINGS, region, &failover);
        let manner = InterpreterOptions {
            calls_dependency: true,
            ..InterpreterOptions::default()
        };
        let runs = (0..SERVERS)
            .map(|i| {
                auto_stubs::interpreter_with(
                    fleet.fixture(i).interpreter_listener.try_clone().unwrap(),
                    manner,
                )
            })
            .collect();
        fleet.assert_eventually("all see all", Fleet::all_views_alive);
        Zones {
            fleet,
            replicas,
            runs,
            _place: taken,
        }
    }

    fn members(zone: usize) -> impl Iterator<Item = usize> {
        (0..SERVERS).filter(move |i| i % ZONES == zone)
    }

    /// Calls that each replica has agreed to, in a span from now on.
    fn calls_in(&mut self, span: Duration) -> Vec<u64> {
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

    /// The levels of the decisions that a server logged, in order.
    fn levels(fleet: &Fleet, i: usize) -> Vec<u8> {
        let said = fleet.members[i]
            .failover_log
            .iter()
            .filter(|(_, said)| said.contains("accepted decision of epoch"));
        // "accepted decision of epoch 1: 0 tenths of the traffic stay local"
        said.filter_map(|(_, said)| said.split(": ").nth(1)?.split(' ').next()?.parse().ok())
            .collect()
    }

    fn zone_holds(fleet: &Fleet, zone: usize, near: u8) -> bool {
        Zones::members(zone).all(|i| Zones::levels(fleet, i).last() == Some(&near))
    }
}

/// Callers of some servers, one after another request each, all with keys of their own.
struct Callers {
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    /// Server and status of each answer.
    answers: Arc<Mutex<Vec<(usize, u16)>>>,
}

impl Callers {
    fn start(zones: &Zones, servers: impl Iterator<Item = usize>, pause: Duration) -> Callers {
        let (over, answers) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(Mutex::new(Vec::new())),
        );
        let threads = servers
            .map(|i| {
                let address = zones.fleet.fixture(i).address;
                let (over, answers) = (over.clone(), answers.clone());
                thread::spawn(move || {
                    let mut client = Http1Client::connect(address);
                    for n in 0.. {
                        if over.load(Ordering::Relaxed) {
                            return;
                        }
                        let number = ((i as u64) << 32) + n;
                        let key = format!("{number:032x}");
                        client.send(&request(number, Some(&key), key.as_bytes()));
                        // None is left without its answer: reading waits for it.
                        let (status, fields, _) = client.read_response();
                        answers.lock().unwrap().push((i, status));
                        if fields.get("connection").is_some_and(|c| c == "close") {
                            client = Http1Client::connect(address);
                        }
                        thread::sleep(pause);
                    }
                })
            })
            .collect();
        Callers {
            over,
            threads,
            answers,
        }
    }

    /// Waits until each caller has had two more answers: what went out before has come back then.
    fn rounds(&self, fleet: &mut Fleet, servers: impl Iterator<Item = usize>) {
        let count = |i| {
            self.answers
                .lock()
                .unwrap()
                .iter()
                .filter(|(from, _)| *from == i)
                .count()
        };
        let before: Vec<(usize, usize)> = servers.map(|i| (i, count(i))).collect();
        fleet.assert_eventually("two more answers of each", |_| {
            before.iter().all(|(i, had)| count(*i) >= had + 2)
        });
    }

    /// Answers in all, and those that served.
    fn stop(self, zones: &Zones) -> (usize, usize) {
        self.over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().unwrap();
        }
        for runs in &zones.runs {
            let runs = runs.lock().unwrap();
            assert!(runs.values().all(|times| *times == 1), "a key ran twice");
        }
        let answers = self.answers.lock().unwrap();
        (
            answers.len(),
            answers.iter().filter(|(_, status)| *status == 200).count(),
        )
    }
}

const PAUSE: Duration = Duration::from_millis(20);

#[test]
fn a_zone_whose_replica_dies_moves_to_its_region_together_and_comes_back() {
    let mut zones = Zones::start(0);
    let callers = Callers::start(&zones, Zones::members(0), PAUSE);
    let calm = zones.calls_in(Duration::from_secs(2));
    assert!(
        calm[0] > 30 && calm[1] == 0 && calm[2] == 0,
        "calls in calm, by replica: {calm:?}"
    );
    zones.replicas[0].kill();
    zones
        .fleet
        .assert_eventually("all of z0 hold that nothing stays near", |f| {
            Zones::zone_holds(f, 0, 0)
        });
    callers.rounds(&mut zones.fleet, Zones::members(0));
    let away = zones.calls_in(Duration::from_secs(2));
    assert!(
        away[1] > 30 && away[2] == 0,
        "calls after the move, by replica: {away:?}"
    );
    zones.replicas[0].restart();
    zones
        .fleet
        .assert_eventually("all of z0 hold that all is near again", |f| {
            Zones::zone_holds(f, 0, 10)
        });
    // A call that went the old way may still be under way when its server says so.
    callers.rounds(&mut zones.fleet, Zones::members(0));
    let back = zones.calls_in(Duration::from_secs(2));
    assert!(
        back[0] > 30 && back[1] == 0,
        "calls after the way back, by replica: {back:?}"
    );
    // Nobody else moved.
    for i in Zones::members(1).chain(Zones::members(2)) {
        assert_eq!(Zones::levels(&zones.fleet, i), [] as [u8; 0], "m{i}");
    }
    let (answered, served) = callers.stop(&zones);
    assert!(served * 10 > answered * 7, "{served} of {answered} served");
}

#[test]
fn a_replica_that_flaps_changes_its_zone_once_in_a_dwell() {
    let mut zones = Zones::start(1);
    let callers = Callers::start(&zones, Zones::members(0), PAUSE);
    let start = Instant::now();
    zones.fleet.read_logs_for(Duration::from_secs(1));
    while start.elapsed() < Duration::from_secs(14) {
        zones.replicas[0].kill();
        zones.fleet.read_logs_for(Duration::from_millis(1_500));
        zones.replicas[0].restart();
        zones.fleet.read_logs_for(Duration::from_millis(500));
    }
    zones.fleet.read_logs();
    let most = 1 + (start.elapsed().as_millis() / DWELL.as_millis()) as usize;
    for i in Zones::members(0) {
        let levels = Zones::levels(&zones.fleet, i);
        assert!(
            (1..=most).contains(&levels.len()),
            "m{i}, at most {most}: {levels:?}"
        );
    }
    callers.stop(&zones);
}

#[test]
fn a_zone_cut_off_from_the_others_and_a_member_cut_off_alone_stay_near_with_a_good_replica() {
    let mut zones = Zones::start(0);
    let callers = Callers::start(&zones, 0..SERVERS, PAUSE);
    // Zone z0 sees nobody else; its replica is fine.
    zones
        .fleet
        .relay
        .update_rules(|r| r.partitions = (0..SERVERS).map(|i| (i % ZONES == 0) as u8).collect());
    zones
        .fleet
        .assert_eventually("z0 holds the others dead", |f| {
            Zones::members(0).all(|i| f.view_shows(i, 1, "dead"))
        });
    let cut = zones.calls_in(Duration::from_secs(2));
    assert!(
        cut.iter().all(|calls| *calls > 60),
        "calls by replica: {cut:?}"
    );
    zones
        .fleet
        .relay
        .update_rules(|r| r.partitions = (0..SERVERS).map(|i| (i == 4) as u8).collect());
    let alone = |f: &Fleet| {
        f.members[4]
            .failover_log
            .iter()
            .any(|(_, said)| said.contains("no quorum"))
    };
    zones
        .fleet
        .assert_eventually("m4 says that it hears no quorum", alone);
    let cut = zones.calls_in(Duration::from_secs(2));
    assert!(
        cut.iter().all(|calls| *calls > 60),
        "calls by replica: {cut:?}"
    );
    for i in 0..SERVERS {
        assert_eq!(Zones::levels(&zones.fleet, i), [] as [u8; 0], "m{i}");
    }
    let (answered, served) = callers.stop(&zones);
    assert!(
        served * 100 >= answered * 99,
        "{served} of {answered} served"
    );
}

#[test]
fn a_slow_replica_moves_a_part_of_its_zone_and_a_lost_region_crosses_to_the_other() {
    let mut zones = Zones::start(1);
    zones
        .replicas
        .iter()
        .for_each(|r| r.set_delay(Duration::from_millis(10)));
    let callers = Callers::start(&zones, 0..SERVERS, PAUSE);
    zones.fleet.read_logs_for(Duration::from_secs(3));
    // Five times as slow: some four tenths of its speed count.
    zones.replicas[0].set_delay(Duration::from_millis(50));
    let partly = |f: &Fleet| {
        Zones::members(0).all(|i| {
            Zones::levels(f, i)
                .last()
                .is_some_and(|near| (2..=8).contains(near))
        })
    };
    zones
        .fleet
        .assert_eventually("all of z0 hold that a part stays near", partly);
    let split = zones.calls_in(Duration::from_secs(2));
    assert!(
        split[0] > 10 && split[1] > split[2],
        "calls by replica: {split:?}"
    );
    // The west is lost: what z0 and z1 would do near goes to the east.
    zones.replicas[0].kill();
    zones.replicas[1].kill();
    let gone = |f: &Fleet| Zones::zone_holds(f, 0, 0) && Zones::zone_holds(f, 1, 0);
    zones
        .fleet
        .assert_eventually("z0 and z1 hold that nothing stays near", gone);
    let crossed = zones.calls_in(Duration::from_secs(2));
    assert!(
        crossed[0] + crossed[1] == 0 && crossed[2] > split[2] * 3 / 2,
        "calls by replica: {crossed:?}, before {split:?}"
    );
    for i in Zones::members(2) {
        assert_eq!(Zones::levels(&zones.fleet, i), [] as [u8; 0], "m{i}");
    }
    callers.stop(&zones);
}
