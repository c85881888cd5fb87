//! Capture files of every kind, and damaged ones.

use heathspur_capture::file::{FileError, FileErrorKind, Link, Reader};
use heathspur_capture::write;
use heathspur_testkit::capture::*;

/// Time, data and wire length of a packet, and its link.
type Seen = (u64, Vec<u8>, u32, Link);

/// Each packet, and how reading ended.
fn packets(file: &[u8], piece: usize) -> (Vec<Seen>, Result<(), FileError>) {
    let mut reader = Reader::new();
    let mut out = Vec::new();
    for part in file.chunks(piece) {
        reader.feed(part);
        loop {
            match reader.next_packet() {
                Ok(Some(p)) => out.push((p.time.0, p.data.to_vec(), p.wire_len, p.link)),
                Ok(None) => break,
                Err(damage) => return (out, Err(damage)),
            }
        }
    }
    let end = reader.finish();
    (out, end)
}

fn classic(big: bool, nanos: bool, link: u32, records: &[(u32, u32, &[u8], u32)]) -> Vec<u8> {
    let w = |n: u32| {
        if big {
            n.to_be_bytes()
        } else {
            n.to_le_bytes()
        }
    };
    let mut out = Vec::new();
    out.extend(w(if nanos { 0xa1b2_3c4d } else { 0xa1b2_c3d4 }));
    out.extend(if big { [0, 2, 0, 4] } else { [2, 0, 4, 0] });
    for n in [0, 0, 65535, link] {
        out.extend(w(n));
    }
    for &(secs, part, data, wire) in records {
        for n in [secs, part, data.len() as u32, wire] {
            out.extend(w(n));
        }
        out.extend(data);
    }
    out
}

#[test]
fn both_byte_orders_and_both_resolutions_give_the_same_packets() {
    for (big, nanos) in [(false, false), (false, true), (true, false), (true, true)] {
        let part = if nanos { 5_000 } else { 5 };
        let file = classic(big, nanos, 1, &[(7, part, b"abc", 3), (8, 0, b"de", 900)]);
        for piece in [1, 7, 4096] {
            let (found, end) = packets(&file, piece);
            let first = (7_000_005_000, b"abc".to_vec(), 3, Link::Ethernet);
            assert_eq!(
                found,
                [first, (8_000_000_000, b"de".to_vec(), 900, Link::Ethernet)]
            );
            assert_eq!(end, Ok(()));
        }
    }
}

/// A block of pcapng with its lengths right.
fn block(big: bool, kind: u32, body: &[u8]) -> Vec<u8> {
    let w = |n: u32| {
        if big {
            n.to_be_bytes()
        } else {
            n.to_le_bytes()
        }
    };
    let padded = body.len().next_multiple_of(4);
    let length = w(12 + padded as u32);
    let padding = vec![0; padded - body.len()];
    [&w(kind)[..], &length, body, &padding, &length].concat()
}

fn section(big: bool) -> Vec<u8> {
    let w = |n: u32| {
        if big {
            n.to_be_bytes()
        } else {
            n.to_le_bytes()
        }
    };
    let version = if big { [0, 1, 0, 0] } else { [1, 0, 0, 0] };
    block(
        big,
        0x0a0d_0d0a,
        &[&w(0x1a2b_3c4d)[..], &version, &[0xff; 8]].concat(),
    )
}

fn interface(big: bool, link: u16, resolution: u8, offset: i64) -> Vec<u8> {
    let s = |n: u16| {
        if big {
            n.to_be_bytes()
        } else {
            n.to_le_bytes()
        }
    };
    let offset = if big {
        offset.to_be_bytes()
    } else {
        offset.to_le_bytes()
    };
    let options = [
        &s(9)[..],
        &s(1),
        &[resolution, 0, 0, 0],
        &s(14),
        &s(8),
        &offset,
        &[0; 4],
    ]
    .concat();
    block(big, 1, &[&s(link)[..], &[0; 2], &[0; 4], &options].concat())
}

fn enhanced(big: bool, interface: u32, units: u64, data: &[u8]) -> Vec<u8> {
    let w = |n: u32| {
        if big {
            n.to_be_bytes()
        } else {
            n.to_le_bytes()
        }
    };
    let words = [
        interface,
        (units >> 32) as u32,
        units as u32,
        data.len() as u32,
        4000,
    ];
    block(big, 6, &[&words.map(w).concat(), data].concat())
}

#[test]
fn interfaces_of_a_section_have_links_resolutions_and_offsets_of_their_own() {
    for big in [false, true] {
        let file = [
            section(big),
            interface(big, 1, 6, 0),
            block(big, 0x0bad_0bad, &[1; 5000]),
            interface(big, 113, 9, 100),
            // A power of two: a 1,024th of a second.
            interface(big, 101, 0x8a, -1),
            enhanced(big, 0, 3_000_001, b"first"),
            enhanced(big, 1, 5, b"second"),
            enhanced(big, 2, 5 * 1024 + 512, b"third"),
            // A new section knows none of them.
            section(!big),
            interface(!big, 276, 3, 0),
            enhanced(!big, 0, 1500, b"fourth"),
        ]
        .concat();
        for piece in [1, 97, 1 << 16] {
            let (found, end) = packets(&file, piece);
            let expected: [(u64, &[u8], Link); 4] = [
                (3_000_001_000, b"first", Link::Ethernet),
                (100_000_000_005, b"second", Link::Cooked),
                (4_500_000_000, b"third", Link::Ip),
                (1_500_000_000, b"fourth", Link::Cooked2),
            ];
            let found: Vec<_> = found
                .iter()
                .map(|(t, d, w, l)| (*t, &d[..], *w, *l))
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
fn claims_of_gigabytes_end_reading_with_the_place_and_all_before_is_given() {
    let mut file = classic(false, true, 1, &[(7, 0, b"abc", 3)]);
    let place = file.len() as u64;
    file.extend([9, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0x7f, 1, 0, 0, 0]);
    let (found, end) = packets(&file, 5);
    assert_eq!(found.len(), 1);
    assert_eq!(
        end,
        Err(FileError {
            offset: place,
            kind: FileErrorKind::TooLong(0x7fff_ffff)
        })
    );

    let mut file = [
        section(false),
        interface(false, 1, 6, 0),
        enhanced(false, 0, 1, b"abc"),
    ]
    .concat();
    let place = file.len() as u64;
    file.extend([6, 0, 0, 0, 0, 0, 0, 0x40, 0, 0, 0, 0, 0, 0, 0, 0]);
    let (found, end) = packets(&file, 5);
    assert_eq!(found.len(), 1);
    assert_eq!(
        end,
        Err(FileError {
            offset: place,
            kind: FileErrorKind::TooLong(0x4000_0000)
        })
    );
}

#[test]
fn a_large_unknown_block_is_passed_over_without_being_kept_and_one_cut_short_is_told() {
    let start = [section(false), interface(false, 101, 9, 0)].concat();
    let large = block(false, 0x0bad_0bad, &vec![1; 40 << 20]);
    let file = [&start[..], &large, &enhanced(false, 0, 1, b"abc")].concat();
    assert_eq!(packets(&file, 1 << 20).0.len(), 1);
    let cut = &file[..start.len() + 1000];
    let (found, end) = packets(cut, 100);
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
fn garbage_between_records_is_told_with_its_place() {
    for garbage in [[0xff_u8; 64], [0x20; 64]] {
        let mut file = classic(false, false, 1, &[(7, 0, b"abc", 3)]);
        let place = file.len() as u64;
        file.extend(garbage);
        file.extend(&classic(false, false, 1, &[(9, 0, b"def", 3)])[24..]);
        let (found, end) = packets(&file, 16);
        assert_eq!((found.len(), end.map_err(|d| d.offset)), (1, Err(place)));
    }
}

#[test]
fn a_file_cut_at_any_byte_gives_all_packets_that_are_whole() {
    let mut script = CaptureBuilder::open(4000);
    script.send(heathspur_capture::Side::Client, &request(1, b"abc"), 20);
    let whole = pcap_file(&script.packets);
    let ends: Vec<usize> = script
        .packets
        .iter()
        .scan(24, |at, (_, p)| {
            *at += 16 + p.len();
            Some(*at)
        })
        .collect();
    let mut ng = write::ng_start(&["front"]);
    let mut ng_ends = Vec::new();
    for (at, packet) in &script.packets {
        ng.extend(write::ng_packet(
            0,
            heathspur_capture::Stamp(CAPTURE_START_NANOS + at),
            packet,
            packet.len() as u32,
            "x",
        ));
        ng_ends.push(ng.len());
    }
    for (file, ends) in [(whole, ends), (ng, ng_ends)] {
        for cut in 0..file.len() {
            let (found, end) = packets(&file[..cut], 64);
            assert_eq!(
                found.len(),
                ends.iter().filter(|end| **end <= cut).count(),
                "{cut}"
            );
            let at_an_end = ends.contains(&cut) || end.is_ok();
            assert!(
                at_an_end
                    || matches!(
                        end,
                        Err(FileError {
                            kind: FileErrorKind::Truncated(_) | FileErrorKind::UnknownFormat,
                            ..
                        })
                    )
            );
        }
        assert_eq!(packets(&file, 64).0.len(), ends.len());
    }
}

#[test]
fn what_is_no_capture_says_so() {
    for text in [&b""[..], b"a,b\n1,2\n", &[0; 100]] {
        assert_eq!(
            packets(text, 10).1.map_err(|d| d.kind),
            Err(FileErrorKind::UnknownFormat)
        );
    }
}
