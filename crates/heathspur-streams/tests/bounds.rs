//! Streams, windows, memory and frames under any order of events: never past a bound, never unfair, and what was
//! taken is given back.

use heathspur_streams::drain::{Drain, Stage, Step};
use heathspur_streams::ledger::{self, Holder, Ledger, Part};
use heathspur_streams::meter::Meter;
use heathspur_streams::share::{self, Full, Share, FIRST_WINDOW};
use heathspur_streams::Time;
use proptest::prelude::*;
use std::collections::BTreeMap;

fn share(connection: u32, all: u32) -> Share {
    Share::new(share::Bounds {
        connection,
        all,
        receive: 4 << 20,
    })
}

#[test]
fn a_greedy_connection_leaves_the_others_their_part() {
    let mut share = share(1000, 1000);
    for _ in 0..4 {
        share.joined();
    }
    let mut greedy = 0;
    while share.take(greedy).is_ok() {
        greedy += 1;
    }
    assert_eq!(greedy, 750);
    for _ in 0..3 {
        let mut modest = 0;
        while modest < 80 && share.take(modest).is_ok() {
            modest += 1;
        }
        assert_eq!(modest, 80);
    }
    assert_eq!(share.take(greedy), Err(Full::All));
}

#[test]
fn streams_follow_what_is_taken_in_and_are_never_below_what_is_open() {
    let mut share = share(400, 400);
    share.joined();
    for n in 0..100 {
        assert_eq!(share.take(n), Ok(()));
    }
    let mut now = Time(0);
    // One crowd counts once.
    for _ in 0..50 {
        share.waited(now);
    }
    assert_eq!(share.allowed(), 300);
    for _ in 0..40 {
        now = now.after(100_000);
        share.waited(now);
    }
    assert_eq!((share.allowed(), share.open()), (100, 100));
    assert_eq!(share.take(100), Err(Full::All));
    for _ in 0..100 {
        share.give_back();
    }
    assert_eq!(share.allowed(), 16.max(share.advertised()));
    for _ in 0..8 * 400 {
        share.answered();
    }
    assert_eq!(share.allowed(), 400);
}

#[test]
fn windows_are_a_fair_share_of_what_may_be_sent_ahead() {
    let mut share = share(10, 10);
    share.joined();
    assert_eq!(share.window(), 1 << 20);
    for _ in 0..15 {
        share.joined();
    }
    assert_eq!(share.window(), (4 << 20) / 16);
    for _ in 0..1000 {
        share.joined();
    }
    assert_eq!(share.window(), FIRST_WINDOW);
}

#[test]
fn who_holds_most_gives_way_and_the_oldest_answer_first() {
    let mut ledger = Ledger::new(ledger::Bounds {
        connection: 100,
        all: 140,
    });
    let (stalled, good) = (Holder(1), Holder(2));
    for n in 0..9 {
        assert!(ledger.hold(stalled, Part(n), 10).is_empty());
    }
    assert!(ledger.hold(good, Part(1), 30).is_empty());
    // The budget of all is used up: the stalled one pays for the good one's answer.
    assert_eq!(
        ledger.hold(good, Part(3), 40),
        [(stalled, Part(0)), (stalled, Part(1))]
    );
    // Its own bound holds for it as well.
    let mut alone = Ledger::new(ledger::Bounds {
        connection: 100,
        all: 1000,
    });
    for n in 0..10 {
        alone.hold(stalled, Part(n), 10);
    }
    assert_eq!(
        alone.hold(stalled, Part(10), 15),
        [(stalled, Part(0)), (stalled, Part(1))]
    );
    // One that is larger than all there is never waits.
    assert_eq!(alone.hold(good, Part(1), 2000), [(good, Part(1))]);
}

proptest! {
    #[test]
    fn the_ledger_knows_what_waits_and_never_holds_more_than_it_may(
        steps in prop::collection::vec((0..4u64, 0..6u64, 0..60u64, any::<bool>()), 0..200)
    ) {
        let bounds = ledger::Bounds { connection: 80, all: 160 };
        let mut ledger = Ledger::new(bounds);
        let mut model: BTreeMap<(Holder, Part), u64> = BTreeMap::new();
        for (holder, part, bytes, hold) in steps {
            let key = (Holder(holder), Part(part));
            if hold && !model.contains_key(&key) {
                model.insert(key, bytes);
                for gone in ledger.hold(key.0, key.1, bytes) {
                    prop_assert!(model.remove(&gone).is_some());
                }
            } else {
                model.remove(&key);
                ledger.give_back(key.0, key.1);
            }
            prop_assert_eq!(ledger.held(), model.values().sum::<u64>());
            prop_assert!(ledger.held() <= bounds.all);
            for holder in 0..4 {
                let of_it = model.iter().filter(|((of, _), _)| of.0 == holder);
                prop_assert!(of_it.map(|(_, bytes)| bytes).sum::<u64>() <= bounds.connection);
            }
        }
    }

    #[test]
    fn streams_are_counted_and_bounded_whatever_happens(
        steps in prop::collection::vec((0..5usize, 0..5u8), 0..400)
    ) {
        let mut share = share(30, 60);
        let mut open = [0u32; 5];
        let mut now = Time(0);
        (0..5).for_each(|_| share.joined());
        for (at, what) in steps {
            now = now.after(30_000);
            match what {
                0 | 1 => if share.take(open[at]).is_ok() { open[at] += 1 },
                2 => if open[at] > 0 { open[at] -= 1; share.give_back() },
                3 => share.waited(now),
                _ => share.answered(),
            }
            prop_assert_eq!(share.open(), open.iter().sum::<u32>());
            prop_assert!(open.iter().all(|&n| n <= 30) && share.open() <= 60);
            prop_assert!(share.allowed() >= share.open() && share.allowed() <= 60);
        }
    }

    #[test]
    fn frames_are_counted_the_same_however_they_are_split(
        lengths in prop::collection::vec((0..40u32, 0..10u8, 0..2u8), 1..30),
        cuts in prop::collection::vec(1..20usize, 1..40)
    ) {
        let mut bytes = Vec::new();
        for (length, kind, flags) in &lengths {
            bytes.extend(frame(*kind, *flags, &vec![0; *length as usize]));
        }
        let mut whole = Meter::new(Time(0));
        whole.read(&bytes, Time(0));
        let mut pieces = Meter::new(Time(0));
        let (mut rest, mut cuts) = (&bytes[..], cuts.into_iter().cycle());
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(cuts.next().unwrap_or(1).min(rest.len()));
            pieces.read(piece, Time(0));
            rest = after;
        }
        prop_assert_eq!(whole.counts(), pieces.counts());
        prop_assert_eq!(whole.counts().frames, lengths.len() as u64);
        prop_assert_eq!(whole.is_used_up(), pieces.is_used_up());
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

/// How many of these it takes until it is too much, sent all at once; none within 100,000.
fn until_used_up(frames: &[Vec<u8>], each: impl Fn(&mut Meter)) -> Option<u32> {
    let mut meter = Meter::new(Time(0));
    (0..100_000).find(|_| {
        frames.iter().for_each(|bytes| meter.read(bytes, Time(0)));
        each(&mut meter);
        meter.is_used_up()
    })
}

#[test]
fn floods_use_an_account_up_and_work_does_not() {
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
        let count = until_used_up(&frames, |_| {}).unwrap_or_else(|| panic!("{name} never"));
        assert!(count < 4_001, "{name}: {count}");
    }
    // Requests that are handed in and reset at once, as fast as they go.
    let count = until_used_up(&reset, Meter::request).expect("rapid resets");
    assert!((100..1000).contains(&count), "{count}");
    assert_eq!(until_used_up(&request, Meter::request), None);
    // Nobody's patience lasts for ever: one in three is reset, and windows are granted for each answer.
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
        until_used_up(&mixed, |meter| (0..3).for_each(|_| {
            meter.request();
            meter.answer(2000)
        })),
        None
    );
}

#[test]
fn what_comes_slowly_is_no_flood() {
    let mut meter = Meter::new(Time(0));
    for n in 0..20_000 {
        // Ten pings a second for half an hour.
        meter.read(&frame(PING, 0, &[0; 8]), Time(n * 100_000));
        assert!(!meter.is_used_up(), "{n}");
    }
    // Clocks that jump back earn nothing and cost nothing.
    meter.read(&frame(PING, 0, &[0; 8]), Time(0));
    assert!(!meter.is_used_up());
}

#[test]
fn a_drain_names_the_highest_id_then_the_last_stream_and_refuses_what_follows() {
    let mut drain = Drain::new(1_000);
    assert_eq!(
        (drain.tick(Time(9)), drain.pong(), drain.takes()),
        (Step::None, Step::None, true)
    );
    assert_eq!(drain.leave(Time(10)), Step::Announce);
    assert_eq!(
        (drain.leave(Time(11)), drain.next()),
        (Step::None, Some(Time(1_010)))
    );
    assert!(drain.takes() && !drain.is_over(0));
    let mut silent = drain.clone();
    assert_eq!(drain.pong(), Step::Fix);
    assert_eq!(
        (drain.takes(), drain.is_over(1), drain.is_over(0)),
        (false, false, true)
    );
    assert_eq!(
        (silent.tick(Time(1_009)), silent.tick(Time(1_010))),
        (Step::None, Step::Fix)
    );
    assert_eq!(
        (silent.stage(), silent.pong(), silent.shut()),
        (Stage::Last, Step::None, Step::None)
    );
    let mut at_once = Drain::new(1_000);
    assert_eq!((at_once.shut(), at_once.takes()), (Step::Fix, false));
}
