//! Tests of the `load` command as a process: both protocols, lost requests and invalid plans.

use heathspur_testkit::auto_stubs;
use heathspur_testkit::prelude::{ProcessGuard, ServerFixture};
use heathspur_testkit::recording_server::{RecordingServer, ResponseOptions};
use serde_json::Value;
use std::path::PathBuf;
use std::process::{Command, Output};

fn temporary_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("heathspurctl-load-{}-{name}", std::process::id()))
}

/// Runs a plan with two stages, and returns the output and the report; the latter is null if none was written.
fn run_load(name: &str, targets: &str, classes: &str) -> (Output, Value) {
    let (plan, report) = (temporary_path(&format!("{name}.xml")), temporary_path(name));
    let text = format!(
        "<load xmlns=\"urn:heathspur:load:1\" patience=\"10 s\">{targets}\n\
         <stage duration=\"500 ms\" rate=\"100\" arrivals=\"regular\"/><stage duration=\"1 s\" rate=\"200\"/>{classes}</load>"
    );
    std::fs::write(&plan, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_heathspurctl"))
        .arg("load")
        .arg(&plan)
        .arg("--report")
        .arg(&report)
        .output()
        .unwrap();
    let text = std::fs::read_to_string(report.join("report.json"));
    let value = text.map_or(Value::Null, |text| serde_json::from_str(&text).unwrap());
    for chart in ["rates.svg", "latency.svg"] {
        assert_eq!(report.join(chart).is_file(), value.is_object(), "{chart}");
    }
    let _ = std::fs::remove_dir_all(&report);
    let _ = std::fs::remove_file(&plan);
    (output, value)
}

#[test]
fn requests_over_both_protocols_are_all_answered_and_counted() {
    let operator = temporary_path("operator.xml");
    let text =
        "<operator xmlns=\"urn:heathspur:operator:1\"><http2 listen=\"127.0.0.1:0\"/></operator>";
    std::fs::write(&operator, text).unwrap();
    let fixture = ServerFixture::start_with_operator_file_and_config(&operator, |c| {
        c["settings"]["realms"][0]["quota-per-s"] = 1e6.into();
        c["settings"]["family-info"]["calls-by-class"] = serde_json::json!([false, false]);
    });
    let (http1, http2) = (fixture.address, fixture.wait_for_listen_address());
    let run_counts = auto_stubs::interpreter(fixture.interpreter_listener.try_clone().unwrap());
    let targets = format!(
        "<target protocol=\"http1\" address=\"{http1}\"/><target protocol=\"http2\" address=\"{http2}\" connections=\"2\"/>"
    );
    let classes = "<class name=\"look\" tenant=\"north\"/>\
                   <class name=\"pay\" tenant=\"north\" keyed=\"true\" repeats=\"0.5\" repeat-after=\"50 ms\" body=\"32 B\"/>";
    let (output, report) = run_load("both", &targets, classes);
    let text = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert_eq!(
        (&report["unanswered"], &report["differ"]),
        (&0.into(), &0.into()),
        "{text}"
    );
    let parts = report["parts"].as_array().unwrap();
    assert_eq!(parts.len(), 4, "{text}");
    for part in parts {
        let answered: u64 = part["statuses"]
            .as_object()
            .unwrap()
            .values()
            .map(|n| n.as_u64().unwrap())
            .sum();
        assert_eq!(part["due"].as_u64(), Some(answered), "{text}");
        assert!(part["statuses"]["200"].as_u64().unwrap() > 0, "{text}");
    }
    assert!(
        run_counts.lock().unwrap().values().all(|&count| count == 1),
        "a key ran more than once"
    );
    let _ = std::fs::remove_file(&operator);
    let _: &ProcessGuard = &fixture.process;
}

#[test]
fn unanswered_requests_set_exit_code() {
    let server = RecordingServer::start(ResponseOptions {
        disconnect_after: 3,
        ..ResponseOptions::default()
    });
    let target = format!(
        "<target protocol=\"http1\" address=\"{}\"/>",
        server.address
    );
    let (output, report) = run_load("broken", &target, "<class name=\"look\"/>");
    assert_eq!(output.status.code(), Some(1));
    assert!(report["unanswered"].as_u64().unwrap() > 10, "{report}");
}

#[test]
fn invalid_plan_is_rejected_with_location() {
    let (output, report) = run_load(
        "invalid",
        "<target protocol=\"http1\" address=\"127.0.0.1:1\"/>",
        "<class/>",
    );
    assert_eq!((output.status.code(), report), (Some(2), Value::Null));
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        stderr.contains(".xml:2: class: missing field `name`"),
        "{stderr}"
    );
}
