//! Builds the schedule of a replay from recorded requests: its connections and the send time of each request.

use crate::recording::RecordedRequest;
use crate::Nanos;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// A connection whose start was not recorded is opened this long before its first request.
const CONNECT_LEAD_TIME: Nanos = 20_000_000;
/// Copies of a connection are delayed by up to this long, so that they do not all send at once.
const MAX_COPY_OFFSET: Nanos = 50_000_000;
/// Accepted values of [`Options::speed`] and [`Options::load`].
const FACTOR_RANGE: RangeInclusive<f64> = 0.001..=1000.0;
/// Accepted values of [`Options::repeat`].
const REPEAT_RANGE: RangeInclusive<u32> = 1..=10_000;

/// Options of a replay. The default replays a recording as it was recorded.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Speed as a multiple of the recorded one: 0.001 to 1,000.
    pub speed: f64,
    /// Start of the replayed interval, in nanoseconds from the first recorded request.
    pub from: u64,
    /// End (exclusive) of the replayed interval, in nanoseconds from the first recorded request.
    pub to: Option<u64>,
    /// Number of consecutive rounds: 1 to 10,000. More than one requires fresh IDs and keys.
    pub repeat: u32,
    /// Number of connections as a multiple of the recorded one: 0.001 to 1,000. More than 1.0 requires fresh IDs
    /// and keys.
    pub load: f64,
    /// Whether a request waits for the preceding response if the recorded client did.
    pub causal: bool,
    /// Seed of the random choices.
    pub seed: u64,
    /// Largest number of planned requests.
    pub max_requests: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            speed: 1.0,
            from: 0,
            to: None,
            repeat: 1,
            load: 1.0,
            causal: false,
            seed: 1,
            max_requests: 5_000_000,
        }
    }
}

impl Options {
    fn validate(&self) -> Result<(), Error> {
        for (option, value) in [("speed", self.speed), ("load", self.load)] {
            if !FACTOR_RANGE.contains(&value) {
                return Err(Error::OutOfRange { option, value });
            }
        }
        if !REPEAT_RANGE.contains(&self.repeat) {
            return Err(Error::OutOfRange {
                option: "repeat",
                value: self.repeat.into(),
            });
        }
        Ok(())
    }

    /// Converts a duration of the recording to one of the replay.
    fn scale(&self, recorded: u64) -> Nanos {
        (recorded as f64 / self.speed).round() as Nanos
    }
}

/// An error of building a plan.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// An option is out of range.
    #[error("{option}: {value} is out of range")]
    OutOfRange {
        /// Name of the option.
        option: &'static str,
        /// Its value.
        value: f64,
    },
    /// The replayed interval contains no requests.
    #[error("the selected interval contains no requests")]
    NoRequests,
    /// The plan would exceed [`Options::max_requests`].
    #[error("the plan would have more than {limit} requests")]
    TooManyRequests {
        /// The largest number of requests.
        limit: usize,
    },
}

/// A request to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Index of the recorded request.
    pub recorded: usize,
    /// Index of the connection in [`Plan::connections`].
    pub connection: usize,
    /// When it is sent.
    pub send_at: Nanos,
    /// Time between its first and its last byte.
    pub duration: Nanos,
    /// In a causal replay, the delay after the preceding response on its connection.
    pub delay_after_response: Option<Nanos>,
    /// Number of the copy of the recording that it belongs to; 0 is the first one.
    pub copy: u64,
}

/// A connection and its requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlannedConnection {
    /// When it is opened.
    pub open_at: Nanos,
    /// Indices of its requests in [`Plan::requests`], in sending order.
    pub requests: Vec<usize>,
}

/// The schedule of a replay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// All requests, by sending time and then in recorded order.
    pub requests: Vec<PlannedRequest>,
    /// All connections.
    pub connections: Vec<PlannedConnection>,
    /// When the last request is sent.
    pub last_send_at: Nanos,
    /// Whether some requests are sent more than once, so that IDs and keys must be fresh.
    pub has_copies: bool,
}

impl Plan {
    /// Builds the schedule. `opened` holds the capture times at which connections were opened, where known.
    ///
    /// # Errors
    /// Returns an error if an option is out of range, the interval contains no requests, or there are too many requests.
    pub fn build(
        recorded: &[RecordedRequest],
        opened: &BTreeMap<u64, u64>,
        options: &Options,
    ) -> Result<Plan, Error> {
        options.validate()?;
        let selection = Selection::new(recorded, options)?;
        let mut builder = PlanBuilder {
            recorded,
            opened,
            options,
            selection: &selection,
            rng: StdRng::seed_from_u64(options.seed),
            plan: Plan {
                has_copies: options.repeat > 1 || options.load > 1.0,
                ..Plan::default()
            },
        };
        for round in 0..u64::from(options.repeat) {
            builder.add_round(round)?;
        }
        let mut plan = builder.plan;
        plan.sort_requests(recorded);
        let send_times = plan.requests.iter().map(|request| request.send_at);
        plan.last_send_at = send_times.max().ok_or(Error::NoRequests)?;
        Ok(plan)
    }

    /// Sorts the requests by time, and those of the same time in recorded order.
    fn sort_requests(&mut self, recorded: &[RecordedRequest]) {
        let mut order: Vec<usize> = (0..self.requests.len()).collect();
        order.sort_by_key(|&index| {
            let request = &self.requests[index];
            let first_byte_at = recorded[request.recorded].first_byte_at;
            (request.send_at, first_byte_at, request.recorded, index)
        });
        let mut new_index = vec![0; order.len()];
        for (new, &old) in order.iter().enumerate() {
            new_index[old] = new;
        }
        self.requests = order
            .iter()
            .map(|&old| self.requests[old].clone())
            .collect();
        for connection in &mut self.connections {
            for index in &mut connection.requests {
                *index = new_index[*index];
            }
        }
    }
}

/// The recorded requests inside the replayed interval.
struct Selection {
    /// Indices of the requests of each recorded connection.
    by_connection: BTreeMap<u64, Vec<usize>>,
    /// Capture time of the first selected byte.
    start: u64,
    /// Time from the start of one round to the start of the next.
    round_duration: Nanos,
}

impl Selection {
    fn new(recorded: &[RecordedRequest], options: &Options) -> Result<Selection, Error> {
        let first_byte_times = recorded.iter().map(|request| request.first_byte_at);
        let recording_start = first_byte_times.min().ok_or(Error::NoRequests)?;
        let is_selected = |request: &RecordedRequest| {
            let offset = request.first_byte_at - recording_start;
            offset >= options.from && options.to.is_none_or(|to| offset < to)
        };
        let mut by_connection: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        let mut start = None;
        let mut end = 0;
        for (index, request) in recorded.iter().enumerate() {
            if !is_selected(request) {
                continue;
            }
            let requests = by_connection.entry(request.connection).or_default();
            requests.push(index);
            start = Some(start.map_or(request.first_byte_at, |earliest: u64| {
                earliest.min(request.first_byte_at)
            }));
            end = end.max(request.last_byte_at);
            if let Some(response) = &request.response {
                end = end.max(response.last_byte_at);
            }
        }
        let start = start.ok_or(Error::NoRequests)?;
        Ok(Selection {
            by_connection,
            start,
            // The lead time prevents rounds from overlapping.
            round_duration: options.scale(end - start) + CONNECT_LEAD_TIME,
        })
    }
}

/// Adds the selected connections, round by round, to a plan.
struct PlanBuilder<'a> {
    recorded: &'a [RecordedRequest],
    opened: &'a BTreeMap<u64, u64>,
    options: &'a Options,
    selection: &'a Selection,
    rng: StdRng,
    plan: Plan,
}

impl PlanBuilder<'_> {
    fn add_round(&mut self, round: u64) -> Result<(), Error> {
        let selection = self.selection;
        let copies_per_round = self.options.load.ceil() as u64;
        for (&connection, requests) in &selection.by_connection {
            for copy in 0..self.choose_copies() {
                self.check_limit(requests.len())?;
                let offset = round * selection.round_duration + self.choose_offset(copy);
                let copy = round * copies_per_round + copy;
                self.add_connection(connection, requests, offset, copy);
            }
        }
        Ok(())
    }

    /// Chooses how often a connection is replayed in a round. Connections are dropped or copied completely,
    /// because a part of one would not be the recorded sequence of requests.
    fn choose_copies(&mut self) -> u64 {
        let load = self.options.load;
        let min_copies = load.floor();
        min_copies as u64 + u64::from(self.rng.random::<f64>() < load - min_copies)
    }

    fn choose_offset(&mut self, copy: u64) -> Nanos {
        if copy == 0 {
            0
        } else {
            self.rng.random_range(0..MAX_COPY_OFFSET)
        }
    }

    fn check_limit(&self, additional: usize) -> Result<(), Error> {
        let limit = self.options.max_requests;
        if self.plan.requests.len() + additional > limit {
            return Err(Error::TooManyRequests { limit });
        }
        Ok(())
    }

    /// Converts a capture time to a time of the replay.
    fn replay_time(&self, captured_at: u64, offset: Nanos) -> Nanos {
        offset + self.options.scale(captured_at - self.selection.start)
    }

    fn add_connection(&mut self, connection: u64, requests: &[usize], offset: Nanos, copy: u64) {
        let first_index = self.plan.requests.len();
        let mut previous: Option<&RecordedRequest> = None;
        let mut earliest = 0;
        for &index in requests {
            let request = &self.recorded[index];
            let first_byte_at = self.replay_time(request.first_byte_at, offset);
            let last_byte_at = request.last_byte_at.max(request.first_byte_at);
            // Bytes may have been captured out of order; the sending order on the connection is preserved.
            earliest = first_byte_at.max(earliest);
            self.plan.requests.push(PlannedRequest {
                recorded: index,
                connection: self.plan.connections.len(),
                send_at: earliest,
                duration: self.replay_time(last_byte_at, offset) - first_byte_at,
                delay_after_response: self.delay_after_response(previous, request),
                copy,
            });
            previous = Some(request);
        }
        let first_send_at = self.plan.requests[first_index].send_at;
        self.plan.connections.push(PlannedConnection {
            open_at: self.open_time(connection, offset, first_send_at),
            requests: (first_index..self.plan.requests.len()).collect(),
        });
    }

    /// Returns the delay after the preceding response in a causal replay. `None` if the client sent the request before
    /// that response was complete, because it then cannot have waited for it.
    fn delay_after_response(
        &self,
        previous: Option<&RecordedRequest>,
        request: &RecordedRequest,
    ) -> Option<Nanos> {
        let response = previous?.response.as_ref()?;
        let has_waited = self.options.causal && response.last_byte_at <= request.first_byte_at;
        has_waited.then(|| {
            self.options
                .scale(request.first_byte_at - response.last_byte_at)
        })
    }

    fn open_time(&self, connection: u64, offset: Nanos, first_send_at: Nanos) -> Nanos {
        let recorded = self.opened.get(&connection);
        recorded
            .filter(|opened_at| **opened_at >= self.selection.start)
            .map(|opened_at| self.replay_time(*opened_at, offset))
            .unwrap_or(first_send_at.saturating_sub(CONNECT_LEAD_TIME))
            .min(first_send_at)
    }
}
