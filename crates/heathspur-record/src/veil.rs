//! Overwrites what must not be recorded, in place: lengths, and with them sequence numbers and times, stay.
//!
//! Cutting packets instead would be shorter, but every reader would see holes and lose the messages they are
//! in. What can't be told apart, because it is no HTTP/1.1, is overwritten whole: it might be anything.

use bytes::{Bytes, BytesMut};
use heathspur_capture::Stamp;
use heathspur_wire::framing::{self, Kind, Length};
use heathspur_wire::http::{request_line, status_line, Fields};
use std::collections::VecDeque;

/// The longest head that is waited for, in bytes.
const HEAD: usize = 16 * 1024;
/// What overwrites a byte.
const OVER: u8 = b'x';

/// What is overwritten.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Terms {
    /// Whether bodies are.
    pub bodies: bool,
    /// Fields whose values are; capitals do not matter.
    pub fields: Vec<String>,
}

impl Terms {
    /// Whether nothing is, so that bytes pass as they come.
    pub fn clear(&self) -> bool {
        !self.bodies && self.fields.is_empty()
    }
}

/// Where one direction of a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// In a head, which is held back until it is whole.
    Head,
    /// So many bytes of a body are to come.
    Body(u64),
    /// Bytes that mean nothing here: all of them.
    Unknown,
}

/// One direction of a connection.
#[derive(Debug)]
pub struct Veil {
    place: Place,
    held: BytesMut,
    /// Lengths and times of what is held.
    times: VecDeque<(usize, Stamp)>,
}

impl Default for Veil {
    fn default() -> Veil {
        Veil {
            place: Place::Head,
            held: BytesMut::new(),
            times: VecDeque::new(),
        }
    }
}

impl Veil {
    /// Bytes that are held back.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Takes bytes and gives those that may be recorded now, with the times at which they came.
    pub fn pass(
        &mut self,
        terms: &Terms,
        time: Stamp,
        bytes: &Bytes,
        out: &mut Vec<(Stamp, Bytes)>,
    ) {
        if terms.clear() {
            out.push((time, bytes.clone()));
            return;
        }
        self.held.extend_from_slice(bytes);
        self.times.push_back((bytes.len(), time));
        while !self.held.is_empty() {
            let there = self.held.len();
            match self.place {
                Place::Unknown => self.give(there, Some(0..there), out),
                Place::Body(left) => {
                    let count = left.min(there as u64) as usize;
                    let over = terms.bodies.then_some(0..count);
                    self.give(count, over, out);
                    let left = left - count as u64;
                    self.place = if left == 0 {
                        Place::Head
                    } else {
                        Place::Body(left)
                    };
                }
                Place::Head => {
                    // An answer whose body lasts to the end, or in chunks, is never written here.
                    let kind = |line: &[u8]| match line.starts_with(b"HTTP/1.") {
                        true => status_line(line).map(|status| Kind::Response {
                            status,
                            to_head: false,
                        }),
                        false => request_line(line).map(|_| Kind::Request),
                    };
                    match framing::parse_head(&self.held, HEAD, kind) {
                        Ok(None) => return,
                        Ok(Some(head)) => {
                            self.mask(terms, head.fields.clone());
                            self.give(head.end, None, out);
                            self.place = match head.length {
                                Length::Bytes(0) => Place::Head,
                                Length::Bytes(length) => Place::Body(length),
                                Length::Chunked | Length::UntilClose => Place::Unknown,
                            };
                        }
                        Err(_) => self.place = Place::Unknown,
                    }
                }
            }
        }
    }

    /// Bytes are missing here, or nothing more comes: what is held is given, overwritten, and what follows
    /// can't be told apart any more.
    pub fn lose_track(&mut self, out: &mut Vec<(Stamp, Bytes)>) {
        let there = self.held.len();
        self.give(there, Some(0..there), out);
        self.place = Place::Unknown;
    }

    /// A new direction begins.
    pub fn restart(&mut self) {
        self.place = Place::Head;
    }

    fn mask(&mut self, terms: &Terms, fields: std::ops::Range<usize>) {
        let base = self.held.as_ptr() as usize;
        let named = |name: &[u8]| {
            terms
                .fields
                .iter()
                .any(|known| name.eq_ignore_ascii_case(known.as_bytes()))
        };
        let found = Fields::over(&self.held[fields])
            .filter_map(Result::ok)
            .filter(|(name, _)| named(name));
        let places: Vec<_> = found
            .map(|(_, value)| (value.as_ptr() as usize - base, value.len()))
            .collect();
        for (at, length) in places {
            self.held[at..at + length].fill(OVER);
        }
    }

    /// Gives so many bytes at the front, in the pieces that they came in.
    fn give(
        &mut self,
        count: usize,
        over: Option<std::ops::Range<usize>>,
        out: &mut Vec<(Stamp, Bytes)>,
    ) {
        if let Some(over) = over {
            self.held[over].fill(OVER);
        }
        let mut left = count;
        while left > 0 {
            let Some((length, time)) = self.times.front_mut() else {
                return;
            };
            let part = left.min(*length);
            *length -= part;
            let time = *time;
            if *length == 0 {
                self.times.pop_front();
            }
            left -= part;
            out.push((time, self.held.split_to(part).freeze()));
        }
    }
}
