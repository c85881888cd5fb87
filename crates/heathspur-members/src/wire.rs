//! The wire format of a datagram: a versioned envelope, encoded by postcard. No field is read before the whole
//! datagram has been decoded.
//!
//! Postcard writes fields and variants by position: their order here is the wire format, their names are not.

use crate::member::{Member, MemberId, MemberState};
use crate::state_record::StateRecord;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The version of the envelope; a datagram of another version is rejected.
pub const VERSION: u8 = 2;
/// The largest datagram sent or accepted, in bytes: under the 1,280 of IPv6's minimum MTU less headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The prefix before the version, which tells stray traffic from a member of another version.
const MAGIC: [u8; 2] = *b"hm";
/// The length of the prefix and the version.
const HEADER_BYTES: usize = MAGIC.len() + 1;
/// The initial capacity of an encoded datagram, which most don't exceed.
const TYPICAL_DATAGRAM_BYTES: usize = 256;
/// The length of a value that can't be encoded: over every bound, and safe to add to others.
const UNENCODABLE_LEN: usize = usize::MAX / 2;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: MemberId,
    /// The message.
    pub body: Body,
    /// Piggybacked updates of members.
    pub updates: Vec<Update>,
}

/// The message of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A probe, answered by an ack with the same sequence number.
    Ping {
        /// Matches the ack.
        sequence: u32,
        /// The probed member: a restarted one at the same address does not answer for another.
        target: MemberId,
    },
    /// A request to probe `target` on the sender's behalf, answered by an ack or a nack.
    PingReq {
        /// Matches the ack or nack.
        sequence: u32,
        /// The member to probe.
        target: MemberId,
        /// Its address.
        address: SocketAddrV4,
    },
    /// The probed member has answered.
    Ack {
        /// The sequence number of the ping or the request.
        sequence: u32,
    },
    /// An indirect probe was not answered in time (Lifeguard): the path between requester and helper works.
    Nack {
        /// The sequence number of the request.
        sequence: u32,
    },
    /// A part of the sender's whole view.
    PushPull {
        /// Whether the receiver is to answer with its own view.
        reply: bool,
    },
    /// No message, only updates.
    Gossip,
    /// A tool, which is no member and does not become one, requests a part of the view.
    ViewRequest(ViewRequest),
    /// The requested part of the view.
    ViewResponse(ViewResponse),
}

/// A request for a part of the view. The response is never longer than the request, so that a forged source address
/// gains no amplification (as in RFC 9000, section 8.1, for QUIC): the requester pads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRequest {
    /// Matches the response.
    pub sequence: u32,
    /// The response starts with the member that follows this id; with the first one if missing.
    pub after: Option<MemberId>,
    /// Padding up to the length that the response may have.
    pub padding: Vec<u8>,
}

/// A part of the current view; parts requested one after another may be of different versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewResponse {
    /// The sequence number of the request.
    pub sequence: u32,
    /// The view's version.
    pub version: u64,
    /// Members in the whole view.
    pub members: u32,
    /// The local health score of the responder (Lifeguard); 0 is healthy.
    pub local_health: u32,
    /// Datagrams and updates rejected since the start.
    pub rejected: u64,
    /// Whether more rows follow the last one.
    pub more: bool,
    /// Members, in the order of ids.
    pub rows: Vec<ViewRow>,
}

/// One member in a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRow {
    /// The record that the member publishes about itself.
    pub member: Member,
    /// Its state as known to the responder.
    pub state: MemberState,
    /// Its incarnation as known to the responder.
    pub incarnation: u64,
    /// How long it has been in that state, in milliseconds; 0 for the responder itself.
    pub in_state_ms: u64,
}

/// An update of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Its state.
    pub state: MemberState,
    /// Its incarnation, which only the member itself raises.
    pub incarnation: u64,
    /// The accuser of a suspect or dead member: only different accusers confirm each other (Lifeguard, section 4.2),
    /// however often one accusation is passed on.
    pub accuser: Option<MemberId>,
    /// The record that the member publishes about itself.
    pub member: Member,
}

impl Update {
    /// The reported state and incarnation.
    pub fn record(&self) -> StateRecord {
        StateRecord {
            state: self.state,
            incarnation: self.incarnation,
        }
    }
}

/// Why a datagram could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`].
    #[error("the datagram has {length} bytes, more than {MAX_DATAGRAM_BYTES}")]
    Oversized {
        /// Its length in bytes.
        length: usize,
    },
    /// The datagram is of another protocol, truncated or not decodable.
    #[error("the datagram is not a membership message")]
    Malformed,
    /// The datagram is of another version of the protocol.
    #[error("the datagram has protocol version {version}, but {VERSION} is expected")]
    UnsupportedVersion {
        /// Its version.
        version: u8,
    },
}

/// Encodes an envelope; `None` if it is longer than [`MAX_DATAGRAM_BYTES`].
pub fn encode(envelope: &Envelope) -> Option<Vec<u8>> {
    let mut bytes = Vec::with_capacity(TYPICAL_DATAGRAM_BYTES);
    bytes.extend_from_slice(&MAGIC);
    bytes.push(VERSION);
    let bytes = postcard::to_extend(envelope, bytes).ok()?;
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

/// The length of an envelope once encoded.
pub fn encoded_len(envelope: &Envelope) -> usize {
    HEADER_BYTES + value_len(envelope)
}

/// The length of an update once encoded.
pub fn update_len(update: &Update) -> usize {
    value_len(update)
}

/// The length of a row once encoded.
pub fn row_len(row: &ViewRow) -> usize {
    value_len(row)
}

fn value_len(value: &impl Serialize) -> usize {
    postcard::to_allocvec(value).map_or(UNENCODABLE_LEN, |bytes| bytes.len())
}

/// Decodes a whole datagram.
pub fn decode(bytes: &[u8]) -> Result<Envelope, DecodeError> {
    let length = bytes.len();
    if length > MAX_DATAGRAM_BYTES {
        return Err(DecodeError::Oversized { length });
    }
    let Some((header, payload)) = bytes.split_first_chunk::<HEADER_BYTES>() else {
        return Err(DecodeError::Malformed);
    };
    let [magic @ .., version] = *header;
    if magic != MAGIC {
        return Err(DecodeError::Malformed);
    }
    if version != VERSION {
        return Err(DecodeError::UnsupportedVersion { version });
    }
    match postcard::take_from_bytes::<Envelope>(payload) {
        Ok((envelope, [])) => Ok(envelope),
        _ => Err(DecodeError::Malformed),
    }
}
