//! Any bytes and any disorder: nothing panics, bounds hold, and what is whole comes out as it went in.

use heathspur_capture::reassembly::Limits;
use heathspur_capture::{exchange, Options, Side};
use heathspur_testkit::capture::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// The same cases on every machine and run.
fn seeded(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// Conversations side by side, with request bodies of these lengths.
fn conversations(bodies: &[Vec<u16>], segment: usize) -> (Vec<TimedPacket>, Vec<Vec<Vec<u8>>>) {
    let (mut packets, mut sent) = (Vec::new(), Vec::new());
    for (n, bodies) in bodies.iter().enumerate() {
        let mut script = CaptureBuilder::open(4000 + n as u16);
        let mut bytes = Vec::new();
        for (i, &length) in bodies.iter().enumerate() {
            let body: Vec<u8> = (0..length)
                .map(|b| (usize::from(b) * 7 + i + n) as u8)
                .collect();
            let request = request(i as u64, &body);
            script.send(Side::Client, &request, segment);
            script.send(Side::Server, &response(200, b"ok"), 1000);
            bytes.push(request);
        }
        script.close();
        packets.extend(script.packets);
        sent.push(bytes);
    }
    packets.sort_by_key(|(at, _)| *at);
    (packets, sent)
}

fn requests_by_connection(read: &ParsedCapture) -> Vec<Vec<Vec<u8>>> {
    let mut by_port: std::collections::BTreeMap<_, Vec<Vec<u8>>> = Default::default();
    let mut ports = std::collections::BTreeMap::new();
    for item in &read.connections {
        if let heathspur_capture::Item::Connection(heathspur_capture::reassembly::Event::Opened {
            conn,
            client,
            ..
        }) = item
        {
            ports.insert(*conn, *client);
        }
    }
    for (conn, _, message) in &read.requests {
        by_port
            .entry(ports[conn])
            .or_default()
            .push(message.bytes.to_vec());
    }
    by_port.into_values().collect()
}

#[test]
fn reordered_and_repeated_captures_give_every_request_byte_for_byte() {
    let bodies = prop::collection::vec(prop::collection::vec(0_u16..900, 1..5), 1..5);
    // How far each packet slips back, and whether a copy follows.
    let slips = prop::collection::vec((0_u64..12, any::<bool>()), 400);
    seeded(150)
        .run(
            &(bodies, 30_usize..700, slips),
            |(bodies, segment, slips)| {
                let (packets, sent) = conversations(&bodies, segment);
                let mut scrambled = Vec::new();
                for (at, (time, packet)) in packets.into_iter().enumerate() {
                    let (slip, copy) = slips[at % slips.len()];
                    // A handshake out of order is another test's matter.
                    let slip = if time <= 3 * NANOS_PER_MS {
                        0
                    } else {
                        slip * NANOS_PER_MS
                    };
                    if copy {
                        scrambled.push((time + slip + 20 * NANOS_PER_MS, packet.clone()));
                    }
                    scrambled.push((time + slip, packet));
                }
                scrambled.sort_by_key(|(at, _)| *at);
                let read = parse_capture(&pcap_file(&scrambled), Options::default(), 333);
                prop_assert_eq!(requests_by_connection(&read), sent);
                prop_assert_eq!(read.tally.holes, 0);
                prop_assert_eq!(read.tally.tcp.odd.conflicting, 0);
                prop_assert!(read.responses.iter().all(|(_, to, _)| to.is_some()));
                Ok(())
            },
        )
        .unwrap();
}

#[test]
fn requests_whose_every_packet_was_captured_survive_the_loss_of_others() {
    let bodies = prop::collection::vec(prop::collection::vec(100_u16..900, 2..6), 1..4);
    let lost = prop::collection::vec(0_usize..200, 1..8);
    seeded(150)
        .run(&(bodies, 50_usize..400, lost), |(bodies, segment, lost)| {
            let (packets, sent) = conversations(&bodies, segment);
            let keep = |(at, (time, _)): &(usize, TimedPacket)| {
                *time <= 3 * NANOS_PER_MS || !lost.contains(&(at % 200))
            };
            let kept: Vec<TimedPacket> = packets
                .into_iter()
                .enumerate()
                .filter(keep)
                .map(|(_, p)| p)
                .collect();
            let read = parse_capture(&pcap_file(&kept), Options::default(), 1 << 16);
            for (found, sent) in requests_by_connection(&read).iter().zip(&sent) {
                // What comes out is a part of what went in, in its order, and never made up.
                let mut rest = sent.iter();
                for request in found {
                    prop_assert!(rest.any(|one| one == request));
                }
            }
            let whole: usize = read.requests.len();
            prop_assert!(whole + 2 * lost.len() * 4 >= sent.iter().map(Vec::len).sum::<usize>());
            Ok(())
        })
        .unwrap();
}

/// Small bounds, so that they are met.
fn tight() -> Options {
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
fn any_bytes_are_taken_within_the_bounds() {
    let bytes = prop::collection::vec(any::<u8>(), 0..2000);
    let heads = prop::sample::select(vec![
        heathspur_capture::write::pcap_header(1, 0),
        heathspur_capture::write::pcap_header(101, 0),
        heathspur_capture::write::ng_start(&["a", "b"]),
        Vec::new(),
    ]);
    seeded(400)
        .run(&(heads, bytes, 1_usize..300), |(head, bytes, piece)| {
            let read = parse_capture(&[head, bytes].concat(), tight(), piece);
            prop_assert!(read.max_buffered_bytes <= 16_000);
            Ok(())
        })
        .unwrap();
}

#[test]
fn captures_with_bytes_changed_anywhere_are_taken_within_the_bounds() {
    let bodies = prop::collection::vec(prop::collection::vec(0_u16..600, 1..5), 1..12);
    let changes = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..60);
    seeded(300)
        .run(
            &(bodies, 20_usize..500, changes, any::<bool>()),
            |(bodies, segment, changes, ng)| {
                let (packets, _) = conversations(&bodies, segment);
                let mut file = if ng {
                    heathspur_capture::write::ng_start(&["a"])
                } else {
                    pcap_file(&[])
                };
                for (at, packet) in &packets {
                    let (time, length) = (
                        heathspur_capture::Stamp(CAPTURE_START_NANOS + at),
                        packet.len() as u32,
                    );
                    file.extend(match ng {
                        true => heathspur_capture::write::ng_packet(0, time, packet, length, ""),
                        false => heathspur_capture::write::pcap_record(time, packet, length),
                    });
                }
                for (at, byte) in changes {
                    let at = at.index(file.len());
                    file[at] = byte;
                }
                let read = parse_capture(&file, tight(), 700);
                prop_assert!(
                    read.max_buffered_bytes <= 16_000,
                    "{}",
                    read.max_buffered_bytes
                );
                Ok(())
            },
        )
        .unwrap();
}
