//! Several servers keep one view of the fleet through a fault relay of ours: joins, kill -9 and restart,
//! partition and heal, a pause, delay, loss and garbage. Tests wait on the servers' own log lines.

use heathspur_rig::relay::Relay;
use heathspur_rig::scripted::Rig;
use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Generous: what never comes fails the test; figures belong to `make measure-members`.
const BOUND: Duration = Duration::from_secs(40);

struct Server {
    rig: Option<Rig>,
    file: PathBuf,
    /// What this server holds of each other: state and incarnation, from its log.
    view: BTreeMap<String, (String, u64)>,
    /// Every change it logged, in order: (member, state).
    changes: Vec<(String, String)>,
    /// Lines that told of dropped datagrams.
    dropped: usize,
}

struct Fleet {
    relay: Relay,
    servers: Vec<Server>,
}

impl Fleet {
    fn start(count: usize, name: &str) -> Fleet {
        let relay = Relay::start(count);
        let servers = (0..count)
            .map(|i| {
                let file = std::env::temp_dir().join(format!("heathspur-members-{name}-{}-{i}.xml", std::process::id()));
                let seed = if i == 0 { String::new() } else { format!("<seed address=\"{}\"/>", relay.ports[0]) };
                let text = format!(
                    "<operator xmlns=\"urn:heathspur:operator:1\"><members id=\"m{i}\" listen=\"{}\" advertise=\"{}\" \
                     zone=\"z{}\" region=\"r1\">{seed}</members></operator>",
                    relay.real[i],
                    relay.ports[i],
                    i % 3
                );
                std::fs::write(&file, text).unwrap();
                Server { rig: None, file, view: BTreeMap::new(), changes: Vec::new(), dropped: 0 }
            })
            .collect();
        let mut fleet = Fleet { relay, servers };
        for i in 0..count {
            fleet.run(i);
        }
        fleet
    }

    fn run(&mut self, i: usize) {
        let server = &mut self.servers[i];
        server.rig = Some(Rig::operated(&server.file));
        server.view.clear();
    }

    fn signal(&self, i: usize, name: &str) {
        self.servers[i].rig.as_ref().unwrap().process.signal(name);
    }

    fn kill(&mut self, i: usize) {
        self.signal(i, "KILL");
        let mut rig = self.servers[i].rig.take().unwrap();
        rig.process.wait();
    }

    /// Reads what every running server has logged since.
    fn read(&mut self) {
        for server in &mut self.servers {
            let Some(rig) = &server.rig else { continue };
            while let Ok(line) = rig.lines.try_recv() {
                if std::env::var_os("MEMBERS_LINES").is_some() {
                    eprintln!("{line}");
                }
                server.dropped += line.contains("datagrams or updates dropped") as usize;
                // "members: m1 is alive at incarnation 17, joined"
                let Some(said) = line.split("members: ").nth(1) else { continue };
                let words: Vec<&str> = said.split([' ', ',']).collect();
                let [member, "is", state, "at", "incarnation", incarnation, ..] = words[..] else { continue };
                let incarnation: u64 = incarnation.parse().unwrap_or(0);
                server.view.insert(member.to_string(), (state.to_string(), incarnation));
                server.changes.push((member.to_string(), state.to_string()));
            }
        }
    }

    /// Waits until `done` holds; fails the test past the bound.
    fn until(&mut self, what: &str, done: impl Fn(&Fleet) -> bool) {
        let start = Instant::now();
        loop {
            self.read();
            if done(self) {
                return;
            }
            assert!(start.elapsed() < BOUND, "not within {BOUND:?}: {what}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn holds(&self, by: usize, of: usize, state: &str) -> bool {
        self.servers[by].view.get(&format!("m{of}")).is_some_and(|(s, _)| s == state)
    }

    /// Every running server holds every other running one alive.
    fn one_view(&self) -> bool {
        let up: Vec<usize> = (0..self.servers.len()).filter(|&i| self.servers[i].rig.is_some()).collect();
        up.iter().all(|&a| up.iter().all(|&b| a == b || self.holds(a, b, "alive")))
    }

    fn deaths(&self, of: usize) -> usize {
        let id = format!("m{of}");
        self.servers.iter().flat_map(|s| &s.changes).filter(|(m, s)| *m == id && s == "dead").count()
    }

    fn all_deaths(&self) -> usize {
        self.servers.iter().flat_map(|s| &s.changes).filter(|(_, s)| s == "dead").count()
    }

    /// Lets time pass while logs are read.
    fn wait(&mut self, span: Duration) {
        let start = Instant::now();
        while start.elapsed() < span {
            self.read();
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for server in &self.servers {
            let _ = std::fs::remove_file(&server.file);
        }
    }
}

#[test]
fn seven_join_through_one_seed_then_a_crash_is_known_and_the_restart_rejoins_higher() {
    let mut fleet = Fleet::start(7, "crash");
    fleet.until("all see all", Fleet::one_view);
    let before = fleet.servers[1].view["m4"].1;
    fleet.kill(4);
    fleet.until("all others hold m4 dead", |f| (0..7).filter(|&i| i != 4).all(|i| f.holds(i, 4, "dead")));
    fleet.run(4);
    fleet.until("m4 back in every view", Fleet::one_view);
    let after = fleet.servers[1].view["m4"].1;
    assert!(after > before, "incarnation {after} is not above {before}");
    // Nobody but the one killed was taken for dead.
    assert_eq!(fleet.all_deaths(), fleet.deaths(4));
}

#[test]
fn a_partition_of_three_and_four_heals_into_one_view_without_flapping() {
    let mut fleet = Fleet::start(7, "partition");
    fleet.until("all see all", Fleet::one_view);
    fleet.relay.set(|r| r.sides = vec![0, 0, 0, 1, 1, 1, 1]);
    fleet.until("each side holds the other dead", |f| f.holds(0, 5, "dead") && f.holds(5, 0, "dead"));
    fleet.wait(Duration::from_secs(4));
    fleet.relay.set(|r| r.sides.clear());
    fleet.until("one view after the heal", Fleet::one_view);
    let deaths: Vec<usize> = (0..7).map(|i| fleet.deaths(i)).collect();
    fleet.wait(Duration::from_secs(5));
    fleet.read();
    // Once healed, nobody is taken for dead again.
    assert_eq!(deaths, (0..7).map(|i| fleet.deaths(i)).collect::<Vec<_>>());
    assert!(fleet.one_view());
}

#[test]
fn a_pause_a_slow_member_and_loss_kill_nobody() {
    let mut fleet = Fleet::start(5, "slow");
    fleet.until("all see all", Fleet::one_view);
    fleet.signal(2, "STOP");
    std::thread::sleep(Duration::from_secs(3));
    fleet.signal(2, "CONT");
    fleet.relay.set(|r| r.slow[3] = Duration::from_millis(500));
    fleet.wait(Duration::from_secs(8));
    fleet.relay.set(|r| {
        r.slow[3] = Duration::ZERO;
        r.loss = 0.20;
    });
    fleet.wait(Duration::from_secs(10));
    assert_eq!(fleet.all_deaths(), 0, "healthy members were taken for dead");
    fleet.relay.set(|r| r.loss = 0.0);
    fleet.until("one view", Fleet::one_view);
}

#[test]
fn a_flood_of_garbage_harms_neither_the_view_nor_serving() {
    let mut fleet = Fleet::start(3, "garbage");
    fleet.until("all see all", Fleet::one_view);
    let flood = UdpSocket::bind("127.0.0.1:0").unwrap();
    let target = fleet.relay.real[1];
    for i in 0..20_000u32 {
        let mut bytes = i.to_le_bytes().repeat(1 + (i % 400) as usize);
        if i % 3 == 0 {
            bytes.splice(0..0, *b"hm\x01");
        }
        let _ = flood.send_to(&bytes, target);
    }
    fleet.until("the flood told in the log", |f| f.servers[1].dropped > 0);
    fleet.wait(Duration::from_secs(3));
    // Told once a period, not once a datagram.
    assert!(fleet.servers[1].dropped <= 6, "{} lines", fleet.servers[1].dropped);
    let rig = fleet.servers[1].rig.as_ref().unwrap();
    assert!(fleet.one_view());
    assert_eq!(fleet.all_deaths(), 0);
    // It still serves: a request is read and goes to the interpreter.
    let mut vm = rig.link();
    let mut client = rig.client();
    client.send(&heathspur_rig::scripted::request(1, None, b"abc"));
    assert_eq!(vm.apply().2, b"abc");
}
