//! Tests of the reader of capture files: pcap and pcapng, complete and damaged.

use heathspur_capture::file::{FileError, FileErrorKind, LinkType, Reader};
use heathspur_capture::write;
use heathspur_testkit::capture::*;

/// The time in nanoseconds, data, wire length and link type of a packet.
type PacketFields = (u64, Vec<u8>, u32, LinkType);

/// Reads a file that is fed in chunks of this size. Returns the packets, and how reading ended.
fn packets(file: &[u8], chunk_size: usize) -> (Vec<PacketFields>, Result<(), FileError>) {
    let mut reader = Reader::new();
    let mut packets = Vec::new();
    for chunk in file.chunks(chunk_size) {
        reader.feed(chunk);
        loop {
            match reader.next_packet() {
                Ok(Some(packet)) => packets.push((
                    packet.time.0,
                    packet.data.to_vec(),
                    packet.wire_len,
                    packet.link,
                )),
                Ok(None) => break,
                Err(error) => return (packets, Err(error)),
            }
        }
    }
    let end = reader.finish();
    (packets, end)
}

/// Returns a pcap file. Each record has its seconds, its micro- or nanoseconds, its data and its wire length.
fn pcap_file(
    is_big_endian: bool,
    has_nanoseconds: bool,
    link: u32,
    records: &[(u32, u32, &[u8], u32)],
) -> Vec<u8> {
    let u32_bytes = |number: u32| {
        if is_big_endian {
            number.to_be_bytes()
        } else {
            number.to_le_bytes()
        }
    };
    let mut file = Vec::new();
    file.extend(u32_bytes(if has_nanoseconds {
        0xa1b2_3c4d
    } else {
        0xa1b2_c3d4
    }));
    file.extend(if is_big_endian {
        [0, 2, 0, 4]
    } else {
        [2, 0, 4, 0]
    });
    for number in [0, 0, 65535, link] {
        file.extend(u32_bytes(number));
    }
    for &(seconds, fraction, data, wire_len) in records {
        for number in [seconds, fraction, data.len() as u32, wire_len] {
            file.extend(u32_bytes(number));
        }
        file.extend(data);
    }
    file
}

#[test]
fn pcap_in_both_byte_orders_and_resolutions_yields_same_packets() {
    for (is_big_endian, has_nanoseconds) in
        [(false, false), (false, true), (true, false), (true, true)]
    {
        let fraction = if has_nanoseconds { 5_000 } else { 5 };
        let records: [(u32, u32, &[u8], u32); 2] = [(7, fraction, b"abc", 3), (8, 0, b"de", 900)];
        let file = pcap_file(is_big_endian, has_nanoseconds, 1, &records);
        for chunk_size in [1, 7, 4096] {
            let (found, end) = packets(&file, chunk_size);
            let first = (7_000_005_000, b"abc".to_vec(), 3, LinkType::Ethernet);
            assert_eq!(
                found,
                [
                    first,
                    (8_000_000_000, b"de".to_vec(), 900, LinkType::Ethernet)
                ]
            );
            assert_eq!(end, Ok(()));
        }
    }
}

/// Returns a pcapng block with correct lengths and padding.
fn block(is_big_endian: bool, block_type: u32, body: &[u8]) -> Vec<u8> {
    let u32_bytes = |number: u32| {
        if is_big_endian {
            number.to_be_bytes()
        } else {
            number.to_le_bytes()
        }
    };
    let padded = body.len().next_multiple_of(4);
    let length = u32_bytes(12 + padded as u32);
    let padding = vec![0; padded - body.len()];
    [&u32_bytes(block_type)[..], &length, body, &padding, &length].concat()
}

/// Returns a section header block.
fn section(is_big_endian: bool) -> Vec<u8> {
    let u32_bytes = |number: u32| {
        if is_big_endian {
            number.to_be_bytes()
        } else {
            number.to_le_bytes()
        }
    };
    let byte_order_magic = u32_bytes(0x1a2b_3c4d);
    let version = if is_big_endian {
        [0, 1, 0, 0]
    } else {
        [1, 0, 0, 0]
    };
    block(
        is_big_endian,
        0x0a0d_0d0a,
        &[&byte_order_magic[..], &version, &[0xff; 8]].concat(),
    )
}

/// Returns an interface description block with the options `if_tsresol` and `if_tsoffset`.
fn interface(is_big_endian: bool, link: u16, resolution: u8, offset: i64) -> Vec<u8> {
    let u16_bytes = |number: u16| {
        if is_big_endian {
            number.to_be_bytes()
        } else {
            number.to_le_bytes()
        }
    };
    let offset = if is_big_endian {
        offset.to_be_bytes()
    } else {
        offset.to_le_bytes()
    };
    let options = [
        &u16_bytes(9)[..],
        &u16_bytes(1),
        &[resolution, 0, 0, 0],
        &u16_bytes(14),
        &u16_bytes(8),
        &offset,
        &[0; 4],
    ]
    .concat();
    let body = [&u16_bytes(link)[..], &[0; 2], &[0; 4], &options].concat();
    block(is_big_endian, 1, &body)
}

/// Returns an enhanced packet block with a wire length of 4000 bytes.
fn enhanced_packet(is_big_endian: bool, interface: u32, units: u64, data: &[u8]) -> Vec<u8> {
    let u32_bytes = |number: u32| {
        if is_big_endian {
            number.to_be_bytes()
        } else {
            number.to_le_bytes()
        }
    };
    let words = [
        interface,
        (units >> 32) as u32,
        units as u32,
        data.len() as u32,
        4000,
    ];
    let words = words.map(u32_bytes).concat();
    block(is_big_endian, 6, &[&words, data].concat())
}

#[test]
fn packets_use_link_type_resolution_and_offset_of_their_interface() {
    for is_big_endian in [false, true] {
        let file = [
            section(is_big_endian),
            interface(is_big_endian, 1, 6, 0),
            block(is_big_endian, 0x0bad_0bad, &[1; 5000]),
            interface(is_big_endian, 113, 9, 100),
            // The resolution is a power of two, 1/1024 s.
            interface(is_big_endian, 101, 0x8a, -1),
            enhanced_packet(is_big_endian, 0, 3_000_001, b"first"),
            enhanced_packet(is_big_endian, 1, 5, b"second"),
            enhanced_packet(is_big_endian, 2, 5 * 1024 + 512, b"third"),
            // A new section discards the interfaces, and may have another byte order.
            section(!is_big_endian),
            interface(!is_big_endian, 276, 3, 0),
            enhanced_packet(!is_big_endian, 0, 1500, b"fourth"),
        ]
        .concat();
        for chunk_size in [1, 97, 1 << 16] {
            let (found, end) = packets(&file, chunk_size);
            let expected: [(u64, &[u8], LinkType); 4] = [
                (3_000_001_000, b"first", LinkType::Ethernet),
                (100_000_000_005, b"second", LinkType::LinuxCooked),
                (4_500_000_000, b"third", LinkType::Ip),
                (1_500_000_000, b"fourth", LinkType::LinuxCookedV2),
            ];
            let found: Vec<_> = found
                .iter()
                .map(|(time, data, wire_len, link)| (*time, &data[..], *wire_len, *link))
                .collect();
            assert_eq!(
                found,
                expected.map(|(time, data, link)| (time, data, 4000, link))
            );
            assert_eq!(end, Ok(()));
        }
    }
}

#[test]
fn oversized_length_stops_reading_at_its_offset_after_earlier_packets() {
    let mut file = pcap_file(false, true, 1, &[(7, 0, b"abc", 3)]);
    let offset = file.len() as u64;
    file.extend([9, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0x7f, 1, 0, 0, 0]);
    let (found, end) = packets(&file, 5);
    assert_eq!(found.len(), 1);
    assert_eq!(
        end,
        Err(FileError {
            offset,
            kind: FileErrorKind::TooLong(0x7fff_ffff)
        })
    );

    let mut file = [
        section(false),
        interface(false, 1, 6, 0),
        enhanced_packet(false, 0, 1, b"abc"),
    ]
    .concat();
    let offset = file.len() as u64;
    file.extend([6, 0, 0, 0, 0, 0, 0, 0x40, 0, 0, 0, 0, 0, 0, 0, 0]);
    let (found, end) = packets(&file, 5);
    assert_eq!(found.len(), 1);
    assert_eq!(
        end,
        Err(FileError {
            offset,
            kind: FileErrorKind::TooLong(0x4000_0000)
        })
    );
}

#[test]
fn large_unknown_block_is_skipped_and_reported_if_truncated() {
    let start = [section(false), interface(false, 101, 9, 0)].concat();
    let large = block(false, 0x0bad_0bad, &vec![1; 40 << 20]);
    let packet = enhanced_packet(false, 0, 1, b"abc");
    let file = [&start[..], &large, &packet].concat();
    assert_eq!(packets(&file, 1 << 20).0.len(), 1);
    let truncated = &file[..start.len() + 1000];
    let (found, end) = packets(truncated, 100);
    assert_eq!(
        (found.len(), end),
        (
            0,
            Err(FileError {
                offset: start.len() as u64,
                kind: FileErrorKind::Truncated(1000)
            })
        )
    );
}

#[test]
fn garbage_between_records_is_reported_with_its_offset() {
    for garbage in [[0xff_u8; 64], [0x20; 64]] {
        let mut file = pcap_file(false, false, 1, &[(7, 0, b"abc", 3)]);
        let offset = file.len() as u64;
        file.extend(garbage);
        file.extend(&pcap_file(false, false, 1, &[(9, 0, b"def", 3)])[24..]);
        let (found, end) = packets(&file, 16);
        let error_offset = end.map_err(|error| error.offset);
        assert_eq!((found.len(), error_offset), (1, Err(offset)));
    }
}

#[test]
fn file_truncated_at_any_byte_yields_all_complete_packets() {
    let mut builder = CaptureBuilder::open(4000);
    builder.send(heathspur_capture::Side::Client, &request(1, b"abc"), 20);
    let pcap_file = heathspur_testkit::capture::pcap_file(&builder.packets);
    let pcap_record_ends: Vec<usize> = builder
        .packets
        .iter()
        .scan(24, |end, (_, packet)| {
            *end += 16 + packet.len();
            Some(*end)
        })
        .collect();
    let mut pcapng_file = write::pcapng_start(&["front"]);
    let mut pcapng_block_ends = Vec::new();
    for (time, packet) in &builder.packets {
        pcapng_file.extend(write::pcapng_packet(
            0,
            heathspur_capture::Timestamp(CAPTURE_START_NANOS + time),
            packet,
            packet.len() as u32,
            "x",
        ));
        pcapng_block_ends.push(pcapng_file.len());
    }
    for (file, record_ends) in [
        (pcap_file, pcap_record_ends),
        (pcapng_file, pcapng_block_ends),
    ] {
        for length in 0..file.len() {
            let (found, end) = packets(&file[..length], 64);
            assert_eq!(
                found.len(),
                record_ends.iter().filter(|end| **end <= length).count(),
                "{length}"
            );
            let is_complete = record_ends.contains(&length) || end.is_ok();
            assert!(
                is_complete
                    || matches!(
                        end,
                        Err(FileError {
                            kind: FileErrorKind::Truncated(_) | FileErrorKind::UnknownFormat,
                            ..
                        })
                    )
            );
        }
        assert_eq!(packets(&file, 64).0.len(), record_ends.len());
    }
}

#[test]
fn other_file_formats_are_rejected() {
    for text in [&b""[..], b"a,b\n1,2\n", &[0; 100]] {
        assert_eq!(
            packets(text, 10).1.map_err(|error| error.kind),
            Err(FileErrorKind::UnknownFormat)
        );
    }
}
