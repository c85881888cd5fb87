//! The requests of a capture, ready to be planned.

use crate::capture_options::CaptureOptions;
use crate::error::Error;
use crate::source;
use heathspur_capture::exchange::{Cause, Found};
use heathspur_capture::reassembly::Event;
use heathspur_capture::{ConnId, Item, Side, Tally};
use heathspur_replay::recording::{RecordedRequest, RecordedResponse};
use std::collections::{BTreeMap, HashMap};
use std::ops::Range;

/// What was loaded.
#[derive(Default)]
pub struct Loaded {
    /// The requests, by the capture time of their first byte.
    pub requests: Vec<RecordedRequest>,
    /// Where the fields of each stand.
    pub fields: Vec<Range<usize>>,
    /// When connections began.
    pub opened: BTreeMap<u64, u64>,
    /// Bytes that clients sent and that make no whole request, by cause.
    pub passed: BTreeMap<Cause, u64>,
    /// What was read.
    pub tally: Tally,
}

/// Loads a capture. `most` bounds the bytes of all its requests.
pub fn load(from: &CaptureOptions, most: u64) -> Result<Loaded, Error> {
    let mut loaded = Loaded::default();
    let mut places: HashMap<(ConnId, u64), usize> = HashMap::new();
    let mut bytes = 0;
    loaded.tally = source::read(from, |item| match item {
        Item::Connection(Event::Opened { conn, time, .. }) => {
            loaded.opened.insert(conn.0, time.0);
        }
        Item::Message(Found::Request {
            conn,
            index,
            message,
        }) => {
            bytes += message.bytes.len() as u64;
            if bytes > most {
                return;
            }
            places.insert((conn, index), loaded.requests.len());
            loaded.fields.push(message.fields.clone());
            loaded.requests.push(RecordedRequest {
                connection: conn.0,
                first_byte_at: message.first.0,
                last_byte_at: message.last.0,
                // A copy of its own: a slice would keep all that was read with it.
                bytes: bytes::Bytes::copy_from_slice(&message.bytes),
                response: None,
            });
        }
        Item::Message(Found::Answer {
            conn,
            to: Some(to),
            message,
        }) => {
            if let Some(place) = places.remove(&(conn, to)) {
                loaded.requests[place].response = Some(RecordedResponse {
                    status: message.status().unwrap_or(0),
                    first_byte_at: message.first.0,
                    last_byte_at: message.last.0,
                    body_digest: source::digest(message.body()),
                });
            }
        }
        Item::Message(Found::Passed {
            side: Side::Client,
            cause,
            bytes,
            ..
        }) => {
            *loaded.passed.entry(cause).or_default() += bytes;
        }
        Item::Connection(_) | Item::Message(_) => {}
    })?;
    if bytes > most {
        return Err(Error::CaptureTooLarge {
            path: from.file.clone(),
            bytes,
            limit: most,
        });
    }
    // Requests are whole in another order than they begin.
    let mut order: Vec<usize> = (0..loaded.requests.len()).collect();
    order.sort_by_key(|&n| loaded.requests[n].first_byte_at);
    loaded.fields = order.iter().map(|&n| loaded.fields[n].clone()).collect();
    loaded.requests = order.iter().map(|&n| loaded.requests[n].clone()).collect();
    Ok(loaded)
}
