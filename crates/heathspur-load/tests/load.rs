//! Tests of the plan's parser and schema, of the schedule's statistics and of the audit.

use heathspur_load::audit::{Audit, Outcome, TargetClass};
use heathspur_load::plan::{Plan, SCHEMA};
use heathspur_load::schedule::{Schedule, ScheduledRequest};
use std::collections::{HashMap, HashSet};
use std::path::Path;

fn matches_schema(text: &str) -> bool {
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
fn parser_and_schema_accept_the_same_plans_and_errors_name_their_place() {
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
        assert!(matches_schema(&text), "{text}");
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
        let message = read(&text).expect_err(&text);
        assert!(
            message.contains(words),
            "{text}\n  message  {message}\n  expected {words}"
        );
        assert!(!matches_schema(&text), "{text}");
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
fn requests_are_ordered_with_the_planned_rates_and_weights() {
    for arrivals in ["regular", "poisson", "bursts"] {
        let stages = format!("<stage duration=\"100 s\" rate=\"200\" arrivals=\"{arrivals}\"/><stage duration=\"10 s\" rate=\"2000\" arrivals=\"{arrivals}\"/>");
        let plan = plan(
            &stages,
            "<class name=\"look\" part=\"9\"/><class name=\"pay\"/>",
        );
        let sends: Vec<ScheduledRequest> = Schedule::new(&plan).collect();
        assert!(sends.windows(2).all(|pair| pair[0].at <= pair[1].at));
        assert!(sends
            .iter()
            .all(|send| !send.is_retry() && send.at < Schedule::duration_nanos(&plan)));
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
        let part = |test: &dyn Fn(&ScheduledRequest) -> bool| {
            sends.iter().filter(|s| test(s)).count() as f64 / sends.len() as f64
        };
        assert!(
            (part(&|s| s.target == 1) - 0.75).abs() < 0.02
                && (part(&|s| s.class == 0) - 0.9).abs() < 0.02
        );
        // The schedule of a plan is the same each time.
        assert!(Schedule::new(&plan).eq(sends));
    }
}

#[test]
fn gaps_have_the_deviation_of_their_distribution() {
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
fn retries_follow_their_first_attempt_with_the_planned_share_and_delay() {
    let plan = plan(
        "<stage duration=\"50 s\" rate=\"200\"/>",
        "<class name=\"pay\" keyed=\"true\" repeats=\"0.3\" repeat-after=\"400 ms\"/><class name=\"look\"/>",
    );
    let sends: Vec<ScheduledRequest> = Schedule::new(&plan).collect();
    let firsts: HashMap<u64, ScheduledRequest> = sends
        .iter()
        .filter(|s| !s.is_retry())
        .map(|s| (s.number, *s))
        .collect();
    let repeats: Vec<&ScheduledRequest> = sends.iter().filter(|s| s.is_retry()).collect();
    let pays = firsts.values().filter(|s| s.class == 0).count() as f64;
    assert!((repeats.len() as f64 / pays - 0.3).abs() < 0.03);
    let mut waits = 0.0;
    for repeat in &repeats {
        let first = firsts[&repeat.first_attempt];
        assert!(first.class == 0 && repeat.class == 0 && first.at <= repeat.at);
        waits += (repeat.at - first.at) as f64 / 1e6;
    }
    assert!((waits / repeats.len() as f64 / 400.0 - 1.0).abs() < 0.1);
}

#[test]
fn audit_measures_from_the_intended_time_and_compares_results_of_retries() {
    let plan = plan(
        STAGE,
        "<class name=\"pay\" keyed=\"true\"/><class name=\"look\"/>",
    );
    let mut audit = Audit::new(&plan);
    let send = |number, first_attempt, class| ScheduledRequest {
        at: 1_000_000_000,
        number,
        first_attempt,
        target: 0,
        class,
    };
    let answered = |status, body_digest| Outcome::Answered {
        status,
        body_digest,
    };
    let at = 1_250_000_000;
    audit.record_sent(3_000_000);
    audit.record_outcome(&send(1, 1, 0), answered(200, 7), at);
    audit.record_outcome(&send(2, 1, 0), answered(200, 7), at);
    audit.record_outcome(&send(3, 1, 0), answered(200, 8), at);
    // Reads may differ, refusals have no result.
    audit.record_outcome(&send(4, 4, 1), answered(200, 1), at);
    audit.record_outcome(&send(5, 4, 1), answered(200, 2), at);
    audit.record_outcome(&send(6, 1, 0), answered(503, 9), 2_000_000_000);
    audit.record_outcome(&send(7, 7, 1), Outcome::Refused, at);
    audit.record_outcome(&send(8, 8, 1), Outcome::Broken, at);
    audit.record_outcome(&send(9, 9, 1), Outcome::TimedOut, at);
    audit.record_outcome(&send(10, 10, 1), Outcome::Skipped, at);
    assert_eq!(
        (audit.due(), audit.unanswered(), audit.mismatched_retries),
        (10, 2, 1)
    );
    let pay = &audit.stats[&TargetClass {
        target: 0,
        class: 0,
    }];
    assert_eq!(
        (
            pay.due,
            pay.statuses[&200],
            pay.statuses[&503],
            pay.latency.len()
        ),
        (4, 3, 1, 3)
    );
    assert!((pay.latency_ms(0.5) - 250.0).abs() < 1.0);
    assert_eq!(
        (
            audit.seconds[1].due,
            audit.seconds[1].served,
            audit.seconds[1].rejected
        ),
        (10, 5, 1)
    );
    assert_eq!((audit.seconds[2].rejected, audit.latency().len()), (1, 5));
    assert_eq!(audit.send_delay.len(), 1);
}
