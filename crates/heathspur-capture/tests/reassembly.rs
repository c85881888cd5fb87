//! Tests of reassembly and exchange parsing with incomplete or disordered captures: complete requests and responses are
//! found, and everything else is counted by cause.

use heathspur_capture::exchange::{Cause, Found};
use heathspur_capture::reassembly::{End, Event, Limits, Start};
use heathspur_capture::write::{segment, Flags, TcpConversation};
use heathspur_capture::{Item, Options, Side};
use heathspur_testkit::capture::*;

const NO_FLAGS: Flags = Flags {
    syn: false,
    fin: false,
    rst: false,
};

fn read_packets(packets: &[TimedPacket]) -> ParsedCapture {
    parse_capture(&pcap_file(packets), Options::default(), 1000)
}

/// Returns a conversation with three requests, each followed by its response. The requests are sent in segments of at most
/// this length.
fn three_exchanges(segment_len: usize) -> CaptureBuilder {
    let mut builder = CaptureBuilder::open(4000);
    for number in 0..3 {
        builder.send(
            Side::Client,
            &request(number, &[b'a' + number as u8; 300]),
            segment_len,
        );
        builder.send(Side::Server, &response(200 + number as u16, b"done"), 1000);
    }
    builder.close();
    builder
}

/// Asserts that the exchanges of [`three_exchanges`] were found completely.
fn assert_complete(capture: &ParsedCapture) {
    assert_eq!(
        capture.request_bodies(),
        [[b'a'; 300], [b'b'; 300], [b'c'; 300]]
    );
    let responses: Vec<_> = capture
        .responses
        .iter()
        .map(|(_, request_index, message)| (*request_index, message.status()))
        .collect();
    assert_eq!(
        responses,
        [
            (Some(0), Some(200)),
            (Some(1), Some(201)),
            (Some(2), Some(202))
        ]
    );
    assert_eq!(capture.skipped, []);
    assert_eq!(capture.tally.holes, 0);
}

/// Returns how the connections ended.
fn ends(capture: &ParsedCapture) -> Vec<End> {
    let end = |item: &Item| match item {
        Item::Connection(Event::Closed { end, .. }) => Some(*end),
        _ => None,
    };
    capture.connections.iter().filter_map(end).collect()
}

#[test]
fn sequence_numbers_wrap_without_loss() {
    // The client's initial sequence number is 700 below the wrap.
    let capture = read_packets(&three_exchanges(50).packets);
    assert_complete(&capture);
    assert_eq!(ends(&capture), [End::Closed]);
    assert_eq!(capture.tally.tcp.anomalies, Default::default());
}

#[test]
fn out_of_order_segments_keep_their_capture_times() {
    let mut builder = three_exchanges(100);
    // The second and third segment of the first request are captured in the wrong order.
    let (second, third) = (builder.packets[4].1.clone(), builder.packets[5].1.clone());
    builder.packets[4].1 = third;
    builder.packets[5].1 = second;
    let capture = read_packets(&builder.packets);
    assert_complete(&capture);
    assert_eq!(capture.tally.tcp.anomalies.out_of_order, 1);
    let first = &capture.requests[0].2;
    assert_eq!(
        (
            first.first_byte_at.0 - CAPTURE_START_NANOS,
            first.last_byte_at.0 - CAPTURE_START_NANOS
        ),
        (4 * NANOS_PER_MS, 7 * NANOS_PER_MS)
    );
}

#[test]
fn copies_are_dropped_and_first_of_conflicting_copies_is_used() {
    let mut builder = three_exchanges(100);
    let copies: Vec<_> = builder
        .packets
        .iter()
        .map(|(time, packet)| (time + NANOS_PER_MS / 2, packet.clone()))
        .collect();
    builder.packets = builder
        .packets
        .into_iter()
        .zip(copies)
        .flat_map(|(packet, copy)| [packet, copy])
        .collect();
    let capture = read_packets(&builder.packets);
    assert_complete(&capture);
    assert!(capture.tally.tcp.anomalies.repeated > 10);
    assert_eq!(capture.tally.tcp.anomalies.conflicting, 0);

    let mut builder = three_exchanges(100);
    // The second segment is copied with other bytes: here after its bytes were delivered, and below while they are
    // buffered behind a gap.
    let mut conflicting = builder.packets[4].1.clone();
    let start = conflicting.len() - 10;
    conflicting[start..].fill(b'#');
    builder
        .packets
        .insert(5, (5 * NANOS_PER_MS, conflicting.clone()));
    let capture = read_packets(&builder.packets);
    assert_complete(&capture);
    assert_eq!(capture.tally.tcp.anomalies.conflicting, 1);

    let mut builder = three_exchanges(100);
    let (time, first) = builder.packets.remove(3);
    builder.packets.insert(4, (5 * NANOS_PER_MS, conflicting));
    builder
        .packets
        .insert(5, (time.max(5 * NANOS_PER_MS), first));
    let capture = read_packets(&builder.packets);
    assert_complete(&capture);
    assert_eq!(capture.tally.tcp.anomalies.conflicting, 1);
}

#[test]
fn overlapping_segments_yield_each_byte_once() {
    let mut conversation = TcpConversation::new(client_address(4000), server_address(), [10, 20]);
    let mut packets: Vec<TimedPacket> = conversation
        .open()
        .into_iter()
        .map(|packet| (NANOS_PER_MS, packet))
        .collect();
    let bytes = request(1, b"0123456789");
    let part = |from: usize, to: usize| {
        segment(
            client_address(4000),
            server_address(),
            11 + from as u32,
            Some(21),
            NO_FLAGS,
            &bytes[from..to],
        )
    };
    for (position, (from, to)) in [(40, 60), (30, 50), (55, 70), (20, 25), (10, 45), (0, 12)]
        .into_iter()
        .enumerate()
    {
        packets.push(((2 + position as u64) * NANOS_PER_MS, part(from, to)));
    }
    packets.push((9 * NANOS_PER_MS, part(5, bytes.len())));
    let capture = read_packets(&packets);
    assert_eq!(capture.request_bodies(), [b"0123456789"]);
    assert_eq!(capture.tally.tcp.anomalies.conflicting, 0);
}

#[test]
fn lost_segment_loses_only_its_own_request() {
    let mut builder = three_exchanges(100);
    builder.packets.remove(4);
    let capture = read_packets(&builder.packets);
    assert_eq!(capture.request_bodies(), [[b'b'; 300], [b'c'; 300]]);
    assert_eq!((capture.tally.holes, capture.tally.missing_bytes), (1, 100));
    let [Found::Skipped {
        side: Side::Client,
        cause: Cause::Hole,
        ..
    }] = capture.skipped[..]
    else {
        panic!("{:?}", capture.skipped)
    };
    // The response to the lost request is not matched to another request.
    let responses: Vec<_> = capture
        .responses
        .iter()
        .map(|(_, request_index, message)| (*request_index, message.status()))
        .collect();
    assert_eq!(responses[1..], [(Some(1), Some(201)), (Some(2), Some(202))]);
}

#[test]
fn gap_is_abandoned_after_its_time_or_byte_limit() {
    // Returns the requests found and the gaps abandoned if the requests after the gap are `interval` ns apart.
    let run = |limits: Limits, interval: u64| {
        let mut builder = CaptureBuilder::open(4000);
        builder.send(Side::Client, &request(1, &[b'a'; 300]), 100);
        builder.packets.remove(4);
        for number in 2..6 {
            builder.elapsed_nanos += interval;
            builder.send(Side::Client, &request(number, &[b'b'; 300]), 100);
        }
        // The capture does not end, so requests are found only if the gap is abandoned.
        let mut pipeline = heathspur_capture::Pipeline::new(Options {
            reassembly: limits,
            ..Options::default()
        });
        let mut requests = 0;
        pipeline.feed(&pcap_file(&builder.packets), |item| {
            requests += u64::from(matches!(item, Item::Message(Found::Request { .. })));
        });
        (requests, pipeline.tally().tcp.abandoned_gaps)
    };
    assert_eq!(run(Limits::default(), 0), (0, 0));
    let (requests, abandoned) = run(Limits::default(), 1000 * NANOS_PER_MS);
    assert!(requests >= 3 && abandoned == 1, "{requests} {abandoned}");
    let (requests, abandoned) = run(
        Limits {
            gap_bytes: 900,
            ..Limits::default()
        },
        0,
    );
    assert!(requests >= 3 && abandoned == 1, "{requests} {abandoned}");
}

#[test]
fn midstream_capture_resumes_at_next_request() {
    let builder = three_exchanges(100);
    for from in 3..builder.packets.len() - 1 {
        let capture = read_packets(&builder.packets[from..]);
        let first = capture.request_bodies().first().map(|body| body[0]);
        assert!(from < 5 || first != Some(b'a'), "{from}");
        for (_, _, message) in &capture.requests {
            assert!(
                message.bytes.starts_with(b"POST /svc/pay HTTP/1.1\r\n"),
                "{from}"
            );
        }
        let Some(Item::Connection(Event::Opened {
            client: found_client,
            start,
            ..
        })) = capture.connections.first()
        else {
            continue;
        };
        assert_eq!(*start, Start::Midstream);
        // If the first segment contains only a part of a body, the side with the lower port is taken for the server.
        // The client has the lower port here, so that guess is wrong.
        assert!(*found_client == client_address(4000) || from > 3, "{from}");
    }
    // If the server's port is configured, the client is always identified.
    let limits = Limits {
        servers: vec![6565],
        ..Limits::default()
    };
    for from in 3..builder.packets.len() - 2 {
        let capture = parse_capture(
            &pcap_file(&builder.packets[from..]),
            Options {
                reassembly: limits.clone(),
                ..Options::default()
            },
            99,
        );
        let Some(Item::Connection(Event::Opened {
            client: found_client,
            ..
        })) = capture.connections.first()
        else {
            panic!()
        };
        assert_eq!(*found_client, client_address(4000), "{from}");
    }
}

#[test]
fn truncated_packet_is_hole_of_known_length() {
    let builder = three_exchanges(100);
    let mut file = heathspur_capture::write::pcap_header(101, 0);
    for (position, (time, packet)) in builder.packets.iter().enumerate() {
        let captured = if position == 5 {
            packet.len() - 30
        } else {
            packet.len()
        };
        let time = heathspur_capture::Timestamp(CAPTURE_START_NANOS + time);
        file.extend(heathspur_capture::write::pcap_record(
            time,
            &packet[..captured],
            packet.len() as u32,
        ));
    }
    let capture = parse_capture(&file, Options::default(), 512);
    assert_eq!(capture.request_bodies(), [[b'b'; 300], [b'c'; 300]]);
    assert_eq!(
        (
            capture.tally.holes,
            capture.tally.missing_bytes,
            capture.tally.truncated_packets
        ),
        (1, 30, 1)
    );
    // The position of the next request is known, so responses are still matched by order.
    let responses: Vec<_> = capture
        .responses
        .iter()
        .map(|(_, request_index, message)| (*request_index, message.status()))
        .collect();
    assert_eq!(
        responses,
        [
            (Some(0), Some(200)),
            (Some(1), Some(201)),
            (Some(2), Some(202))
        ]
    );
}

#[test]
fn fin_or_reset_captured_before_earlier_bytes_loses_nothing() {
    // The FINs are captured before the bytes that precede them.
    let mut builder = three_exchanges(100);
    let fins = builder.packets.split_off(builder.packets.len() - 2);
    for fin in fins {
        builder.packets.insert(3, (3 * NANOS_PER_MS, fin.1));
    }
    let capture = read_packets(&builder.packets);
    assert_complete(&capture);
    assert_eq!(ends(&capture), [End::Closed]);

    // The same applies to a reset.
    let mut builder = CaptureBuilder::open(4000);
    builder.send(Side::Client, &request(1, &[b'a'; 300]), 100);
    let reset = builder.conversation.reset(Side::Client);
    builder.packets.insert(5, (5 * NANOS_PER_MS, reset));
    let capture = read_packets(&builder.packets);
    assert_eq!(capture.request_bodies(), [[b'a'; 300]]);
    assert_eq!(ends(&capture), [End::Reset]);
}

#[test]
fn late_copy_after_close_opens_no_connection() {
    let mut builder = three_exchanges(100);
    let late = builder.packets[4].1.clone();
    builder.push_packet(late);
    let capture = read_packets(&builder.packets);
    assert_complete(&capture);
    assert_eq!(
        (
            capture.tally.tcp.connections,
            capture.tally.tcp.anomalies.after_end
        ),
        (1, 1)
    );
}

#[test]
fn reused_port_is_new_connection_with_or_without_close() {
    for is_closed in [true, false] {
        let mut builder = CaptureBuilder::open(4000);
        builder.send(Side::Client, &request(1, b"old"), 100);
        if is_closed {
            builder.close();
        }
        builder.conversation =
            TcpConversation::new(client_address(4000), server_address(), [5000, 6000]);
        let syn = builder.conversation.open();
        // The SYN is sent twice.
        builder.push_packet(syn[0].clone());
        for packet in syn {
            builder.push_packet(packet);
        }
        builder.send(Side::Client, &request(2, b"new"), 100);
        builder.close();
        let capture = read_packets(&builder.packets);
        assert_eq!(capture.request_bodies(), [b"old", b"new"]);
        assert_eq!(capture.tally.tcp.connections, 2);
        assert_eq!(
            ends(&capture)[0],
            if is_closed {
                End::Closed
            } else {
                End::Replaced
            }
        );
    }
}

#[test]
fn data_in_syn_is_read_and_keep_alive_probe_is_ignored() {
    let bytes = request(1, b"abc");
    let syn = Flags {
        syn: true,
        ..NO_FLAGS
    };
    let packets = [
        (
            NANOS_PER_MS,
            segment(
                client_address(4000),
                server_address(),
                99,
                None,
                syn,
                &bytes[..20],
            ),
        ),
        (
            2 * NANOS_PER_MS,
            segment(
                server_address(),
                client_address(4000),
                49,
                Some(120),
                syn,
                &[],
            ),
        ),
        (
            3 * NANOS_PER_MS,
            segment(
                client_address(4000),
                server_address(),
                120,
                Some(50),
                NO_FLAGS,
                &bytes[20..],
            ),
        ),
        // A keep-alive probe has any value in place of the last byte.
        (
            4 * NANOS_PER_MS,
            segment(
                client_address(4000),
                server_address(),
                99 + bytes.len() as u32,
                Some(50),
                NO_FLAGS,
                b"\0",
            ),
        ),
        (
            5 * NANOS_PER_MS,
            segment(
                client_address(4000),
                server_address(),
                100 + bytes.len() as u32,
                Some(50),
                NO_FLAGS,
                &bytes,
            ),
        ),
    ];
    let capture = read_packets(&packets);
    assert_eq!(capture.request_bodies(), [b"abc", b"abc"]);
    assert_eq!(
        (
            capture.tally.tcp.anomalies.keep_alives,
            capture.tally.tcp.anomalies.conflicting
        ),
        (1, 0)
    );
}

#[test]
fn stray_segments_are_skipped_until_direction_resynchronises() {
    let mut builder = CaptureBuilder::open(4000);
    builder.send(Side::Client, &request(1, b"abc"), 1000);
    let stray = |number: u64, seq: u32| {
        segment(
            client_address(4000),
            server_address(),
            seq,
            Some(91),
            NO_FLAGS,
            &request(number, b"far"),
        )
    };
    let length = request(1, b"far").len() as u32;
    for n in 0..6 {
        builder.push_packet(stray(2 + u64::from(n), 500_000_000 + n * length));
    }
    let capture = read_packets(&builder.packets);
    assert_eq!(capture.requests.len(), 1 + 4);
    assert_eq!(
        (
            capture.tally.tcp.anomalies.stray,
            capture.tally.tcp.anomalies.resynchronised
        ),
        (3, 1)
    );
}

#[test]
fn gaps_are_abandoned_and_counted_when_memory_is_exhausted() {
    let limits = Limits {
        memory: 50_000,
        ..Limits::default()
    };
    let mut packets = Vec::new();
    for port in 0..200 {
        let mut builder = CaptureBuilder::open(4000 + port);
        builder.send(Side::Client, &request(1, &[b'a'; 1500]), 500);
        // The first segment of the request is lost.
        builder.packets.remove(3);
        packets.extend(builder.packets);
    }
    packets.sort_by_key(|(time, _)| *time);
    let capture = parse_capture(
        &pcap_file(&packets),
        Options {
            reassembly: limits,
            ..Options::default()
        },
        100,
    );
    assert!(
        capture.max_buffered_bytes < 51_000 + 200 * 1600,
        "{}",
        capture.max_buffered_bytes
    );
    assert!(
        capture.tally.tcp.gaps_abandoned_for_memory > 100,
        "{:?}",
        capture.tally.tcp
    );
    assert_eq!(capture.tally.holes, 200);
}

#[test]
fn flood_of_connections_evicts_those_idle_for_longest() {
    let limits = Limits {
        connections: 64,
        ..Limits::default()
    };
    let mut builder = CaptureBuilder::open(4000);
    for port in 0..1000 {
        let mut other = CaptureBuilder::open(10_000 + port);
        other.send(Side::Client, &request(1, b"x"), 1000);
        for (_, packet) in other.packets {
            builder.push_packet(packet);
        }
        // The connection that remains active is not evicted.
        builder.send(Side::Client, &request(u64::from(port), b"stay"), 1000);
    }
    let capture = parse_capture(
        &pcap_file(&builder.packets),
        Options {
            reassembly: limits,
            ..Options::default()
        },
        1000,
    );
    assert_eq!(capture.requests.len(), 2000);
    assert!(capture.tally.tcp.evicted > 900);
    assert_eq!(capture.tally.tcp.connections, 1001);
}

#[test]
fn chunked_oversized_bodiless_and_unterminated_messages_are_delimited() {
    let mut builder = CaptureBuilder::open(4000);
    let chunked = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;x=1\r\nabcd\r\n2\r\nef\r\n0\r\nX-Sum: 1\r\n\r\n";
    let oversized = request(2, &vec![b'x'; 2 << 20]);
    builder.send(Side::Client, chunked, 7);
    builder.send(Side::Client, &oversized, 16_000);
    builder.send(Side::Client, b"HEAD /b HTTP/1.1\r\n\r\n", 100);
    builder.send(Side::Client, &request(3, b"last"), 100);
    builder.send(Side::Server, b"HTTP/1.1 100 Continue\r\n\r\n", 100);
    for status in [201, 202] {
        builder.send(Side::Server, &response(status, b"x"), 100);
    }
    builder.send(
        Side::Server,
        b"HTTP/1.1 203 To a HEAD\r\nContent-Length: 900\r\n\r\n",
        100,
    );
    builder.send(
        Side::Server,
        b"HTTP/1.1 204 Nothing\r\n\r\nHTTP/1.1 200 Unasked\r\n\r\nup to the end",
        100,
    );
    builder.close();
    let capture = read_packets(&builder.packets);
    let requests: Vec<_> = capture
        .requests
        .iter()
        .map(|(_, index, message)| (*index, message.bytes.len()))
        .collect();
    assert_eq!(requests[..2], [(0, chunked.len()), (2, 20)]);
    assert_eq!(requests[2].0, 3);
    let [Found::Skipped {
        cause: Cause::TooLarge,
        bytes,
        ..
    }] = capture.skipped[..]
    else {
        panic!("{:?}", capture.skipped)
    };
    assert_eq!(bytes, oversized.len() as u64);
    let responses: Vec<_> = capture
        .responses
        .iter()
        .map(|(_, request_index, message)| {
            (
                *request_index,
                message.status().unwrap(),
                message.body().len(),
            )
        })
        .collect();
    assert_eq!(
        responses,
        [
            (Some(0), 201, 1),
            (Some(1), 202, 1),
            (Some(2), 203, 0),
            (Some(3), 204, 0),
            (None, 200, 13)
        ]
    );
}

#[test]
fn causes_of_skipped_bytes_print_labels_of_heathspurctl_output() {
    for (cause, label) in [
        (Cause::Hole, "Hole"),
        (Cause::TooLarge, "TooLarge"),
        (Cause::NotHttp, "NotHttp"),
        (Cause::Truncated, "Cut"),
        (Cause::Memory, "Memory"),
    ] {
        assert_eq!(format!("{cause:?}"), label);
    }
}
