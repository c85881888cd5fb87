//! The recorded bytes of every kind of datagram. They must not change, since members of different builds share a fleet.

use heathspur_members::wire::{
    self, Envelope, Message, Update, ViewRequest, ViewResponse, ViewRow,
};
use heathspur_members::{Load, Member, MemberId, MemberState};
use std::net::{Ipv4Addr, SocketAddrV4};

/// A datagram of one kind and its recorded bytes on the wire.
struct Recorded {
    kind: &'static str,
    envelope: Envelope,
    hex: &'static str,
}

fn id(name: &str) -> MemberId {
    MemberId(name.to_string())
}

/// Returns a member whose load, round trip and zone decision all differ from their defaults.
fn member_with_decision() -> Member {
    Member {
        id: id("m2"),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 2), 7946),
        zone: "riga-1".to_string(),
        region: "baltic".to_string(),
        version: 1_002_003,
        load: Load {
            in_flight: 7,
            concurrency_limit: 300,
            rejections_per_second: 5,
        },
        average_round_trip_ms: 150,
        decision_epoch: 70_000,
        local_traffic_tenths: 4,
        preferred_local_traffic_tenths: 0,
    }
}

fn member_without_decision() -> Member {
    Member {
        id: id("m1"),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7000),
        zone: String::new(),
        region: String::new(),
        version: 1,
        load: Load::default(),
        average_round_trip_ms: 0,
        decision_epoch: 0,
        local_traffic_tenths: 10,
        preferred_local_traffic_tenths: 10,
    }
}

fn update(state: MemberState, accuser: Option<MemberId>, member: Member) -> Update {
    Update {
        state,
        incarnation: 1_700_000_000_000,
        accuser,
        member,
    }
}

fn datagram(body: Message, updates: Vec<Update>) -> Envelope {
    Envelope {
        from: id("m1"),
        body,
        updates,
    }
}

fn recorded() -> Vec<Recorded> {
    let ping = Message::Ping {
        sequence: 300,
        target: id("m2"),
    };
    let ping_req = Message::PingReq {
        sequence: 301,
        target: id("m2"),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 2), 7946),
    };
    let gossip_updates = vec![
        update(MemberState::Alive, None, member_without_decision()),
        update(MemberState::Suspect, Some(id("m3")), member_with_decision()),
        update(MemberState::Dead, Some(id("m1")), member_with_decision()),
        update(MemberState::Left, None, member_with_decision()),
    ];
    let view_request = Message::ViewRequest(ViewRequest {
        sequence: 9,
        after: Some(id("m1")),
        padding: vec![0; 4],
    });
    let view_response = Message::ViewResponse(ViewResponse {
        sequence: 9,
        version: 1_000,
        members: 60,
        local_health: 2,
        rejected: 400,
        more: true,
        rows: vec![ViewRow {
            member: member_with_decision(),
            state: MemberState::Suspect,
            incarnation: 17,
            in_state_ms: 2_500,
        }],
    });
    vec![
        Recorded {
            kind: "ping",
            envelope: datagram(
                ping,
                vec![update(MemberState::Alive, None, member_without_decision())],
            ),
            hex: "686d02026d3100ac02026d32010080d095ffbc3100026d317f000001d83600000100000000000a0a",
        },
        Recorded {
            kind: "indirect probe request",
            envelope: datagram(ping_req, vec![]),
            hex: "686d02026d3101ad02026d320a0001028a3e00",
        },
        Recorded {
            kind: "ack",
            envelope: datagram(
                Message::Ack { sequence: 300 },
                vec![update(MemberState::Alive, None, member_with_decision())],
            ),
            hex: "686d02026d3102ac02010080d095ffbc3100026d320a0001028a3e06726967612d310662616c74696393943d07ac02059601f0a2040400",
        },
        Recorded {
            kind: "nack",
            envelope: datagram(Message::Nack { sequence: 301 }, vec![]),
            hex: "686d02026d3103ad0200",
        },
        Recorded {
            kind: "push-pull that requests a reply",
            envelope: datagram(
                Message::PushPull { reply: true },
                vec![update(MemberState::Alive, None, member_with_decision())],
            ),
            hex: "686d02026d310401010080d095ffbc3100026d320a0001028a3e06726967612d310662616c74696393943d07ac02059601f0a2040400",
        },
        Recorded {
            kind: "push-pull reply",
            envelope: datagram(Message::PushPull { reply: false }, vec![]),
            hex: "686d02026d31040000",
        },
        Recorded {
            kind: "gossip of every state",
            envelope: datagram(Message::Gossip, gossip_updates),
            hex: "686d02026d3105040080d095ffbc3100026d317f000001d83600000100000000000a0a0180d095ffbc3101026d33026d320a0001028a3e06726967612d310662616c74696393943d07ac02059601f0a20404000280d095ffbc3101026d31026d320a0001028a3e06726967612d310662616c74696393943d07ac02059601f0a20404000380d095ffbc3100026d320a0001028a3e06726967612d310662616c74696393943d07ac02059601f0a2040400",
        },
        Recorded {
            kind: "view request",
            envelope: datagram(view_request, vec![]),
            hex: "686d02026d31060901026d31040000000000",
        },
        Recorded {
            kind: "view response",
            envelope: datagram(view_response, vec![]),
            hex: "686d02026d310709e8073c0290030101026d320a0001028a3e06726967612d310662616c74696393943d07ac02059601f0a20404000111c41300",
        },
    ]
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

#[test]
fn each_kind_of_datagram_encodes_to_recorded_bytes() {
    for Recorded {
        kind,
        envelope,
        hex,
    } in recorded()
    {
        assert_eq!(to_hex(&wire::encode(&envelope).unwrap()), hex, "{kind}");
    }
}

#[test]
fn recorded_bytes_decode_to_datagram_and_encode_unchanged() {
    for Recorded {
        kind,
        envelope,
        hex,
    } in recorded()
    {
        let decoded = wire::decode(&from_hex(hex)).unwrap();
        assert_eq!(decoded, envelope, "{kind}");
        assert_eq!(to_hex(&wire::encode(&decoded).unwrap()), hex, "{kind}");
    }
}

#[test]
fn zone_decision_is_encoded_at_end_of_member() {
    let encoded_with = |decision_epoch, local_traffic_tenths, preferred_local_traffic_tenths| {
        let member = Member {
            decision_epoch,
            local_traffic_tenths,
            preferred_local_traffic_tenths,
            ..member_without_decision()
        };
        let gossip = datagram(
            Message::Gossip,
            vec![update(MemberState::Alive, None, member)],
        );
        to_hex(&wire::encode(&gossip).unwrap())
    };
    // The epoch is a variable-length integer; the accepted and the preferred level have one byte each.
    assert!(encoded_with(0, 10, 10).ends_with("000a0a"));
    assert!(encoded_with(3, 4, 2).ends_with("030402"));
    assert!(encoded_with(70_000, 0, 10).ends_with("f0a204000a"));
}
