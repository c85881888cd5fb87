//! Loads the requests of a capture for a replay.

use crate::capture_options::CaptureOptions;
use crate::error::Error;
use crate::source;
use heathspur_capture::exchange::{Cause, Found, Message};
use heathspur_capture::reassembly::Event;
use heathspur_capture::{ConnectionId, Item, Side, Tally};
use heathspur_replay::recording::{RecordedRequest, RecordedResponse};
use std::collections::{BTreeMap, HashMap};
use std::ops::Range;

/// The requests of a capture.
#[derive(Default)]
pub struct Loaded {
    /// The requests, by the capture time of their first byte.
    pub requests: Vec<RecordedRequest>,
    /// The range of each request's header fields.
    pub fields: Vec<Range<usize>>,
    /// Capture times at which connections were opened, in Unix nanoseconds, by the number of the connection.
    pub opened: BTreeMap<u64, u64>,
    /// Bytes sent by clients that were skipped because they belong to no complete request, by cause.
    pub skipped_bytes: BTreeMap<Cause, u64>,
    /// Counts from reading the capture.
    pub tally: Tally,
}

/// Loads the requests of a capture, which may total at most `limit` bytes.
pub fn load(options: &CaptureOptions, limit: u64) -> Result<Loaded, Error> {
    let mut loader = Loader {
        loaded: Loaded::default(),
        unanswered: HashMap::new(),
        bytes: 0,
        limit,
    };
    loader.loaded.tally = source::read(options, |item| loader.add(item))?;
    if loader.bytes > limit {
        return Err(Error::CaptureTooLarge {
            path: options.file.clone(),
            bytes: loader.bytes,
            limit,
        });
    }
    let mut loaded = loader.loaded;
    loaded.sort();
    Ok(loaded)
}

impl Loaded {
    /// Sorts the requests by their first bytes, because the pipeline returns them in the order of their last bytes.
    fn sort(&mut self) {
        let mut order: Vec<usize> = (0..self.requests.len()).collect();
        order.sort_by_key(|&index| self.requests[index].first_byte_at);
        self.fields = order
            .iter()
            .map(|&index| self.fields[index].clone())
            .collect();
        self.requests = order
            .iter()
            .map(|&index| self.requests[index].clone())
            .collect();
    }
}

/// Collects the requests of a capture while it is read.
struct Loader {
    loaded: Loaded,
    /// Indices of the requests without a response, by connection and number.
    unanswered: HashMap<(ConnectionId, u64), usize>,
    /// Bytes of all requests, including those beyond the limit.
    bytes: u64,
    limit: u64,
}

impl Loader {
    fn add(&mut self, item: Item) {
        match item {
            Item::Connection(Event::Opened {
                connection, time, ..
            }) => {
                self.loaded.opened.insert(connection.0, time.0);
            }
            Item::Message(Found::Request {
                connection,
                index,
                message,
            }) => self.add_request(connection, index, &message),
            Item::Message(Found::Response {
                connection,
                request_index: Some(request),
                message,
            }) => self.add_response(connection, request, &message),
            Item::Message(Found::Skipped {
                side: Side::Client,
                cause,
                bytes,
                ..
            }) => {
                *self.loaded.skipped_bytes.entry(cause).or_default() += bytes;
            }
            Item::Connection(_) | Item::Message(_) => {}
        }
    }

    fn add_request(&mut self, connection: ConnectionId, number: u64, message: &Message) {
        self.bytes += message.bytes.len() as u64;
        if self.bytes > self.limit {
            return;
        }
        let index = self.loaded.requests.len();
        self.unanswered.insert((connection, number), index);
        self.loaded.fields.push(message.fields.clone());
        self.loaded.requests.push(RecordedRequest {
            connection: connection.0,
            first_byte_at: message.first_byte_at.0,
            last_byte_at: message.last_byte_at.0,
            // Copied, because a slice would keep the buffer that it was read into alive.
            bytes: bytes::Bytes::copy_from_slice(&message.bytes),
            response: None,
        });
    }

    fn add_response(&mut self, connection: ConnectionId, request: u64, message: &Message) {
        let Some(index) = self.unanswered.remove(&(connection, request)) else {
            return;
        };
        self.loaded.requests[index].response = Some(RecordedResponse {
            status: message.status().unwrap_or(0),
            first_byte_at: message.first_byte_at.0,
            last_byte_at: message.last_byte_at.0,
            body_digest: source::digest(message.body()),
        });
    }
}
