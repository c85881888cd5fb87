//! Tests of a server that starts cold: how many runs it starts at its interpreter, and the throttle hint that it sends
//! with rejections.

use heathspur_testkit::prelude::*;
use serde_json::json;
use std::collections::HashSet;
use std::thread;

const REQUESTS: u64 = 40;
/// Concurrent runs above which a server with these settings fails at a cold start:
/// `n-cores` x (1 + (`fall-multiple` - 1) x `start-capacity`).
const COLD_RUN_LIMIT: f64 = 4.0 * (1.0 + 4.0 * 0.2);
/// Concurrent runs above which the same server fails once it is warm: `n-cores` x `fall-multiple`.
const WARM_RUN_LIMIT: f64 = 4.0 * (1.0 + 4.0);
/// Longest delay, in milliseconds, that a rejection asks of a client.
const MAX_THROTTLE_MS: u64 = 1000;

/// A server that receives all requests at once. Each run waits for a call that is never answered, so that its core is
/// free for other runs.
struct Burst {
    _server: ServerFixture,
    interpreter: MockInterpreter,
    clients: Vec<Http1Client>,
}

impl Burst {
    /// Starts the server with this outcome in its interpreter's `BANNER` and sends all requests.
    fn send(banner_outcome: &str) -> Burst {
        let server = ServerFixture::start_with_config(|config| {
            config["settings"]["family-info"]["cold"] = json!(banner_outcome == "chilly");
            // The server stays as cold as at its start for the duration of the test.
            config["settings"]["guarantees"]["warm-up-s"] = json!(100.0);
            // Runs end when the server cancels them because the deadlines of their requests have passed.
            config["settings"]["services"][1]["slo-s"] = json!(2.0);
            config["settings"]["services"][1]["give-up-s"] = json!(3.0);
        });
        let mut interpreter = server.accept_link_before_banner();
        interpreter.send(json!({"verb": "BANNER", "outcome": banner_outcome, "spent": 0}));
        assert_eq!(
            server
                .registration_reports
                .recv_timeout(EVENT_TIMEOUT)
                .unwrap(),
            json!({"accepting": "true"})
        );
        let mut clients: Vec<Http1Client> =
            (0..REQUESTS).map(|_| server.connect_client()).collect();
        for (client, txn) in clients.iter_mut().zip(1..) {
            client.send(&request(txn, Some(&format!("{txn:032x}")), b"abc"));
        }
        Burst {
            _server: server,
            interpreter,
            clients,
        }
    }

    /// Returns the highest number of concurrent runs until all requests are answered, and for each response its status
    /// and its throttle hint in milliseconds.
    fn into_peak_and_responses(mut self) -> (usize, Vec<(u16, Option<u64>)>) {
        let clients = std::mem::take(&mut self.clients);
        let reader = thread::spawn(move || {
            let read = |mut client: Http1Client| {
                let (status, fields, _) = client.read_response();
                (
                    status,
                    fields.get("x-throttle-ms").map(|ms| ms.parse().unwrap()),
                )
            };
            clients.into_iter().map(read).collect::<Vec<_>>()
        });
        let (mut runs, mut peak) = (HashSet::new(), 0);
        while !reader.is_finished() {
            let command = self.interpreter.read_any_command();
            let task_id = command["task"].as_str().unwrap_or_default().to_string();
            match command["verb"].as_str() {
                Some("APPLY") => {
                    self.interpreter.send_await(&task_id, b"ask");
                    runs.insert(task_id);
                }
                Some("BREAK") => {
                    runs.remove(&task_id);
                    self.interpreter.send_value(&task_id, "cancelled", b"");
                }
                _ => {
                    let nonce = &command["nonce"];
                    self.interpreter
                        .send(json!({"verb": "TOPS", "nonce": nonce, "readings": [1.0, runs.len(), 0.1, 2]}));
                }
            }
            peak = peak.max(runs.len());
        }
        (peak, reader.join().unwrap())
    }
}

#[test]
fn cold_server_limits_concurrent_runs_and_throttles_rejected_clients() {
    let (peak, responses) = Burst::send("chilly").into_peak_and_responses();
    assert!(
        (1..=COLD_RUN_LIMIT as usize).contains(&peak),
        "{peak} concurrent runs, expected 1 to {COLD_RUN_LIMIT}"
    );
    let rejected: Vec<_> = responses
        .iter()
        .filter(|(status, _)| *status == 503 || *status == 429)
        .collect();
    assert!(
        rejected.len() >= REQUESTS as usize / 2,
        "fewer than half of the requests were rejected: {responses:?}"
    );
    assert!(
        rejected
            .iter()
            .all(|(_, throttle_ms)| throttle_ms
                .is_some_and(|ms| (1..=MAX_THROTTLE_MS).contains(&ms))),
        "a rejection has no throttle hint of 1 to {MAX_THROTTLE_MS} ms: {responses:?}"
    );
}

#[test]
fn hot_server_starts_more_concurrent_runs_than_cold_server() {
    let (peak, _) = Burst::send("hot").into_peak_and_responses();
    assert!(
        (COLD_RUN_LIMIT as usize + 1..=WARM_RUN_LIMIT as usize).contains(&peak),
        "{peak} concurrent runs, expected more than {COLD_RUN_LIMIT} and at most {WARM_RUN_LIMIT}"
    );
}
