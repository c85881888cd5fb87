//! Reassembly of fragmented IP datagrams, within bounds.

use super::SkipReason;
use crate::Stamp;
use etherparse::defrag::IpDefragBuf;
use etherparse::{IpFragOffset, IpNumber};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Incomplete datagrams that are buffered; beyond this the oldest is discarded.
const MAX_DATAGRAMS: usize = 64;
/// How long fragments wait for the others, in nanoseconds of capture time (RFC 791 suggests 15 s).
const FRAGMENT_TIMEOUT: u64 = 15_000_000_000;

/// What the fragments of one datagram have in common. All of them carry TCP.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DatagramId {
    pub from: IpAddr,
    pub to: IpAddr,
    pub identification: u32,
}

/// What an IP header says about a fragment.
#[derive(Clone, Debug)]
pub(super) struct FragmentHeader {
    pub identification: u32,
    pub offset: IpFragOffset,
    pub more_fragments: bool,
}

#[derive(Debug)]
struct Datagram {
    first_fragment: Stamp,
    buffer: IpDefragBuf,
}

impl Datagram {
    fn new(time: Stamp) -> Datagram {
        Datagram {
            first_fragment: time,
            buffer: IpDefragBuf::new(IpNumber::TCP, Vec::new(), Vec::new()),
        }
    }
}

/// Incomplete datagrams.
#[derive(Debug, Default)]
pub(super) struct Fragments {
    datagrams: BTreeMap<DatagramId, Datagram>,
    /// Datagrams discarded before they were complete.
    pub incomplete_datagrams: u64,
}

impl Fragments {
    /// Adds a fragment, and returns the payload of its datagram once that is complete.
    pub fn add(
        &mut self,
        time: Stamp,
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
            // Contradicting fragments may be an attempt to make two readers see different bytes.
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

    fn discard_expired(&mut self, now: Stamp) {
        let count = self.datagrams.len();
        self.datagrams
            .retain(|_, datagram| now.since(datagram.first_fragment) < FRAGMENT_TIMEOUT);
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
