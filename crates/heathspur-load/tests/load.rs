//! Plans against reader and schema, schedules by their statistics, the audit by what it was told.

use heathspur_load::audit::{Audit, End};
use heathspur_load::plan::{Plan, SCHEMA};
use heathspur_load::schedule::{Schedule, Send};
use std::collections::{HashMap, HashSet};
use std::path::Path;

fn schema_takes(text: &str) -> bool {
    let schema = uppsala::parse(SCHEMA).expect("the schema is XML");
    let schema = uppsala::XsdValidator::from_schema(&schema).expect("the schema is one");
    uppsala::parse(text).is_ok_and(|document| schema.validate(&document).is_empty())
}

fn read(text: &str) -> Result<Plan, String> {
    Plan::parse(text, Path::new("l.xml")).map_err(|fault| fault.to_string())
}

fn file(attributes: &str, inner: &str) -> String {
    format!("<load xmlns=\"urn:heathspur:load:1\" {attributes}>\n{inner}\n</load>\n")
}

const TARGET: &str = "<target protocol=\"http1\" address=\"127.0.0.1:80\"/>";
const STAGE: &str = "<stage duration=\"1 s\" rate=\"10\"/>";
const CLASS: &str = "<class name=\"look\"/>";

#[test]
fn reader_and_schema_take_the_same_plans_and_mistakes_name_their_place() {
    let all = [TARGET, STAGE, CLASS].concat();
    for (attributes, inner) in [
        ("", all.clone()),
        ("seed=\"9\" patience=\"10 ms\" open=\"1\"", all.clone()),
        ("", format!("<target protocol=\"http2\" address=\"[::1]:8443\" connections=\"10000\" part=\"3\"/>{all}").replace("><target", ">\n<target")),
        ("", format!("{TARGET}<stage duration=\"1h\" rate=\"0.5\" arrivals=\"bursts\"/><stage duration=\"0 s\" rate=\"100000\" arrivals=\"regular\"/>{CLASS}")),
        ("", format!("{TARGET}{STAGE}<class name=\"a-b_c.9\" part=\"7\" keyed=\"true\" repeats=\"0.25\" repeat-after=\"1 min\" body=\"64 KiB\" tenant=\"n\"/>")),
    ] {
        let text = file(attributes, &inner);
        assert!(read(&text).is_ok(), "{text}: {:?}", read(&text));
        assert!(schema_takes(&text), "{text}");
    }
    for (attributes, inner, words) in [
        (
            "",
            [TARGET, STAGE].concat(),
            "l.xml:1: load: 1 to 100 elements `class`",
        ),
        (
            "speed=\"2\"",
            all.clone(),
            "l.xml:1: load@speed: unknown element or attribute `speed`",
        ),
        ("open=\"0\"", all.clone(), "l.xml:1: load@open: 1 to 100000"),
        (
            "",
            all.replace("http1", "http3"),
            "l.xml:2: target@protocol: unknown variant `http3`",
        ),
        (
            "",
            all.replace("127.0.0.1:80", "here"),
            "l.xml:2: target@address",
        ),
        (
            "",
            all.replace("rate=\"10\"", "rate=\"0\""),
            "l.xml:2: stage@rate: above 0",
        ),
        (
            "",
            all.replace("1 s", "soon"),
            "l.xml:2: stage@duration: `soon` where a time",
        ),
        (
            "",
            all.replace("look\"", "look\" repeats=\"1.5\""),
            "l.xml:2: class@repeats: 0 to 1",
        ),
        (
            "",
            all.replace("look", "a b"),
            "l.xml:2: class@name: letters",
        ),
        (
            "",
            all.replace("look\"", "look\" part=\"0\""),
            "l.xml:2: class@part: 1 to 1000",
        ),
        (
            "",
            format!("{TARGET}{STAGE}{CLASS}\n<think/>"),
            "l.xml:3: think: unknown element",
        ),
    ] {
        let text = file(attributes, &inner);
        let said = read(&text).expect_err(&text);
        assert!(
            said.contains(words),
            "{text}\n  says   {said}\n  wanted {words}"
        );
        assert!(!schema_takes(&text), "{text}");
    }
    assert!(read("<operator xmlns=\"urn:heathspur:load:1\"/>")
        .unwrap_err()
        .contains("one element `load`"));
}

fn plan(stages: &str, classes: &str) -> Plan {
    let targets = "<target protocol=\"http1\" address=\"127.0.0.1:80\" part=\"1\"/>\n<target protocol=\"http2\" address=\"127.0.0.1:81\" part=\"3\"/>";
    read(&file("seed=\"4\"", &[targets, stages, classes].concat())).unwrap()
}

#[test]
fn sends_come_in_order_at_the_rate_and_by_the_parts_that_are_asked_for() {
    for arrivals in ["regular", "poisson", "bursts"] {
        let stages = format!("<stage duration=\"100 s\" rate=\"200\" arrivals=\"{arrivals}\"/><stage duration=\"10 s\" rate=\"2000\" arrivals=\"{arrivals}\"/>");
        let plan = plan(
            &stages,
            "<class name=\"look\" part=\"9\"/><class name=\"pay\"/>",
        );
        let sends: Vec<Send> = Schedule::new(&plan).collect();
        assert!(sends.windows(2).all(|pair| pair[0].at <= pair[1].at));
        assert!(sends
            .iter()
            .all(|send| !send.is_repeat() && send.at < Schedule::length(&plan)));
        let numbers: HashSet<u64> = sends.iter().map(|send| send.number).collect();
        assert_eq!(numbers.len(), sends.len());
        let early = sends
            .iter()
            .filter(|send| send.at < 100_000_000_000)
            .count() as f64;
        let late = sends.len() as f64 - early;
        // Bursts differ most: 20,000 distances of a heavy tail.
        let slack = if arrivals == "bursts" { 0.1 } else { 0.03 };
        for count in [early, late] {
            assert!(
                (count / 20_000.0 - 1.0).abs() < slack,
                "{arrivals}: {early}, {late}"
            );
        }
        let part = |test: &dyn Fn(&Send) -> bool| {
            sends.iter().filter(|s| test(s)).count() as f64 / sends.len() as f64
        };
        assert!(
            (part(&|s| s.target == 1) - 0.75).abs() < 0.02
                && (part(&|s| s.class == 0) - 0.9).abs() < 0.02
        );
        // A plan is played the same each time.
        assert!(Schedule::new(&plan).eq(sends));
    }
}

#[test]
fn distances_are_as_their_distributions_say() {
    let deviation = |arrivals: &str| {
        let plan = plan(
            &format!("<stage duration=\"100 s\" rate=\"200\" arrivals=\"{arrivals}\"/>"),
            CLASS,
        );
        let at: Vec<u64> = Schedule::new(&plan).map(|send| send.at).collect();
        let gaps: Vec<f64> = at
            .windows(2)
            .map(|pair| (pair[1] - pair[0]) as f64)
            .collect();
        let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
        (gaps.iter().map(|gap| (gap - mean).powi(2)).sum::<f64>() / gaps.len() as f64).sqrt() / mean
    };
    assert!(deviation("regular") < 0.01);
    assert!((deviation("poisson") - 1.0).abs() < 0.05);
    // sqrt(exp(1.5^2) - 1) is 2.9; its estimate from a heavy tail is rough.
    assert!(
        (2.0..4.5).contains(&deviation("bursts")),
        "{}",
        deviation("bursts")
    );
}

#[test]
fn repeats_follow_their_first_try_with_its_class_and_as_often_as_asked() {
    let plan = plan(
        "<stage duration=\"50 s\" rate=\"200\"/>",
        "<class name=\"pay\" keyed=\"true\" repeats=\"0.3\" repeat-after=\"400 ms\"/><class name=\"look\"/>",
    );
    let sends: Vec<Send> = Schedule::new(&plan).collect();
    let firsts: HashMap<u64, Send> = sends
        .iter()
        .filter(|s| !s.is_repeat())
        .map(|s| (s.number, *s))
        .collect();
    let repeats: Vec<&Send> = sends.iter().filter(|s| s.is_repeat()).collect();
    let pays = firsts.values().filter(|s| s.class == 0).count() as f64;
    assert!((repeats.len() as f64 / pays - 0.3).abs() < 0.03);
    let mut waits = 0.0;
    for repeat in &repeats {
        let first = firsts[&repeat.first];
        assert!(first.class == 0 && repeat.class == 0 && first.at <= repeat.at);
        waits += (repeat.at - first.at) as f64 / 1e6;
    }
    assert!((waits / repeats.len() as f64 / 400.0 - 1.0).abs() < 0.1);
}

#[test]
fn the_audit_counts_from_the_intended_time_and_holds_results_against_each_other() {
    let plan = plan(
        STAGE,
        "<class name=\"pay\" keyed=\"true\"/><class name=\"look\"/>",
    );
    let mut audit = Audit::new(&plan);
    let send = |number, first, class| Send {
        at: 1_000_000_000,
        number,
        first,
        target: 0,
        class,
    };
    let at = 1_250_000_000;
    audit.sent(3_000_000);
    audit.ended(&send(1, 1, 0), End::Answered(200, 7), at);
    audit.ended(&send(2, 1, 0), End::Answered(200, 7), at);
    audit.ended(&send(3, 1, 0), End::Answered(200, 8), at);
    // Reads may differ, refusals have no result.
    audit.ended(&send(4, 4, 1), End::Answered(200, 1), at);
    audit.ended(&send(5, 4, 1), End::Answered(200, 2), at);
    audit.ended(&send(6, 1, 0), End::Answered(503, 9), 2_000_000_000);
    audit.ended(&send(7, 7, 1), End::Refused, at);
    audit.ended(&send(8, 8, 1), End::Broken, at);
    audit.ended(&send(9, 9, 1), End::TimedOut, at);
    audit.ended(&send(10, 10, 1), End::Skipped, at);
    assert_eq!((audit.due(), audit.unanswered(), audit.differ), (10, 2, 1));
    let pay = &audit.parts[&(0, 0)];
    assert_eq!(
        (
            pay.due,
            pay.statuses[&200],
            pay.statuses[&503],
            pay.latency.len()
        ),
        (4, 3, 1, 3)
    );
    assert!((pay.ms(0.5) - 250.0).abs() < 1.0);
    assert_eq!(
        (
            audit.seconds[1].due,
            audit.seconds[1].served,
            audit.seconds[1].refused
        ),
        (10, 5, 1)
    );
    assert_eq!((audit.seconds[2].refused, audit.latency().len()), (1, 5));
    assert_eq!(audit.lateness.len(), 1);
}
