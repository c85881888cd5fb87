//! Invalid input is counted and dropped, tables and queues stay within their bounds, and no datagram causes a panic.

use heathspur_members::wire::{self, Envelope, Message, Update, MAX_DATAGRAM_BYTES};
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
        average_round_trip_ms: 0,
        decision_epoch: 0,
        local_traffic_tenths: 10,
        preferred_local_traffic_tenths: 10,
    }
}

fn new_membership() -> Membership {
    Membership::new(Settings::default(), member(0), 10, vec![], 1)
}

fn deliver(membership: &mut Membership, from: SocketAddrV4, envelope: &Envelope) -> Vec<Action> {
    let mut actions = Vec::new();
    membership.handle(
        1,
        Event::Datagram {
            from,
            bytes: &wire::encode(envelope).unwrap(),
        },
        &mut actions,
    );
    actions
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
fn malformed_oversized_and_unsupported_datagrams_have_separate_counts() {
    let mut membership = new_membership();
    let from = member(9).address;
    let mut actions = Vec::new();
    membership.handle(
        1,
        Event::Datagram {
            from,
            bytes: b"GET / HTTP/1.1\r\n",
        },
        &mut actions,
    );
    membership.handle(
        1,
        Event::Datagram {
            from,
            bytes: &[0u8; MAX_DATAGRAM_BYTES + 1],
        },
        &mut actions,
    );
    let mut datagram = wire::encode(&Envelope {
        from: MemberId("m9".into()),
        body: Message::Gossip,
        updates: vec![],
    })
    .unwrap();
    let version_offset = 2;
    datagram[version_offset] = 99;
    membership.handle(
        1,
        Event::Datagram {
            from,
            bytes: &datagram,
        },
        &mut actions,
    );
    datagram[version_offset] = wire::VERSION;
    datagram.pop();
    membership.handle(
        1,
        Event::Datagram {
            from,
            bytes: &datagram,
        },
        &mut actions,
    );
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
    membership.handle(2_000, Event::Tick, &mut actions);
    assert!(actions
        .iter()
        .any(|action| matches!(action, Action::InputRejected(report)
            if report.new_rejections == 4 && report.last_sender == Some(from))));
}

#[test]
fn address_change_of_known_id_by_other_member_is_rejected() {
    let mut membership = new_membership();
    let envelope = Envelope {
        from: MemberId("m1".into()),
        body: Message::Gossip,
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
            body: Message::Gossip,
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
fn updates_with_implausible_incarnations_are_rejected() {
    let mut membership = new_membership();
    let envelope = Envelope {
        from: MemberId("m1".into()),
        body: Message::Gossip,
        updates: vec![alive(1, 5)],
    };
    deliver(&mut membership, member(1).address, &envelope);
    let implausible = Update {
        state: MemberState::Dead,
        incarnation: 1 << 50,
        accuser: None,
        member: member(1),
    };
    let mut about_local_member = implausible.clone();
    about_local_member.member = member(0);
    deliver(
        &mut membership,
        member(1).address,
        &Envelope {
            from: MemberId("m1".into()),
            body: Message::Gossip,
            updates: vec![implausible, about_local_member],
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
fn accusation_of_local_member_is_refuted_with_higher_incarnation() {
    let mut membership = new_membership();
    let suspect = Update {
        state: MemberState::Suspect,
        incarnation: 12,
        accuser: None,
        member: member(0),
    };
    let actions = deliver(
        &mut membership,
        member(1).address,
        &Envelope {
            from: MemberId("m1".into()),
            body: Message::Gossip,
            updates: vec![suspect],
        },
    );
    assert_eq!(membership.incarnation(), 13);
    assert!(actions.contains(&Action::IncarnationRaised(13)));
    assert!(actions
        .iter()
        .any(|action| matches!(action, Action::Send { to, .. } if *to == member(1).address)));
}

#[test]
fn full_member_table_rejects_new_members() {
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
            body: Message::Gossip,
            updates,
        },
    );
    assert_eq!(membership.view().members.len(), 5);
    assert_eq!(membership.rejected_input().table_full, 15);
}

#[test]
fn datagrams_above_source_rate_limit_are_rejected() {
    let settings = Settings {
        max_datagrams_per_source_per_second: 10,
        ..Settings::default()
    };
    let mut membership = Membership::new(settings, member(0), 1, vec![], 1);
    let mut actions = Vec::new();
    for _ in 0..50 {
        membership.handle(
            1,
            Event::Datagram {
                from: member(3).address,
                bytes: b"x",
            },
            &mut actions,
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
fn push_pull_splits_view_into_datagrams_within_maximum_size() {
    let mut membership = new_membership();
    let updates: Vec<Update> = (1..200).map(|i| alive(i, 1)).collect();
    for chunk in updates.chunks(10) {
        let envelope = Envelope {
            from: MemberId("m1".into()),
            body: Message::Gossip,
            updates: chunk.to_vec(),
        };
        deliver(&mut membership, member(1).address, &envelope);
    }
    let push_pull = Envelope {
        from: MemberId("m7".into()),
        body: Message::PushPull { reply: true },
        updates: vec![alive(7, 1)],
    };
    let actions = deliver(&mut membership, member(7).address, &push_pull);
    let parts: Vec<&Vec<u8>> = actions
        .iter()
        .filter_map(|action| {
            if let Action::Send { bytes, .. } = action {
                Some(bytes)
            } else {
                None
            }
        })
        .collect();
    assert!(parts.len() >= 3);
    assert!(parts.iter().all(|part| part.len() <= MAX_DATAGRAM_BYTES));
    let sent_updates: usize = parts
        .iter()
        .map(|part| wire::decode(part).unwrap().updates.len())
        .sum();
    assert_eq!(sent_updates, 200);
}

#[test]
fn spoofed_source_addresses_do_not_grow_rate_limiter() {
    let settings = Settings {
        max_members: 8,
        ..Settings::default()
    };
    let mut membership = Membership::new(settings, member(0), 1, vec![], 1);
    let mut actions = Vec::new();
    for port in 0..5_000u16 {
        let from = SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 2), port);
        membership.handle(1, Event::Datagram { from, bytes: b"x" }, &mut actions);
    }
    assert_eq!(membership.counted_addresses(), 16);
    assert_eq!(membership.rejected_input().rate_limited, 5_000 - 16);
}

#[test]
fn outdated_accusation_is_answered_with_current_incarnation() {
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
            body: Message::Gossip,
            updates,
        };
        deliver(membership, member(accuser).address, &envelope)
    };
    accuse(&mut membership, 1, &suspect);
    // Another member declares the local member dead, since it missed the refutation.
    suspect.state = MemberState::Dead;
    let actions = accuse(&mut membership, 2, &suspect);
    assert_eq!(membership.incarnation(), 13);
    let [Action::Send { to, bytes }] = &actions[..] else {
        panic!("{actions:?}")
    };
    let refutation = &wire::decode(bytes).unwrap().updates[0];
    assert_eq!(
        (*to, refutation.state, refutation.incarnation),
        (member(2).address, MemberState::Alive, 13)
    );
}

#[test]
fn multiple_accusations_in_one_datagram_cause_one_answer() {
    let answers_to = |incarnations: std::ops::Range<u64>| {
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
            body: Message::Gossip,
            updates,
        };
        deliver(&mut membership, member(1).address, &envelope).len()
    };
    // The first range is outdated; each accusation of the second one requires a refutation.
    assert_eq!(
        (answers_to(3..15), answers_to(12..24)),
        (answers_to(3..4), answers_to(12..13))
    );
}

#[test]
fn zone_vote_is_gossiped_onward_by_receivers() {
    let (mut membership, mut other) = (
        new_membership(),
        Membership::new(Settings::default(), member(1), 10, vec![], 2),
    );
    membership.add_known_members((1..4).map(|i| (member(i), 5)));
    other.add_known_members([(member(0), 10), (member(2), 5)]);
    let mut actions = Vec::new();
    let vote = ZoneVote {
        decision_epoch: 3,
        local_traffic_tenths: 4,
        preferred_local_traffic_tenths: 2,
    };
    membership.set_zone_vote(vote, &mut actions);
    assert!(actions.contains(&Action::IncarnationRaised(11)));
    let sent = actions.iter().find_map(|action| match action {
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
            received.preferred_local_traffic_tenths
        ),
        (3, 4, 2)
    );
    // The receiver gossips the vote to another member.
    (1..1_000).for_each(|now| other.handle(now, Event::Tick, &mut forwarded));
    let has_vote = |bytes: &[u8]| {
        let updates = wire::decode(bytes).unwrap().updates;
        updates.iter().any(|update| {
            update.member.id.0 == "m0"
                && update.member.decision_epoch == 3
                && update.incarnation == 11
        })
    };
    assert!(forwarded.iter().any(
        |action| matches!(action, Action::Send { to, bytes } if *to == member(2).address && has_vote(bytes))
    ));
    // An unchanged vote is not gossiped.
    actions.clear();
    membership.set_zone_vote(vote, &mut actions);
    assert!(actions.is_empty());
}

/// Requests the full view part by part, as a tool does.
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
            body: Message::ViewRequest(request),
            updates: vec![],
        };
        let request_len = wire::encode(&request).unwrap().len();
        let actions = deliver(membership, member(99).address, &request);
        let [Action::Send { to, bytes }] = &actions[..] else {
            panic!("{} actions", actions.len())
        };
        assert_eq!(*to, member(99).address);
        assert!(
            bytes.len() <= request_len,
            "a response of {} bytes to a request of {request_len}",
            bytes.len()
        );
        let Message::ViewResponse(response) = wire::decode(bytes).unwrap().body else {
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
fn view_responses_are_no_longer_than_requests_and_tool_does_not_join() {
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
        body: Message::ViewRequest(short_request),
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

/// Returns when a suspect is declared dead after accusations at 1 ms, each given as its sender and its accuser.
fn time_of_death(accusations: &[(u8, u8)]) -> u64 {
    let mut membership = new_membership();
    membership.add_known_members((1..10).map(|i| (member(i), 5)));
    for (sender, accuser) in accusations {
        let updates = vec![suspicion(1, *accuser)];
        let envelope = Envelope {
            from: MemberId(format!("m{sender}")),
            body: Message::Gossip,
            updates,
        };
        deliver(&mut membership, member(*sender).address, &envelope);
    }
    let mut actions = Vec::new();
    (1..60_000)
        .step_by(50)
        .find(|now| {
            membership.handle(*now, Event::Tick, &mut actions);
            membership
                .entry(&MemberId("m1".into()))
                .is_some_and(|entry| entry.state == MemberState::Dead)
        })
        .expect("the suspect is declared dead")
}

#[test]
fn only_accusations_by_different_members_shorten_suspicion() {
    let unconfirmed = time_of_death(&[(2, 2)]);
    assert_eq!(
        time_of_death(&[(2, 2), (3, 2), (4, 2), (5, 2)]),
        unconfirmed
    );
    let confirmed = time_of_death(&[(2, 2), (3, 3), (4, 4), (5, 5)]);
    assert!(confirmed * 4 < unconfirmed, "{confirmed} of {unconfirmed}");
}

#[test]
fn restart_after_one_year_with_clock_incarnation_is_accepted() {
    let mut membership = new_membership();
    membership.add_known_members([(member(1), 1_700_000_000_000)]);
    let restarted = alive(1, 1_700_000_000_000 + 366 * 86_400_000);
    let envelope = Envelope {
        from: MemberId("m1".into()),
        body: Message::Gossip,
        updates: vec![restarted.clone()],
    };
    deliver(&mut membership, member(1).address, &envelope);
    assert_eq!(
        membership
            .entry(&MemberId("m1".into()))
            .unwrap()
            .incarnation,
        restarted.incarnation
    );
    assert_eq!(membership.rejected_input().future_incarnation, 0);
}

#[test]
fn leaving_member_repeats_departure_and_stops_probing() {
    let mut membership = new_membership();
    membership.add_known_members((1..30).map(|i| (member(i), 5)));
    let mut actions = Vec::new();
    membership.handle(1, Event::Leave, &mut actions);
    let first_announcements = actions.len();
    for now in 2..600 {
        membership.handle(now, Event::Tick, &mut actions);
    }
    let announces_departure = |action: &Action| {
        let Action::Send { bytes, .. } = action else {
            return false;
        };
        wire::decode(bytes)
            .unwrap()
            .updates
            .iter()
            .any(|update| update.state == MemberState::Left && update.member.id.0 == "m0")
    };
    assert!(
        actions
            .iter()
            .skip(first_announcements)
            .filter(|action| announces_departure(action))
            .count()
            >= 6
    );
    assert!(!actions
        .iter()
        .any(|action| matches!(action, Action::Send { bytes, .. }
        if matches!(wire::decode(bytes).unwrap().body, Message::Ping { .. }))));
}

proptest! {
    #[test]
    fn arbitrary_datagrams_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1300)) {
        let mut membership = new_membership();
        let mut actions = Vec::new();
        let mut framed = b"hm".to_vec();
        framed.push(wire::VERSION);
        framed.extend_from_slice(&bytes);
        membership.handle(1, Event::Datagram { from: member(5).address, bytes: &bytes }, &mut actions);
        membership.handle(2, Event::Datagram { from: member(5).address, bytes: &framed }, &mut actions);
        membership.handle(3_000, Event::Tick, &mut actions);
        prop_assert!(membership.view().members.len() <= Settings::default().max_members);
    }

    #[test]
    fn encoded_envelope_decodes_to_itself(incarnation in 0u64..1 << 40, sequence in any::<u32>(), n in 0u8..10) {
        let envelope = Envelope {
            from: MemberId("m1".into()),
            body: Message::Ping { sequence, target: MemberId("m2".into()) },
            updates: (0..n).map(|i| alive(i, incarnation)).collect(),
        };
        prop_assert_eq!(wire::decode(&wire::encode(&envelope).unwrap()).unwrap(), envelope);
    }
}
