//! The datagram: a versioned envelope, encoded by postcard. No field is read before the whole has decoded.

use crate::member::{Id, Member, State};
use serde::{Deserialize, Serialize};

/// The version of the envelope that this build speaks; another one is refused whole.
pub const VERSION: u8 = 2;
/// The largest datagram sent or read, in bytes: under the 1,280 of IPv6's minimum MTU less headers.
pub const LARGEST: usize = 1_200;
/// A mark before the version, so that stray traffic is told from an old peer.
const MAGIC: [u8; 2] = *b"hm";

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Who sent it.
    pub from: Id,
    /// What it asks or answers.
    pub body: Body,
    /// News of members, piggybacked.
    pub updates: Vec<Update>,
}

/// What a datagram asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Are you there? Answered by an ack with the same sequence.
    Ping {
        /// Matches the ack.
        seq: u32,
        /// Whom it is meant for: a restarted member at the same address does not answer for another.
        target: Id,
    },
    /// Probe `target` for me, and tell me (ack) or say that you could not (nack).
    PingReq {
        /// Matches the ack or nack sent back.
        seq: u32,
        /// Whom to probe.
        target: Id,
        /// Where it is.
        address: std::net::SocketAddrV4,
    },
    /// The target answered.
    Ack {
        /// The probe's.
        seq: u32,
    },
    /// An indirect probe got no answer in time (Lifeguard): the prober's own path is fine.
    Nack {
        /// The indirect probe's.
        seq: u32,
    },
    /// A part of the sender's whole view; `reply` asks for the receiver's.
    PushPull {
        /// Whether the receiver is to answer with its own view.
        reply: bool,
    },
    /// Nothing asked: only the updates.
    Gossip,
    /// A tool asks for a part of the view; it is no member and does not become one.
    Ask(Ask),
    /// The part asked for.
    Seen(Seen),
}

/// A question for a part of the view. The answer is never longer than the question, so that a forged source
/// gains nothing by it (as RFC 9000, section 8.1, has it for QUIC): who asks pads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Matches the answer.
    pub seq: u32,
    /// Members behind this id, in the order of ids; from the first where it is missing.
    pub after: Option<Id>,
    /// Room for the answer.
    pub padding: Vec<u8>,
}

/// A part of a view, as it is now; parts asked for one after another may be of different versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The question's.
    pub seq: u32,
    /// The view's version.
    pub version: u64,
    /// Members in the whole view.
    pub members: u32,
    /// The local health score of who answers (Lifeguard); 0 is healthy.
    pub awareness: u32,
    /// Datagrams and updates that were refused since the start.
    pub refused: u64,
    /// Rows that follow behind the last one here.
    pub more: bool,
    /// Members, in the order of ids.
    pub rows: Vec<Row>,
}

/// One member in a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// What it says of itself.
    pub member: Member,
    /// Its state there.
    pub state: State,
    /// Its incarnation there.
    pub incarnation: u64,
    /// How long it has been in that state there, in milliseconds; 0 for the one that answers.
    pub for_ms: u64,
}

/// News of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Its state.
    pub state: State,
    /// Its incarnation: the member alone raises it.
    pub incarnation: u64,
    /// Who accuses it, where it is suspect or dead: only different accusers confirm each other (Lifeguard,
    /// section 4.2), however often one's word is passed on.
    pub by: Option<Id>,
    /// What it says of itself.
    pub member: Member,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// Longer than [`LARGEST`].
    Oversized,
    /// Not ours, or cut short, or not decodable.
    Garbage,
    /// Ours, of another version.
    Version,
}

/// Encodes an envelope; `None` where it would be over [`LARGEST`].
pub fn encode(envelope: &Envelope) -> Option<Vec<u8>> {
    let mut bytes = Vec::with_capacity(256);
    bytes.extend_from_slice(&MAGIC);
    bytes.push(VERSION);
    let bytes = postcard::to_extend(envelope, bytes).ok()?;
    (bytes.len() <= LARGEST).then_some(bytes)
}

/// The length that an envelope takes once encoded.
pub fn encoded_len(envelope: &Envelope) -> usize {
    MAGIC.len() + 1 + postcard::to_allocvec(envelope).map_or(usize::MAX / 2, |b| b.len())
}

/// The length that an update takes once encoded.
pub fn update_len(update: &Update) -> usize {
    postcard::to_allocvec(update).map_or(usize::MAX / 2, |b| b.len())
}

/// The length that a row takes once encoded.
pub fn row_len(row: &Row) -> usize {
    postcard::to_allocvec(row).map_or(usize::MAX / 2, |b| b.len())
}

/// Decodes a datagram, whole or not at all.
pub fn decode(bytes: &[u8]) -> Result<Envelope, Refusal> {
    if bytes.len() > LARGEST {
        return Err(Refusal::Oversized);
    }
    let [m0, m1, version, rest @ ..] = bytes else {
        return Err(Refusal::Garbage);
    };
    if [*m0, *m1] != MAGIC {
        return Err(Refusal::Garbage);
    }
    if *version != VERSION {
        return Err(Refusal::Version);
    }
    match postcard::take_from_bytes::<Envelope>(rest) {
        Ok((envelope, [])) => Ok(envelope),
        _ => Err(Refusal::Garbage),
    }
}
