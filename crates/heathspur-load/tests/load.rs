//! Tests of the plan's parser and schema, the statistics of the schedule, and the audit.

use heathspur_load::audit::{Audit, Outcome, TargetClass};
use heathspur_load::plan::{Plan, SCHEMA};
use heathspur_load::schedule::{Schedule, ScheduledRequest};
use std::collections::{HashMap, HashSet};
use std::path::Path;

fn matches_schema(text: &str) -> bool {
    let schema = uppsala::parse(SCHEMA).expect("the schema is well-formed XML");
    let schema = uppsala::XsdValidator::from_schema(&schema).expect("the schema is a valid XSD");
    uppsala::parse(text).is_ok_and(|document| schema.validate(&document).is_empty())
}

fn parse(text: &str) -> Result<Plan, String> {
    Plan::parse(text, Path::new("l.xml")).map_err(|error| error.to_string())
}

fn plan_text(attributes: &str, elements: &str) -> String {
    format!("<load xmlns=\"urn:heathspur:load:1\" {attributes}>\n{elements}\n</load>\n")
}

const TARGET: &str = "<target protocol=\"http1\" address=\"127.0.0.1:80\"/>";
const STAGE: &str = "<stage duration=\"1 s\" rate=\"10\"/>";
const CLASS: &str = "<class name=\"look\"/>";

#[test]
fn parser_and_schema_accept_same_plans_and_errors_include_location() {
    let all = [TARGET, STAGE, CLASS].concat();
    for (attributes, elements) in [
        ("", all.clone()),
        ("seed=\"9\" patience=\"10 ms\" open=\"1\"", all.clone()),
        ("", format!("<target protocol=\"http2\" address=\"[::1]:8443\" connections=\"10000\" part=\"3\"/>{all}").replace("><target", ">\n<target")),
        ("", format!("{TARGET}<stage duration=\"1h\" rate=\"0.5\" arrivals=\"bursts\"/><stage duration=\"0 s\" rate=\"100000\" arrivals=\"regular\"/>{CLASS}")),
        ("", format!("{TARGET}{STAGE}<class name=\"a-b_c.9\" part=\"7\" keyed=\"true\" repeats=\"0.25\" repeat-after=\"1 min\" body=\"64 KiB\" tenant=\"n\"/>")),
    ] {
        let text = plan_text(attributes, &elements);
        assert!(parse(&text).is_ok(), "{text}: {:?}", parse(&text));
        assert!(matches_schema(&text), "{text}");
    }
    for (attributes, elements, expected) in [
        (
            "",
            [TARGET, STAGE].concat(),
            "l.xml:1: load: expected 1 to 100 `class` elements",
        ),
        (
            "speed=\"2\"",
            all.clone(),
            "l.xml:1: load@speed: unknown element or attribute `speed`",
        ),
        (
            "open=\"0\"",
            all.clone(),
            "l.xml:1: load@open: expected 1 to 100000",
        ),
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
            "l.xml:2: stage@rate: expected a rate above 0",
        ),
        (
            "",
            all.replace("1 s", "soon"),
            "l.xml:2: stage@duration: `soon` where a time",
        ),
        (
            "",
            all.replace("look\"", "look\" repeats=\"1.5\""),
            "l.xml:2: class@repeats: expected 0 to 1",
        ),
        (
            "",
            all.replace("look", "a b"),
            "l.xml:2: class@name: expected only letters",
        ),
        (
            "",
            all.replace("look\"", "look\" part=\"0\""),
            "l.xml:2: class@part: expected 1 to 1000",
        ),
        (
            "",
            format!("{TARGET}{STAGE}{CLASS}\n<think/>"),
            "l.xml:3: think: unknown element",
        ),
    ] {
        let text = plan_text(attributes, &elements);
        let message = parse(&text).expect_err(&text);
        assert!(
            message.contains(expected),
            "{text}\n  message  {message}\n  expected {expected}"
        );
        assert!(!matches_schema(&text), "{text}");
    }
    assert!(parse("<operator xmlns=\"urn:heathspur:load:1\"/>")
        .unwrap_err()
        .contains("one element `load`"));
}

fn plan(stages: &str, classes: &str) -> Plan {
    let targets = "<target protocol=\"http1\" address=\"127.0.0.1:80\" part=\"1\"/>\n<target protocol=\"http2\" address=\"127.0.0.1:81\" part=\"3\"/>";
    parse(&plan_text(
        "seed=\"4\"",
        &[targets, stages, classes].concat(),
    ))
    .unwrap()
}

#[test]
fn requests_are_ordered_with_planned_rates_and_weights() {
    for arrivals in ["regular", "poisson", "bursts"] {
        let stages = format!("<stage duration=\"100 s\" rate=\"200\" arrivals=\"{arrivals}\"/><stage duration=\"10 s\" rate=\"2000\" arrivals=\"{arrivals}\"/>");
        let plan = plan(
            &stages,
            "<class name=\"look\" part=\"9\"/><class name=\"pay\"/>",
        );
        let requests: Vec<ScheduledRequest> = Schedule::new(&plan).collect();
        assert!(requests.windows(2).all(|pair| pair[0].at <= pair[1].at));
        assert!(requests
            .iter()
            .all(|request| !request.is_retry() && request.at < Schedule::duration_nanos(&plan)));
        let numbers: HashSet<u64> = requests.iter().map(|request| request.number).collect();
        assert_eq!(numbers.len(), requests.len());
        let first_stage = requests
            .iter()
            .filter(|request| request.at < 100_000_000_000)
            .count() as f64;
        let second_stage = requests.len() as f64 - first_stage;
        // The sum of 20,000 gaps with a heavy-tailed distribution varies most.
        let tolerance = if arrivals == "bursts" { 0.1 } else { 0.03 };
        for count in [first_stage, second_stage] {
            assert!(
                (count / 20_000.0 - 1.0).abs() < tolerance,
                "{arrivals}: {first_stage}, {second_stage}"
            );
        }
        let share = |matches: &dyn Fn(&ScheduledRequest) -> bool| {
            requests.iter().filter(|request| matches(request)).count() as f64
                / requests.len() as f64
        };
        assert!(
            (share(&|request| request.target == 1) - 0.75).abs() < 0.02
                && (share(&|request| request.class == 0) - 0.9).abs() < 0.02
        );
        // The schedule of a plan is deterministic.
        assert!(Schedule::new(&plan).eq(requests));
    }
}

#[test]
fn gaps_have_standard_deviation_of_their_distribution() {
    let relative_deviation = |arrivals: &str| {
        let plan = plan(
            &format!("<stage duration=\"100 s\" rate=\"200\" arrivals=\"{arrivals}\"/>"),
            CLASS,
        );
        let times: Vec<u64> = Schedule::new(&plan).map(|request| request.at).collect();
        let gaps: Vec<f64> = times
            .windows(2)
            .map(|pair| (pair[1] - pair[0]) as f64)
            .collect();
        let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
        (gaps.iter().map(|gap| (gap - mean).powi(2)).sum::<f64>() / gaps.len() as f64).sqrt() / mean
    };
    assert!(relative_deviation("regular") < 0.01);
    assert!((relative_deviation("poisson") - 1.0).abs() < 0.05);
    // The expected value is sqrt(exp(1.5^2) - 1) = 2.9; with a heavy tail, its estimate varies widely.
    assert!(
        (2.0..4.5).contains(&relative_deviation("bursts")),
        "{}",
        relative_deviation("bursts")
    );
}

#[test]
fn retries_follow_first_attempt_with_planned_share_and_delay() {
    let plan = plan(
        "<stage duration=\"50 s\" rate=\"200\"/>",
        "<class name=\"pay\" keyed=\"true\" repeats=\"0.3\" repeat-after=\"400 ms\"/><class name=\"look\"/>",
    );
    let requests: Vec<ScheduledRequest> = Schedule::new(&plan).collect();
    let first_attempts: HashMap<u64, ScheduledRequest> = requests
        .iter()
        .filter(|request| !request.is_retry())
        .map(|request| (request.number, *request))
        .collect();
    let retries: Vec<&ScheduledRequest> = requests
        .iter()
        .filter(|request| request.is_retry())
        .collect();
    let retryable = first_attempts
        .values()
        .filter(|request| request.class == 0)
        .count() as f64;
    assert!((retries.len() as f64 / retryable - 0.3).abs() < 0.03);
    let mut total_delay_ms = 0.0;
    for retry in &retries {
        let first = first_attempts[&retry.first_attempt];
        assert!(first.class == 0 && retry.class == 0 && first.at <= retry.at);
        total_delay_ms += (retry.at - first.at) as f64 / 1e6;
    }
    assert!((total_delay_ms / retries.len() as f64 / 400.0 - 1.0).abs() < 0.1);
}

#[test]
fn audit_measures_from_intended_time_and_compares_results_of_retries() {
    let plan = plan(
        STAGE,
        "<class name=\"pay\" keyed=\"true\"/><class name=\"look\"/>",
    );
    let mut audit = Audit::new(&plan);
    let request = |number, first_attempt, class| ScheduledRequest {
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
    audit.record_outcome(&request(1, 1, 0), answered(200, 7), at);
    audit.record_outcome(&request(2, 1, 0), answered(200, 7), at);
    audit.record_outcome(&request(3, 1, 0), answered(200, 8), at);
    // Results of classes without keys may differ, and rejections have no result.
    audit.record_outcome(&request(4, 4, 1), answered(200, 1), at);
    audit.record_outcome(&request(5, 4, 1), answered(200, 2), at);
    audit.record_outcome(&request(6, 1, 0), answered(503, 9), 2_000_000_000);
    audit.record_outcome(&request(7, 7, 1), Outcome::Refused, at);
    audit.record_outcome(&request(8, 8, 1), Outcome::ConnectionLost, at);
    audit.record_outcome(&request(9, 9, 1), Outcome::TimedOut, at);
    audit.record_outcome(&request(10, 10, 1), Outcome::Skipped, at);
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
