//! A process that starts cold: how much work it lets its interpreter have, and what it tells callers it turns away.

use heathspur_testkit::prelude::*;
use serde_json::json;
use std::collections::HashSet;
use std::thread;

const REQUESTS: u64 = 40;
/// What a server with these settings survives at a cold start and once warm: cores x (1 + (multiple - 1) x warmth).
const COLD: f64 = 4.0 * (1.0 + 4.0 * 0.2);
const WARM: f64 = 4.0 * (1.0 + 4.0);
/// The longest that a caller is told to stay away.
const AWAY: u64 = 1000;

/// A server whose interpreter comes up so, and to which all requests come at once. All of its runs wait at a call that
/// is never answered, so that their cores are free for others.
struct Crowd {
    _rig: ServerFixture,
    vm: MockInterpreter,
    clients: Vec<Http1Client>,
}

impl Crowd {
    fn come(state: &str) -> Crowd {
        let rig = ServerFixture::start_with_config(|config| {
            config["settings"]["family-info"]["cold"] = json!(state == "chilly");
            // It stays as cold as it starts while the test lasts.
            config["settings"]["guarantees"]["warm-up-s"] = json!(100.0);
            // Runs end when the server has them stopped, for their requests' time is up.
            config["settings"]["services"][1]["slo-s"] = json!(2.0);
            config["settings"]["services"][1]["give-up-s"] = json!(3.0);
        });
        let mut vm = rig.accept_link_before_banner();
        vm.send(json!({"verb": "BANNER", "outcome": state, "spent": 0}));
        assert_eq!(
            rig.registration_reports
                .recv_timeout(EVENT_TIMEOUT)
                .unwrap(),
            json!({"accepting": "true"})
        );
        let mut clients: Vec<Http1Client> = (0..REQUESTS).map(|_| rig.connect_client()).collect();
        for (client, txn) in clients.iter_mut().zip(1..) {
            client.send(&request(txn, Some(&format!("{txn:032x}")), b"abc"));
        }
        Crowd {
            _rig: rig,
            vm,
            clients,
        }
    }

    /// The most runs at once until all have their answers, and what was answered with how long to stay away.
    fn answered(mut self) -> (usize, Vec<(u16, Option<u64>)>) {
        let clients = std::mem::take(&mut self.clients);
        let answers = thread::spawn(move || {
            let answer = |mut client: Http1Client| {
                let (status, fields, _) = client.read_response();
                (
                    status,
                    fields.get("x-throttle-ms").map(|ms| ms.parse().unwrap()),
                )
            };
            clients.into_iter().map(answer).collect::<Vec<_>>()
        });
        let (mut runs, mut most) = (HashSet::new(), 0);
        while !answers.is_finished() {
            let command = self.vm.read_any_command();
            let task = command["task"].as_str().unwrap_or_default().to_string();
            match command["verb"].as_str() {
                Some("APPLY") => {
                    self.vm.send_await(&task, b"ask");
                    runs.insert(task);
                }
                Some("BREAK") => {
                    runs.remove(&task);
                    self.vm.send_value(&task, "cancelled", b"");
                }
                _ => {
                    let nonce = &command["nonce"];
                    self.vm
                        .send(json!({"verb": "TOPS", "nonce": nonce, "readings": [1.0, runs.len(), 0.1, 2]}));
                }
            }
            most = most.max(runs.len());
        }
        (most, answers.join().unwrap())
    }
}

#[test]
fn a_cold_process_starts_less_than_makes_it_fall_and_tells_the_others_to_stay_away() {
    let (most, answers) = Crowd::come("chilly").answered();
    assert!(
        (1..=COLD as usize).contains(&most),
        "{most} runs at once, {COLD} survived"
    );
    let refused: Vec<_> = answers
        .iter()
        .filter(|(status, _)| *status == 503 || *status == 429)
        .collect();
    assert!(refused.len() >= REQUESTS as usize / 2, "{answers:?}");
    assert!(
        refused
            .iter()
            .all(|(_, away)| away.is_some_and(|ms| (1..=AWAY).contains(&ms))),
        "{answers:?}"
    );
}

#[test]
fn a_process_that_starts_hot_starts_more() {
    let (most, _) = Crowd::come("hot").answered();
    assert!(
        (COLD as usize + 1..=WARM as usize).contains(&most),
        "{most} runs at once, {WARM} survived"
    );
}
