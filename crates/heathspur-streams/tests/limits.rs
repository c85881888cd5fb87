//! Limits on streams, windows, response memory and frames hold under any order of events, are shared
//! fairly, and are released.

use heathspur_streams::connection_drain::{ConnectionDrain, DrainStage, DrainStep};
use heathspur_streams::frame_cost::FrameCostMeter;
use heathspur_streams::response_memory::{
    ConnectionKey, MemoryLimits, ResponseKey, ResponseMemory,
};
use heathspur_streams::stream_limits::{LimitReached, LimitSettings, StreamLimits, INITIAL_WINDOW};
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
fn a_greedy_connection_leaves_the_others_their_share() {
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
fn the_stream_limit_follows_admission_and_is_never_below_the_open_streams() {
    let mut limits = limits(400, 400);
    limits.connection_opened();
    for n in 0..100 {
        assert_eq!(limits.try_open(n), Ok(()));
    }
    let mut now = Time(0);
    // A burst counts once.
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
fn windows_are_an_equal_share_of_the_receive_budget() {
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
    assert_eq!(limits.connection_window(), INITIAL_WINDOW);
}

#[test]
fn the_oldest_response_of_the_largest_connection_is_dropped_first() {
    let mut memory = ResponseMemory::new(MemoryLimits {
        per_connection: 100,
        total: 140,
    });
    let (stalled, good) = (ConnectionKey(1), ConnectionKey(2));
    for n in 0..9 {
        assert!(memory.reserve(stalled, ResponseKey(n), 10).is_empty());
    }
    assert!(memory.reserve(good, ResponseKey(1), 30).is_empty());
    // The total is used up: the stalled connection pays for the other one's response.
    assert_eq!(
        memory.reserve(good, ResponseKey(3), 40),
        [(stalled, ResponseKey(0)), (stalled, ResponseKey(1))]
    );
    // The limit of a connection applies as well.
    let mut alone = ResponseMemory::new(MemoryLimits {
        per_connection: 100,
        total: 1000,
    });
    for n in 0..10 {
        alone.reserve(stalled, ResponseKey(n), 10);
    }
    assert_eq!(
        alone.reserve(stalled, ResponseKey(10), 15),
        [(stalled, ResponseKey(0)), (stalled, ResponseKey(1))]
    );
    // A response larger than the limit is dropped at once.
    assert_eq!(
        alone.reserve(good, ResponseKey(1), 2000),
        [(good, ResponseKey(1))]
    );
}

proptest! {
    #[test]
    fn response_memory_counts_unread_responses_and_stays_within_its_limits(
        steps in prop::collection::vec((0..4u64, 0..6u64, 0..60u64, any::<bool>()), 0..200)
    ) {
        let bounds = MemoryLimits { per_connection: 80, total: 160 };
        let mut memory = ResponseMemory::new(bounds);
        let mut model: BTreeMap<(ConnectionKey, ResponseKey), u64> = BTreeMap::new();
        for (holder, part, bytes, hold) in steps {
            let key = (ConnectionKey(holder), ResponseKey(part));
            if hold && !model.contains_key(&key) {
                model.insert(key, bytes);
                for gone in memory.reserve(key.0, key.1, bytes) {
                    prop_assert!(model.remove(&gone).is_some());
                }
            } else {
                model.remove(&key);
                memory.release(key.0, key.1);
            }
            prop_assert_eq!(memory.used_bytes(), model.values().sum::<u64>());
            prop_assert!(memory.used_bytes() <= bounds.total);
            for holder in 0..4 {
                let of_it = model.iter().filter(|((of, _), _)| of.0 == holder);
                prop_assert!(of_it.map(|(_, bytes)| bytes).sum::<u64>() <= bounds.per_connection);
            }
        }
    }

    #[test]
    fn open_streams_are_counted_and_limited_under_any_events(
        steps in prop::collection::vec((0..5usize, 0..5u8), 0..400)
    ) {
        let mut limits = limits(30, 60);
        let mut open = [0u32; 5];
        let mut now = Time(0);
        (0..5).for_each(|_| limits.connection_opened());
        for (at, what) in steps {
            now = now.after(30_000);
            match what {
                0 | 1 => if limits.try_open(open[at]).is_ok() { open[at] += 1 },
                2 => if open[at] > 0 { open[at] -= 1; limits.close_stream() },
                3 => limits.on_backpressure(now),
                _ => limits.on_response(),
            }
            prop_assert_eq!(limits.open_streams(), open.iter().sum::<u32>());
            prop_assert!(open.iter().all(|&n| n <= 30) && limits.open_streams() <= 60);
            prop_assert!(limits.current_limit() >= limits.open_streams() && limits.current_limit() <= 60);
        }
    }

    #[test]
    fn frame_counts_do_not_depend_on_how_bytes_are_split(
        lengths in prop::collection::vec((0..40u32, 0..10u8, 0..2u8), 1..30),
        cuts in prop::collection::vec(1..20usize, 1..40)
    ) {
        let mut bytes = Vec::new();
        for (length, kind, flags) in &lengths {
            bytes.extend(frame(*kind, *flags, &vec![0; *length as usize]));
        }
        let mut whole = FrameCostMeter::new(Time(0));
        whole.record_bytes(&bytes, Time(0));
        let mut pieces = FrameCostMeter::new(Time(0));
        let (mut rest, mut cuts) = (&bytes[..], cuts.into_iter().cycle());
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(cuts.next().unwrap_or(1).min(rest.len()));
            pieces.record_bytes(piece, Time(0));
            rest = after;
        }
        prop_assert_eq!(whole.counts(), pieces.counts());
        prop_assert_eq!(whole.counts().frames, lengths.len() as u64);
        prop_assert_eq!(whole.is_exhausted(), pieces.is_exhausted());
    }
}

fn frame(kind: u8, flags: u8, payload: &[u8]) -> Vec<u8> {
    let [_, a, b, c] = (payload.len() as u32).to_be_bytes();
    [&[a, b, c, kind, flags, 0, 0, 0, 1], payload].concat()
}

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const WINDOW_UPDATE: u8 = 8;
const CONTINUATION: u8 = 9;

/// Returns how many rounds of these frames, sent at once, exhaust the balance; `None` if 100,000 do
/// not.
fn rounds_until_exhausted(frames: &[Vec<u8>], each: impl Fn(&mut FrameCostMeter)) -> Option<u32> {
    let mut meter = FrameCostMeter::new(Time(0));
    (0..100_000).find(|_| {
        frames
            .iter()
            .for_each(|bytes| meter.record_bytes(bytes, Time(0)));
        each(&mut meter);
        meter.is_exhausted()
    })
}

#[test]
fn floods_exhaust_the_balance_and_requests_do_not() {
    let request = [frame(HEADERS, 4, &[0; 60]), frame(DATA, 1, &[0; 16])];
    let reset = [frame(HEADERS, 5, &[0; 60]), frame(RST_STREAM, 0, &[0; 4])];
    for (name, frames) in [
        ("settings", vec![frame(SETTINGS, 0, &[])]),
        ("pings", vec![frame(PING, 0, &[0; 8])]),
        ("priorities", vec![frame(2, 0, &[0; 5])]),
        ("empty data", vec![frame(DATA, 0, &[])]),
        ("windows of 1", vec![frame(WINDOW_UPDATE, 0, &[0, 0, 0, 1])]),
        ("continuations", vec![frame(CONTINUATION, 0, &[0; 100])]),
        ("unknown ones", vec![frame(0x55, 0, &[])]),
    ] {
        let count =
            rounds_until_exhausted(&frames, |_| {}).unwrap_or_else(|| panic!("{name} never"));
        assert!(count < 4_001, "{name}: {count}");
    }
    // Requests that are submitted and reset at once, without a pause.
    let count =
        rounds_until_exhausted(&reset, FrameCostMeter::credit_request).expect("rapid resets");
    assert!((100..1000).contains(&count), "{count}");
    assert_eq!(
        rounds_until_exhausted(&request, FrameCostMeter::credit_request),
        None
    );
    // Clients may time out: one request in three is reset, and each response gets window updates.
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
        rounds_until_exhausted(&mixed, |meter| (0..3).for_each(|_| {
            meter.credit_request();
            meter.credit_response(2000)
        })),
        None
    );
}

#[test]
fn slow_frames_do_not_exhaust_the_balance() {
    let mut meter = FrameCostMeter::new(Time(0));
    for n in 0..20_000 {
        // Ten PINGs a second for half an hour.
        meter.record_bytes(&frame(PING, 0, &[0; 8]), Time(n * 100_000));
        assert!(!meter.is_exhausted(), "{n}");
    }
    // A clock that jumps back earns and costs nothing.
    meter.record_bytes(&frame(PING, 0, &[0; 8]), Time(0));
    assert!(!meter.is_exhausted());
}

#[test]
fn a_drain_announces_the_highest_id_then_fixes_the_last_stream_and_refuses_later_ones() {
    let mut drain = ConnectionDrain::new(1_000);
    assert_eq!(
        (
            drain.on_time(Time(9)),
            drain.on_ping_acknowledged(),
            drain.accepts_streams()
        ),
        (DrainStep::None, DrainStep::None, true)
    );
    assert_eq!(drain.begin(Time(10)), DrainStep::AnnounceGoAway);
    assert_eq!(
        (drain.begin(Time(11)), drain.next_deadline()),
        (DrainStep::None, Some(Time(1_010)))
    );
    assert!(drain.accepts_streams() && !drain.is_complete(0));
    let mut silent = drain.clone();
    assert_eq!(drain.on_ping_acknowledged(), DrainStep::FixLastStream);
    assert_eq!(
        (
            drain.accepts_streams(),
            drain.is_complete(1),
            drain.is_complete(0)
        ),
        (false, false, true)
    );
    assert_eq!(
        (silent.on_time(Time(1_009)), silent.on_time(Time(1_010))),
        (DrainStep::None, DrainStep::FixLastStream)
    );
    assert_eq!(
        (
            silent.stage(),
            silent.on_ping_acknowledged(),
            silent.stop_accepting()
        ),
        (DrainStage::Final, DrainStep::None, DrainStep::None)
    );
    let mut at_once = ConnectionDrain::new(1_000);
    assert_eq!(
        (at_once.stop_accepting(), at_once.accepts_streams()),
        (DrainStep::FixLastStream, false)
    );
}
