//! Property tests of the capture pipeline with reordered, duplicated, lost, changed and random bytes. Nothing panics,
//! memory stays bounded, and requests that were captured completely are returned unchanged.

use heathspur_capture::reassembly::Limits;
use heathspur_capture::{exchange, Options, Side};
use heathspur_testkit::capture::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Returns a test runner with a fixed seed, so that every run tests the same cases.
fn seeded_runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// Returns the packets of concurrent conversations, and the requests of each conversation. `body_lengths` are the
/// lengths of the request bodies of each conversation.
fn conversations(
    body_lengths: &[Vec<u16>],
    segment_len: usize,
) -> (Vec<TimedPacket>, Vec<Vec<Vec<u8>>>) {
    let (mut packets, mut sent) = (Vec::new(), Vec::new());
    for (conversation, lengths) in body_lengths.iter().enumerate() {
        let mut builder = CaptureBuilder::open(4000 + conversation as u16);
        let mut requests = Vec::new();
        for (number, &length) in lengths.iter().enumerate() {
            let body: Vec<u8> = (0..length)
                .map(|position| (usize::from(position) * 7 + number + conversation) as u8)
                .collect();
            let request = request(number as u64, &body);
            builder.send(Side::Client, &request, segment_len);
            builder.send(Side::Server, &response(200, b"ok"), 1000);
            requests.push(request);
        }
        builder.close();
        packets.extend(builder.packets);
        sent.push(requests);
    }
    packets.sort_by_key(|(at, _)| *at);
    (packets, sent)
}

/// Returns the requests that were read, grouped by the client's port.
fn requests_by_connection(capture: &ParsedCapture) -> Vec<Vec<Vec<u8>>> {
    let mut by_port: std::collections::BTreeMap<_, Vec<Vec<u8>>> = Default::default();
    let mut ports = std::collections::BTreeMap::new();
    for item in &capture.connections {
        if let heathspur_capture::Item::Connection(heathspur_capture::reassembly::Event::Opened {
            connection,
            client,
            ..
        }) = item
        {
            ports.insert(*connection, *client);
        }
    }
    for (connection, _, message) in &capture.requests {
        by_port
            .entry(ports[connection])
            .or_default()
            .push(message.bytes.to_vec());
    }
    by_port.into_values().collect()
}

#[test]
fn reordered_and_duplicated_packets_yield_every_request_unchanged() {
    let body_lengths = prop::collection::vec(prop::collection::vec(0_u16..900, 1..5), 1..5);
    // The delay of each packet in milliseconds, and whether a copy follows.
    let delays = prop::collection::vec((0_u64..12, any::<bool>()), 400);
    seeded_runner(150)
        .run(
            &(body_lengths, 30_usize..700, delays),
            |(body_lengths, segment_len, delays)| {
                let (packets, sent) = conversations(&body_lengths, segment_len);
                let mut reordered = Vec::new();
                for (position, (time, packet)) in packets.into_iter().enumerate() {
                    let (delay, is_duplicated) = delays[position % delays.len()];
                    // Packets of the handshake stay in order.
                    let delay = if time <= 3 * NANOS_PER_MS {
                        0
                    } else {
                        delay * NANOS_PER_MS
                    };
                    if is_duplicated {
                        reordered.push((time + delay + 20 * NANOS_PER_MS, packet.clone()));
                    }
                    reordered.push((time + delay, packet));
                }
                reordered.sort_by_key(|(time, _)| *time);
                let capture = parse_capture(&pcap_file(&reordered), Options::default(), 333);
                prop_assert_eq!(requests_by_connection(&capture), sent);
                prop_assert_eq!(capture.tally.holes, 0);
                prop_assert_eq!(capture.tally.tcp.anomalies.conflicting, 0);
                prop_assert!(capture
                    .responses
                    .iter()
                    .all(|(_, request_index, _)| request_index.is_some()));
                Ok(())
            },
        )
        .unwrap();
}

#[test]
fn lost_packets_cost_only_nearby_requests() {
    let body_lengths = prop::collection::vec(prop::collection::vec(100_u16..900, 2..6), 1..4);
    let lost = prop::collection::vec(0_usize..200, 1..8);
    seeded_runner(150)
        .run(
            &(body_lengths, 50_usize..400, lost),
            |(body_lengths, segment_len, lost)| {
                let (packets, sent) = conversations(&body_lengths, segment_len);
                let is_captured = |(position, (time, _)): &(usize, TimedPacket)| {
                    *time <= 3 * NANOS_PER_MS || !lost.contains(&(position % 200))
                };
                let captured: Vec<TimedPacket> = packets
                    .into_iter()
                    .enumerate()
                    .filter(is_captured)
                    .map(|(_, packet)| packet)
                    .collect();
                let capture = parse_capture(&pcap_file(&captured), Options::default(), 1 << 16);
                for (found, sent) in requests_by_connection(&capture).iter().zip(&sent) {
                    // Each request that is found was sent, and the order is that of sending.
                    let mut remaining = sent.iter();
                    for request in found {
                        prop_assert!(remaining.any(|sent| sent == request));
                    }
                }
                let found: usize = capture.requests.len();
                let sent: usize = sent.iter().map(Vec::len).sum();
                prop_assert!(found + 2 * lost.len() * 4 >= sent);
                Ok(())
            },
        )
        .unwrap();
}

/// Returns options with small bounds, so that the tests reach them.
fn small_bounds() -> Options {
    Options {
        checksums: false,
        reassembly: Limits {
            connections: 8,
            memory: 4000,
            gap_bytes: 1500,
            ..Limits::default()
        },
        exchange: exchange::Limits {
            head: 600,
            message: 2000,
            memory: 5000,
            open: 4,
        },
    }
}

#[test]
fn random_bytes_are_processed_within_memory_bounds() {
    let bytes = prop::collection::vec(any::<u8>(), 0..2000);
    let heads = prop::sample::select(vec![
        heathspur_capture::write::pcap_header(1, 0),
        heathspur_capture::write::pcap_header(101, 0),
        heathspur_capture::write::pcapng_start(&["a", "b"]),
        Vec::new(),
    ]);
    seeded_runner(400)
        .run(
            &(heads, bytes, 1_usize..300),
            |(head, bytes, chunk_size)| {
                let capture = parse_capture(&[head, bytes].concat(), small_bounds(), chunk_size);
                prop_assert!(capture.max_buffered_bytes <= 16_000);
                Ok(())
            },
        )
        .unwrap();
}

#[test]
fn corrupted_captures_are_processed_within_memory_bounds() {
    let body_lengths = prop::collection::vec(prop::collection::vec(0_u16..600, 1..5), 1..12);
    let changes = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..60);
    seeded_runner(300)
        .run(
            &(body_lengths, 20_usize..500, changes, any::<bool>()),
            |(body_lengths, segment_len, changes, is_pcapng)| {
                let (packets, _) = conversations(&body_lengths, segment_len);
                let mut file = if is_pcapng {
                    heathspur_capture::write::pcapng_start(&["a"])
                } else {
                    pcap_file(&[])
                };
                for (time, packet) in &packets {
                    let (time, length) = (
                        heathspur_capture::Timestamp(CAPTURE_START_NANOS + time),
                        packet.len() as u32,
                    );
                    file.extend(match is_pcapng {
                        true => {
                            heathspur_capture::write::pcapng_packet(0, time, packet, length, "")
                        }
                        false => heathspur_capture::write::pcap_record(time, packet, length),
                    });
                }
                for (position, byte) in changes {
                    let position = position.index(file.len());
                    file[position] = byte;
                }
                let capture = parse_capture(&file, small_bounds(), 700);
                prop_assert!(
                    capture.max_buffered_bytes <= 16_000,
                    "{}",
                    capture.max_buffered_bytes
                );
                Ok(())
            },
        )
        .unwrap();
}
