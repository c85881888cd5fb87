//! What connections said becomes blocks of pcapng: each connection a conversation of TCP made up around it.

use crate::veil::{Terms, Veil};
use bytes::Bytes;
use heathspur_capture::write::{self, Talk};
pub use heathspur_capture::Leg;
use heathspur_capture::{Side, Stamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Connections that are followed at once; those of which nothing was heard for longest make room.
const CONNECTIONS: usize = 4096;

/// A connection as it is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ends {
    /// Its number; no two have the same.
    pub number: u64,
    /// Where it is seen.
    pub leg: Leg,
    /// Who connected.
    pub client: SocketAddr,
    /// Who was connected to.
    pub server: SocketAddr,
}

/// What happened to a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// It began.
    Opened,
    /// One side said something.
    Said {
        /// Which.
        side: Side,
        /// What.
        bytes: Bytes,
        /// Bytes that this side said before, and that were left out.
        missed: u64,
    },
    /// It ended.
    Closed {
        /// Who ended it.
        by: Side,
        /// Whether by a reset.
        reset: bool,
    },
}

/// What happened, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// To which connection.
    pub ends: Ends,
    /// When.
    pub time: Stamp,
    /// What.
    pub seen: Seen,
}

impl Event {
    /// Bytes that it takes while it waits, about.
    pub fn weight(&self) -> usize {
        let said = match &self.seen {
            Seen::Said { bytes, .. } => bytes.len(),
            Seen::Opened | Seen::Closed { .. } => 0,
        };
        said + std::mem::size_of::<Event>()
    }
}

#[derive(Debug)]
struct Conversation {
    talk: Talk,
    veils: [Veil; 2],
    heard: Stamp,
}

/// Makes blocks of events.
#[derive(Debug)]
pub struct Recorder {
    terms: Terms,
    table: BTreeMap<u64, Conversation>,
    taken: [u64; 3],
    left_out: [u64; 3],
    told: [u64; 3],
    /// Conversations that made room.
    pub made_room: u64,
}

impl Recorder {
    /// One that has recorded nothing.
    pub fn new(terms: Terms) -> Recorder {
        Recorder {
            terms,
            table: BTreeMap::new(),
            taken: [0; 3],
            left_out: [0; 3],
            told: [0; 3],
            made_room: 0,
        }
    }

    /// What a file begins with.
    pub fn start(&self) -> Vec<u8> {
        write::ng_start(&Leg::ALL.map(Leg::name))
    }

    /// So many events of a leg were left out before they came here, since the last call.
    pub fn missed(&mut self, leg: Leg, events: u64) {
        self.left_out[leg as usize] += events;
    }

    /// The blocks of an event, in order. Losses are marked: by an interface's statistics, and by a comment at
    /// the first packet behind them.
    pub fn event(&mut self, event: &Event) -> Vec<u8> {
        let (ends, time) = (event.ends, event.time);
        let mut out = Vec::new();
        let leg = ends.leg as usize;
        if self.left_out[leg] > self.told[leg] {
            self.told[leg] = self.left_out[leg];
            out.extend(self.statistics(ends.leg, time));
        }
        let opened = event.seen == Seen::Opened;
        if opened || !self.table.contains_key(&ends.number) {
            self.make_room();
            // The first numbers tell connections apart that use the same ports one after another.
            let first = (ends.number as u32).wrapping_mul(0x9e37_79b9);
            let talk = Talk::new(ends.client, ends.server, [first, !first]);
            let mut conversation = Conversation {
                talk,
                veils: [Veil::default(), Veil::default()],
                heard: time,
            };
            if !opened {
                // Its start was left out, and with it where in a message it stands.
                for veil in &mut conversation.veils {
                    veil.lose_track(&mut Vec::new());
                }
            }
            self.table.insert(ends.number, conversation);
        }
        let Some(conversation) = self.table.get_mut(&ends.number) else {
            return out;
        };
        conversation.heard = conversation.heard.max(time);
        let mut packets: Vec<(Stamp, Vec<u8>, String)> = Vec::new();
        match &event.seen {
            Seen::Opened => {
                packets.extend(
                    conversation
                        .talk
                        .open()
                        .map(|packet| (time, packet, String::new())),
                );
            }
            Seen::Said {
                side,
                bytes,
                missed,
            } => {
                conversation.said(&self.terms, *side, time, bytes, *missed, &mut packets);
            }
            Seen::Closed { by, reset } => {
                for side in [Side::Client, Side::Server] {
                    conversation.flush(side, &mut packets);
                }
                if *reset {
                    packets.push((time, conversation.talk.reset(*by), String::new()));
                } else {
                    for side in [*by, by.other()] {
                        let fin = conversation.talk.finish(side);
                        packets.extend(fin.map(|packet| (time, packet, String::new())));
                    }
                }
            }
        }
        if matches!(event.seen, Seen::Closed { .. }) {
            self.table.remove(&ends.number);
        }
        for (time, packet, comment) in packets {
            self.taken[leg] += 1;
            out.extend(write::ng_packet(
                ends.leg as u32,
                time,
                &packet,
                packet.len() as u32,
                &comment,
            ));
        }
        out
    }

    /// The statistics of all legs, as a file's last words.
    pub fn end(&self, time: Stamp) -> Vec<u8> {
        Leg::ALL
            .into_iter()
            .flat_map(|leg| self.statistics(leg, time))
            .collect()
    }

    fn statistics(&self, leg: Leg, time: Stamp) -> Vec<u8> {
        let (taken, left_out) = (self.taken[leg as usize], self.left_out[leg as usize]);
        write::ng_statistics(leg as u32, time, taken + left_out, left_out)
    }

    fn make_room(&mut self) {
        if self.table.len() < CONNECTIONS {
            return;
        }
        // Seldom: the front has fewer connections than this where the platform bounds descriptors.
        let oldest = self
            .table
            .iter()
            .min_by_key(|(_, c)| c.heard)
            .map(|(&number, _)| number);
        if let Some(oldest) = oldest {
            self.table.remove(&oldest);
            self.made_room += 1;
        }
    }
}

impl Conversation {
    fn said(
        &mut self,
        terms: &Terms,
        side: Side,
        time: Stamp,
        bytes: &Bytes,
        missed: u64,
        packets: &mut Vec<(Stamp, Vec<u8>, String)>,
    ) {
        let at = usize::from(side == Side::Server);
        let mut comment = String::new();
        if missed > 0 {
            self.flush(side, packets);
            self.talk.leave_out(side, missed);
            comment = format!("{missed} bytes before this packet were left out");
        }
        let mut given = Vec::new();
        self.veils[at].pass(terms, time, bytes, &mut given);
        for (time, bytes) in given {
            for packet in self.talk.say(side, &bytes) {
                packets.push((time, packet, std::mem::take(&mut comment)));
            }
        }
    }

    /// What is held back can't be completed.
    fn flush(&mut self, side: Side, packets: &mut Vec<(Stamp, Vec<u8>, String)>) {
        let at = usize::from(side == Side::Server);
        let mut given = Vec::new();
        self.veils[at].lose_track(&mut given);
        for (time, bytes) in given {
            packets.extend(
                self.talk
                    .say(side, &bytes)
                    .into_iter()
                    .map(|packet| (time, packet, String::new())),
            );
        }
    }
}
