//! The simulated network: datagrams in flight and the faults that lose, delay, reorder and duplicate them.

use rand::rngs::StdRng;
use rand::RngExt;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};

/// The size of the IPv4 and UDP headers of a datagram, in bytes.
const HEADER_BYTES: u64 = 28;
/// The minimum delay of a datagram, in milliseconds: no datagram arrives at the time at which it was sent.
const MIN_DELAY_MS: u64 = 1;

/// The network faults in force.
#[derive(Clone, Debug, Default)]
pub struct NetworkFaults {
    /// Probability that a datagram is lost, 0 to 1.
    pub loss: f64,
    /// Minimum delay of a datagram, in milliseconds.
    pub delay_ms: u64,
    /// Maximum extra delay, drawn uniformly for each datagram, in milliseconds.
    pub jitter_ms: u64,
    /// Probability that a datagram is delivered twice, 0 to 1.
    pub duplicate: f64,
    /// The side of a partition that each member is on; empty without a partition.
    pub sides: Vec<u8>,
    /// The links that are cut in one direction, as (sender, receiver).
    pub cut: HashSet<(usize, usize)>,
}

impl NetworkFaults {
    /// Returns whether the partition and the cuts allow a datagram from one member to another.
    pub fn is_reachable(&self, from: usize, to: usize) -> bool {
        if self.cut.contains(&(from, to)) {
            return false;
        }
        match (self.sides.get(from), self.sides.get(to)) {
            (Some(sender_side), Some(receiver_side)) => sender_side == receiver_side,
            _ => true,
        }
    }

    /// Separates the first `first_side` of `members` members from the others.
    pub fn partition(&mut self, members: usize, first_side: usize) {
        self.sides = (0..members)
            .map(|member| u8::from(member >= first_side))
            .collect();
    }

    /// Ends the partition and all cuts.
    pub fn heal(&mut self) {
        self.sides.clear();
        self.cut.clear();
    }
}

/// The datagrams that a member has sent, including lost ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The number of datagrams.
    pub datagrams: u64,
    /// The number of bytes, including the IP and UDP headers.
    pub bytes: u64,
}

/// A datagram in flight. Datagrams are ordered by delivery time, then by the order in which they were sent.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Datagram {
    pub(crate) deliver_at: u64,
    sequence: u64,
    pub(crate) to: usize,
    pub(crate) from: usize,
    pub(crate) bytes: Vec<u8>,
}

/// The simulated network between the members.
pub struct Network {
    /// The faults in force.
    pub faults: NetworkFaults,
    traffic: Vec<Traffic>,
    in_flight: BinaryHeap<Reverse<Datagram>>,
    last_sequence: u64,
}

impl Network {
    /// Creates a network of `members` members without faults.
    pub(crate) fn new(members: usize) -> Network {
        Network {
            faults: NetworkFaults::default(),
            traffic: vec![Traffic::default(); members],
            in_flight: BinaryHeap::new(),
            last_sequence: 0,
        }
    }

    /// Returns the traffic that each member has sent, by index.
    pub fn traffic(&self) -> &[Traffic] {
        &self.traffic
    }

    /// Sends a datagram at time `now`. `member_delay_ms` is the delay that slow members add to the network's.
    ///
    /// The order of the random draws (loss, duplication, jitter of each copy) must not change, so that a seed keeps
    /// producing the same run.
    pub(crate) fn send(
        &mut self,
        now: u64,
        (from, to): (usize, usize),
        bytes: Vec<u8>,
        member_delay_ms: u64,
        rng: &mut StdRng,
    ) {
        self.traffic[from].datagrams += 1;
        self.traffic[from].bytes += bytes.len() as u64 + HEADER_BYTES;
        let is_known = to < self.traffic.len();
        if !is_known || !self.faults.is_reachable(from, to) || happens(self.faults.loss, rng) {
            return;
        }
        let copies = if happens(self.faults.duplicate, rng) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay_ms = self.faults.delay_ms.max(MIN_DELAY_MS) + self.draw_jitter_ms(rng);
            self.last_sequence += 1;
            self.in_flight.push(Reverse(Datagram {
                deliver_at: now + delay_ms + member_delay_ms,
                sequence: self.last_sequence,
                to,
                from,
                bytes: bytes.clone(),
            }));
        }
    }

    /// Removes and returns the next datagram that is due by `now`.
    pub(crate) fn next_due(&mut self, now: u64) -> Option<Datagram> {
        let Reverse(next) = self.in_flight.peek()?;
        if next.deliver_at > now {
            return None;
        }
        self.in_flight.pop().map(|Reverse(datagram)| datagram)
    }

    /// Returns a datagram to the network, to be delivered at `deliver_at`.
    pub(crate) fn postpone(&mut self, datagram: Datagram, deliver_at: u64) {
        self.in_flight.push(Reverse(Datagram {
            deliver_at,
            ..datagram
        }));
    }

    fn draw_jitter_ms(&self, rng: &mut StdRng) -> u64 {
        match self.faults.jitter_ms {
            0 => 0,
            jitter_ms => rng.random_range(0..=jitter_ms),
        }
    }
}

/// Draws whether an event of the given probability happens. An impossible event uses no random draw.
fn happens(probability: f64, rng: &mut StdRng) -> bool {
    probability > 0.0 && rng.random::<f64>() < probability
}
