//! Several servers that are members of one another through a fault relay: started, killed, paused and restarted,
//! with the membership changes that each of them logs.

use crate::relay::Relay;
use crate::server_fixture::ServerFixture;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Timeout of [`Fleet::assert_eventually`]. It is long because it only ends tests whose event never happens; how fast
/// an event happens is checked by measurements.
pub const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(40);
/// Interval between reads of the logs.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A membership change that a server logged.
#[derive(Clone, Debug)]
pub struct StateChange {
    /// When its log line was read.
    pub at: Instant,
    /// The name of the member that changed.
    pub member: String,
    /// The state that the member changed to.
    pub state: String,
}

/// A server of the fleet, running or not.
pub struct Member {
    /// The running server; `None` while it is down.
    pub fixture: Option<ServerFixture>,
    operator_file: PathBuf,
    /// The state and incarnation of each other member in this server's view, from its log.
    pub view: BTreeMap<String, (String, u64)>,
    /// All membership changes that the server logged, in order.
    pub changes: Vec<StateChange>,
    /// The number of log lines about dropped datagrams or updates.
    pub drop_log_lines: usize,
    /// Texts of the log lines about failover, in order, with the time when they were read.
    pub failover_log: Vec<(Instant, String)>,
}

/// Servers `m0`, `m1` and so on in zones `z0` to `z2`, with the relay that carries their datagrams.
pub struct Fleet {
    /// The relay between the members.
    pub relay: Relay,
    /// The servers by index.
    pub members: Vec<Member>,
}

impl Fleet {
    /// Starts `count` servers. Server `i` is in zone `i % 3`; all join through the first.
    pub fn start(count: usize) -> Fleet {
        Fleet::start_with_attributes(count, "")
    }

    /// Starts `count` servers with more attributes of `members` in every operator's file.
    pub fn start_with_attributes(count: usize, attributes: &str) -> Fleet {
        Fleet::start_with_regions(count, attributes, |_| "r1", "")
    }

    /// Starts `count` servers with more attributes of `members`, the region of each server, and more elements in
    /// every operator's file.
    ///
    /// # Panics
    ///
    /// Panics if an operator's file cannot be written or a server does not start.
    pub fn start_with_regions(
        count: usize,
        attributes: &str,
        region: impl Fn(usize) -> &'static str,
        elements: &str,
    ) -> Fleet {
        static FLEETS: AtomicU32 = AtomicU32::new(0);
        let fleet_number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let relay = Relay::start(count);
        let members = (0..count)
            .map(|i| {
                let name = format!("heathspur-fleet-{}-{fleet_number}-{i}.xml", std::process::id());
                let operator_file = std::env::temp_dir().join(name);
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
                std::fs::write(&operator_file, text).unwrap_or_else(|e| {
                    panic!("write the operator's file {}: {e}", operator_file.display())
                });
                Member {
                    fixture: None,
                    operator_file,
                    view: BTreeMap::new(),
                    changes: Vec::new(),
                    drop_log_lines: 0,
                    failover_log: Vec::new(),
                }
            })
            .collect();
        let mut fleet = Fleet { relay, members };
        for i in 0..count {
            fleet.start_member(i);
        }
        fleet
    }

    /// Starts server `i`, or starts it again, with an empty view.
    ///
    /// # Panics
    ///
    /// Panics if the server does not start.
    pub fn start_member(&mut self, i: usize) {
        let member = &mut self.members[i];
        // The limits hold the idempotency keys of several minutes, so that no request is rejected for a full table.
        member.fixture = Some(ServerFixture::start_with_operator_file_and_config(
            &member.operator_file,
            |c| {
                c["settings"]["family-info"]["mem-limit-kb"] = 150_000.0.into();
                c["settings"]["realms"][0]["quota-per-s"] = 1e6.into();
            },
        ));
        member.view.clear();
    }

    /// Returns the fixture of server `i`.
    ///
    /// # Panics
    ///
    /// Panics if the server is down.
    pub fn fixture(&self, i: usize) -> &ServerFixture {
        self.members[i]
            .fixture
            .as_ref()
            .unwrap_or_else(|| panic!("server m{i} is down"))
    }

    /// Sends server `i` the signal of this name, without `SIG`.
    ///
    /// # Panics
    ///
    /// Panics if the server is down.
    pub fn signal(&self, i: usize, name: &str) {
        self.fixture(i).process.signal(name);
    }

    /// Kills server `i` with `SIGKILL` and waits until it has exited.
    ///
    /// # Panics
    ///
    /// Panics if the server is down.
    pub fn kill(&mut self, i: usize) {
        self.signal(i, "KILL");
        let mut fixture = self.members[i]
            .fixture
            .take()
            .expect("a server that was signalled has a fixture");
        fixture.process.wait();
    }

    /// Reads what every running server has logged since the last call.
    pub fn read_logs(&mut self) {
        for member in &mut self.members {
            let Some(fixture) = &mut member.fixture else {
                continue;
            };
            let startup_lines = std::mem::take(&mut fixture.startup_lines);
            for line in startup_lines
                .into_iter()
                .chain(fixture.log_lines.try_iter())
            {
                member.drop_log_lines += line.contains("datagrams or updates dropped") as usize;
                if let Some(text) = line.split("failover: ").nth(1) {
                    member.failover_log.push((Instant::now(), text.to_string()));
                }
                // For example "members: m1 is alive at incarnation 17, joined".
                let Some(text) = line.split("members: ").nth(1) else {
                    continue;
                };
                let words: Vec<&str> = text.split([' ', ',']).collect();
                let [subject, "is", state, "at", "incarnation", incarnation, ..] = words[..] else {
                    continue;
                };
                let (subject, state) = (subject.to_string(), state.to_string());
                member.view.insert(
                    subject.clone(),
                    (state.clone(), incarnation.parse().unwrap_or(0)),
                );
                member.changes.push(StateChange {
                    at: Instant::now(),
                    member: subject,
                    state,
                });
            }
        }
    }

    /// Reads logs until `condition` is true or the timeout expires, and returns whether it became true.
    pub fn wait_until(&mut self, timeout: Duration, condition: impl Fn(&Fleet) -> bool) -> bool {
        let start = Instant::now();
        loop {
            self.read_logs();
            if condition(self) {
                return true;
            }
            if start.elapsed() >= timeout {
                return false;
            }
            std::thread::sleep(LOG_POLL_INTERVAL);
        }
    }

    /// Reads logs until `condition`, which `description` describes, is true.
    ///
    /// # Panics
    ///
    /// Panics if it does not become true within [`CONVERGENCE_TIMEOUT`].
    pub fn assert_eventually(&mut self, description: &str, condition: impl Fn(&Fleet) -> bool) {
        assert!(
            self.wait_until(CONVERGENCE_TIMEOUT, condition),
            "not within {CONVERGENCE_TIMEOUT:?}: {description}"
        );
    }

    /// Reads logs for a duration.
    pub fn read_logs_for(&mut self, duration: Duration) {
        self.wait_until(duration, |_| false);
    }

    /// Returns whether server `observer` has server `subject` in this state in its view.
    pub fn view_shows(&self, observer: usize, subject: usize, state: &str) -> bool {
        self.members[observer]
            .view
            .get(&format!("m{subject}"))
            .is_some_and(|(s, _)| s == state)
    }

    /// Returns the indices of the servers that are not down.
    pub fn running_members(&self) -> Vec<usize> {
        (0..self.members.len())
            .filter(|&i| self.members[i].fixture.is_some())
            .collect()
    }

    /// Returns whether every running server has every other running server alive in its view.
    pub fn all_views_alive(&self) -> bool {
        let running = self.running_members();
        running.iter().all(|&a| {
            running
                .iter()
                .all(|&b| a == b || self.view_shows(a, b, "alive"))
        })
    }

    /// Returns how many other running servers have server `subject` dead in their view.
    pub fn count_viewing_dead(&self, subject: usize) -> usize {
        self.running_members()
            .into_iter()
            .filter(|&observer| observer != subject && self.view_shows(observer, subject, "dead"))
            .count()
    }

    /// Returns how often any server logged that server `subject` is dead.
    pub fn logged_deaths(&self, subject: usize) -> usize {
        let name = format!("m{subject}");
        let changes = self.members.iter().flat_map(|m| &m.changes);
        changes
            .filter(|c| c.member == name && c.state == "dead")
            .count()
    }

    /// Returns how often any server logged that a server is dead.
    pub fn total_logged_deaths(&self) -> usize {
        (0..self.members.len()).map(|i| self.logged_deaths(i)).sum()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for member in &self.members {
            let _ = std::fs::remove_file(&member.operator_file);
        }
    }
}
