//! From recorded requests to a schedule: which connections, in which order, when each request is to leave.

use crate::Nanos;
use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::fmt;

/// A connection is made so long before its first request, where its own start is not recorded.
const AHEAD: Nanos = 20_000_000;
/// Copies of a connection leave at most so long after it, not to leave all at once.
const SPREAD: Nanos = 50_000_000;

/// The answer that a recorded request got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// Its status.
    pub status: u16,
    /// When its first byte was captured, in nanoseconds of capture time.
    pub first: u64,
    /// When its last byte was.
    pub last: u64,
    /// A digest of its body.
    pub digest: u64,
}

/// A request of a recording.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recorded {
    /// The number of its connection in the recording.
    pub conn: u64,
    /// When its first byte was captured, in nanoseconds of capture time.
    pub first: u64,
    /// When its last byte was.
    pub last: u64,
    /// All its bytes.
    pub bytes: Bytes,
    /// What it got.
    pub answer: Option<RecordedAnswer>,
}

/// How a recording is to be replayed. By default as it was.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Times as fast: 0.001 to 1,000.
    pub speed: f64,
    /// Requests from this time on, in nanoseconds from the first one.
    pub from: u64,
    /// Requests before this time.
    pub to: Option<u64>,
    /// So many times in a row, from 1 to 10,000. From the second on ids and keys must be fresh.
    pub repeat: u32,
    /// Times as many connections: 0.001 to 1,000. More than one needs fresh ids and keys.
    pub load: f64,
    /// A request waits for the answer before it, and as long after it as the recording did.
    pub causal: bool,
    /// For what is drawn by lot.
    pub seed: u64,
    /// Requests of the schedule at most.
    pub most: usize,
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
            most: 5_000_000,
        }
    }
}

/// Why there is no schedule.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// An option lies outside its bounds.
    Bounds(&'static str, f64),
    /// No request lies in the time asked for.
    Empty,
    /// More requests than are taken.
    TooMany(usize),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Bounds(name, value) => write!(f, "{name}: {value} lies outside its bounds"),
            Fault::Empty => write!(f, "no request lies in that time"),
            Fault::TooMany(most) => write!(f, "more than {most} requests"),
        }
    }
}

impl std::error::Error for Fault {}

/// One request to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// Which recorded request, by its place in what was planned from.
    pub recorded: usize,
    /// The connection, by its place in [`Plan::lanes`].
    pub lane: usize,
    /// When it is to leave.
    pub at: Nanos,
    /// Its first and last byte lay so far apart.
    pub spread: Nanos,
    /// Where the order of cause is kept: so long after the answer before it.
    pub after_answer: Option<Nanos>,
    /// Which copy of the recording it belongs to; 0 is the recording itself.
    pub copy: u64,
}

/// One connection and what goes out on it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lane {
    /// When it is to be made.
    pub open: Nanos,
    /// Its requests, in order, by their places in [`Plan::sends`].
    pub sends: Vec<usize>,
}

/// The schedule.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// All requests, by time and then as recorded.
    pub sends: Vec<Send>,
    /// All connections.
    pub lanes: Vec<Lane>,
    /// When the last request is to leave.
    pub end: Nanos,
    /// Whether some requests stand in it more than once, so that ids and keys must be fresh.
    pub copies: bool,
}

/// Makes the schedule. `opened` has the capture times at which connections began, where these are known.
///
/// # Errors
/// Options outside their bounds, no request, too many.
pub fn plan(
    recorded: &[Recorded],
    opened: &BTreeMap<u64, u64>,
    options: &Options,
) -> Result<Plan, Fault> {
    let bounded = |name, value: f64| {
        if (0.001..=1000.0).contains(&value) {
            Ok(value)
        } else {
            Err(Fault::Bounds(name, value))
        }
    };
    let (speed, load) = (
        bounded("speed", options.speed)?,
        bounded("load", options.load)?,
    );
    if !(1..=10_000).contains(&options.repeat) {
        return Err(Fault::Bounds("repeat", options.repeat.into()));
    }
    let start = recorded.iter().map(|r| r.first).min().ok_or(Fault::Empty)?;
    let within = |r: &Recorded| {
        let at = r.first - start;
        at >= options.from && options.to.is_none_or(|to| at < to)
    };
    let chosen: Vec<usize> = (0..recorded.len())
        .filter(|&n| within(&recorded[n]))
        .collect();
    let begin = chosen
        .iter()
        .map(|&n| recorded[n].first)
        .min()
        .ok_or(Fault::Empty)?;
    let end = chosen
        .iter()
        .map(|&n| recorded[n].last)
        .max()
        .unwrap_or(begin);
    let scaled = |time: u64| (time as f64 / speed).round() as Nanos;
    // One turn lasts to its last answer or request, and a little, so that turns do not overlap.
    let answered = chosen
        .iter()
        .filter_map(|&n| recorded[n].answer.as_ref())
        .map(|a| a.last)
        .max();
    let turn = scaled(answered.unwrap_or(end).max(end) - begin) + AHEAD;

    let mut by_conn: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    for &n in &chosen {
        by_conn.entry(recorded[n].conn).or_default().push(n);
    }
    let mut lots = StdRng::seed_from_u64(options.seed);
    let mut plan = Plan {
        copies: options.repeat > 1 || load > 1.0,
        ..Plan::default()
    };
    for round in 0..u64::from(options.repeat) {
        for (conn, requests) in &by_conn {
            // A whole connection is in or out: a part of one would be another conversation.
            let whole = load.floor();
            let copies = whole as u64 + u64::from(lots.random::<f64>() < load - whole);
            for copy in 0..copies {
                if plan.sends.len() + requests.len() > options.most {
                    return Err(Fault::TooMany(options.most));
                }
                let shift = if copy == 0 {
                    0
                } else {
                    lots.random_range(0..SPREAD)
                };
                let shift = round * turn + shift;
                let number = round * (load.ceil() as u64) + copy;
                lane(
                    &mut plan,
                    recorded,
                    requests,
                    number,
                    |time| shift + scaled(time - begin),
                    options,
                );
                let opened = opened
                    .get(conn)
                    .filter(|at| **at >= begin)
                    .map(|at| shift + scaled(at - begin));
                if let Some(lane) = plan.lanes.last_mut() {
                    let first = plan.sends[lane.sends[0]].at;
                    lane.open = opened.unwrap_or(first.saturating_sub(AHEAD)).min(first);
                }
            }
        }
    }
    order(&mut plan, recorded);
    plan.end = plan
        .sends
        .iter()
        .map(|send| send.at)
        .max()
        .ok_or(Fault::Empty)?;
    Ok(plan)
}

fn lane(
    plan: &mut Plan,
    recorded: &[Recorded],
    requests: &[usize],
    copy: u64,
    at: impl Fn(u64) -> Nanos,
    options: &Options,
) {
    let mut lane = Lane::default();
    let mut before: Option<&Recorded> = None;
    let mut earliest = 0;
    for &n in requests {
        let this = &recorded[n];
        let answer = before.and_then(|before| before.answer.as_ref());
        // Only a client that had the answer before it spoke again can have waited for it.
        let after_answer = answer
            .filter(|answer| options.causal && answer.last <= this.first)
            .map(|answer| ((this.first - answer.last) as f64 / options.speed).round() as Nanos);
        // Bytes may have been captured out of order; the order on the connection holds.
        earliest = at(this.first).max(earliest);
        lane.sends.push(plan.sends.len());
        plan.sends.push(Send {
            recorded: n,
            lane: plan.lanes.len(),
            at: earliest,
            spread: at(this.last.max(this.first)) - at(this.first),
            after_answer,
            copy,
        });
        before = Some(this);
    }
    plan.lanes.push(lane);
}

/// Sorts the sends by time; those at one time stay as they were recorded.
fn order(plan: &mut Plan, recorded: &[Recorded]) {
    let mut places: Vec<usize> = (0..plan.sends.len()).collect();
    places.sort_by_key(|&n| {
        let send = &plan.sends[n];
        (send.at, recorded[send.recorded].first, send.recorded, n)
    });
    let mut new = vec![0; places.len()];
    for (to, &from) in places.iter().enumerate() {
        new[from] = to;
    }
    plan.sends = places.iter().map(|&n| plan.sends[n].clone()).collect();
    for lane in &mut plan.lanes {
        lane.sends.iter_mut().for_each(|n| *n = new[*n]);
    }
}
