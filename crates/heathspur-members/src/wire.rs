//! The datagram: a versioned envelope, encoded by postcard. No field is read before the whole has decoded.

use crate::member::{Member, MemberId, MemberState};
use serde::{Deserialize, Serialize};

/// The version of the envelope that this build speaks; another one is refused whole.
pub const VERSION: u8 = 2;
/// The largest datagram sent or read, in bytes: under the 1,280 of IPv6's minimum MTU less headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// A mark before the version, so that stray traffic is told from an old peer.
const MAGIC: [u8; 2] = *b"hm";

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Who sent it.
    pub from: MemberId,
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
        sequence: u32,
        /// Whom it is meant for: a restarted member at the same address does not answer for another.
        target: MemberId,
    },
    /// Probe `target` for me, and tell me (ack) or say that you could not (nack).
    PingReq {
        /// Matches the ack or nack sent back.
        sequence: u32,
        /// Whom to probe.
        target: MemberId,
        /// Where it is.
        address: std::net::SocketAddrV4,
    },
    /// The target answered.
    Ack {
        /// The probe's.
        sequence: u32,
    },
    /// An indirect probe got no answer in time (Lifeguard): the prober's own path is fine.
    Nack {
        /// The indirect probe's.
        sequence: u32,
    },
    /// A part of the sender's whole view; `reply` asks for the receiver's.
    PushPull {
        /// Whether the receiver is to answer with its own view.
        reply: bool,
    },
    /// Nothing asked: only the updates.
    Gossip,
    /// A tool asks for a part of the view; it is no member and does not become one.
    ViewRequest(ViewRequest),
    /// The part asked for.
    ViewResponse(ViewResponse),
}

/// A question for a part of the view. The answer is never longer than the question, so that a forged source
/// gains nothing by it (as RFC 9000, section 8.1, has it for QUIC): who asks pads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRequest {
    /// Matches the answer.
    pub sequence: u32,
    /// Members behind this id, in the order of ids; from the first where it is missing.
    pub after: Option<MemberId>,
    /// Room for the answer.
    pub padding: Vec<u8>,
}

/// A part of a view, as it is now; parts asked for one after another may be of different versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewResponse {
    /// The question's.
    pub sequence: u32,
    /// The view's version.
    pub version: u64,
    /// Members in the whole view.
    pub members: u32,
    /// The local health score of who answers (Lifeguard); 0 is healthy.
    pub local_health: u32,
    /// Datagrams and updates that were refused since the start.
    pub refused: u64,
    /// Rows that follow behind the last one here.
    pub more: bool,
    /// Members, in the order of ids.
    pub rows: Vec<ViewRow>,
}

/// One member in a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRow {
    /// What it says of itself.
    pub member: Member,
    /// Its state there.
    pub state: MemberState,
    /// Its incarnation there.
    pub incarnation: u64,
    /// How long it has been in that state there, in milliseconds; 0 for the one that answers.
    pub in_state_ms: u64,
}

/// News of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Its state.
    pub state: MemberState,
    /// Its incarnation: the member alone raises it.
    pub incarnation: u64,
    /// Who accuses it, where it is suspect or dead: only different accusers confirm each other (Lifeguard,
    /// section 4.2), however often one's word is passed on.
    pub accuser: Option<MemberId>,
    /// What it says of itself.
    pub member: Member,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DecodeError {
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    Oversized,
    /// Not ours, or cut short, or not decodable.
    Garbage,
    /// Ours, of another version.
    Version,
}

/// Encodes an envelope; `None` where it would be over [`MAX_DATAGRAM_BYTES`].
pub fn encode(envelope: &Envelope) -> Option<Vec<u8>> {
    let mut bytes = Vec::with_capacity(256);
    bytes.extend_from_slice(&MAGIC);
    bytes.push(VERSION);
    let bytes = postcard::to_extend(envelope, bytes).ok()?;
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
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
pub fn row_len(row: &ViewRow) -> usize {
    postcard::to_allocvec(row).map_or(usize::MAX / 2, |b| b.len())
}

/// Decodes a datagram, whole or not at all.
pub fn decode(bytes: &[u8]) -> Result<Envelope, DecodeError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DecodeError::Oversized);
    }
    let [m0, m1, version, rest @ ..] = bytes else {
        return Err(DecodeError::Garbage);
    };
    if [*m0, *m1] != MAGIC {
        return Err(DecodeError::Garbage);
    }
    if *version != VERSION {
        return Err(DecodeError::Version);
    }
    match postcard::take_from_bytes::<Envelope>(rest) {
        Ok((envelope, [])) => Ok(envelope),
        _ => Err(DecodeError::Garbage),
    }
}
