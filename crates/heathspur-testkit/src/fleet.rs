//! Several servers behind a fault relay: started, killed, paused, restarted; what each logs of the others.

use crate::relay::Relay;
use crate::server_fixture::ServerFixture;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Generous: what never comes fails the test; figures belong to measurements.
pub const BOUND: Duration = Duration::from_secs(40);
/// Logs are read so often.
const POLL: Duration = Duration::from_millis(10);

/// A change that a server logged.
#[derive(Clone, Debug)]
pub struct Change {
    /// When it was read.
    pub at: Instant,
    /// Of which member, by its name.
    pub member: String,
    /// Into which state.
    pub state: String,
}

pub struct Server {
    /// `None` while it is down.
    pub rig: Option<ServerFixture>,
    file: PathBuf,
    /// What this server holds of each other: state and incarnation, from its log.
    pub view: BTreeMap<String, (String, u64)>,
    /// Every change it logged, in order.
    pub changes: Vec<Change>,
    /// Lines that told of dropped datagrams.
    pub dropped: usize,
    /// What it said of failover, in order.
    pub failover: Vec<(Instant, String)>,
}

pub struct Fleet {
    pub relay: Relay,
    pub servers: Vec<Server>,
}

impl Fleet {
    /// So many servers `m0`, `m1` and so on, in three zones by turns; all join through the first.
    pub fn start(count: usize) -> Fleet {
        Fleet::with(count, "")
    }

    /// The same, with more attributes of `members` in every operator's file.
    pub fn with(count: usize, attributes: &str) -> Fleet {
        Fleet::of(count, attributes, |_| "r1", "")
    }

    /// The same, with the region of each, and more elements in every operator's file.
    pub fn of(
        count: usize,
        attributes: &str,
        region: impl Fn(usize) -> &'static str,
        elements: &str,
    ) -> Fleet {
        static FLEETS: AtomicU32 = AtomicU32::new(0);
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let relay = Relay::start(count);
        let servers = (0..count)
            .map(|i| {
                let name = format!("heathspur-fleet-{}-{number}-{i}.xml", std::process::id());
                let file = std::env::temp_dir().join(name);
                let (listen, advertise) = (relay.real[i], relay.ports[i]);
                let seed = format!("<seed address=\"{}\"/>", relay.ports[0]);
                let text = format!(
                    "<operator xmlns=\"urn:heathspur:operator:1\"><log lines-per-second=\"10000\"/>\
                     <members id=\"m{i}\" listen=\"{listen}\" advertise=\"{advertise}\" zone=\"z{}\" \
                     region=\"{}\" {attributes}>{}</members>{elements}</operator>",
                    i % 3,
                    region(i),
                    if i == 0 { "" } else { &seed },
                );
                std::fs::write(&file, text).unwrap();
                Server {
                    rig: None,
                    file,
                    view: BTreeMap::new(),
                    changes: Vec::new(),
                    dropped: 0,
                    failover: Vec::new(),
                }
            })
            .collect();
        let mut fleet = Fleet { relay, servers };
        for i in 0..count {
            fleet.run(i);
        }
        fleet
    }

    /// Starts a server, or starts it again.
    pub fn run(&mut self, i: usize) {
        let server = &mut self.servers[i];
        // Room for the keys of some minutes: what is measured or tested here is not what a full table turns away.
        server.rig = Some(ServerFixture::start_with_operator_file_and_config(
            &server.file,
            |c| {
                c["settings"]["family-info"]["mem-limit-kb"] = 150_000.0.into();
                c["settings"]["realms"][0]["quota-per-s"] = 1e6.into();
            },
        ));
        server.view.clear();
    }

    pub fn rig(&self, i: usize) -> &ServerFixture {
        self.servers[i].rig.as_ref().expect("it runs")
    }

    pub fn signal(&self, i: usize, name: &str) {
        self.rig(i).process.signal(name);
    }

    /// Kills it at once.
    pub fn kill(&mut self, i: usize) {
        self.signal(i, "KILL");
        let mut rig = self.servers[i].rig.take().unwrap();
        rig.process.wait();
    }

    /// Reads what every running server has logged since.
    pub fn read(&mut self) {
        for server in &mut self.servers {
            let Some(rig) = &mut server.rig else { continue };
            let early = std::mem::take(&mut rig.startup_lines);
            for line in early.into_iter().chain(rig.log_lines.try_iter()) {
                server.dropped += line.contains("datagrams or updates dropped") as usize;
                if let Some(said) = line.split("failover: ").nth(1) {
                    server.failover.push((Instant::now(), said.to_string()));
                }
                // "members: m1 is alive at incarnation 17, joined"
                let Some(said) = line.split("members: ").nth(1) else {
                    continue;
                };
                let words: Vec<&str> = said.split([' ', ',']).collect();
                let [member, "is", state, "at", "incarnation", incarnation, ..] = words[..] else {
                    continue;
                };
                let (member, state) = (member.to_string(), state.to_string());
                server.view.insert(
                    member.clone(),
                    (state.clone(), incarnation.parse().unwrap_or(0)),
                );
                server.changes.push(Change {
                    at: Instant::now(),
                    member,
                    state,
                });
            }
        }
    }

    /// Reads logs until `done` holds; says whether it did within the span.
    pub fn comes(&mut self, within: Duration, done: impl Fn(&Fleet) -> bool) -> bool {
        let start = Instant::now();
        loop {
            self.read();
            if done(self) {
                return true;
            }
            if start.elapsed() >= within {
                return false;
            }
            std::thread::sleep(POLL);
        }
    }

    /// Waits until `done` holds; fails the test past [`BOUND`].
    pub fn until(&mut self, what: &str, done: impl Fn(&Fleet) -> bool) {
        assert!(self.comes(BOUND, done), "not within {BOUND:?}: {what}");
    }

    /// Lets time pass while logs are read.
    pub fn wait(&mut self, span: Duration) {
        self.comes(span, |_| false);
    }

    pub fn holds(&self, by: usize, of: usize, state: &str) -> bool {
        self.servers[by]
            .view
            .get(&format!("m{of}"))
            .is_some_and(|(s, _)| s == state)
    }

    /// The servers that run.
    pub fn up(&self) -> Vec<usize> {
        (0..self.servers.len())
            .filter(|&i| self.servers[i].rig.is_some())
            .collect()
    }

    /// Every running server holds every other running one alive.
    pub fn one_view(&self) -> bool {
        let up = self.up();
        up.iter()
            .all(|&a| up.iter().all(|&b| a == b || self.holds(a, b, "alive")))
    }

    /// How many running servers hold this one dead.
    pub fn know_dead(&self, of: usize) -> usize {
        self.up()
            .into_iter()
            .filter(|&by| by != of && self.holds(by, of, "dead"))
            .count()
    }

    /// Times that a server logged this one's death.
    pub fn deaths(&self, of: usize) -> usize {
        let id = format!("m{of}");
        let changes = self.servers.iter().flat_map(|s| &s.changes);
        changes
            .filter(|c| c.member == id && c.state == "dead")
            .count()
    }

    pub fn all_deaths(&self) -> usize {
        (0..self.servers.len()).map(|i| self.deaths(i)).sum()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for server in &self.servers {
            let _ = std::fs::remove_file(&server.file);
        }
    }
}
