//! Connections out of damaged captures: what can be put together is, and the rest is counted by its cause.

use heathspur_capture::exchange::{Cause, Found};
use heathspur_capture::reassembly::{End, Event, Limits, Start};
use heathspur_capture::write::{segment, Flags, TcpConversation};
use heathspur_capture::{Item, Options, Side};
use heathspur_testkit::capture::*;

const NONE: Flags = Flags {
    syn: false,
    fin: false,
    rst: false,
};

fn all(packets: &[TimedPacket]) -> ParsedCapture {
    parse_capture(&pcap_file(packets), Options::default(), 1000)
}

/// A client's three requests, in segments of that length, with answers behind each.
fn three(segment: usize) -> CaptureBuilder {
    let mut script = CaptureBuilder::open(4000);
    for number in 0..3 {
        script.send(
            Side::Client,
            &request(number, &[b'a' + number as u8; 300]),
            segment,
        );
        script.send(Side::Server, &response(200 + number as u16, b"done"), 1000);
    }
    script.close();
    script
}

fn is_whole(read: &ParsedCapture) {
    assert_eq!(
        read.request_bodies(),
        [[b'a'; 300], [b'b'; 300], [b'c'; 300]]
    );
    let answers: Vec<_> = read
        .responses
        .iter()
        .map(|(_, to, m)| (*to, m.status()))
        .collect();
    assert_eq!(
        answers,
        [
            (Some(0), Some(200)),
            (Some(1), Some(201)),
            (Some(2), Some(202))
        ]
    );
    assert_eq!(read.skipped, []);
    assert_eq!(read.tally.holes, 0);
}

fn ends(read: &ParsedCapture) -> Vec<End> {
    let end = |item: &Item| match item {
        Item::Connection(Event::Closed { end, .. }) => Some(*end),
        _ => None,
    };
    read.connections.iter().filter_map(end).collect()
}

#[test]
fn what_came_in_order_is_put_together_across_a_wrap_of_the_numbers() {
    // The client's first number lies 700 below the wrap.
    let read = all(&three(50).packets);
    is_whole(&read);
    assert_eq!(ends(&read), [End::Closed]);
    assert_eq!(read.tally.tcp.odd, Default::default());
}

#[test]
fn segments_out_of_order_keep_the_time_of_their_own_capture() {
    let mut script = three(100);
    // The first request's second and third segment change places, and their bytes their times.
    let (second, third) = (script.packets[4].1.clone(), script.packets[5].1.clone());
    script.packets[4].1 = third;
    script.packets[5].1 = second;
    let read = all(&script.packets);
    is_whole(&read);
    assert_eq!(read.tally.tcp.odd.out_of_order, 1);
    let first = &read.requests[0].2;
    assert_eq!(
        (
            first.first.0 - CAPTURE_START_NANOS,
            first.last.0 - CAPTURE_START_NANOS
        ),
        (4 * NANOS_PER_MS, 7 * NANOS_PER_MS)
    );
}

#[test]
fn copies_are_dropped_and_the_first_of_two_that_differ_stands() {
    let mut script = three(100);
    let copies: Vec<_> = script
        .packets
        .iter()
        .map(|(at, p)| (at + NANOS_PER_MS / 2, p.clone()))
        .collect();
    script.packets = script
        .packets
        .into_iter()
        .zip(copies)
        .flat_map(|(a, b)| [a, b])
        .collect();
    let read = all(&script.packets);
    is_whole(&read);
    assert!(read.tally.tcp.odd.repeated > 10);
    assert_eq!(read.tally.tcp.odd.conflicting, 0);

    let mut script = three(100);
    // A copy of the second segment with other bytes, once after it was given and once while it waits.
    let mut other = script.packets[4].1.clone();
    let at = other.len() - 10;
    other[at..].fill(b'#');
    script.packets.insert(5, (5 * NANOS_PER_MS, other.clone()));
    let read = all(&script.packets);
    is_whole(&read);
    assert_eq!(read.tally.tcp.odd.conflicting, 1);

    let mut script = three(100);
    let (time, first) = script.packets.remove(3);
    script.packets.insert(4, (5 * NANOS_PER_MS, other));
    script
        .packets
        .insert(5, (time.max(5 * NANOS_PER_MS), first));
    let read = all(&script.packets);
    is_whole(&read);
    assert_eq!(read.tally.tcp.odd.conflicting, 1);
}

#[test]
fn segments_that_overlap_in_part_give_each_byte_once() {
    let mut talk = TcpConversation::new(client_address(4000), server_address(), [10, 20]);
    let mut packets: Vec<TimedPacket> =
        talk.open().into_iter().map(|p| (NANOS_PER_MS, p)).collect();
    let bytes = request(1, b"0123456789");
    let part = |from: usize, to: usize| {
        segment(
            client_address(4000),
            server_address(),
            (11 + from as u32, Some(21)),
            NONE,
            &bytes[from..to],
        )
    };
    for (at, (from, to)) in [(40, 60), (30, 50), (55, 70), (20, 25), (10, 45), (0, 12)]
        .into_iter()
        .enumerate()
    {
        packets.push(((2 + at as u64) * NANOS_PER_MS, part(from, to)));
    }
    packets.push((9 * NANOS_PER_MS, part(5, bytes.len())));
    let read = all(&packets);
    assert_eq!(read.request_bodies(), [b"0123456789"]);
    assert_eq!(read.tally.tcp.odd.conflicting, 0);
}

#[test]
fn a_hole_that_never_fills_costs_the_request_it_hits_and_no_other() {
    let mut script = three(100);
    script.packets.remove(4);
    let read = all(&script.packets);
    assert_eq!(read.request_bodies(), [[b'b'; 300], [b'c'; 300]]);
    assert_eq!((read.tally.holes, read.tally.missing_bytes), (1, 100));
    let [Found::Passed {
        side: Side::Client,
        cause: Cause::Hole,
        ..
    }] = read.skipped[..]
    else {
        panic!("{:?}", read.skipped)
    };
    // The answer to what was lost is not taken for another's.
    let answers: Vec<_> = read
        .responses
        .iter()
        .map(|(_, to, m)| (*to, m.status()))
        .collect();
    assert_eq!(answers[1..], [(Some(1), Some(201)), (Some(2), Some(202))]);
}

#[test]
fn a_hole_is_given_up_after_its_time_and_after_its_bytes() {
    let run = |limits: Limits, late: u64| {
        let mut script = CaptureBuilder::open(4000);
        script.send(Side::Client, &request(1, &[b'a'; 300]), 100);
        script.packets.remove(4);
        for number in 2..6 {
            script.elapsed_nanos += late;
            script.send(Side::Client, &request(number, &[b'b'; 300]), 100);
        }
        // Nothing ends: what is given was given up.
        let mut pipeline = heathspur_capture::Pipeline::new(Options {
            reassembly: limits,
            ..Options::default()
        });
        let mut requests = 0;
        pipeline.feed(&pcap_file(&script.packets), |item| {
            requests += u64::from(matches!(item, Item::Message(Found::Request { .. })));
        });
        (requests, pipeline.tally().tcp.gaps_given_up)
    };
    assert_eq!(run(Limits::default(), 0), (0, 0));
    let (requests, given_up) = run(Limits::default(), 1000 * NANOS_PER_MS);
    assert!(requests >= 3 && given_up == 1, "{requests} {given_up}");
    let (requests, given_up) = run(
        Limits {
            gap_bytes: 900,
            ..Limits::default()
        },
        0,
    );
    assert!(requests >= 3 && given_up == 1, "{requests} {given_up}");
}

#[test]
fn a_capture_that_starts_in_the_middle_goes_on_at_the_next_request() {
    let script = three(100);
    for from in 3..script.packets.len() - 1 {
        let read = all(&script.packets[from..]);
        let first = read.request_bodies().first().map(|body| body[0]);
        assert!(from < 5 || first != Some(b'a'), "{from}");
        for (_, _, message) in &read.requests {
            assert!(
                message.bytes.starts_with(b"POST /svc/pay HTTP/1.1\r\n"),
                "{from}"
            );
        }
        let Some(Item::Connection(Event::Opened {
            client: c, start, ..
        })) = read.connections.first()
        else {
            continue;
        };
        assert_eq!(*start, Start::Middle);
        // Bytes of a body alone tell nothing: then the port does, and the server's is the lower one here.
        assert!(*c == client_address(4000) || from > 3, "{from}");
    }
    // Ports that are named settle it.
    let limits = Limits {
        servers: vec![6565],
        ..Limits::default()
    };
    for from in 3..script.packets.len() - 2 {
        let read = parse_capture(
            &pcap_file(&script.packets[from..]),
            Options {
                reassembly: limits.clone(),
                ..Options::default()
            },
            99,
        );
        let Some(Item::Connection(Event::Opened { client: c, .. })) = read.connections.first()
        else {
            panic!()
        };
        assert_eq!(*c, client_address(4000), "{from}");
    }
}

#[test]
fn cut_packets_are_holes_of_a_known_length() {
    let script = three(100);
    let mut file = heathspur_capture::write::pcap_header(101, 0);
    for (at, (time, packet)) in script.packets.iter().enumerate() {
        let kept = if at == 5 {
            packet.len() - 30
        } else {
            packet.len()
        };
        let time = heathspur_capture::Stamp(CAPTURE_START_NANOS + time);
        file.extend(heathspur_capture::write::pcap_record(
            time,
            &packet[..kept],
            packet.len() as u32,
        ));
    }
    let read = parse_capture(&file, Options::default(), 512);
    assert_eq!(read.request_bodies(), [[b'b'; 300], [b'c'; 300]]);
    assert_eq!(
        (
            read.tally.holes,
            read.tally.missing_bytes,
            read.tally.cut_packets
        ),
        (1, 30, 1)
    );
    // The place of the next request was known, so order still tells whose answer is whose.
    let answers: Vec<_> = read
        .responses
        .iter()
        .map(|(_, to, m)| (*to, m.status()))
        .collect();
    assert_eq!(
        answers,
        [
            (Some(0), Some(200)),
            (Some(1), Some(201)),
            (Some(2), Some(202))
        ]
    );
}

#[test]
fn ends_in_any_order_lose_nothing_that_was_captured() {
    // FINs come before the bytes that they follow.
    let mut script = three(100);
    let fins = script.packets.split_off(script.packets.len() - 2);
    for fin in fins {
        script.packets.insert(3, (3 * NANOS_PER_MS, fin.1));
    }
    let read = all(&script.packets);
    is_whole(&read);
    assert_eq!(ends(&read), [End::Closed]);

    // So does a reset.
    let mut script = CaptureBuilder::open(4000);
    script.send(Side::Client, &request(1, &[b'a'; 300]), 100);
    let reset = script.conversation.reset(Side::Client);
    script.packets.insert(5, (5 * NANOS_PER_MS, reset));
    let read = all(&script.packets);
    assert_eq!(read.request_bodies(), [[b'a'; 300]]);
    assert_eq!(ends(&read), [End::Reset]);
}

#[test]
fn late_copies_of_a_connection_that_is_over_open_no_new_one() {
    let mut script = three(100);
    let late = script.packets[4].1.clone();
    script.push_packet(late);
    let read = all(&script.packets);
    is_whole(&read);
    assert_eq!(
        (read.tally.tcp.connections, read.tally.tcp.odd.after_end),
        (1, 1)
    );
}

#[test]
fn a_port_used_again_is_a_new_connection_whether_the_old_one_ended_or_not() {
    for ended in [true, false] {
        let mut script = CaptureBuilder::open(4000);
        script.send(Side::Client, &request(1, b"old"), 100);
        if ended {
            script.close();
        }
        script.conversation =
            TcpConversation::new(client_address(4000), server_address(), [5000, 6000]);
        let syn = script.conversation.open();
        // The SYN is sent twice.
        script.push_packet(syn[0].clone());
        for packet in syn {
            script.push_packet(packet);
        }
        script.send(Side::Client, &request(2, b"new"), 100);
        script.close();
        let read = all(&script.packets);
        assert_eq!(read.request_bodies(), [b"old", b"new"]);
        assert_eq!(read.tally.tcp.connections, 2);
        assert_eq!(
            ends(&read)[0],
            if ended { End::Closed } else { End::Replaced }
        );
    }
}

#[test]
fn data_in_the_syn_and_probes_of_an_idle_connection_are_told_apart() {
    let bytes = request(1, b"abc");
    let syn = Flags { syn: true, ..NONE };
    let packets = [
        (
            NANOS_PER_MS,
            segment(
                client_address(4000),
                server_address(),
                (99, None),
                syn,
                &bytes[..20],
            ),
        ),
        (
            2 * NANOS_PER_MS,
            segment(
                server_address(),
                client_address(4000),
                (49, Some(120)),
                syn,
                &[],
            ),
        ),
        (
            3 * NANOS_PER_MS,
            segment(
                client_address(4000),
                server_address(),
                (120, Some(50)),
                NONE,
                &bytes[20..],
            ),
        ),
        // The byte before the next, with a value of its own.
        (
            4 * NANOS_PER_MS,
            segment(
                client_address(4000),
                server_address(),
                (99 + bytes.len() as u32, Some(50)),
                NONE,
                b"\0",
            ),
        ),
        (
            5 * NANOS_PER_MS,
            segment(
                client_address(4000),
                server_address(),
                (100 + bytes.len() as u32, Some(50)),
                NONE,
                &bytes,
            ),
        ),
    ];
    let read = all(&packets);
    assert_eq!(read.request_bodies(), [b"abc", b"abc"]);
    assert_eq!(
        (
            read.tally.tcp.odd.keep_alives,
            read.tally.tcp.odd.conflicting
        ),
        (1, 0)
    );
}

#[test]
fn strays_are_left_out_until_they_are_the_rule() {
    let mut script = CaptureBuilder::open(4000);
    script.send(Side::Client, &request(1, b"abc"), 1000);
    let far = |number: u64, seq: u32| {
        segment(
            client_address(4000),
            server_address(),
            (seq, Some(91)),
            NONE,
            &request(number, b"far"),
        )
    };
    let length = request(1, b"far").len() as u32;
    for n in 0..6 {
        script.push_packet(far(2 + u64::from(n), 500_000_000 + n * length));
    }
    let read = all(&script.packets);
    assert_eq!(read.requests.len(), 1 + 4);
    assert_eq!(
        (read.tally.tcp.odd.stray, read.tally.tcp.odd.resynchronised),
        (3, 1)
    );
}

#[test]
fn memory_is_bounded_over_all_connections_and_what_gives_way_is_counted() {
    let limits = Limits {
        memory: 50_000,
        ..Limits::default()
    };
    let mut packets = Vec::new();
    for port in 0..200 {
        let mut script = CaptureBuilder::open(4000 + port);
        script.send(Side::Client, &request(1, &[b'a'; 1500]), 500);
        // The first segment never comes.
        script.packets.remove(3);
        packets.extend(script.packets);
    }
    packets.sort_by_key(|(at, _)| *at);
    let read = parse_capture(
        &pcap_file(&packets),
        Options {
            reassembly: limits,
            ..Options::default()
        },
        100,
    );
    assert!(
        read.max_buffered_bytes < 51_000 + 200 * 1600,
        "{}",
        read.max_buffered_bytes
    );
    assert!(read.tally.tcp.gaps_for_memory > 100, "{:?}", read.tally.tcp);
    assert_eq!(read.tally.holes, 200);
}

#[test]
fn a_flood_of_connections_pushes_the_longest_unseen_out() {
    let limits = Limits {
        connections: 64,
        ..Limits::default()
    };
    let mut script = CaptureBuilder::open(4000);
    for port in 0..1000 {
        let mut other = CaptureBuilder::open(10_000 + port);
        other.send(Side::Client, &request(1, b"x"), 1000);
        for (_, packet) in other.packets {
            script.push_packet(packet);
        }
        // One that goes on talking stays.
        script.send(Side::Client, &request(u64::from(port), b"stay"), 1000);
    }
    let read = parse_capture(
        &pcap_file(&script.packets),
        Options {
            reassembly: limits,
            ..Options::default()
        },
        1000,
    );
    assert_eq!(read.requests.len(), 2000);
    assert!(read.tally.tcp.evicted > 900);
    assert_eq!(read.tally.tcp.connections, 1001);
}

#[test]
fn chunked_large_and_open_ended_messages_are_told_apart() {
    let mut script = CaptureBuilder::open(4000);
    let chunked = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;x=1\r\nabcd\r\n2\r\nef\r\n0\r\nX-Sum: 1\r\n\r\n";
    let large = request(2, &vec![b'x'; 2 << 20]);
    script.send(Side::Client, chunked, 7);
    script.send(Side::Client, &large, 16_000);
    script.send(Side::Client, b"HEAD /b HTTP/1.1\r\n\r\n", 100);
    script.send(Side::Client, &request(3, b"last"), 100);
    script.send(Side::Server, b"HTTP/1.1 100 Continue\r\n\r\n", 100);
    for status in [201, 202] {
        script.send(Side::Server, &response(status, b"x"), 100);
    }
    script.send(
        Side::Server,
        b"HTTP/1.1 203 To a HEAD\r\nContent-Length: 900\r\n\r\n",
        100,
    );
    script.send(
        Side::Server,
        b"HTTP/1.1 204 Nothing\r\n\r\nHTTP/1.1 200 Unasked\r\n\r\nup to the end",
        100,
    );
    script.close();
    let read = all(&script.packets);
    let requests: Vec<_> = read
        .requests
        .iter()
        .map(|(_, index, m)| (*index, m.bytes.len()))
        .collect();
    assert_eq!(requests[..2], [(0, chunked.len()), (2, 20)]);
    assert_eq!(requests[2].0, 3);
    let [Found::Passed {
        cause: Cause::TooLarge,
        bytes,
        ..
    }] = read.skipped[..]
    else {
        panic!("{:?}", read.skipped)
    };
    assert_eq!(bytes, large.len() as u64);
    let answers: Vec<_> = read
        .responses
        .iter()
        .map(|(_, to, m)| (*to, m.status().unwrap(), m.body().len()))
        .collect();
    assert_eq!(
        answers,
        [
            (Some(0), 201, 1),
            (Some(1), 202, 1),
            (Some(2), 203, 0),
            (Some(3), 204, 0),
            (None, 200, 13)
        ]
    );
}
