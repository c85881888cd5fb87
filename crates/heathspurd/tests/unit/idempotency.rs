//! Unit tests of `src/keys.rs`, which names this file as its module of tests.

use super::*;

fn keys() -> IdempotencyStore {
    IdempotencyStore::new(2, 10, Span(1_000_000))
}

fn id(n: u64) -> RequestId {
    RequestId(n)
}

/// A try with the usual body; it may come again for 50 us.
fn a_try(n: u64, ingress: u64) -> Attempt {
    Attempt {
        id: id(n),
        ingress,
        body: 7,
        window: Span(50),
    }
}

fn key(name: &str) -> Key {
    Key::new(ClassId(0), name.as_bytes())
}

#[test]
fn tries_are_linked_in_the_hold_before_anything_is_kept() {
    let mut keys = keys();
    assert_eq!(keys.link(&key("a"), a_try(1, 5)), Ok(None));
    assert_eq!(keys.link(&key("a"), a_try(2, 6)), Ok(Some(id(1))));
    assert_eq!(keys.link(&key("b"), a_try(3, 6)), Ok(None));
}

#[test]
fn a_repeat_is_linked_by_when_it_reached_the_machine() {
    let mut keys = keys();
    keys.link(&key("a"), a_try(1, 5)).unwrap();
    keys.keep(&key("a"), id(1), 100);
    keys.runs(&key("a"), id(1));
    assert!(keys
        .ended(&key("a"), id(1), Some(&Bytes::from_static(b"r")))
        .is_empty());
    keys.leave(&key("a"), id(1));
    keys.prune(900_000);
    assert_eq!(keys.link(&key("a"), a_try(2, 99)), Ok(Some(id(1))));
    assert_eq!(
        keys.attach(&key("a"), id(2)),
        Attached::Result(Bytes::from_static(b"r"))
    );
    keys.leave(&key("a"), id(2));
    assert_eq!(keys.link(&key("a"), a_try(3, 100)), Ok(None));
    assert_eq!(keys.bytes, 0);
}

#[test]
fn those_that_wait_hear_of_the_end() {
    let mut keys = keys();
    keys.link(&key("a"), a_try(1, 5)).unwrap();
    keys.link(&key("a"), a_try(2, 6)).unwrap();
    keys.runs(&key("a"), id(1));
    assert_eq!(keys.attach(&key("a"), id(2)), Attached::Waits);
    assert_eq!(keys.ended(&key("a"), id(1), None), vec![id(2)]);
    assert_eq!(keys.attach(&key("a"), id(2)), Attached::Failed);
}

#[test]
fn waiting_for_what_is_dropped_unrun_fails() {
    let mut keys = keys();
    keys.link(&key("a"), a_try(1, 5)).unwrap();
    keys.link(&key("a"), a_try(2, 6)).unwrap();
    assert_eq!(keys.attach(&key("a"), id(2)), Attached::Waits);
    assert_eq!(keys.leave(&key("a"), id(1)), vec![id(2)]);
}

#[test]
fn the_table_is_bounded_in_entries_and_in_bytes() {
    let mut keys = keys();
    keys.link(&key("a"), a_try(1, 5)).unwrap();
    keys.link(&key("b"), a_try(2, 5)).unwrap();
    assert_eq!(keys.link(&key("c"), a_try(3, 5)), Err(Barred::Full));
    for (name, n) in [("a", 1), ("b", 2)] {
        keys.keep(&key(name), id(n), 100);
        keys.runs(&key(name), id(n));
        keys.ended(&key(name), id(n), Some(&Bytes::from_static(b"sevenby")));
        keys.leave(&key(name), id(n));
    }
    assert_eq!(
        keys.attach(&key("a"), id(4)),
        Attached::Result(Bytes::from_static(b"sevenby"))
    );
    assert_eq!(keys.attach(&key("b"), id(5)), Attached::Failed);
    keys.prune(2_000_000);
    assert_eq!(
        (keys.entries.len(), keys.holders.len(), keys.bytes),
        (0, 0, 0)
    );
}

#[test]
fn an_entry_lasts_for_the_window_from_the_stamp_of_the_try_that_ran() {
    let mut keys = keys();
    // Stamped ahead of our clock, by which it is kept; the end of the window belongs to it.
    keys.link(&key("a"), a_try(1, 1000)).unwrap();
    keys.link(&key("a"), a_try(2, 20)).unwrap();
    keys.keep(&key("a"), id(1), 60);
    keys.keep(&key("a"), id(2), 70);
    keys.runs(&key("a"), id(1));
    keys.ended(&key("a"), id(1), None);
    for n in [1, 2] {
        keys.leave(&key("a"), id(n));
    }
    keys.prune(1_000_000);
    keys.link(&key("a"), a_try(3, 71)).unwrap();
    keys.leave(&key("a"), id(3));
    keys.prune(1_000_000);
    assert_eq!(keys.link(&key("a"), a_try(4, 1050)), Ok(Some(id(1))));
    keys.leave(&key("a"), id(4));
    assert_eq!(keys.link(&key("a"), a_try(5, 1051)), Ok(None));
}

#[test]
fn what_runs_again_gives_back_its_first_result() {
    let mut keys = keys();
    let result = Bytes::from_static(b"sevenby");
    for n in [1, 2, 3] {
        keys.link(&key("a"), a_try(n, 5)).unwrap();
    }
    for n in [1, 2, 3] {
        keys.runs(&key("a"), id(n));
        assert!(keys.ended(&key("a"), id(n), Some(&result)).is_empty());
        assert_eq!(keys.bytes, 7);
    }
    for n in [1, 2, 3] {
        keys.leave(&key("a"), id(n));
    }
    // Nothing keeps it, so nobody can ask for the result any more.
    assert_eq!(keys.bytes, 0);
}

#[test]
fn those_that_wait_for_a_run_that_is_given_up_halted_hear_of_it() {
    let mut keys = keys();
    keys.link(&key("a"), a_try(1, 5)).unwrap();
    keys.keep(&key("a"), id(1), 100);
    keys.runs(&key("a"), id(1));
    keys.link(&key("a"), a_try(2, 6)).unwrap();
    assert_eq!(keys.attach(&key("a"), id(2)), Attached::Waits);
    assert_eq!(keys.leave(&key("a"), id(1)), vec![id(2)]);
    keys.leave(&key("a"), id(2));
    assert_eq!(keys.link(&key("a"), a_try(3, 7)), Ok(Some(id(1))));
    assert_eq!(keys.attach(&key("a"), id(3)), Attached::Failed);
}

#[test]
fn waiting_where_nobody_is_left_to_run_fails() {
    let mut keys = keys();
    keys.link(&key("a"), a_try(1, 5)).unwrap();
    keys.keep(&key("a"), id(1), 100);
    keys.leave(&key("a"), id(1));
    assert_eq!(keys.link(&key("a"), a_try(2, 6)), Ok(Some(id(1))));
    assert_eq!(keys.attach(&key("a"), id(2)), Attached::Failed);
}

#[test]
fn a_try_of_a_window_that_is_read_after_a_later_try_took_its_place_does_not_run() {
    let mut keys = keys();
    keys.link(&key("a"), a_try(1, 5)).unwrap();
    keys.keep(&key("a"), id(1), 60);
    keys.runs(&key("a"), id(1));
    keys.ended(&key("a"), id(1), None);
    keys.leave(&key("a"), id(1));
    // This one is new: past the window. It is refused, and with it goes its entry.
    assert_eq!(keys.link(&key("a"), a_try(2, 61)), Ok(None));
    keys.keep(&key("a"), id(2), 120);
    assert_eq!(keys.link(&key("a"), a_try(3, 54)), Ok(Some(id(1))));
    keys.leave(&key("a"), id(2));
    keys.forget(id(2));
    keys.leave(&key("a"), id(3));
    keys.prune(1_000_000);
    // What makes room leaves it.
    keys.link(&key("b"), a_try(4, 62)).unwrap();
    assert_eq!(keys.link(&key("c"), a_try(5, 62)), Err(Barred::Full));
    assert_eq!(keys.link(&key("a"), a_try(6, 55)), Ok(Some(id(1))));
    assert_eq!(keys.attach(&key("a"), id(6)), Attached::Failed);
    keys.leave(&key("a"), id(6));
    assert_eq!(keys.link(&key("a"), a_try(7, 60)), Ok(None));
    keys.leave(&key("a"), id(7));
    keys.prune(2_000_000);
    assert_eq!(keys.entries.len(), 1);
}

/// One request's tries as the module knows them.
#[derive(Default)]
struct Group {
    ran: bool,
    held: Vec<RequestId>,
}

/// Draws from 0 to `end` exclusive.
fn draw(state: &mut u64, end: u64) -> u64 {
    *state = state
        .wrapping_mul(6364136223846793005)
        .wrapping_add(1442695040888963407);
    (*state >> 33) % end
}

/// Tries of a few keys come with stamps around our clock, are held, run, end, wait and are dropped in any order,
/// with the table pruned at any time.
#[test]
fn no_key_runs_twice_within_the_window_from_the_stamp_of_the_try_that_ran() {
    let mut ran_twice_later = 0;
    for seed in 0..300 {
        let state = &mut (seed + 1);
        let window = [0, 1, 40, 300][draw(state, 4) as usize];
        let late = 200;
        let mut keys = IdempotencyStore::new(64, 100, Span(late));
        let names = [key("a"), key("b"), key("c")];
        let mut now = 10_000;
        let mut next = 1;
        let mut groups: BTreeMap<RequestId, Group> = BTreeMap::new();
        let mut roots: BTreeMap<RequestId, RequestId> = BTreeMap::new();
        // Number, key, stamp.
        let mut held: Vec<(RequestId, usize, u64)> = Vec::new();
        let mut running: Vec<(RequestId, usize)> = Vec::new();
        let mut waiting: Vec<(RequestId, usize)> = Vec::new();
        let mut runs: [Vec<u64>; 3] = Default::default();
        for _ in 0..400 {
            now += draw(state, 30);
            match draw(state, 8) {
                0..=2 => {
                    let (n, at) = (id(next), draw(state, 3) as usize);
                    next += 1;
                    let stamp = now + draw(state, 4) * draw(state, 150) - draw(state, late);
                    let this = Attempt {
                        id: n,
                        ingress: stamp,
                        body: 7,
                        window: Span(window),
                    };
                    let repeats = keys.link(&names[at], this).unwrap();
                    let root = repeats.map_or(n, |prior| roots[&prior]);
                    roots.insert(n, root);
                    let group = groups.entry(root).or_default();
                    if !group.ran {
                        group.held.push(n);
                        keys.keep(&names[at], n, now + window);
                        held.push((n, at, stamp));
                    } else if keys.attach(&names[at], n) == Attached::Waits {
                        waiting.push((n, at));
                    } else {
                        keys.leave(&names[at], n);
                    }
                }
                3 if !held.is_empty() => {
                    let (n, at, stamp) = held.swap_remove(draw(state, held.len() as u64) as usize);
                    groups.get_mut(&roots[&n]).unwrap().ran = true;
                    keys.runs(&names[at], n);
                    for &before in &runs[at] {
                        let within = before <= stamp && stamp <= before + window;
                        assert!(
                            !within,
                            "seed {seed}: run at {stamp}, which had run at {before} ({window})"
                        );
                        ran_twice_later += 1;
                    }
                    runs[at].push(stamp);
                    running.push((n, at));
                    // Its repeats that are held wait for it from now on.
                    let (repeats, others) =
                        held.drain(..).partition(|(m, ..)| roots[m] == roots[&n]);
                    held = others;
                    for (m, at, _) in repeats as Vec<_> {
                        assert_eq!(keys.attach(&names[at], m), Attached::Waits);
                        waiting.push((m, at));
                    }
                }
                4 | 5 if !running.is_empty() => {
                    let (n, at) = running.swap_remove(draw(state, running.len() as u64) as usize);
                    let result = Bytes::from_static(b"result");
                    // Some are given up while they are halted.
                    let mut told = match draw(state, 4) {
                        0 => Vec::new(),
                        1 => keys.ended(&names[at], n, None),
                        _ => keys.ended(&names[at], n, Some(&result)),
                    };
                    told.extend(keys.leave(&names[at], n));
                    for m in told {
                        let place = waiting.iter().position(|(other, _)| *other == m).unwrap();
                        let (m, at) = waiting.swap_remove(place);
                        keys.leave(&names[at], m);
                    }
                }
                6 if !held.is_empty() => {
                    let (n, at, _) = held.swap_remove(draw(state, held.len() as u64) as usize);
                    for m in keys.leave(&names[at], n) {
                        waiting.retain(|(other, _)| *other != m);
                        keys.leave(&names[at], m);
                    }
                    let group = groups.get_mut(&roots[&n]).unwrap();
                    group.held.retain(|other| *other != n);
                    if group.held.is_empty() {
                        // The module forgets what it kept last.
                        let kept = keys
                            .holders
                            .keys()
                            .copied()
                            .find(|holder| roots[holder] == roots[&n]);
                        kept.into_iter().for_each(|holder| keys.forget(holder));
                    }
                }
                _ => keys.prune(now),
            }
            let kept: usize = keys
                .entries
                .values()
                .map(|entry| match &entry.run {
                    Run::Ended(_, Some(result)) => result.len(),
                    _ => 0,
                })
                .sum();
            assert_eq!(keys.bytes, kept, "seed {seed}");
            // Whoever waits, waits for what runs or may yet run.
            let may_end =
                |at: usize| running.iter().any(|r| r.1 == at) || held.iter().any(|h| h.1 == at);
            assert!(waiting.iter().all(|(_, at)| may_end(*at)), "seed {seed}");
        }
    }
    assert!(ran_twice_later > 0, "no key came again after its window");
}

#[test]
fn what_is_forgotten_is_new_again() {
    let mut keys = keys();
    keys.link(&key("a"), a_try(1, 5)).unwrap();
    keys.keep(&key("a"), id(1), 100);
    keys.leave(&key("a"), id(1));
    keys.forget(id(1));
    assert_eq!(keys.link(&key("a"), a_try(2, 6)), Ok(None));
}

#[test]
fn a_key_goes_with_one_body_for_its_window_whatever_became_of_the_tries() {
    let mut keys = keys();
    let other = |n, ingress| Attempt {
        body: 8,
        ..a_try(n, ingress)
    };
    keys.link(&key("a"), a_try(1, 5)).unwrap();
    assert_eq!(keys.link(&key("a"), other(2, 6)), Err(Barred::OtherBody));
    // It was refused before it ran.
    keys.leave(&key("a"), id(1));
    assert_eq!(keys.link(&key("a"), other(3, 54)), Err(Barred::OtherBody));
    assert_eq!(keys.link(&key("a"), a_try(4, 20)), Ok(None));
    keys.leave(&key("a"), id(4));
    assert_eq!(keys.link(&key("a"), other(5, 69)), Err(Barred::OtherBody));
    assert_eq!(keys.link(&key("a"), other(6, 70)), Ok(None));
}

#[test]
fn what_is_only_remembered_makes_room_in_a_full_table() {
    let mut keys = keys();
    for (name, n) in [("a", 1), ("b", 2)] {
        keys.link(&key(name), a_try(n, 5)).unwrap();
        keys.leave(&key(name), id(n));
    }
    assert_eq!(keys.link(&key("c"), a_try(3, 6)), Ok(None));
}
