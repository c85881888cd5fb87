//! Segments in packets of every link type, in pieces, cut, and with wrong checksums.

use heathspur_capture::file::{Link, Packet};
use heathspur_capture::frame::{Frames, Passed, Segment};
use heathspur_capture::write::{segment, Flags};
use heathspur_capture::Stamp;
use heathspur_testkit::capture::*;
use std::net::SocketAddr;

fn ip(payload: &[u8]) -> Vec<u8> {
    segment(
        client_address(4000),
        server_address(),
        (1, Some(2)),
        Flags::default(),
        payload,
    )
}

fn packet(link: Link, data: &[u8]) -> Packet<'_> {
    Packet {
        time: Stamp(CAPTURE_START_NANOS),
        link,
        data,
        wire_len: data.len() as u32,
        leg: None,
    }
}

fn found<'a>(frames: &mut Frames, link: Link, data: &'a [u8]) -> Result<Segment<'a>, Passed> {
    frames.segment(&packet(link, data))
}

#[test]
fn every_link_type_gives_the_same_segment() {
    let ip = ip(b"hello");
    let ether = |tags: &[u8]| [&[2; 12], tags, &[8, 0], &ip[..]].concat();
    let packets = [
        (Link::Ip, ip.clone()),
        (Link::Ethernet, ether(&[])),
        // A frame shorter than 60 bytes is filled up; the filling is no payload.
        (Link::Ethernet, [ether(&[]), vec![0xee; 9]].concat()),
        (Link::Ethernet, ether(&[0x81, 0, 0, 5])),
        (Link::Ethernet, ether(&[0x88, 0xa8, 0, 7, 0x81, 0, 0, 5])),
        (Link::Cooked, [&[0; 14][..], &[8, 0], &ip].concat()),
        (Link::Cooked2, [&[8, 0][..], &[0; 18], &ip].concat()),
        (Link::Loopback, [&[2, 0, 0, 0][..], &ip].concat()),
    ];
    for (link, data) in packets {
        let segment = found(&mut Frames::new(true), link, &data).unwrap();
        assert_eq!(
            (segment.from, segment.to),
            (client_address(4000), server_address()),
            "{link:?}"
        );
        assert_eq!(
            (&segment.payload[..], segment.lost),
            (&b"hello"[..], 0),
            "{link:?}"
        );
    }
    assert_eq!(
        found(&mut Frames::new(false), Link::Other(147), &ip),
        Err(Passed::Link)
    );
}

#[test]
fn ipv6_with_extension_headers_is_read() {
    let (from, to): (SocketAddr, SocketAddr) = (
        "[fd00::7]:4000".parse().unwrap(),
        "[fd00::1]:6565".parse().unwrap(),
    );
    let plain = segment(from, to, (1, Some(2)), Flags::default(), b"hello");
    let options = [6, 0, 1, 4, 0, 0, 0, 0];
    let mut extended = [&plain[..40], &options, &plain[40..]].concat();
    extended[6] = 0;
    let length = extended.len() as u16 - 40;
    extended[4..6].copy_from_slice(&length.to_be_bytes());
    for data in [plain, extended] {
        let segment = found(&mut Frames::new(true), Link::Ip, &data).unwrap();
        assert_eq!(
            (segment.from, segment.to, &segment.payload[..]),
            (from, to, &b"hello"[..])
        );
    }
}

#[test]
fn a_packet_cut_by_the_snap_length_says_how_much_is_lost() {
    let whole = ip(&[7; 100]);
    for kept in 40..140 {
        let data = &whole[..kept];
        let segment = Frames::new(true)
            .segment(&Packet {
                wire_len: whole.len() as u32,
                ..packet(Link::Ip, data)
            })
            .unwrap();
        assert_eq!(
            (segment.payload.len(), segment.lost as usize),
            (kept - 40, 140 - kept)
        );
    }
    assert_eq!(
        found(&mut Frames::new(false), Link::Ip, &whole[..30]),
        Err(Passed::Headers)
    );
}

#[test]
fn wrong_checksums_are_left_out_only_where_they_are_looked_at() {
    let mut data = ip(b"hello");
    *data.last_mut().unwrap() ^= 1;
    assert!(found(&mut Frames::new(false), Link::Ip, &data).is_ok());
    assert_eq!(
        found(&mut Frames::new(true), Link::Ip, &data),
        Err(Passed::Checksum)
    );
}

/// A packet of IPv4 in pieces of 8 times that many bytes.
fn pieces(whole: &[u8], units: usize, id: u16) -> Vec<Vec<u8>> {
    let parts: Vec<_> = whole[20..].chunks(8 * units).collect();
    let last = parts.len() - 1;
    let piece = |(n, part): (usize, &&[u8])| {
        let mut head = whole[..20].to_vec();
        head[2..4].copy_from_slice(&(20 + part.len() as u16).to_be_bytes());
        head[4..6].copy_from_slice(&id.to_be_bytes());
        let offset = (n * units) as u16 | if n < last { 0x2000 } else { 0 };
        head[6..8].copy_from_slice(&offset.to_be_bytes());
        [head, part.to_vec()].concat()
    };
    parts.iter().enumerate().map(piece).collect()
}

#[test]
fn datagrams_in_pieces_are_put_together_in_any_order() {
    let whole = ip(&(0..200).collect::<Vec<u8>>());
    for order in [[0, 1, 2, 3], [3, 2, 1, 0], [1, 3, 0, 2]] {
        let mut frames = Frames::new(true);
        let pieces = pieces(&whole, 8, 77);
        assert_eq!(pieces.len(), 4);
        for &n in &order[..3] {
            assert_eq!(found(&mut frames, Link::Ip, &pieces[n]), Err(Passed::Piece));
        }
        assert_eq!(
            found(&mut frames, Link::Ip, &pieces[order[3]])
                .unwrap()
                .payload
                .len(),
            200
        );
    }
}

#[test]
fn pieces_that_never_become_whole_are_bounded_and_counted() {
    let whole = ip(&[1; 200]);
    let mut frames = Frames::new(false);
    for id in 0..1000 {
        assert_eq!(
            found(&mut frames, Link::Ip, &pieces(&whole, 8, id)[0]),
            Err(Passed::Piece)
        );
    }
    assert_eq!(frames.given_up(), 1000 - 64);
    let late = Packet {
        time: Stamp(CAPTURE_START_NANOS + 16_000_000_000),
        ..packet(Link::Ip, &whole)
    };
    assert!(frames.segment(&late).is_ok());
    let pieces = pieces(&whole, 8, 5);
    assert_eq!(
        frames.segment(&Packet {
            data: &pieces[0],
            ..late
        }),
        Err(Passed::Piece)
    );
    assert_eq!(frames.given_up(), 1000);
}

#[test]
fn ipv4_options_are_stepped_over() {
    let plain = ip(b"hello");
    // Router alert and padding: two words more of header.
    let options = [148, 4, 0, 0, 1, 1, 1, 0];
    let mut data = [&plain[..20], &options, &plain[20..]].concat();
    data[0] = 0x47;
    let length = data.len() as u16;
    data[2..4].copy_from_slice(&length.to_be_bytes());
    let segment = found(&mut Frames::new(true), Link::Ip, &data).unwrap();
    assert_eq!((&segment.payload[..], segment.lost), (&b"hello"[..], 0));
}

#[test]
fn pieces_of_ipv6_are_put_together() {
    let (from, to): (SocketAddr, SocketAddr) = (
        "[fd00::7]:4000".parse().unwrap(),
        "[fd00::1]:6565".parse().unwrap(),
    );
    let whole = segment(from, to, (1, Some(2)), Flags::default(), &[7; 100]);
    let parts: Vec<_> = whole[40..].chunks(48).collect();
    let last = parts.len() - 1;
    let mut frames = Frames::new(true);
    // The last comes first.
    for n in (0..parts.len()).rev() {
        let offset = (n * 48) as u16 | u16::from(n < last);
        let fragment = [&[6, 0][..], &offset.to_be_bytes(), &[0, 0, 0, 9]].concat();
        let mut data = [&whole[..40], &fragment, parts[n]].concat();
        data[6] = 44;
        let length = data.len() as u16 - 40;
        data[4..6].copy_from_slice(&length.to_be_bytes());
        let segment = found(&mut frames, Link::Ip, &data);
        match n {
            0 => assert_eq!(segment.unwrap().payload.len(), 100),
            _ => assert_eq!(segment, Err(Passed::Piece)),
        }
    }
}
