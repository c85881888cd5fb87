//! Tests of the limits on streams, flow-control windows, response memory and frames, and of the
//! connection drain: the limits hold under any order of events, are shared fairly, and are
//! released.

use heathspur_streams::connection_drain::{ConnectionDrain, DrainStage, DrainStep};
use heathspur_streams::frame_cost::FrameCostMeter;
use heathspur_streams::response_memory::{
    ConnectionKey, MemoryLimits, ResponseKey, ResponseMemory,
};
use heathspur_streams::stream_limits::{
    LimitReached, LimitSettings, StreamLimits, INITIAL_WINDOW_BYTES,
};
use heathspur_streams::Time;
use proptest::prelude::*;
use std::collections::BTreeMap;

fn limits(per_connection: u32, total: u32) -> StreamLimits {
    StreamLimits::new(LimitSettings {
        per_connection,
        total,
        receive_bytes: 4 << 20,
    })
}

#[test]
fn greedy_connection_leaves_share_to_others() {
    let mut limits = limits(1000, 1000);
    for _ in 0..4 {
        limits.connection_opened();
    }
    let mut greedy = 0;
    while limits.try_open(greedy).is_ok() {
        greedy += 1;
    }
    assert_eq!(greedy, 750);
    for _ in 0..3 {
        let mut modest = 0;
        while modest < 80 && limits.try_open(modest).is_ok() {
            modest += 1;
        }
        assert_eq!(modest, 80);
    }
    assert_eq!(limits.try_open(greedy), Err(LimitReached::Total));
}

#[test]
fn stream_limit_adapts_and_is_never_below_open_streams() {
    let mut limits = limits(400, 400);
    limits.connection_opened();
    for n in 0..100 {
        assert_eq!(limits.try_open(n), Ok(()));
    }
    let mut now = Time(0);
    // A burst of waiting requests decreases the limit once.
    for _ in 0..50 {
        limits.on_backpressure(now);
    }
    assert_eq!(limits.current_limit(), 300);
    for _ in 0..40 {
        now = now.after(100_000);
        limits.on_backpressure(now);
    }
    assert_eq!((limits.current_limit(), limits.open_streams()), (100, 100));
    assert_eq!(limits.try_open(100), Err(LimitReached::Total));
    for _ in 0..100 {
        limits.close_stream();
    }
    assert_eq!(limits.current_limit(), 16.max(limits.advertised_limit()));
    for _ in 0..8 * 400 {
        limits.on_response();
    }
    assert_eq!(limits.current_limit(), 400);
}

#[test]
fn window_is_equal_share_of_receive_bytes() {
    let mut limits = limits(10, 10);
    limits.connection_opened();
    assert_eq!(limits.connection_window(), 1 << 20);
    for _ in 0..15 {
        limits.connection_opened();
    }
    assert_eq!(limits.connection_window(), (4 << 20) / 16);
    for _ in 0..1000 {
        limits.connection_opened();
    }
    assert_eq!(limits.connection_window(), INITIAL_WINDOW_BYTES);
}

#[test]
fn oldest_response_of_largest_connection_is_dropped_first() {
    let mut memory = ResponseMemory::new(MemoryLimits {
        per_connection: 100,
        total: 140,
    });
    let (stalled, reading) = (ConnectionKey(1), ConnectionKey(2));
    for n in 0..9 {
        assert!(memory.reserve(stalled, ResponseKey(n), 10).is_empty());
    }
    assert!(memory.reserve(reading, ResponseKey(1), 30).is_empty());
    // The total is used up: responses of the stalled connection are dropped for the other one's.
    assert_eq!(
        memory.reserve(reading, ResponseKey(3), 40),
        [(stalled, ResponseKey(0)), (stalled, ResponseKey(1))]
    );
    // The limit per connection applies as well.
    let mut single = ResponseMemory::new(MemoryLimits {
        per_connection: 100,
        total: 1000,
    });
    for n in 0..10 {
        single.reserve(stalled, ResponseKey(n), 10);
    }
    assert_eq!(
        single.reserve(stalled, ResponseKey(10), 15),
        [(stalled, ResponseKey(0)), (stalled, ResponseKey(1))]
    );
    // A response larger than the limit is dropped at once.
    assert_eq!(
        single.reserve(reading, ResponseKey(1), 2000),
        [(reading, ResponseKey(1))]
    );
}

proptest! {
    #[test]
    fn response_memory_stays_within_limits_under_any_steps(
        steps in prop::collection::vec((0..4u64, 0..6u64, 0..60u64, any::<bool>()), 0..200)
    ) {
        let bounds = MemoryLimits { per_connection: 80, total: 160 };
        let mut memory = ResponseMemory::new(bounds);
        let mut model: BTreeMap<(ConnectionKey, ResponseKey), u64> = BTreeMap::new();
        for (connection, response, bytes, is_reserve) in steps {
            let key = (ConnectionKey(connection), ResponseKey(response));
            if is_reserve && !model.contains_key(&key) {
                model.insert(key, bytes);
                for dropped in memory.reserve(key.0, key.1, bytes) {
                    prop_assert!(model.remove(&dropped).is_some());
                }
            } else {
                model.remove(&key);
                memory.release(key.0, key.1);
            }
            prop_assert_eq!(memory.used_bytes(), model.values().sum::<u64>());
            prop_assert!(memory.used_bytes() <= bounds.total);
            for connection in 0..4 {
                let unread = model.iter().filter(|((key, _), _)| key.0 == connection);
                prop_assert!(unread.map(|(_, bytes)| bytes).sum::<u64>() <= bounds.per_connection);
            }
        }
    }

    #[test]
    fn open_streams_are_counted_and_limited_under_any_steps(
        steps in prop::collection::vec((0..5usize, 0..5u8), 0..400)
    ) {
        let mut limits = limits(30, 60);
        let mut open = [0u32; 5];
        let mut now = Time(0);
        (0..5).for_each(|_| limits.connection_opened());
        for (connection, step) in steps {
            now = now.after(30_000);
            match step {
                0 | 1 => if limits.try_open(open[connection]).is_ok() { open[connection] += 1 },
                2 => if open[connection] > 0 { open[connection] -= 1; limits.close_stream() },
                3 => limits.on_backpressure(now),
                _ => limits.on_response(),
            }
            prop_assert_eq!(limits.open_streams(), open.iter().sum::<u32>());
            prop_assert!(open.iter().all(|&n| n <= 30) && limits.open_streams() <= 60);
            prop_assert!(limits.current_limit() >= limits.open_streams() && limits.current_limit() <= 60);
        }
    }

    #[test]
    fn frame_counts_do_not_depend_on_splitting_of_bytes(
        frames in prop::collection::vec((0..40u32, 0..10u8, 0..2u8), 1..30),
        piece_lengths in prop::collection::vec(1..20usize, 1..40)
    ) {
        let mut bytes = Vec::new();
        for (length, frame_type, flags) in &frames {
            bytes.extend(frame(*frame_type, *flags, &vec![0; *length as usize]));
        }
        let mut unsplit = FrameCostMeter::new(Time(0));
        unsplit.record_bytes(&bytes, Time(0));
        let mut split = FrameCostMeter::new(Time(0));
        let (mut rest, mut piece_lengths) = (&bytes[..], piece_lengths.into_iter().cycle());
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(piece_lengths.next().unwrap_or(1).min(rest.len()));
            split.record_bytes(piece, Time(0));
            rest = after;
        }
        prop_assert_eq!(unsplit.counts(), split.counts());
        prop_assert_eq!(unsplit.counts().frames, frames.len() as u64);
        prop_assert_eq!(unsplit.is_exhausted(), split.is_exhausted());
    }
}

/// Returns a frame of stream 1.
fn frame(frame_type: u8, flags: u8, payload: &[u8]) -> Vec<u8> {
    let [_, high, middle, low] = (payload.len() as u32).to_be_bytes();
    [&[high, middle, low, frame_type, flags, 0, 0, 0, 1], payload].concat()
}

// Frame types (RFC 9113, section 6).
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const PRIORITY: u8 = 2;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const WINDOW_UPDATE: u8 = 8;
const CONTINUATION: u8 = 9;

/// Returns how many repetitions of `frames`, without pauses, exhaust the balance; `after_each` runs
/// after each repetition. Returns `None` if 100,000 repetitions do not exhaust it.
fn repetitions_until_exhausted(
    frames: &[Vec<u8>],
    after_each: impl Fn(&mut FrameCostMeter),
) -> Option<u32> {
    let mut meter = FrameCostMeter::new(Time(0));
    (0..100_000).find(|_| {
        frames
            .iter()
            .for_each(|bytes| meter.record_bytes(bytes, Time(0)));
        after_each(&mut meter);
        meter.is_exhausted()
    })
}

#[test]
fn floods_exhaust_balance_and_requests_do_not() {
    let request = [frame(HEADERS, 4, &[0; 60]), frame(DATA, 1, &[0; 16])];
    let reset = [frame(HEADERS, 5, &[0; 60]), frame(RST_STREAM, 0, &[0; 4])];
    for (name, frames) in [
        ("settings", vec![frame(SETTINGS, 0, &[])]),
        ("pings", vec![frame(PING, 0, &[0; 8])]),
        ("priorities", vec![frame(PRIORITY, 0, &[0; 5])]),
        ("empty data", vec![frame(DATA, 0, &[])]),
        (
            "window updates of 1",
            vec![frame(WINDOW_UPDATE, 0, &[0, 0, 0, 1])],
        ),
        ("continuations", vec![frame(CONTINUATION, 0, &[0; 100])]),
        ("unknown types", vec![frame(0x55, 0, &[])]),
    ] {
        let count = repetitions_until_exhausted(&frames, |_| {})
            .unwrap_or_else(|| panic!("{name}: balance never exhausted"));
        assert!(count < 4_001, "{name}: {count}");
    }
    // Rapid resets: requests that are submitted and reset at once, without a pause.
    let count =
        repetitions_until_exhausted(&reset, FrameCostMeter::credit_request).expect("rapid resets");
    assert!((100..1000).contains(&count), "{count}");
    assert_eq!(
        repetitions_until_exhausted(&request, FrameCostMeter::credit_request),
        None
    );
    // Clients may time out: one request in three is reset, and clients send window updates.
    let mixed: Vec<_> = [
        &request[..],
        &request,
        &reset,
        &[
            frame(WINDOW_UPDATE, 0, &[0; 4]),
            frame(WINDOW_UPDATE, 0, &[0; 4]),
        ],
    ]
    .concat();
    assert_eq!(
        repetitions_until_exhausted(&mixed, |meter| (0..3).for_each(|_| {
            meter.credit_request();
            meter.credit_response(2000)
        })),
        None
    );
}

#[test]
fn slow_frames_do_not_exhaust_balance() {
    let mut meter = FrameCostMeter::new(Time(0));
    for n in 0..20_000 {
        // Ten PINGs a second for half an hour.
        meter.record_bytes(&frame(PING, 0, &[0; 8]), Time(n * 100_000));
        assert!(!meter.is_exhausted(), "{n}");
    }
    // A clock that jumps back adds no points and takes none.
    meter.record_bytes(&frame(PING, 0, &[0; 8]), Time(0));
    assert!(!meter.is_exhausted());
}

#[test]
fn drain_sends_first_then_final_goaway_and_refuses_later_streams() {
    let mut drain = ConnectionDrain::new(1_000);
    assert_eq!(
        (
            drain.check_timeout(Time(9)),
            drain.on_ping_acknowledged(),
            drain.accepts_streams()
        ),
        (DrainStep::None, DrainStep::None, true)
    );
    assert_eq!(drain.begin(Time(10)), DrainStep::SendFirstGoAway);
    assert_eq!(
        (drain.begin(Time(11)), drain.next_deadline()),
        (DrainStep::None, Some(Time(1_010)))
    );
    assert!(drain.accepts_streams() && !drain.is_complete(0));
    let mut unacknowledged = drain.clone();
    assert_eq!(drain.on_ping_acknowledged(), DrainStep::SendFinalGoAway);
    assert_eq!(
        (
            drain.accepts_streams(),
            drain.is_complete(1),
            drain.is_complete(0)
        ),
        (false, false, true)
    );
    assert_eq!(
        (
            unacknowledged.check_timeout(Time(1_009)),
            unacknowledged.check_timeout(Time(1_010))
        ),
        (DrainStep::None, DrainStep::SendFinalGoAway)
    );
    assert_eq!(
        (
            unacknowledged.stage(),
            unacknowledged.on_ping_acknowledged(),
            unacknowledged.stop_accepting()
        ),
        (DrainStage::Final, DrainStep::None, DrainStep::None)
    );
    let mut stopped = ConnectionDrain::new(1_000);
    assert_eq!(
        (stopped.stop_accepting(), stopped.accepts_streams()),
        (DrainStep::SendFinalGoAway, false)
    );
}
