//! Tests of the operator's file: the reader and the schema accept and reject the same examples, and errors have a
//! location and the expected value.

use heathspur_config::units::{Size, Span};
use heathspur_config::{Contents, Format, Operator, SCHEMA};
use std::path::Path;
use std::time::Duration;

fn parse(text: &str) -> Result<Operator, String> {
    Operator::parse(text, Path::new("o.xml"), None).map_err(|error| error.to_string())
}

fn matches_schema(text: &str) -> bool {
    let schema = uppsala::parse(SCHEMA).expect("the schema is well-formed XML");
    let schema = uppsala::XsdValidator::from_schema(&schema).expect("the schema is valid");
    uppsala::parse(text).is_ok_and(|document| schema.validate(&document).is_empty())
}

fn operator_text(inner: &str) -> String {
    format!("<?xml version=\"1.0\"?>\n<operator xmlns=\"urn:heathspur:operator:1\">\n{inner}\n</operator>\n")
}

const VALID: [&str; 15] = [
    "<members id=\"n1\" listen=\"127.0.0.1:7947\"/>",
    "<failover dwell=\"3 s\" check=\"300 ms\"><replica zone=\"a\" address=\"10.0.0.1:1\"/><replica zone=\"b\" address=\"10.0.0.2:1\"/></failover><members id=\"n1\" listen=\"127.0.0.1:7947\" zone=\"a\"><seed address=\"10.0.0.3:1\"/></members>",
    "",
    "<!-- nothing -->",
    "<log/>",
    "<log format=\"json\" level=\"debug\" lines-per-second=\"10000\"/>",
    "<record directory=\"/x\"/>",
    "<record directory=\"/x\" contents=\"full\" links=\"true\"/><log/>",
    "<record directory=\"a b\" links=\"0\"><files size=\"64KiB\" age=\"1 s\" keep=\"1\"/></record>",
    "<record directory=\"/x\"><budget memory=\"1 GiB\"/><mask header=\"X-Txn-Key\"/><mask header=\"a.b~\"/></record>",
    "<http2 listen=\"127.0.0.1:0\"/>",
    "<http2 listen=\"[::1]:8443\"><streams/><request/><memory/><patience/></http2>",
    "<http2 listen=\"10.0.0.1:65535\"><streams connection=\"1\" all=\"1\"/><patience stalled=\"100 ms\" round-trip=\"10 s\"/></http2>",
    "<http2 listen=\"127.0.0.1:1\"><request header-list=\"64 KiB\" body=\"1 KiB\" whole=\"1min\"/><memory answers=\"64 KiB\" connection=\"64 KiB\" stream=\"1 MiB\" receive=\"1 GiB\"/></http2>",
    "<log></log>\n<record directory=\"&lt;\"><files/><budget/></record>",
];

/// Elements that the reader and the schema reject, and a text that the reader's error must contain.
const INVALID: [(&str, &str); 32] = [
    ("<members id=\"n1\" listen=\"127.0.0.1:7947\" zone=\"a\"/><failover><replica zone=\"a\" address=\"10.0.0.1:1\"/></failover>", "o.xml:3: failover: 2 to 32 elements `replica`"),
    ("<members listen=\"127.0.0.1:7947\"/>", "o.xml:3: members: missing field `id`"),
    ("<lgo/>", "o.xml:3: lgo: unknown element"),
    ("<log/><log/>", "o.xml:3: log: duplicate"),
    ("\n<log\n  colour=\"red\"/>", "o.xml:5: log@colour: unknown element or attribute `colour`"),
    ("<log format=\"xml\"/>", "o.xml:3: log@format: unknown variant `xml`, expected `plain` or `json`"),
    ("<log level=\"Info\"/>", "o.xml:3: log@level"),
    ("<log lines-per-second=\"0\"/>", "o.xml:3: log@lines-per-second: 1 to 10000"),
    ("<log lines-per-second=\"10001\"/>", "o.xml:3: log@lines-per-second: 1 to 10000"),
    ("<log lines-per-second=\"many\"/>", "o.xml:3: log@lines-per-second"),
    ("<log>words</log>", "o.xml:3: log: unknown text"),
    ("<record/>", "o.xml:3: record: missing field `directory`"),
    ("<record directory=\"\"/>", "o.xml:3: record@directory: a directory"),
    ("<record directory=\"/x\" contents=\"some\"/>", "o.xml:3: record@contents"),
    ("<record directory=\"/x\" links=\"yes\"/>", "o.xml:3: record@links"),
    (
        "<record directory=\"/x\">\n<files size=\"64\"/></record>",
        "o.xml:4: files@size: `64` where a size such as",
    ),
    ("<record directory=\"/x\"><files size=\"64  KiB\"/></record>", "o.xml:3: files@size"),
    ("<record directory=\"/x\"><files size=\"64 kb\"/></record>", "o.xml:3: files@size"),
    ("<record directory=\"/x\"><files\n age=\"soon\"/></record>", "o.xml:4: files@age: `soon` where a time"),
    ("<record directory=\"/x\"><files keep=\"-1\"/></record>", "o.xml:3: files@keep"),
    ("<record directory=\"/x\"><mask/></record>", "o.xml:3: mask: missing field `header`"),
    (
        "<record directory=\"/x\"><mask header=\"a\"/>\n<mask header=\"a b\"/></record>",
        "o.xml:4: mask@header",
    ),
    ("<record directory=\"/x\"><mask header=\"a\">x</mask></record>", "o.xml:3: mask: unknown text"),
    ("<http2/>", "o.xml:3: http2: missing field `listen`"),
    ("<http2 listen=\"8443\"/>", "o.xml:3: http2@listen"),
    ("<http2 listen=\"localhost:8443\"/>", "o.xml:3: http2@listen"),
    ("<http2 listen=\"127.0.0.1:1\"><streams\n all=\"0\"/></http2>", "o.xml:4: streams@all: 1 to 10000"),
    (
        "<http2 listen=\"127.0.0.1:1\"><streams connection=\"10001\"/></http2>",
        "streams@connection: 1 to 10000",
    ),
    ("<http2 listen=\"127.0.0.1:1\"><request body=\"2\"/></http2>", "request@body: `2` where a size"),
    (
        "<http2 listen=\"127.0.0.1:1\"><patience\n stalled=\"soon\"/></http2>",
        "o.xml:4: patience@stalled: `soon`",
    ),
    ("<http2 listen=\"127.0.0.1:1\">\n<tls/></http2>", "o.xml:4: tls: unknown element"),
    ("<record directory=\"/x\">\n<files><more/></files></record>", "o.xml:4: more: unknown element"),
];

/// Elements that only the reader rejects, and a text that its error must contain. A schema can't express these
/// conditions, or the ranges of values with units.
const OUT_OF_BOUNDS: [(&str, &str); 17] = [
    ("<failover><replica zone=\"a\" address=\"10.0.0.1:1\"/><replica zone=\"b\" address=\"10.0.0.2:1\"/></failover>", "o.xml:3: failover: an element `members` is expected"),
    ("<members id=\"n1\" listen=\"127.0.0.1:7947\" zone=\"a\"/><failover><replica zone=\"a\" address=\"10.0.0.1:1\"/><replica zone=\"a\" address=\"10.0.0.1:1\"/></failover>", "o.xml:3: replica@zone: one replica per zone"),
    ("<members id=\"n1\" listen=\"127.0.0.1:7947\" zone=\"a\"/>\n<failover dwell=\"10 ms\"><replica zone=\"a\" address=\"10.0.0.1:1\"/><replica zone=\"b\" address=\"10.0.0.2:1\"/></failover>", "o.xml:4: failover@dwell: 1 s to 10 min"),
    ("<members id=\"n1\" listen=\"127.0.0.1:7947\" region=\"a\"/><failover><replica zone=\"a\" address=\"10.0.0.1:1\"/><replica zone=\"b\" address=\"10.0.0.2:1\"/></failover>", "o.xml:3: failover: a replica of the server's own zone"),
    ("<record directory=\"/x\" links=\"true\"/>", "o.xml:3: record@links: contents=\"full\" is expected"),
    (
        "<record directory=\"/x\"><files size=\"63 KiB\"/></record>",
        "o.xml:3: files@size: 63 KiB where 64 KiB",
    ),
    ("<record directory=\"/x\"><files size=\"17 GiB\"/></record>", "files@size: 17 GiB"),
    ("<record directory=\"/x\"><files age=\"999 ms\"/></record>", "files@age: 1 s to 24 h"),
    ("<record directory=\"/x\"><files age=\"25 h\"/></record>", "files@age: 1 s to 24 h"),
    (
        "<http2 listen=\"127.0.0.1:1\">\n<streams connection=\"9\" all=\"8\"/></http2>",
        "o.xml:4: streams@connection: at most 8 streams of one connection are expected, the value of streams@all",
    ),
    ("<http2 listen=\"127.0.0.1:1\"><request body=\"65 KiB\"/></http2>", "request@body: 65 KiB where 1 KiB"),
    (
        "<http2 listen=\"127.0.0.1:1\"><request header-list=\"1 B\"/></http2>",
        "request@header-list: 1 B where",
    ),
    ("<http2 listen=\"127.0.0.1:1\"><request whole=\"61 s\"/></http2>", "request@whole: 100 ms to 60 s"),
    ("<http2 listen=\"127.0.0.1:1\"><memory stream=\"2 MiB\"/></http2>", "memory@stream: 2 MiB where 16 KiB"),
    (
        "<http2 listen=\"127.0.0.1:1\"><memory answers=\"64 KiB\"/></http2>",
        "memory: 512 KiB of one connection where at most 64 KiB is expected, the value of memory@answers",
    ),
    (
        "<http2 listen=\"127.0.0.1:1\"><patience round-trip=\"1 ms\"/></http2>",
        "patience@round-trip: 10 ms to",
    ),
    ("<record directory=\"/x\"><budget memory=\"1 KiB\"/></record>", "o.xml:3: budget@memory: 1 KiB where"),
];

#[test]
fn reader_and_schema_accept_same_documents() {
    for inner in VALID {
        let text = operator_text(inner);
        assert!(parse(&text).is_ok(), "{inner}: {:?}", parse(&text));
        assert!(matches_schema(&text), "{inner}");
    }
    for (inner, _) in INVALID {
        let text = operator_text(inner);
        assert!(parse(&text).is_err(), "{inner}");
        assert!(!matches_schema(&text), "{inner}");
    }
}

#[test]
fn errors_name_file_line_element_and_expected_value() {
    for (inner, expected) in INVALID.iter().chain(&OUT_OF_BOUNDS) {
        let error = parse(&operator_text(inner)).expect_err(inner);
        assert!(
            error.contains(expected),
            "{inner}\n  error    {error}\n  expected {expected}"
        );
    }
}

#[test]
fn malformed_or_foreign_documents_are_rejected_with_line() {
    for (text, expected) in [
        ("", "o.xml:1: operator: one element"),
        ("<config/>", "o.xml:1: config: one element `operator`"),
        ("<operator/>", "o.xml:1: operator: the namespace `` where"),
        (
            "<operator xmlns=\"urn:other\"/>",
            "o.xml:1: operator: the namespace `urn:other`",
        ),
        (
            "<operator xmlns=\"urn:heathspur:operator:1\">\n<log>\n",
            "o.xml:3: log: `</log>` is expected",
        ),
        (
            "<operator xmlns=\"urn:heathspur:operator:1\">\n<log></record></operator>",
            "o.xml:2",
        ),
        (
            "<operator xmlns=\"urn:heathspur:operator:1\">\n<!-- a -- b -->\n</operator>",
            "o.xml:2: operator: ",
        ),
        (
            "<!DOCTYPE operator [<!ENTITY a \"b\">]>\n<operator/>",
            "o.xml:1: operator: a document type declaration is not allowed",
        ),
    ] {
        let error = parse(text).expect_err(text);
        assert!(
            error.contains(expected),
            "{text}\n  error    {error}\n  expected {expected}"
        );
    }
    let deep = operator_text(&["<a>"; 100].concat());
    assert!(parse(&deep).unwrap_err().contains("too deep"));
}

#[test]
fn commented_example_is_valid_and_enables_nothing() {
    let text = include_str!("../../../deploy/operator.xml");
    let operator = parse(text).unwrap();
    assert_eq!((operator.record, operator.http2), (None, None));
    assert_eq!(operator.log, Default::default());
    assert!(matches_schema(text));
    // The elements in its comments are valid as well, and state the default values.
    let comment = text
        .split("<!--")
        .find(|part| part.contains("<record"))
        .unwrap();
    let record = &comment[comment.find("<record").unwrap()..comment.find("</record>").unwrap() + 9];
    let text = operator_text(record);
    assert!(matches_schema(&text));
    let record = parse(&text).unwrap().record.unwrap();
    assert_eq!((record.files, record.budget), Default::default());
    assert_eq!(
        (record.contents, record.links, record.mask.len()),
        (Contents::Headers, false, 1)
    );
    let example = &commented_element(include_str!("../../../deploy/operator.xml"), "http2");
    assert!(matches_schema(&operator_text(example)));
    let http2 = parse(&operator_text(example)).unwrap().http2.unwrap();
    let with_defaults = parse(&operator_text("<http2 listen=\"127.0.0.1:8443\"/>"))
        .unwrap()
        .http2
        .unwrap();
    assert_eq!(http2, with_defaults);
}

/// Returns the text of an element in a comment.
fn commented_element(text: &str, name: &str) -> String {
    let (start, end) = (format!("<{name} "), format!("</{name}>"));
    text[text.find(&start).unwrap()..text.find(&end).unwrap() + end.len()].to_string()
}

#[test]
fn http2_memory_over_half_of_process_memory_is_rejected() {
    let text =
        operator_text("<http2 listen=\"127.0.0.1:1\">\n<memory answers=\"20 MiB\"/></http2>");
    let parse_with_memory = |memory| {
        Operator::parse(&text, Path::new("o.xml"), Some(memory)).map_err(|e| e.to_string())
    };
    assert!(parse_with_memory(64 << 20).is_ok());
    let error = parse_with_memory(32 << 20).unwrap_err();
    assert!(
        error.contains("o.xml:4: memory: 27 MiB in total") && error.contains("at most 16 MiB"),
        "{error}"
    );
}

#[test]
fn values_are_parsed_with_units() {
    let text = operator_text(
        "<log format=\"json\"/><record directory=\"/x\"><files size=\"3 MiB\" age=\"2min\"/><budget memory=\"70000 B\"/></record>",
    );
    let operator = parse(&text).unwrap();
    let record = operator.record.unwrap();
    assert_eq!(operator.log.format, Format::Json);
    assert_eq!(record.files.size, Size(3 << 20));
    assert_eq!(record.files.age, Span(Duration::from_secs(120)));
    assert_eq!(record.budget.memory, Size(70_000));
}

#[test]
fn budget_over_quarter_of_process_memory_is_rejected() {
    let text = operator_text("<record directory=\"/x\">\n<budget memory=\"9 MiB\"/></record>");
    let parse_with_memory = |memory| {
        Operator::parse(&text, Path::new("o.xml"), Some(memory)).map_err(|e| e.to_string())
    };
    assert!(parse_with_memory(36 << 20).is_ok());
    let error = parse_with_memory(32 << 20).unwrap_err();
    assert!(
        error.contains("o.xml:4: budget@memory: 9 MiB where at most 8 MiB"),
        "{error}"
    );
}
