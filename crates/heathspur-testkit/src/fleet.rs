//! Several servers behind a fault relay: started, killed, paused, restarted; what each logs of the others.

use crate::relay::Relay;
use crate::server_fixture::ServerFixture;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Generous: what never comes fails the test; figures belong to measurements.
pub const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(40);
/// Logs are read so often.
const POLL: Duration = Duration::from_millis(10);

/// A change that a server logged.
#[derive(Clone, Debug)]
pub struct StateChange {
    /// When it was read.
    pub at: Instant,
    /// Of which member, by its name.
    pub member: String,
    /// Into which state.
    pub state: String,
}

pub struct Member {
    /// `None` while it is down.
    pub fixture: Option<ServerFixture>,
    file: PathBuf,
    /// What this server holds of each other: state and incarnation, from its log.
    pub view: BTreeMap<String, (String, u64)>,
    /// Every change it logged, in order.
    pub changes: Vec<StateChange>,
    /// Lines that told of dropped datagrams.
    pub drop_log_lines: usize,
    /// What it said of failover, in order.
    pub failover_log: Vec<(Instant, String)>,
}

pub struct Fleet {
    pub relay: Relay,
    pub members: Vec<Member>,
}

impl Fleet {
    /// So many servers `m0`, `m1` and so on, in three zones by turns; all join through the first.
    pub fn start(count: usize) -> Fleet {
        Fleet::start_with_attributes(count, "")
    }

    /// The same, with more attributes of `members` in every operator's file.
    pub fn start_with_attributes(count: usize, attributes: &str) -> Fleet {
        Fleet::start_with_regions(count, attributes, |_| "r1", "")
    }

    /// The same, with the region of each, and more elements in every operator's file.
    pub fn start_with_regions(
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
                let (listen, advertise) = (relay.member_addresses[i], relay.relay_addresses[i]);
                let seed = format!("<seed address=\"{}\"/>", relay.relay_addresses[0]);
                let text = format!(
                    "<operator xmlns=\"urn:heathspur:operator:1\"><log lines-per-second=\"10000\"/>\
                     <members id=\"m{i}\" listen=\"{listen}\" advertise=\"{advertise}\" zone=\"z{}\" \
                     region=\"{}\" {attributes}>{}</members>{elements}</operator>",
                    i % 3,
                    region(i),
                    if i == 0 { "" } else { &seed },
                );
                std::fs::write(&file, text).unwrap();
                Member {
                    fixture: None,
                    file,
                    view: BTreeMap::new(),
                    changes: Vec::new(),
                    drop_log_lines: 0,
                    failover_log: Vec::new(),
                }
            })
            .collect();
        let mut fleet = Fleet {
            relay,
            members: servers,
        };
        for i in 0..count {
            fleet.start_member(i);
        }
        fleet
    }

    /// Starts a server, or starts it again.
    pub fn start_member(&mut self, i: usize) {
        let server = &mut self.members[i];
        // Room for the keys of some minutes: what is measured or tested here is not what a full table turns away.
        server.fixture = Some(ServerFixture::start_with_operator_file_and_config(
            &server.file,
            |c| {
                c["settings"]["family-info"]["mem-limit-kb"] = 150_000.0.into();
                c["settings"]["realms"][0]["quota-per-s"] = 1e6.into();
            },
        ));
        server.view.clear();
    }

    pub fn fixture(&self, i: usize) -> &ServerFixture {
        self.members[i].fixture.as_ref().expect("it runs")
    }

    pub fn signal(&self, i: usize, name: &str) {
        self.fixture(i).process.signal(name);
    }

    /// Kills it at once.
    pub fn kill(&mut self, i: usize) {
        self.signal(i, "KILL");
        let mut rig = self.members[i].fixture.take().unwrap();
        rig.process.wait();
    }

    /// Reads what every running server has logged since.
    pub fn read_logs(&mut self) {
        for server in &mut self.members {
            let Some(rig) = &mut server.fixture else {
                continue;
            };
            let early = std::mem::take(&mut rig.startup_lines);
            for line in early.into_iter().chain(rig.log_lines.try_iter()) {
                server.drop_log_lines += line.contains("datagrams or updates dropped") as usize;
                if let Some(said) = line.split("failover: ").nth(1) {
                    server.failover_log.push((Instant::now(), said.to_string()));
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
                server.changes.push(StateChange {
                    at: Instant::now(),
                    member,
                    state,
                });
            }
        }
    }

    /// Reads logs until `done` holds; says whether it did within the span.
    pub fn wait_until(&mut self, within: Duration, done: impl Fn(&Fleet) -> bool) -> bool {
        let start = Instant::now();
        loop {
            self.read_logs();
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
    pub fn assert_eventually(&mut self, what: &str, done: impl Fn(&Fleet) -> bool) {
        assert!(
            self.wait_until(CONVERGENCE_TIMEOUT, done),
            "not within {CONVERGENCE_TIMEOUT:?}: {what}"
        );
    }

    /// Lets time pass while logs are read.
    pub fn read_logs_for(&mut self, span: Duration) {
        self.wait_until(span, |_| false);
    }

    pub fn view_shows(&self, by: usize, of: usize, state: &str) -> bool {
        self.members[by]
            .view
            .get(&format!("m{of}"))
            .is_some_and(|(s, _)| s == state)
    }

    /// The servers that run.
    pub fn running_members(&self) -> Vec<usize> {
        (0..self.members.len())
            .filter(|&i| self.members[i].fixture.is_some())
            .collect()
    }

    /// Every running server holds every other running one alive.
    pub fn all_views_alive(&self) -> bool {
        let up = self.running_members();
        up.iter()
            .all(|&a| up.iter().all(|&b| a == b || self.view_shows(a, b, "alive")))
    }

    /// How many running servers hold this one dead.
    pub fn count_viewing_dead(&self, of: usize) -> usize {
        self.running_members()
            .into_iter()
            .filter(|&by| by != of && self.view_shows(by, of, "dead"))
            .count()
    }

    /// Times that a server logged this one's death.
    pub fn logged_deaths(&self, of: usize) -> usize {
        let id = format!("m{of}");
        let changes = self.members.iter().flat_map(|s| &s.changes);
        changes
            .filter(|c| c.member == id && c.state == "dead")
            .count()
    }

    pub fn total_logged_deaths(&self) -> usize {
        (0..self.members.len()).map(|i| self.logged_deaths(i)).sum()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for server in &self.members {
            let _ = std::fs::remove_file(&server.file);
        }
    }
}
