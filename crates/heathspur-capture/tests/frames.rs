//! Tests of finding TCP segments in packets: link types, fragments, truncated packets and wrong checksums.

use heathspur_capture::file::{LinkType, Packet};
use heathspur_capture::frame::{Frames, Segment, SkipReason};
use heathspur_capture::write::{segment, Flags};
use heathspur_capture::Timestamp;
use heathspur_testkit::capture::*;
use std::net::SocketAddr;

/// Returns an IPv4 packet from the client to the server.
fn ip_packet(payload: &[u8]) -> Vec<u8> {
    segment(
        client_address(4000),
        server_address(),
        1,
        Some(2),
        Flags::default(),
        payload,
    )
}

fn packet(link: LinkType, data: &[u8]) -> Packet<'_> {
    Packet {
        time: Timestamp(CAPTURE_START_NANOS),
        link,
        data,
        wire_len: data.len() as u32,
        leg: None,
    }
}

fn find_segment<'a>(
    frames: &mut Frames,
    link: LinkType,
    data: &'a [u8],
) -> Result<Segment<'a>, SkipReason> {
    frames.segment(&packet(link, data))
}

#[test]
fn every_link_type_yields_same_segment() {
    let ip = ip_packet(b"hello");
    let ethernet = |tags: &[u8]| [&[2; 12], tags, &[8, 0], &ip[..]].concat();
    let packets = [
        (LinkType::Ip, ip.clone()),
        (LinkType::Ethernet, ethernet(&[])),
        // Frames shorter than 60 bytes are padded; the padding does not belong to the payload.
        (LinkType::Ethernet, [ethernet(&[]), vec![0xee; 9]].concat()),
        (LinkType::Ethernet, ethernet(&[0x81, 0, 0, 5])),
        (
            LinkType::Ethernet,
            ethernet(&[0x88, 0xa8, 0, 7, 0x81, 0, 0, 5]),
        ),
        (LinkType::LinuxCooked, [&[0; 14][..], &[8, 0], &ip].concat()),
        (
            LinkType::LinuxCookedV2,
            [&[8, 0][..], &[0; 18], &ip].concat(),
        ),
        (LinkType::Loopback, [&[2, 0, 0, 0][..], &ip].concat()),
    ];
    for (link, data) in packets {
        let segment = find_segment(&mut Frames::new(true), link, &data).unwrap();
        assert_eq!(
            (segment.from, segment.to),
            (client_address(4000), server_address()),
            "{link:?}"
        );
        assert_eq!(
            (&segment.payload[..], segment.truncated),
            (&b"hello"[..], 0),
            "{link:?}"
        );
    }
    assert_eq!(
        find_segment(&mut Frames::new(false), LinkType::Other(147), &ip),
        Err(SkipReason::UnsupportedLinkType)
    );
}

#[test]
fn ipv6_extension_headers_are_skipped() {
    let (from, to): (SocketAddr, SocketAddr) = (
        "[fd00::7]:4000".parse().unwrap(),
        "[fd00::1]:6565".parse().unwrap(),
    );
    let plain = segment(from, to, 1, Some(2), Flags::default(), b"hello");
    let hop_by_hop_options = [6, 0, 1, 4, 0, 0, 0, 0];
    let mut extended = [&plain[..40], &hop_by_hop_options, &plain[40..]].concat();
    extended[6] = 0;
    let length = extended.len() as u16 - 40;
    extended[4..6].copy_from_slice(&length.to_be_bytes());
    for data in [plain, extended] {
        let segment = find_segment(&mut Frames::new(true), LinkType::Ip, &data).unwrap();
        assert_eq!(
            (segment.from, segment.to, &segment.payload[..]),
            (from, to, &b"hello"[..])
        );
    }
}

#[test]
fn truncated_packet_yields_segment_with_number_of_truncated_bytes() {
    let complete = ip_packet(&[7; 100]);
    for captured in 40..140 {
        let data = &complete[..captured];
        let segment = Frames::new(true)
            .segment(&Packet {
                wire_len: complete.len() as u32,
                ..packet(LinkType::Ip, data)
            })
            .unwrap();
        assert_eq!(
            (segment.payload.len(), segment.truncated as usize),
            (captured - 40, 140 - captured)
        );
    }
    assert_eq!(
        find_segment(&mut Frames::new(false), LinkType::Ip, &complete[..30]),
        Err(SkipReason::InvalidHeaders)
    );
}

#[test]
fn wrong_checksum_is_rejected_only_if_checksums_are_verified() {
    let mut data = ip_packet(b"hello");
    *data.last_mut().unwrap() ^= 1;
    assert!(find_segment(&mut Frames::new(false), LinkType::Ip, &data).is_ok());
    assert_eq!(
        find_segment(&mut Frames::new(true), LinkType::Ip, &data),
        Err(SkipReason::WrongChecksum)
    );
}

/// Splits an IPv4 packet into fragments with `units` times 8 bytes of payload.
fn fragments(packet: &[u8], units: usize, id: u16) -> Vec<Vec<u8>> {
    let parts: Vec<_> = packet[20..].chunks(8 * units).collect();
    let last = parts.len() - 1;
    let fragment = |(position, part): (usize, &&[u8])| {
        let mut header = packet[..20].to_vec();
        header[2..4].copy_from_slice(&(20 + part.len() as u16).to_be_bytes());
        header[4..6].copy_from_slice(&id.to_be_bytes());
        let offset = (position * units) as u16 | if position < last { 0x2000 } else { 0 };
        header[6..8].copy_from_slice(&offset.to_be_bytes());
        [header, part.to_vec()].concat()
    };
    parts.iter().enumerate().map(fragment).collect()
}

#[test]
fn fragments_in_any_order_are_reassembled() {
    let packet = ip_packet(&(0..200).collect::<Vec<u8>>());
    for order in [[0, 1, 2, 3], [3, 2, 1, 0], [1, 3, 0, 2]] {
        let mut frames = Frames::new(true);
        let fragments = fragments(&packet, 8, 77);
        assert_eq!(fragments.len(), 4);
        for &position in &order[..3] {
            assert_eq!(
                find_segment(&mut frames, LinkType::Ip, &fragments[position]),
                Err(SkipReason::Fragment)
            );
        }
        assert_eq!(
            find_segment(&mut frames, LinkType::Ip, &fragments[order[3]])
                .unwrap()
                .payload
                .len(),
            200
        );
    }
}

#[test]
fn incomplete_datagrams_are_bounded_expire_and_are_counted() {
    let complete = ip_packet(&[1; 200]);
    let mut frames = Frames::new(false);
    for id in 0..1000 {
        assert_eq!(
            find_segment(&mut frames, LinkType::Ip, &fragments(&complete, 8, id)[0]),
            Err(SkipReason::Fragment)
        );
    }
    assert_eq!(frames.incomplete_datagrams(), 1000 - 64);
    let late = Packet {
        time: Timestamp(CAPTURE_START_NANOS + 16_000_000_000),
        ..packet(LinkType::Ip, &complete)
    };
    assert!(frames.segment(&late).is_ok());
    let fragments = fragments(&complete, 8, 5);
    assert_eq!(
        frames.segment(&Packet {
            data: &fragments[0],
            ..late
        }),
        Err(SkipReason::Fragment)
    );
    assert_eq!(frames.incomplete_datagrams(), 1000);
}

#[test]
fn ipv4_options_are_skipped() {
    let plain = ip_packet(b"hello");
    // A router alert and padding extend the header by two words.
    let options = [148, 4, 0, 0, 1, 1, 1, 0];
    let mut data = [&plain[..20], &options, &plain[20..]].concat();
    data[0] = 0x47;
    let length = data.len() as u16;
    data[2..4].copy_from_slice(&length.to_be_bytes());
    let segment = find_segment(&mut Frames::new(true), LinkType::Ip, &data).unwrap();
    assert_eq!(
        (&segment.payload[..], segment.truncated),
        (&b"hello"[..], 0)
    );
}

#[test]
fn ipv6_fragments_are_reassembled() {
    let (from, to): (SocketAddr, SocketAddr) = (
        "[fd00::7]:4000".parse().unwrap(),
        "[fd00::1]:6565".parse().unwrap(),
    );
    let complete = segment(from, to, 1, Some(2), Flags::default(), &[7; 100]);
    let parts: Vec<_> = complete[40..].chunks(48).collect();
    let last = parts.len() - 1;
    let mut frames = Frames::new(true);
    // The fragments are in reverse order.
    for position in (0..parts.len()).rev() {
        let offset = (position * 48) as u16 | u16::from(position < last);
        let fragment_header = [&[6, 0][..], &offset.to_be_bytes(), &[0, 0, 0, 9]].concat();
        let mut data = [&complete[..40], &fragment_header, parts[position]].concat();
        data[6] = 44;
        let length = data.len() as u16 - 40;
        data[4..6].copy_from_slice(&length.to_be_bytes());
        let segment = find_segment(&mut frames, LinkType::Ip, &data);
        match position {
            0 => assert_eq!(segment.unwrap().payload.len(), 100),
            _ => assert_eq!(segment, Err(SkipReason::Fragment)),
        }
    }
}

#[test]
fn skip_reasons_print_labels_of_heathspurctl_output() {
    for (reason, label) in [
        (SkipReason::UnsupportedLinkType, "Link"),
        (SkipReason::NotTcp, "Other"),
        (SkipReason::InvalidHeaders, "Headers"),
        (SkipReason::WrongChecksum, "Checksum"),
        (SkipReason::Fragment, "Piece"),
        (SkipReason::ConflictingFragment, "BadPiece"),
    ] {
        assert_eq!(format!("{reason:?}"), label);
    }
}
