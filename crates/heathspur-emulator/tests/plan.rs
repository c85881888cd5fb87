//! Plans of experiments: the examples read and hold to the schema, what is wrong is named, plays repeat exactly.

use heathspur_emulator::experiment::{play, play_seed, Play};
use heathspur_emulator::plan::{Kind, Plan, SCHEMA};
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

fn holds_to_schema(text: &str) -> bool {
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
fn the_examples_read_and_hold_to_the_schema() {
    assert!(examples().len() >= 5);
    for file in examples() {
        let text = std::fs::read_to_string(&file).unwrap();
        let read = Plan::read(&file);
        assert!(read.is_ok(), "{}", read.unwrap_err());
        assert!(holds_to_schema(&text), "{}", file.display());
    }
}

#[test]
fn what_is_wrong_is_named_with_line_and_place() {
    let long = "duration=\"9 s\"";
    for (attributes, faults, line, place) in [
        ("duration=\"9 s\" seeds=\"0\"", "", 1, "@seeds"),
        ("duration=\"9\"", "", 1, "@duration"),
        ("duration=\"9 s\" period=\"5 ms\"", "", 1, "@period"),
        (
            long,
            "<fault at=\"1 s\" kind=\"crash\"/>",
            2,
            "fault: member is expected",
        ),
        (
            long,
            "<fault at=\"1 s\" kind=\"crash\" member=\"5\"/>",
            2,
            "fault@member",
        ),
        (
            long,
            "<fault at=\"1 s\" kind=\"loss\" share=\"1.5\"/>",
            2,
            "fault@share",
        ),
        (
            long,
            "<fault at=\"1 s\" kind=\"heal\" span=\"1 s\"/>",
            2,
            "fault@span",
        ),
        (long, "<fault at=\"12 s\" kind=\"heal\"/>", 2, "fault@at"),
        (
            long,
            "<fault at=\"2 s\" kind=\"heal\"/>\n<fault at=\"1 s\" kind=\"heal\"/>",
            3,
            "fault@at",
        ),
        (long, "<fault at=\"1 s\" kind=\"quake\"/>", 2, "fault"),
        (
            long,
            "<fault at=\"1 s\" kind=\"heal\" colour=\"red\"/>",
            2,
            "fault",
        ),
    ] {
        let said = Plan::parse(&plan(attributes, faults), Path::new("x.xml"))
            .unwrap_err()
            .to_string();
        assert!(
            said.starts_with(&format!("x.xml:{line}:")) && said.contains(place),
            "{faults}: {said}"
        );
    }
}

fn rough() -> Plan {
    let file = examples()
        .into_iter()
        .find(|f| f.ends_with("rough.xml"))
        .unwrap();
    Plan::read(&file).unwrap()
}

#[test]
fn a_play_repeats_exactly_and_seeds_differ() {
    let plan = rough();
    let first = play_seed(&plan, 3);
    assert_eq!(first, play_seed(&plan, 3));
    assert_ne!(first.samples, play_seed(&plan, 4).samples);
}

#[test]
fn a_rough_day_kills_nobody_who_lives_and_ends_in_one_view() {
    let plays = play(&rough());
    assert_eq!(plays.len(), 8);
    for Play {
        seed,
        courses,
        false_deaths,
        samples,
        ..
    } in &plays
    {
        assert_eq!(*false_deaths, 0, "seed {seed}");
        let kinds: Vec<Kind> = courses.iter().map(|c| c.kind).collect();
        assert_eq!(
            kinds,
            [
                Kind::Restart,
                Kind::Heal,
                Kind::Leave,
                Kind::Crash,
                Kind::Restart
            ]
        );
        let (join, crash, back) = (&courses[0], &courses[3], &courses[4]);
        assert!(
            join.settled_ms < Some(20_000) && join.settled_ms.is_some(),
            "seed {seed}: {join:?}"
        );
        assert!(
            crash.all_ms.is_some_and(|ms| ms < 35_000),
            "seed {seed}: {crash:?}"
        );
        assert!(crash.noticed_ms <= crash.first_ms && crash.first_ms <= crash.most_ms);
        assert!(back.settled_ms.is_some(), "seed {seed}: {back:?}");
        assert_eq!(samples.len(), 120);
    }
}
