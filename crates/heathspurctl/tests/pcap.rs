//! Tests of the commands as processes: captures are read, cut and replayed to a recording server on loopback, and
//! operator's files are checked.

use heathspur_capture::{Side, Timestamp};
use heathspur_testkit::capture::*;
use heathspur_testkit::proxy::{self, Faults};
use heathspur_testkit::recording_server::{RecordingServer, ResponseOptions};
use serde_json::Value;
use std::path::PathBuf;
use std::process::{Command, Output};

fn temporary_path(name: &str) -> PathBuf {
    let file = std::env::temp_dir().join(format!("heathspurctl-{}-{name}", std::process::id()));
    let _ = std::fs::remove_file(&file);
    file
}

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_heathspurctl"))
        .args(arguments)
        .output()
        .unwrap()
}

/// Returns standard output followed by standard error.
fn output_text(output: &Output) -> String {
    let all = [&output.stdout[..], &output.stderr].concat();
    String::from_utf8_lossy(&all).into_owned()
}

fn keyed_request(number: u64, class: &str, key: &str, ingress_ms: u64) -> Vec<u8> {
    format!(
        "POST /svc/{class} HTTP/1.1\r\nX-Txn: {number:016x}\r\nX-Txn-Key: {key}\r\nX-Merchant: north\r\n\
         X-Ingress-Time: {ingress_ms}\r\nContent-Length: 4\r\n\r\nbody"
    )
    .into_bytes()
}

/// Writes a capture of three connections with four requests each; those of the second connection have the class `pay`.
/// Returns the path and the sent requests, ordered by time.
fn capture(name: &str) -> (PathBuf, Vec<(u64, Vec<u8>)>) {
    let (mut packets, mut sent) = (Vec::new(), Vec::new());
    for connection in 0..3_u64 {
        let mut builder = CaptureBuilder::open(4000 + connection as u16);
        builder.elapsed_nanos += connection * 7 * NANOS_PER_MS;
        for n in 0..4 {
            let class = if connection == 1 { "pay" } else { "look" };
            let bytes = keyed_request(
                connection * 10 + n,
                class,
                &format!("{:032x}", connection * 4 + n / 2),
                CAPTURE_START_NANOS / NANOS_PER_MS,
            );
            builder.elapsed_nanos += 20 * NANOS_PER_MS;
            builder.send(Side::Client, &bytes, 90);
            sent.push((builder.elapsed_nanos, bytes));
            builder.send(Side::Server, &response(200, b"done"), 100);
        }
        builder.close();
        packets.extend(builder.packets);
    }
    packets.sort_by_key(|(at, _)| *at);
    sent.sort_by_key(|(at, _)| *at);
    let file = temporary_path(name);
    std::fs::write(&file, pcap_file(&packets)).unwrap();
    (file, sent)
}

fn replay(file: &std::path::Path, server: &RecordingServer, options: &[&str]) -> Output {
    let address = server.address.to_string();
    let file = file.to_str().unwrap();
    run(&[
        &["pcap", "replay", file, "--to-server", &address][..],
        options,
    ]
    .concat())
}

#[test]
fn info_and_requests_print_contents_of_capture() {
    let (file, sent) = capture("info.pcap");
    let output = run(&["pcap", "info", file.to_str().unwrap()]);
    let text = output_text(&output);
    assert_eq!(output.status.code(), Some(0), "{text}");
    let row = |name: &str| {
        text.lines()
            .map(str::trim)
            .find(|line| line.starts_with(name))
            .unwrap_or_else(|| panic!("{text}"))
    };
    assert!(
        row("requests").ends_with("12") && row("connections").ends_with('3'),
        "{text}"
    );
    assert!(
        row("pay").contains("200: 4") && row("look").contains("200: 8"),
        "{text}"
    );

    let output = run(&[
        "pcap",
        "requests",
        file.to_str().unwrap(),
        "--format",
        "json",
    ]);
    let rows: Vec<Value> = output
        .stdout
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty())
        .map(|line| serde_json::from_slice(line).unwrap())
        .collect();
    assert_eq!(rows.len(), 12);
    for row in &rows {
        assert!(row["status"] == 200 && row["tenant"] == "north", "{row}");
        assert!(
            row["bytes"] == sent[0].1.len() || row["class"] == "pay",
            "{row}"
        );
        // The response was captured 1 ms after the last segment of the request.
        assert!((row["latency_ms"].as_f64().unwrap() - 1.0).abs() < 1e-9);
    }
    let table = output_text(&run(&["pcap", "requests", file.to_str().unwrap()]));
    assert_eq!(table.lines().count(), 13);
}

#[test]
fn damaged_capture_is_read_up_to_damage_and_position_is_reported() {
    let (file, _) = capture("damaged.pcap");
    let bytes = std::fs::read(&file).unwrap();
    std::fs::write(&file, &bytes[..bytes.len() * 2 / 3]).unwrap();
    let output = run(&["pcap", "info", file.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(3));
    assert!(
        output_text(&output).contains("at byte "),
        "{}",
        output_text(&output)
    );
    std::fs::write(&file, b"no capture").unwrap();
    assert_eq!(
        run(&["pcap", "requests", file.to_str().unwrap()])
            .status
            .code(),
        Some(3)
    );
    assert_eq!(
        run(&["pcap", "info", "/nowhere/x.pcap"]).status.code(),
        Some(2)
    );
}

#[test]
fn cut_contains_only_selected_connections_or_interval() {
    let (file, _) = capture("complete.pcap");
    let file = file.to_str().unwrap();
    let part = temporary_path("part.pcapng");
    let count_requests = |part: &PathBuf| {
        run(&[
            "pcap",
            "requests",
            part.to_str().unwrap(),
            "--format",
            "json",
        ])
        .stdout
        .split(|byte| *byte == b'\n')
        .count()
            - 1
    };
    for (selection, requests) in [
        (&["--class", "pay"][..], 4),
        (&["--tenant", "north"], 12),
        (&["--tenant", "south"], 0),
        (&["--connection", "0", "--connection", "2"], 8),
        (&["--from", "0"], 12),
        (&["--to", "0.05"], 4),
    ] {
        let _ = std::fs::remove_file(&part);
        let output = run(&[
            &["pcap", "cut", file, "--output", part.to_str().unwrap()][..],
            selection,
        ]
        .concat());
        assert_eq!(
            output.status.code(),
            Some(0),
            "{selection:?} {}",
            output_text(&output)
        );
        if requests > 0 {
            assert_eq!(count_requests(&part), requests, "{selection:?}");
        }
        // An existing file is not overwritten.
        assert_eq!(
            run(&["pcap", "cut", file, "--output", part.to_str().unwrap()])
                .status
                .code(),
            Some(2)
        );
    }
}

#[test]
fn replay_sends_same_bytes_in_recorded_order_and_writes_report() {
    let (file, sent) = capture("replay.pcap");
    let server = RecordingServer::start(ResponseOptions::default());
    let folder = temporary_path("report");
    let output = replay(&file, &server, &["--report", folder.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
    let received: Vec<_> = server
        .received()
        .into_iter()
        .map(|request| request.bytes)
        .collect();
    assert_eq!(
        received,
        sent.iter()
            .map(|(_, bytes)| bytes.clone())
            .collect::<Vec<_>>()
    );
    let report: Value =
        serde_json::from_slice(&std::fs::read(folder.join("report.json")).unwrap()).unwrap();
    assert_eq!(report["audit"]["compared"]["same"], 12);
    assert_eq!(report["changed"]["ids"], 0);
    let lines = std::fs::read_to_string(folder.join("requests.jsonl")).unwrap();
    assert_eq!(lines.lines().count(), 12);
    for chart in ["rates.svg", "latency.svg"] {
        assert!(
            std::fs::read_to_string(folder.join(chart))
                .unwrap()
                .contains("<polyline"),
            "{chart}"
        );
    }
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn burst_of_connections_loses_no_event() {
    let mut packets = Vec::new();
    // Fewer connections than the accept backlog of a listener of the standard library.
    for connection in 0..120 {
        let mut builder = CaptureBuilder::open(10_000 + connection);
        for n in 0..3 {
            builder.send(
                Side::Client,
                &keyed_request(
                    u64::from(connection) * 3 + n,
                    "look",
                    "k",
                    CAPTURE_START_NANOS / NANOS_PER_MS,
                ),
                1000,
            );
            builder.send(Side::Server, &response(200, b"done"), 100);
        }
        builder.close();
        packets.extend(builder.packets);
    }
    packets.sort_by_key(|(at, _)| *at);
    let file = temporary_path("burst.pcap");
    std::fs::write(&file, pcap_file(&packets)).unwrap();
    let server = RecordingServer::start(ResponseOptions::default());
    let output = replay(&file, &server, &["--speed", "100"]);
    assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
    assert_eq!(server.received().len(), 360);
}

#[test]
fn requests_sent_more_than_once_require_renewed_ids() {
    let (file, sent) = capture("renew.pcap");
    let server = RecordingServer::start(ResponseOptions::default());
    for options in [&["--loop", "2"][..], &["--scale-load", "2"]] {
        assert_eq!(replay(&file, &server, options).status.code(), Some(2));
    }
    assert!(server.received().is_empty());
    let output = replay(
        &file,
        &server,
        &[
            "--loop",
            "2",
            "--scale-load",
            "2",
            "--renew",
            "--speed",
            "4",
        ],
    );
    assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
    let received = server.received();
    assert_eq!(received.len(), 48);
    let field = |bytes: &[u8], name: &str| {
        let text = String::from_utf8_lossy(bytes).into_owned();
        text.lines()
            .find_map(|line| line.strip_prefix(name).map(str::to_string))
            .unwrap()
    };
    let distinct = |name: &str| {
        received
            .iter()
            .map(|request| field(&request.bytes, name))
            .collect::<std::collections::BTreeSet<_>>()
            .len()
    };
    // In each of the four copies, two requests share a key.
    assert_eq!((distinct("X-Txn: "), distinct("X-Txn-Key: ")), (48, 24));
    assert!(received
        .iter()
        .map(|request| request.bytes.len())
        .all(|length| length == sent[0].1.len() || length == sent[0].1.len() - 1));
    let ingress_ms: u64 = field(&received[0].bytes, "X-Ingress-Time: ")
        .parse()
        .unwrap();
    assert!(ingress_ms > CAPTURE_START_NANOS / NANOS_PER_MS - 10_000_000_000);
}

#[test]
fn requests_lost_by_breaking_or_absent_server_are_counted_and_set_exit_code() {
    let (file, _) = capture("broken.pcap");
    let server = RecordingServer::start(ResponseOptions {
        disconnect_after: 3,
        ..ResponseOptions::default()
    });
    let output = replay(&file, &server, &[]);
    let text = output_text(&output);
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(
        text.lines().any(
            |line| line.starts_with(" connection ended without an answer")
                && line.trim().ends_with('3')
        ),
        "{text}"
    );
    assert_eq!(server.received().len(), 12, "a request was sent again");

    let closed_address = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string();
    let output = run(&[
        "pcap",
        "replay",
        file.to_str().unwrap(),
        "--to-server",
        &closed_address,
        "--speed",
        "10",
    ]);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        output_text(&output).contains("not sent: Refused"),
        "{}",
        output_text(&output)
    );
    let closing_server = RecordingServer::start(ResponseOptions {
        close_after_response: true,
        ..ResponseOptions::default()
    });
    assert_eq!(replay(&file, &closing_server, &[]).status.code(), Some(0));
}

#[test]
fn cut_of_capture_with_two_link_types_has_interface_for_each() {
    let mut builder = CaptureBuilder::open(4000);
    builder.send(Side::Client, &request(1, b"abc"), 60);
    builder.send(Side::Server, &response(200, b"ok"), 60);
    builder.close();
    use heathspur_capture::write;
    let mut file = [
        write::pcapng_section(),
        write::pcapng_interface(101, "a"),
        write::pcapng_interface(1, "b"),
    ]
    .concat();
    for (n, (at, packet)) in builder.packets.iter().enumerate() {
        let data = if n % 2 == 0 {
            packet.clone()
        } else {
            [&[0; 12][..], &[8, 0], packet].concat()
        };
        file.extend(write::pcapng_packet(
            n as u32 % 2,
            Timestamp(CAPTURE_START_NANOS + at),
            &data,
            data.len() as u32,
            "",
        ));
    }
    let (original, part) = (
        temporary_path("two.pcapng"),
        temporary_path("two-part.pcapng"),
    );
    std::fs::write(&original, file).unwrap();
    let output = run(&[
        "pcap",
        "cut",
        original.to_str().unwrap(),
        "--output",
        part.to_str().unwrap(),
        "--connection",
        "0",
    ]);
    assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
    let text = output_text(&run(&["pcap", "info", part.to_str().unwrap()]));
    assert!(text.contains("200: 1"), "{text}");
}

#[test]
fn operator_files_are_checked_and_schema_is_printed() {
    let schema = output_text(&run(&["config", "schema"]));
    assert!(schema.contains("<xs:schema"));
    let file = temporary_path("operator.xml");
    let write = |elements: &str| {
        std::fs::write(
            &file,
            format!("<operator xmlns=\"urn:heathspur:operator:1\">\n{elements}</operator>"),
        )
        .unwrap();
    };
    write("<log/>");
    assert_eq!(
        run(&["config", "check", file.to_str().unwrap()])
            .status
            .code(),
        Some(0)
    );
    write("<log colour=\"red\"/>");
    let output = run(&["config", "check", file.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        output_text(&output).contains(":2: log@colour: unknown element or attribute"),
        "{}",
        output_text(&output)
    );
    write("<record directory=\"/x\"><budget memory=\"9 MiB\"/></record>");
    assert_eq!(
        run(&["config", "check", file.to_str().unwrap(), "--memory", "32"])
            .status
            .code(),
        Some(1)
    );
    assert!(output_text(&run(&["completions", "bash"])).contains("heathspurctl"));
    assert!(output_text(&run(&["man"])).contains(".TH heathspurctl"));
}

/// Replays the capture through a proxy. Returns the output, the audit, and how often each request was received.
fn replay_through_proxy(
    name: &str,
    faults: Faults,
    options: &[&str],
) -> (Output, Value, Vec<usize>) {
    let (file, sent) = capture(&format!("{name}.pcap"));
    let server = RecordingServer::start(ResponseOptions::default());
    let (proxy, _) = proxy::start(server.address, faults, 11);
    let folder = temporary_path(&format!("{name}-report"));
    let (file, proxy) = (file.to_str().unwrap(), proxy.to_string());
    let arguments = [
        "pcap",
        "replay",
        file,
        "--to-server",
        &proxy,
        "--report",
        folder.to_str().unwrap(),
    ];
    let output = run(&[&arguments[..], options].concat());
    let report: Value =
        serde_json::from_slice(&std::fs::read(folder.join("report.json")).unwrap()).unwrap();
    let received = server.received();
    let receipts = sent
        .iter()
        .map(|(_, bytes)| {
            received
                .iter()
                .filter(|request| request.bytes == *bytes)
                .count()
        })
        .collect();
    std::fs::remove_dir_all(folder).unwrap();
    (output, report["audit"].clone(), receipts)
}

#[test]
fn requests_split_into_small_segments_are_answered_as_recorded() {
    let faults = Faults {
        max_piece_len: 3,
        ..Faults::default()
    };
    let (output, audit, receipts) = replay_through_proxy("split", faults, &[]);
    assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
    assert_eq!(
        (
            audit["answered"].as_u64(),
            audit["compared"]["same"].as_u64()
        ),
        (Some(12), Some(12))
    );
    assert!(receipts.iter().all(|count| *count == 1));
}

#[test]
fn broken_connections_lose_requests_and_duplicate_none() {
    let faults = Faults {
        max_piece_len: 40,
        cut_per_mille: 500,
        fault_window_bytes: 500,
        ..Faults::default()
    };
    let (output, audit, receipts) = replay_through_proxy("cut", faults, &[]);
    assert_eq!(output.status.code(), Some(1), "{}", output_text(&output));
    let count = |name: &str| audit[name].as_u64().unwrap();
    assert!(count("broken") > 0 && count("answered") > 0, "{audit}");
    assert_eq!(
        count("answered") + count("broken"),
        12,
        "not every request ended exactly once: {audit}"
    );
    assert!(receipts.iter().all(|count| *count <= 1), "{receipts:?}");
}

#[test]
fn requests_on_unresponsive_connections_time_out() {
    let faults = Faults {
        silent_per_mille: 1000,
        fault_window_bytes: 500,
        ..Faults::default()
    };
    let (output, audit, receipts) = replay_through_proxy("silent", faults, &["--patience", "0.3"]);
    assert_eq!(output.status.code(), Some(1), "{}", output_text(&output));
    assert!(audit["timed_out"].as_u64().unwrap() > 0, "{audit}");
    assert!(receipts.iter().all(|count| *count <= 1), "{receipts:?}");
}

#[test]
fn causal_replay_sends_requests_one_by_one_as_recorded() {
    let mut builder = CaptureBuilder::open(4000);
    for n in 0..6 {
        builder.send(
            Side::Client,
            &keyed_request(n, "look", "k", CAPTURE_START_NANOS / NANOS_PER_MS),
            1000,
        );
        builder.send(Side::Server, &response(200, b"done"), 100);
    }
    builder.close();
    let file = temporary_path("causal.pcap");
    std::fs::write(&file, pcap_file(&builder.packets)).unwrap();
    for (options, one_by_one) in [(&["--causal"][..], true), (&[][..], false)] {
        // Far slower than in the recording, where a response took 1 ms.
        let server = RecordingServer::start(ResponseOptions {
            delay: std::time::Duration::from_millis(60),
            ..ResponseOptions::default()
        });
        let folder = temporary_path("causal-report");
        let output = replay(
            &file,
            &server,
            &[options, &["--report", folder.to_str().unwrap()]].concat(),
        );
        assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
        let report: Value =
            serde_json::from_slice(&std::fs::read(folder.join("report.json")).unwrap()).unwrap();
        let peak_in_flight = report["audit"]["counts"]["most_open"].as_u64().unwrap();
        assert_eq!(peak_in_flight == 1, one_by_one, "{peak_in_flight}");
        std::fs::remove_dir_all(folder).unwrap();
    }
}
