//! Invalid input is counted and dropped, bounds hold, and no datagram makes a member panic.

use heathspur_members::wire::{self, Body, Envelope, Update, MAX_DATAGRAM_BYTES};
use heathspur_members::{
    Action, Event, Load, Member, MemberId, MemberState, Membership, Settings, ZoneVote,
};
use proptest::prelude::*;
use std::net::{Ipv4Addr, SocketAddrV4};

fn member(i: u8) -> Member {
    Member {
        id: MemberId(format!("m{i}")),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7000 + i as u16),
        zone: "z".into(),
        region: "r".into(),
        version: 1,
        load: Load::default(),
        usual_round_trip_ms: 0,
        decision_epoch: 0,
        local_traffic_tenths: 10,
        preferred_tenths: 10,
    }
}

fn new_membership() -> Membership {
    Membership::new(Settings::default(), member(0), 10, vec![], 1)
}

fn deliver(membership: &mut Membership, from: SocketAddrV4, envelope: &Envelope) -> Vec<Action> {
    let mut out = Vec::new();
    membership.handle(
        1,
        Event::Datagram {
            from,
            bytes: &wire::encode(envelope).unwrap(),
        },
        &mut out,
    );
    out
}

fn alive(i: u8, incarnation: u64) -> Update {
    Update {
        state: MemberState::Alive,
        incarnation,
        accuser: None,
        member: member(i),
    }
}

#[test]
fn malformed_oversized_and_unsupported_datagrams_are_counted_apart() {
    let mut membership = new_membership();
    let from = member(9).address;
    let mut out = Vec::new();
    membership.handle(
        1,
        Event::Datagram {
            from,
            bytes: b"GET / HTTP/1.1\r\n",
        },
        &mut out,
    );
    membership.handle(
        1,
        Event::Datagram {
            from,
            bytes: &[0u8; MAX_DATAGRAM_BYTES + 1],
        },
        &mut out,
    );
    let mut good = wire::encode(&Envelope {
        from: MemberId("m9".into()),
        body: Body::Gossip,
        updates: vec![],
    })
    .unwrap();
    good[2] = 99;
    membership.handle(1, Event::Datagram { from, bytes: &good }, &mut out);
    good[2] = wire::VERSION;
    good.pop();
    membership.handle(1, Event::Datagram { from, bytes: &good }, &mut out);
    let counts = membership.rejected_input();
    assert_eq!(
        (
            counts.malformed,
            counts.oversized,
            counts.unsupported_version
        ),
        (2, 1, 1)
    );
    assert_eq!(membership.view().members.len(), 1);
    membership.handle(2_000, Event::Tick, &mut out);
    assert!(out.iter().any(
        |a| matches!(a, Action::InputRejected(report) if report.new_rejections == 4 && report.last_sender == Some(from))
    ));
}

#[test]
fn another_address_under_a_known_id_is_rejected() {
    let mut membership = new_membership();
    let envelope = Envelope {
        from: MemberId("m1".into()),
        body: Body::Gossip,
        updates: vec![alive(1, 5)],
    };
    deliver(&mut membership, member(1).address, &envelope);
    let mut impostor = alive(1, 50);
    impostor.member.address = member(66).address;
    deliver(
        &mut membership,
        member(2).address,
        &Envelope {
            from: MemberId("m2".into()),
            body: Body::Gossip,
            updates: vec![impostor],
        },
    );
    let entry = membership.entry(&MemberId("m1".into())).unwrap();
    assert_eq!(
        (entry.member.address, entry.incarnation),
        (member(1).address, 5)
    );
    assert_eq!(membership.rejected_input().id_conflict, 1);
}

#[test]
fn updates_from_the_far_future_are_dropped() {
    let mut membership = new_membership();
    let envelope = Envelope {
        from: MemberId("m1".into()),
        body: Body::Gossip,
        updates: vec![alive(1, 5)],
    };
    deliver(&mut membership, member(1).address, &envelope);
    let far = Update {
        state: MemberState::Dead,
        incarnation: 1 << 50,
        accuser: None,
        member: member(1),
    };
    let mut about_me = far.clone();
    about_me.member = member(0);
    deliver(
        &mut membership,
        member(1).address,
        &Envelope {
            from: MemberId("m1".into()),
            body: Body::Gossip,
            updates: vec![far, about_me],
        },
    );
    assert_eq!(
        membership.entry(&MemberId("m1".into())).unwrap().state,
        MemberState::Alive
    );
    assert_eq!(membership.incarnation(), 10);
    assert_eq!(membership.rejected_input().future_incarnation, 2);
}

#[test]
fn a_suspicion_of_itself_is_refuted_with_a_higher_incarnation() {
    let mut membership = new_membership();
    let suspect = Update {
        state: MemberState::Suspect,
        incarnation: 12,
        accuser: None,
        member: member(0),
    };
    let out = deliver(
        &mut membership,
        member(1).address,
        &Envelope {
            from: MemberId("m1".into()),
            body: Body::Gossip,
            updates: vec![suspect],
        },
    );
    assert_eq!(membership.incarnation(), 13);
    assert!(out.contains(&Action::IncarnationRaised(13)));
    assert!(out
        .iter()
        .any(|a| matches!(a, Action::Send { to, .. } if *to == member(1).address)));
}

#[test]
fn the_table_stops_at_its_bound() {
    let settings = Settings {
        max_members: 5,
        ..Settings::default()
    };
    let mut membership = Membership::new(settings, member(0), 1, vec![], 1);
    let updates = (1..20).map(|i| alive(i, 1)).collect();
    deliver(
        &mut membership,
        member(1).address,
        &Envelope {
            from: MemberId("m1".into()),
            body: Body::Gossip,
            updates,
        },
    );
    assert_eq!(membership.view().members.len(), 5);
    assert_eq!(membership.rejected_input().table_full, 15);
}

#[test]
fn datagrams_of_one_address_are_limited_in_each_second() {
    let settings = Settings {
        max_datagrams_per_source_per_second: 10,
        ..Settings::default()
    };
    let mut membership = Membership::new(settings, member(0), 1, vec![], 1);
    let mut out = Vec::new();
    for _ in 0..50 {
        membership.handle(
            1,
            Event::Datagram {
                from: member(3).address,
                bytes: b"x",
            },
            &mut out,
        );
    }
    assert_eq!(
        (
            membership.rejected_input().malformed,
            membership.rejected_input().rate_limited
        ),
        (10, 40)
    );
}

#[test]
fn a_whole_view_goes_out_in_parts_under_the_largest_datagram() {
    let mut membership = new_membership();
    let updates: Vec<Update> = (1..200).map(|i| alive(i, 1)).collect();
    for chunk in updates.chunks(10) {
        let envelope = Envelope {
            from: MemberId("m1".into()),
            body: Body::Gossip,
            updates: chunk.to_vec(),
        };
        deliver(&mut membership, member(1).address, &envelope);
    }
    let push = Envelope {
        from: MemberId("m7".into()),
        body: Body::PushPull { reply: true },
        updates: vec![alive(7, 1)],
    };
    let out = deliver(&mut membership, member(7).address, &push);
    let parts: Vec<&Vec<u8>> = out
        .iter()
        .filter_map(|a| {
            if let Action::Send { bytes, .. } = a {
                Some(bytes)
            } else {
                None
            }
        })
        .collect();
    assert!(parts.len() >= 3);
    assert!(parts.iter().all(|p| p.len() <= MAX_DATAGRAM_BYTES));
    let carried: usize = parts
        .iter()
        .map(|p| wire::decode(p).unwrap().updates.len())
        .sum();
    assert_eq!(carried, 200);
}

#[test]
fn datagrams_from_ever_new_addresses_do_not_grow_the_rate_limiter() {
    let settings = Settings {
        max_members: 8,
        ..Settings::default()
    };
    let mut membership = Membership::new(settings, member(0), 1, vec![], 1);
    let mut out = Vec::new();
    for port in 0..5_000u16 {
        let from = SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 2), port);
        membership.handle(1, Event::Datagram { from, bytes: b"x" }, &mut out);
    }
    assert_eq!(membership.counted_addresses(), 16);
    assert_eq!(membership.rejected_input().rate_limited, 5_000 - 16);
}

#[test]
fn an_outdated_accusation_is_answered_with_the_current_incarnation() {
    let mut membership = new_membership();
    let mut suspect = Update {
        state: MemberState::Suspect,
        incarnation: 12,
        accuser: None,
        member: member(0),
    };
    let accuse = |membership: &mut Membership, accuser: u8, suspect: &Update| {
        let updates = vec![suspect.clone()];
        let envelope = Envelope {
            from: MemberId(format!("m{accuser}")),
            body: Body::Gossip,
            updates,
        };
        deliver(membership, member(accuser).address, &envelope)
    };
    accuse(&mut membership, 1, &suspect);
    // Another member receives the accusation late.
    suspect.state = MemberState::Dead;
    let out = accuse(&mut membership, 2, &suspect);
    assert_eq!(membership.incarnation(), 13);
    let [Action::Send { to, bytes }] = &out[..] else {
        panic!("{out:?}")
    };
    let refutation = &wire::decode(bytes).unwrap().updates[0];
    assert_eq!(
        (*to, refutation.state, refutation.incarnation),
        (member(2).address, MemberState::Alive, 13)
    );
}

#[test]
fn many_accusations_in_one_datagram_are_answered_as_one() {
    let accused = |incarnations: std::ops::Range<u64>| {
        let mut membership = new_membership();
        membership.add_known_members((1..9).map(|i| (member(i), 5)));
        let accuse = |incarnation| Update {
            state: MemberState::Suspect,
            incarnation,
            accuser: None,
            member: member(0),
        };
        let updates = incarnations.map(accuse).collect();
        let envelope = Envelope {
            from: MemberId("m1".into()),
            body: Body::Gossip,
            updates,
        };
        deliver(&mut membership, member(1).address, &envelope).len()
    };
    // Outdated accusations, and such as each need a refutation.
    assert_eq!(
        (accused(3..15), accused(12..24)),
        (accused(3..4), accused(12..13))
    );
}

#[test]
fn a_zone_vote_is_gossiped_beyond_its_first_receivers() {
    let (mut membership, mut other) = (
        new_membership(),
        Membership::new(Settings::default(), member(1), 10, vec![], 2),
    );
    membership.add_known_members((1..4).map(|i| (member(i), 5)));
    other.add_known_members([(member(0), 10), (member(2), 5)]);
    let mut out = Vec::new();
    let vote = ZoneVote {
        decision_epoch: 3,
        local_traffic_tenths: 4,
        preferred_tenths: 2,
    };
    membership.set_zone_vote(vote, &mut out);
    assert!(out.contains(&Action::IncarnationRaised(11)));
    let sent = out.iter().find_map(|a| match a {
        Action::Send { to, bytes } if *to == member(1).address => Some(bytes.clone()),
        _ => None,
    });
    let mut forwarded = Vec::new();
    other.handle(
        1,
        Event::Datagram {
            from: member(0).address,
            bytes: &sent.unwrap(),
        },
        &mut forwarded,
    );
    let received = &other.entry(&MemberId("m0".into())).unwrap().member;
    assert_eq!(
        (
            received.decision_epoch,
            received.local_traffic_tenths,
            received.preferred_tenths
        ),
        (3, 4, 2)
    );
    // The receiver gossips it further.
    (1..1_000).for_each(|now| other.handle(now, Event::Tick, &mut forwarded));
    let has_vote = |bytes: &[u8]| {
        let updates = wire::decode(bytes).unwrap().updates;
        updates
            .iter()
            .any(|u| u.member.id.0 == "m0" && u.member.decision_epoch == 3 && u.incarnation == 11)
    };
    assert!(forwarded.iter().any(
        |a| matches!(a, Action::Send { to, bytes } if *to == member(2).address && has_vote(bytes))
    ));
    // An unchanged vote is not gossiped.
    out.clear();
    membership.set_zone_vote(vote, &mut out);
    assert!(out.is_empty());
}

/// Requests the whole view part by part, as a tool does.
fn request_view(membership: &mut Membership, padding: usize) -> Vec<wire::ViewRow> {
    let (mut rows, mut after) = (Vec::<wire::ViewRow>::new(), None);
    for sequence in 0..100 {
        let request = wire::ViewRequest {
            sequence,
            after: after.clone(),
            padding: vec![0; padding],
        };
        let request = Envelope {
            from: MemberId("?".into()),
            body: Body::ViewRequest(request),
            updates: vec![],
        };
        let requested = wire::encode(&request).unwrap().len();
        let out = deliver(membership, member(99).address, &request);
        let [Action::Send { to, bytes }] = &out[..] else {
            panic!("{} actions", out.len())
        };
        assert_eq!(*to, member(99).address);
        assert!(
            bytes.len() <= requested,
            "a response of {} bytes to a request of {requested}",
            bytes.len()
        );
        let Body::ViewResponse(response) = wire::decode(bytes).unwrap().body else {
            panic!("no view response")
        };
        assert_eq!((response.sequence, response.members), (sequence, 60));
        rows.extend(response.rows);
        after = rows.last().map(|row| row.member.id.clone());
        if !response.more {
            return rows;
        }
    }
    panic!("the view does not end");
}

#[test]
fn a_tool_reads_the_view_in_responses_no_longer_than_its_requests_and_is_no_member() {
    let mut membership = new_membership();
    membership.add_known_members((1..60).map(|i| (member(i), 7)));
    for padding in [1_100, 400] {
        let rows = request_view(&mut membership, padding);
        let ids: Vec<&MemberId> = rows.iter().map(|row| &row.member.id).collect();
        assert!(ids.is_sorted() && ids.len() == 60, "{}", ids.len());
    }
    assert_eq!(membership.view().members.len(), 60);
    let short_request = wire::ViewRequest {
        sequence: 1,
        after: None,
        padding: vec![],
    };
    let short_request = Envelope {
        from: MemberId("?".into()),
        body: Body::ViewRequest(short_request),
        updates: vec![],
    };
    assert!(deliver(&mut membership, member(99).address, &short_request).is_empty());
}

fn suspicion(of: u8, accuser: u8) -> Update {
    let accuser = Some(MemberId(format!("m{accuser}")));
    Update {
        state: MemberState::Suspect,
        incarnation: 5,
        accuser,
        member: member(of),
    }
}

/// When a suspect is declared dead after accusations at 1 ms, each given as its sender and its accuser.
fn death_after(accusations: &[(u8, u8)]) -> u64 {
    let mut membership = new_membership();
    membership.add_known_members((1..10).map(|i| (member(i), 5)));
    for (sender, accuser) in accusations {
        let updates = vec![suspicion(1, *accuser)];
        let envelope = Envelope {
            from: MemberId(format!("m{sender}")),
            body: Body::Gossip,
            updates,
        };
        deliver(&mut membership, member(*sender).address, &envelope);
    }
    let mut out = Vec::new();
    (1..60_000)
        .step_by(50)
        .find(|now| {
            membership.handle(*now, Event::Tick, &mut out);
            membership
                .entry(&MemberId("m1".into()))
                .is_some_and(|e| e.state == MemberState::Dead)
        })
        .expect("the suspect is declared dead")
}

#[test]
fn only_accusations_by_different_members_shorten_a_suspicion() {
    let once = death_after(&[(2, 2)]);
    assert_eq!(death_after(&[(2, 2), (3, 2), (4, 2), (5, 2)]), once);
    let thrice = death_after(&[(2, 2), (3, 3), (4, 4), (5, 5)]);
    assert!(thrice * 4 < once, "{thrice} of {once}");
}

#[test]
fn a_member_that_ran_for_a_year_comes_back_with_its_clock_as_incarnation() {
    let mut membership = new_membership();
    membership.add_known_members([(member(1), 1_700_000_000_000)]);
    let back = alive(1, 1_700_000_000_000 + 366 * 86_400_000);
    let envelope = Envelope {
        from: MemberId("m1".into()),
        body: Body::Gossip,
        updates: vec![back.clone()],
    };
    deliver(&mut membership, member(1).address, &envelope);
    assert_eq!(
        membership
            .entry(&MemberId("m1".into()))
            .unwrap()
            .incarnation,
        back.incarnation
    );
    assert_eq!(membership.rejected_input().future_incarnation, 0);
}

#[test]
fn a_leaving_member_repeats_its_departure_and_probes_nobody() {
    let mut membership = new_membership();
    membership.add_known_members((1..30).map(|i| (member(i), 5)));
    let mut out = Vec::new();
    membership.handle(1, Event::Leave, &mut out);
    let first = out.len();
    for now in 2..600 {
        membership.handle(now, Event::Tick, &mut out);
    }
    let announces_departure = |a: &Action| {
        let Action::Send { bytes, .. } = a else {
            return false;
        };
        wire::decode(bytes)
            .unwrap()
            .updates
            .iter()
            .any(|u| u.state == MemberState::Left && u.member.id.0 == "m0")
    };
    assert!(
        out.iter()
            .skip(first)
            .filter(|a| announces_departure(a))
            .count()
            >= 6
    );
    // It no longer probes.
    assert!(!out.iter().any(|a| matches!(a, Action::Send { bytes, .. }
        if matches!(wire::decode(bytes).unwrap().body, Body::Ping { .. }))));
}

proptest! {
    #[test]
    fn no_datagram_makes_a_member_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1300)) {
        let mut membership = new_membership();
        let mut out = Vec::new();
        let mut framed = b"hm".to_vec();
        framed.push(wire::VERSION);
        framed.extend_from_slice(&bytes);
        membership.handle(1, Event::Datagram { from: member(5).address, bytes: &bytes }, &mut out);
        membership.handle(2, Event::Datagram { from: member(5).address, bytes: &framed }, &mut out);
        membership.handle(3_000, Event::Tick, &mut out);
        prop_assert!(membership.view().members.len() <= Settings::default().max_members);
    }

    #[test]
    fn encoded_envelopes_decode_to_themselves(incarnation in 0u64..1 << 40, sequence in any::<u32>(), n in 0u8..10) {
        let envelope = Envelope {
            from: MemberId("m1".into()),
            body: Body::Ping { sequence, target: MemberId("m2".into()) },
            updates: (0..n).map(|i| alive(i, incarnation)).collect(),
        };
        prop_assert_eq!(wire::decode(&wire::encode(&envelope).unwrap()).unwrap(), envelope);
    }
}
