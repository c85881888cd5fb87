//! Plans of experiments: the examples match the schema, errors contain their location, and runs repeat exactly.

use heathspur_emulator::experiment::{run, run_seed};
use heathspur_emulator::plan::{FaultKind, Plan, SCHEMA};
use heathspur_emulator::Run;
use std::path::{Path, PathBuf};

fn examples() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/experiments");
    let mut files: Vec<PathBuf> = folder
        .read_dir()
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    files.sort();
    files
}

fn matches_schema(text: &str) -> bool {
    let schema = uppsala::parse(SCHEMA).unwrap();
    let schema = uppsala::XsdValidator::from_schema(&schema).unwrap();
    uppsala::parse(text).is_ok_and(|document| schema.validate(&document).is_empty())
}

fn plan(attributes: &str, faults: &str) -> String {
    format!(
        "<experiment xmlns=\"urn:heathspur:experiment:1\" members=\"5\" {attributes}>\n{faults}</experiment>"
    )
}

#[test]
fn examples_parse_and_match_the_schema() {
    assert!(examples().len() >= 5);
    for file in examples() {
        let text = std::fs::read_to_string(&file).unwrap();
        let read = Plan::read(&file);
        assert!(read.is_ok(), "{}", read.unwrap_err());
        assert!(matches_schema(&text), "{}", file.display());
    }
}

#[test]
fn errors_contain_line_and_location() {
    let valid = "duration=\"9 s\"";
    for (attributes, faults, line, location) in [
        ("duration=\"9 s\" seeds=\"0\"", "", 1, "@seeds"),
        ("duration=\"9\"", "", 1, "@duration"),
        ("duration=\"9 s\" period=\"5 ms\"", "", 1, "@period"),
        (
            valid,
            "<fault at=\"1 s\" kind=\"crash\"/>",
            2,
            "fault: member is expected",
        ),
        (
            valid,
            "<fault at=\"1 s\" kind=\"crash\" member=\"5\"/>",
            2,
            "fault@member",
        ),
        (
            valid,
            "<fault at=\"1 s\" kind=\"loss\" share=\"1.5\"/>",
            2,
            "fault@share",
        ),
        (
            valid,
            "<fault at=\"1 s\" kind=\"heal\" span=\"1 s\"/>",
            2,
            "fault@span",
        ),
        (valid, "<fault at=\"12 s\" kind=\"heal\"/>", 2, "fault@at"),
        (
            valid,
            "<fault at=\"2 s\" kind=\"heal\"/>\n<fault at=\"1 s\" kind=\"heal\"/>",
            3,
            "fault@at",
        ),
        (valid, "<fault at=\"1 s\" kind=\"quake\"/>", 2, "fault"),
        (
            valid,
            "<fault at=\"1 s\" kind=\"heal\" colour=\"red\"/>",
            2,
            "fault",
        ),
    ] {
        let message = Plan::parse(&plan(attributes, faults), Path::new("x.xml"))
            .unwrap_err()
            .to_string();
        assert!(
            message.starts_with(&format!("x.xml:{line}:")) && message.contains(location),
            "{faults}: {message}"
        );
    }
}

/// Returns the example plan with an unreliable network.
fn rough_network_plan() -> Plan {
    let file = examples()
        .into_iter()
        .find(|file| file.ends_with("rough.xml"))
        .unwrap();
    Plan::read(&file).unwrap()
}

#[test]
fn runs_repeat_exactly_and_seeds_differ() {
    let plan = rough_network_plan();
    let first = run_seed(&plan, 3);
    assert_eq!(first, run_seed(&plan, 3));
    assert_ne!(first.samples, run_seed(&plan, 4).samples);
}

#[test]
fn rough_network_causes_no_false_deaths_and_views_converge() {
    let runs = run(&rough_network_plan());
    assert_eq!(runs.len(), 8);
    for Run {
        seed,
        outcomes,
        false_deaths,
        samples,
        ..
    } in &runs
    {
        assert_eq!(*false_deaths, 0, "seed {seed}");
        let kinds: Vec<FaultKind> = outcomes.iter().map(|outcome| outcome.kind).collect();
        assert_eq!(
            kinds,
            [
                FaultKind::Restart,
                FaultKind::Heal,
                FaultKind::Leave,
                FaultKind::Crash,
                FaultKind::Restart
            ]
        );
        let (join, crash, restart) = (&outcomes[0], &outcomes[3], &outcomes[4]);
        assert!(
            join.converged_ms < Some(20_000) && join.converged_ms.is_some(),
            "seed {seed}: {join:?}"
        );
        assert!(
            crash.all_detected_ms.is_some_and(|ms| ms < 35_000),
            "seed {seed}: {crash:?}"
        );
        assert!(
            crash.suspected_ms <= crash.first_detected_ms
                && crash.first_detected_ms <= crash.most_detected_ms
        );
        assert!(restart.converged_ms.is_some(), "seed {seed}: {restart:?}");
        assert_eq!(samples.len(), 120);
    }
}
