//! Tests of the `experiment` command as a process: its table, report, charts, schema and plan errors.

use serde_json::Value;
use std::path::PathBuf;
use std::process::{Command, Output};

/// Runs a plan. Returns the output and the folder of the report.
fn run_experiment(plan: &str, name: &str) -> (Output, PathBuf) {
    let folder = std::env::temp_dir().join(format!(
        "heathspurctl-experiment-{}-{name}",
        std::process::id()
    ));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("plan.xml");
    std::fs::write(&file, plan).unwrap();
    let program = env!("CARGO_BIN_EXE_heathspurctl");
    let output = Command::new(program)
        .arg("experiment")
        .arg(&file)
        .arg("--report")
        .arg(&folder)
        .output()
        .unwrap();
    (output, folder)
}

#[test]
fn plan_is_executed_and_reported() {
    let plan = "<experiment xmlns=\"urn:heathspur:experiment:1\" members=\"20\" seeds=\"4\" duration=\"60 s\">\
                <fault at=\"5 s\" kind=\"crash\" member=\"7\"/><fault at=\"50 s\" kind=\"restart\" member=\"7\"/>\
                </experiment>";
    let (output, folder) = run_experiment(plan, "valid");
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(
        stdout.contains("crash at 5.0 s") && stdout.contains("false deaths: 0 in"),
        "{stdout}"
    );
    let report: Value =
        serde_json::from_str(&std::fs::read_to_string(folder.join("report.json")).unwrap())
            .unwrap();
    assert_eq!(report["plays"].as_array().unwrap().len(), 4);
    let all_ms = report["courses"][0]["all_ms"]["p99"].as_u64().unwrap();
    assert!((2_000..45_000).contains(&all_ms), "{all_ms}");
    assert!(
        report["courses"][1]["settled_ms"]["p99"].is_u64(),
        "{report}"
    );
    for chart in ["views.svg", "traffic.svg"] {
        assert!(std::fs::read_to_string(folder.join(chart))
            .unwrap()
            .contains("<svg"));
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn invalid_plan_is_rejected_with_location_and_schema_is_printed() {
    let (output, folder) = run_experiment(
        "<experiment xmlns=\"urn:heathspur:experiment:1\" members=\"1\"/>",
        "invalid",
    );
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        output.status.code() == Some(2) && stderr.contains("plan.xml:1: experiment"),
        "{stderr}"
    );
    std::fs::remove_dir_all(&folder).unwrap();
    let schema = Command::new(env!("CARGO_BIN_EXE_heathspurctl"))
        .args(["experiment", "--schema"])
        .output()
        .unwrap();
    assert!(String::from_utf8_lossy(&schema.stdout).contains("urn:heathspur:experiment:1"));
}
