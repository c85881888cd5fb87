//! The wire format of a datagram: a versioned envelope, encoded with postcard. No field is used before the complete
//! datagram has been decoded.
//!
//! Postcard encodes fields and variants by position, so their order is part of the wire format and their names are not.

use crate::member::{Member, MemberId, MemberState};
use crate::state_record::StateRecord;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The version of the envelope. A datagram of another version is rejected.
pub const VERSION: u8 = 2;
/// The maximum size of a datagram that is sent or accepted, in bytes. It fits in the minimum MTU of IPv6 (1,280 bytes)
/// together with the headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The prefix before the version, which distinguishes stray traffic from members of another version.
const MAGIC: [u8; 2] = *b"hm";
/// The length of the prefix and the version, in bytes.
const HEADER_BYTES: usize = MAGIC.len() + 1;
/// The initial capacity for encoding a datagram, in bytes. Most datagrams don't exceed it.
const TYPICAL_DATAGRAM_BYTES: usize = 256;
/// The length that is reported for a value that can't be encoded. It exceeds every bound, and adding it to another
/// length does not overflow.
const UNENCODABLE_LEN: usize = usize::MAX / 2;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: MemberId,
    /// The message.
    pub body: Message,
    /// Piggybacked updates about members.
    pub updates: Vec<Update>,
}

/// The message of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A probe, answered by an ack with the same sequence number.
    Ping {
        /// The sequence number of the probe.
        sequence: u32,
        /// The probed member. Another member that was started at the same address does not answer.
        target: MemberId,
    },
    /// A request to probe `target` on behalf of the sender, answered by an ack or a nack.
    PingReq {
        /// The sequence number of the request.
        sequence: u32,
        /// The member to probe.
        target: MemberId,
        /// The address of that member.
        address: SocketAddrV4,
    },
    /// The answer of a probed member, or a helper's report that the member answered.
    Ack {
        /// The sequence number of the ping or the request.
        sequence: u32,
    },
    /// A helper's report that an indirect probe was not answered in time (Lifeguard). It shows that the path between
    /// requester and helper works.
    Nack {
        /// The sequence number of the request.
        sequence: u32,
    },
    /// A part of the sender's view; together the datagrams of a push-pull contain the full view.
    PushPull {
        /// Whether the receiver is requested to reply with its own view.
        reply: bool,
    },
    /// A datagram without a message, which only carries updates.
    Gossip,
    /// A request for a part of the view, from a tool that is not a member and does not become one.
    ViewRequest(ViewRequest),
    /// The answer to a view request.
    ViewResponse(ViewResponse),
}

/// A request for a part of the view. The response is never longer than the request, which the requester therefore pads.
/// This prevents amplification of traffic to a forged source address (as RFC 9000, section 8.1, does for QUIC).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRequest {
    /// The sequence number, which the response repeats.
    pub sequence: u32,
    /// The id after which the response starts; `None` for a response from the first member.
    pub after: Option<MemberId>,
    /// Padding up to the length that the response may have.
    pub padding: Vec<u8>,
}

/// A part of the current view. Parts that are requested one after another may be of different versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewResponse {
    /// The sequence number of the request.
    pub sequence: u32,
    /// The view's version.
    pub version: u64,
    /// The number of members in the full view.
    pub members: u32,
    /// The local health score of the responder (Lifeguard); 0 is healthy.
    pub local_health: u32,
    /// The number of datagrams and updates that were rejected since the start.
    pub rejected: u64,
    /// Whether the view has more rows after the last one of this part.
    pub more: bool,
    /// The members of this part, in the order of ids.
    pub rows: Vec<ViewRow>,
}

/// One member in a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRow {
    /// The record that the member publishes about itself.
    pub member: Member,
    /// Its state in the responder's view.
    pub state: MemberState,
    /// Its incarnation in the responder's view.
    pub incarnation: u64,
    /// How long it has been in that state, in milliseconds; 0 for the responder itself.
    pub in_state_ms: u64,
}

/// An update about one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Its state.
    pub state: MemberState,
    /// Its incarnation, which only the member itself raises.
    pub incarnation: u64,
    /// The accuser of a suspect or dead member. Only accusations by different accusers confirm each other (Lifeguard,
    /// section 4.2); the same accusation may arrive by several paths.
    pub accuser: Option<MemberId>,
    /// The record that the member publishes about itself.
    pub member: Member,
}

impl Update {
    /// Returns the reported state and incarnation.
    pub fn record(&self) -> StateRecord {
        StateRecord {
            state: self.state,
            incarnation: self.incarnation,
        }
    }
}

/// An error for a datagram that could not be decoded.
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

/// Encodes an envelope. Returns `None` if the datagram would be longer than [`MAX_DATAGRAM_BYTES`].
pub fn encode(envelope: &Envelope) -> Option<Vec<u8>> {
    let mut bytes = Vec::with_capacity(TYPICAL_DATAGRAM_BYTES);
    bytes.extend_from_slice(&MAGIC);
    bytes.push(VERSION);
    let bytes = postcard::to_extend(envelope, bytes).ok()?;
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

/// Returns the length of an encoded envelope, in bytes.
pub fn encoded_len(envelope: &Envelope) -> usize {
    HEADER_BYTES + value_len(envelope)
}

/// Returns the length of an encoded update, in bytes.
pub fn update_len(update: &Update) -> usize {
    value_len(update)
}

/// Returns the length of an encoded row, in bytes.
pub fn row_len(row: &ViewRow) -> usize {
    value_len(row)
}

fn value_len(value: &impl Serialize) -> usize {
    postcard::to_allocvec(value).map_or(UNENCODABLE_LEN, |bytes| bytes.len())
}

/// Decodes a datagram.
///
/// # Errors
/// Returns an error if the datagram is too long, of another protocol or version, truncated, or has trailing bytes.
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
