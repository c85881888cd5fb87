//! Reassembly of fragmented IP datagrams with bounded memory.

use super::SkipReason;
use crate::Timestamp;
use etherparse::defrag::IpDefragBuf;
use etherparse::{IpFragOffset, IpNumber};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// The maximum number of incomplete datagrams that are buffered. Another one discards the oldest.
const MAX_DATAGRAMS: usize = 64;
/// The time after which an incomplete datagram is discarded, in nanoseconds of capture time (RFC 791 suggests 15 s).
const FRAGMENT_TIMEOUT_NANOS: u64 = 15_000_000_000;

/// Identifies the datagram of a fragment. All datagrams carry TCP.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DatagramId {
    pub from: IpAddr,
    pub to: IpAddr,
    pub identification: u32,
}

/// The fields of an IP header that describe a fragment.
#[derive(Clone, Debug)]
pub(super) struct FragmentHeader {
    pub identification: u32,
    pub offset: IpFragOffset,
    pub more_fragments: bool,
}

#[derive(Debug)]
struct Datagram {
    /// The capture time of the fragment that was captured first.
    first_fragment: Timestamp,
    buffer: IpDefragBuf,
}

impl Datagram {
    fn new(time: Timestamp) -> Datagram {
        Datagram {
            first_fragment: time,
            buffer: IpDefragBuf::new(IpNumber::TCP, Vec::new(), Vec::new()),
        }
    }
}

/// The datagrams of which some fragments are missing.
#[derive(Debug, Default)]
pub(super) struct Fragments {
    datagrams: BTreeMap<DatagramId, Datagram>,
    /// The number of datagrams that expired or were evicted incomplete. Those with conflicting fragments do not count.
    pub incomplete_datagrams: u64,
}

impl Fragments {
    /// Adds a fragment. Returns the payload of its datagram once the datagram is complete.
    pub fn add(
        &mut self,
        time: Timestamp,
        id: DatagramId,
        header: &FragmentHeader,
        payload: &[u8],
    ) -> Result<Vec<u8>, SkipReason> {
        self.discard_expired(time);
        if !self.datagrams.contains_key(&id) && self.datagrams.len() >= MAX_DATAGRAMS {
            self.discard_oldest();
        }
        let datagram = self
            .datagrams
            .entry(id)
            .or_insert_with(|| Datagram::new(time));
        let added = datagram
            .buffer
            .add(header.offset, header.more_fragments, payload);
        if added.is_err() {
            // Contradicting fragments may be an attempt to make two receivers read different bytes.
            self.datagrams.remove(&id);
            return Err(SkipReason::ConflictingFragment);
        }
        if !datagram.buffer.is_complete() {
            return Err(SkipReason::Fragment);
        }
        let datagram = self
            .datagrams
            .remove(&id)
            .ok_or(SkipReason::ConflictingFragment)?;
        let (payload, _) = datagram.buffer.take_bufs();
        Ok(payload)
    }

    fn discard_expired(&mut self, now: Timestamp) {
        let count = self.datagrams.len();
        self.datagrams
            .retain(|_, datagram| now.since(datagram.first_fragment) < FRAGMENT_TIMEOUT_NANOS);
        self.incomplete_datagrams += (count - self.datagrams.len()) as u64;
    }

    fn discard_oldest(&mut self) {
        let oldest = self
            .datagrams
            .iter()
            .min_by_key(|(_, datagram)| datagram.first_fragment)
            .map(|(&id, _)| id);
        if let Some(id) = oldest {
            self.datagrams.remove(&id);
            self.incomplete_datagrams += 1;
        }
    }
}
