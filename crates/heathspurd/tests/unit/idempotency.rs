//! Unit tests of `src/idempotency/mod.rs`, which includes this file as its module of tests.

use super::*;

/// A store of two entries and ten bytes of results.
fn small_store() -> IdempotencyStore {
    IdempotencyStore::new(2, 10, Span(1_000_000))
}

fn id(n: u64) -> RequestId {
    RequestId(n)
}

/// An attempt with the usual body, which may be repeated for 50 us.
fn attempt(n: u64, received_at: u64) -> Attempt {
    Attempt {
        id: id(n),
        received_at,
        body_digest: 7,
        dedup_window: Span(50),
    }
}

fn key(name: &str) -> Key {
    Key::new(ClassId(0), name.as_bytes())
}

#[test]
fn queued_attempts_are_linked_before_anything_is_retained() {
    let mut store = small_store();
    assert_eq!(
        store.register(&key("a"), attempt(1, 5)),
        Ok(Registration::First)
    );
    assert_eq!(
        store.register(&key("a"), attempt(2, 6)),
        Ok(Registration::RepeatOf(id(1)))
    );
    assert_eq!(
        store.register(&key("b"), attempt(3, 6)),
        Ok(Registration::First)
    );
}

#[test]
fn a_repeat_is_linked_by_the_time_at_which_it_reached_the_machine() {
    let mut store = small_store();
    store.register(&key("a"), attempt(1, 5)).unwrap();
    store.retain(&key("a"), id(1), 100);
    store.run_started(&key("a"), id(1));
    assert!(store
        .run_ended(&key("a"), id(1), Some(&Bytes::from_static(b"r")))
        .is_empty());
    store.remove_attempt(&key("a"), id(1));
    store.prune(900_000);
    assert_eq!(
        store.register(&key("a"), attempt(2, 99)),
        Ok(Registration::RepeatOf(id(1)))
    );
    assert_eq!(
        store.attach(&key("a"), id(2)),
        Attachment::Result(Bytes::from_static(b"r"))
    );
    store.remove_attempt(&key("a"), id(2));
    assert_eq!(
        store.register(&key("a"), attempt(3, 100)),
        Ok(Registration::First)
    );
    assert_eq!(store.result_bytes, 0);
}

#[test]
fn waiting_attempts_are_returned_when_the_run_ends() {
    let mut store = small_store();
    store.register(&key("a"), attempt(1, 5)).unwrap();
    store.register(&key("a"), attempt(2, 6)).unwrap();
    store.run_started(&key("a"), id(1));
    assert_eq!(store.attach(&key("a"), id(2)), Attachment::Pending);
    assert_eq!(store.run_ended(&key("a"), id(1), None), vec![id(2)]);
    assert_eq!(store.attach(&key("a"), id(2)), Attachment::Failed);
}

#[test]
fn waiting_for_an_attempt_that_is_removed_before_it_runs_fails() {
    let mut store = small_store();
    store.register(&key("a"), attempt(1, 5)).unwrap();
    store.register(&key("a"), attempt(2, 6)).unwrap();
    assert_eq!(store.attach(&key("a"), id(2)), Attachment::Pending);
    assert_eq!(store.remove_attempt(&key("a"), id(1)), vec![id(2)]);
}

#[test]
fn the_store_is_bounded_in_entries_and_in_bytes() {
    let mut store = small_store();
    store.register(&key("a"), attempt(1, 5)).unwrap();
    store.register(&key("b"), attempt(2, 5)).unwrap();
    assert_eq!(
        store.register(&key("c"), attempt(3, 5)),
        Err(RegisterError::StoreFull { max_entries: 2 })
    );
    for (name, n) in [("a", 1), ("b", 2)] {
        store.retain(&key(name), id(n), 100);
        store.run_started(&key(name), id(n));
        store.run_ended(&key(name), id(n), Some(&Bytes::from_static(b"sevenby")));
        store.remove_attempt(&key(name), id(n));
    }
    assert_eq!(
        store.attach(&key("a"), id(4)),
        Attachment::Result(Bytes::from_static(b"sevenby"))
    );
    assert_eq!(store.attach(&key("b"), id(5)), Attachment::Failed);
    store.prune(2_000_000);
    assert_eq!(
        (store.entries.len(), store.owners.len(), store.result_bytes),
        (0, 0, 0)
    );
}

#[test]
fn an_entry_lasts_for_the_window_from_the_timestamp_of_the_attempt_that_ran() {
    let mut store = small_store();
    // Its timestamp is ahead of the clock by which it is retained; the window's end is included.
    store.register(&key("a"), attempt(1, 1000)).unwrap();
    store.register(&key("a"), attempt(2, 20)).unwrap();
    store.retain(&key("a"), id(1), 60);
    store.retain(&key("a"), id(2), 70);
    store.run_started(&key("a"), id(1));
    store.run_ended(&key("a"), id(1), None);
    for n in [1, 2] {
        store.remove_attempt(&key("a"), id(n));
    }
    store.prune(1_000_000);
    store.register(&key("a"), attempt(3, 71)).unwrap();
    store.remove_attempt(&key("a"), id(3));
    store.prune(1_000_000);
    assert_eq!(
        store.register(&key("a"), attempt(4, 1050)),
        Ok(Registration::RepeatOf(id(1)))
    );
    store.remove_attempt(&key("a"), id(4));
    assert_eq!(
        store.register(&key("a"), attempt(5, 1051)),
        Ok(Registration::First)
    );
}

#[test]
fn a_second_run_releases_the_result_of_the_first() {
    let mut store = small_store();
    let result = Bytes::from_static(b"sevenby");
    for n in [1, 2, 3] {
        store.register(&key("a"), attempt(n, 5)).unwrap();
    }
    for n in [1, 2, 3] {
        store.run_started(&key("a"), id(n));
        assert!(store.run_ended(&key("a"), id(n), Some(&result)).is_empty());
        assert_eq!(store.result_bytes, 7);
    }
    for n in [1, 2, 3] {
        store.remove_attempt(&key("a"), id(n));
    }
    // It is not retained, so no attempt can ask for the result any more.
    assert_eq!(store.result_bytes, 0);
}

#[test]
fn waiting_attempts_are_returned_when_a_stopped_run_is_abandoned() {
    let mut store = small_store();
    store.register(&key("a"), attempt(1, 5)).unwrap();
    store.retain(&key("a"), id(1), 100);
    store.run_started(&key("a"), id(1));
    store.register(&key("a"), attempt(2, 6)).unwrap();
    assert_eq!(store.attach(&key("a"), id(2)), Attachment::Pending);
    assert_eq!(store.remove_attempt(&key("a"), id(1)), vec![id(2)]);
    store.remove_attempt(&key("a"), id(2));
    assert_eq!(
        store.register(&key("a"), attempt(3, 7)),
        Ok(Registration::RepeatOf(id(1)))
    );
    assert_eq!(store.attach(&key("a"), id(3)), Attachment::Failed);
}

#[test]
fn waiting_fails_where_no_attempt_is_left_to_run() {
    let mut store = small_store();
    store.register(&key("a"), attempt(1, 5)).unwrap();
    store.retain(&key("a"), id(1), 100);
    store.remove_attempt(&key("a"), id(1));
    assert_eq!(
        store.register(&key("a"), attempt(2, 6)),
        Ok(Registration::RepeatOf(id(1)))
    );
    assert_eq!(store.attach(&key("a"), id(2)), Attachment::Failed);
}

#[test]
fn an_attempt_of_a_replaced_entry_that_is_read_late_does_not_run() {
    let mut store = small_store();
    store.register(&key("a"), attempt(1, 5)).unwrap();
    store.retain(&key("a"), id(1), 60);
    store.run_started(&key("a"), id(1));
    store.run_ended(&key("a"), id(1), None);
    store.remove_attempt(&key("a"), id(1));
    // This one is new, since it is past the window. It is rejected and its entry goes with it.
    assert_eq!(
        store.register(&key("a"), attempt(2, 61)),
        Ok(Registration::First)
    );
    store.retain(&key("a"), id(2), 120);
    assert_eq!(
        store.register(&key("a"), attempt(3, 54)),
        Ok(Registration::RepeatOf(id(1)))
    );
    store.remove_attempt(&key("a"), id(2));
    store.evict(id(2));
    store.remove_attempt(&key("a"), id(3));
    store.prune(1_000_000);
    // Making room leaves the entry.
    store.register(&key("b"), attempt(4, 62)).unwrap();
    assert_eq!(
        store.register(&key("c"), attempt(5, 62)),
        Err(RegisterError::StoreFull { max_entries: 2 })
    );
    assert_eq!(
        store.register(&key("a"), attempt(6, 55)),
        Ok(Registration::RepeatOf(id(1)))
    );
    assert_eq!(store.attach(&key("a"), id(6)), Attachment::Failed);
    store.remove_attempt(&key("a"), id(6));
    assert_eq!(
        store.register(&key("a"), attempt(7, 60)),
        Ok(Registration::First)
    );
    store.remove_attempt(&key("a"), id(7));
    store.prune(2_000_000);
    assert_eq!(store.entries.len(), 1);
}

/// One request's attempts as the admission controller knows them.
#[derive(Default)]
struct Group {
    ran: bool,
    queued: Vec<RequestId>,
}

/// Draws from 0 to `end` exclusive.
fn draw(state: &mut u64, end: u64) -> u64 {
    *state = state
        .wrapping_mul(6364136223846793005)
        .wrapping_add(1442695040888963407);
    (*state >> 33) % end
}

/// Attempts of a few keys arrive with timestamps around our clock, are queued, run, end, wait and are removed in any
/// order, with the store pruned at any time.
#[test]
fn no_key_runs_twice_within_the_window_from_the_timestamp_of_the_attempt_that_ran() {
    let mut ran_twice_later = 0;
    for seed in 0..300 {
        let state = &mut (seed + 1);
        let window = [0, 1, 40, 300][draw(state, 4) as usize];
        let late = 200;
        let mut store = IdempotencyStore::new(64, 100, Span(late));
        let keys = [key("a"), key("b"), key("c")];
        let mut now = 10_000;
        let mut next = 1;
        let mut groups: BTreeMap<RequestId, Group> = BTreeMap::new();
        let mut roots: BTreeMap<RequestId, RequestId> = BTreeMap::new();
        // Attempt, index of its key, timestamp.
        let mut queued: Vec<(RequestId, usize, u64)> = Vec::new();
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
                    let attempt = Attempt {
                        id: n,
                        received_at: stamp,
                        body_digest: 7,
                        dedup_window: Span(window),
                    };
                    let registration = store.register(&keys[at], attempt).unwrap();
                    let root = match registration {
                        Registration::First => n,
                        Registration::RepeatOf(previous) => roots[&previous],
                    };
                    roots.insert(n, root);
                    let group = groups.entry(root).or_default();
                    if !group.ran {
                        group.queued.push(n);
                        store.retain(&keys[at], n, now + window);
                        queued.push((n, at, stamp));
                    } else if store.attach(&keys[at], n) == Attachment::Pending {
                        waiting.push((n, at));
                    } else {
                        store.remove_attempt(&keys[at], n);
                    }
                }
                3 if !queued.is_empty() => {
                    let (n, at, stamp) =
                        queued.swap_remove(draw(state, queued.len() as u64) as usize);
                    groups.get_mut(&roots[&n]).unwrap().ran = true;
                    store.run_started(&keys[at], n);
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
                    // Its queued repeats wait for it from now on.
                    let (repeats, others) =
                        queued.drain(..).partition(|(m, ..)| roots[m] == roots[&n]);
                    queued = others;
                    for (m, at, _) in repeats as Vec<_> {
                        assert_eq!(store.attach(&keys[at], m), Attachment::Pending);
                        waiting.push((m, at));
                    }
                }
                4 | 5 if !running.is_empty() => {
                    let (n, at) = running.swap_remove(draw(state, running.len() as u64) as usize);
                    let result = Bytes::from_static(b"result");
                    // Some are abandoned while they are stopped.
                    let mut released = match draw(state, 4) {
                        0 => Vec::new(),
                        1 => store.run_ended(&keys[at], n, None),
                        _ => store.run_ended(&keys[at], n, Some(&result)),
                    };
                    released.extend(store.remove_attempt(&keys[at], n));
                    for m in released {
                        let place = waiting.iter().position(|(other, _)| *other == m).unwrap();
                        let (m, at) = waiting.swap_remove(place);
                        store.remove_attempt(&keys[at], m);
                    }
                }
                6 if !queued.is_empty() => {
                    let (n, at, _) = queued.swap_remove(draw(state, queued.len() as u64) as usize);
                    for m in store.remove_attempt(&keys[at], n) {
                        waiting.retain(|(other, _)| *other != m);
                        store.remove_attempt(&keys[at], m);
                    }
                    let group = groups.get_mut(&roots[&n]).unwrap();
                    group.queued.retain(|other| *other != n);
                    if group.queued.is_empty() {
                        // The controller evicts what it retained last.
                        let retained = store
                            .owners
                            .keys()
                            .copied()
                            .find(|owner| roots[owner] == roots[&n]);
                        retained.into_iter().for_each(|owner| store.evict(owner));
                    }
                }
                _ => store.prune(now),
            }
            let cached: usize = store
                .entries
                .values()
                .map(|entry| match &entry.run {
                    Run::Ended(_, Some(result)) => result.len(),
                    _ => 0,
                })
                .sum();
            assert_eq!(store.result_bytes, cached, "seed {seed}");
            // An attempt only waits for one that runs or may yet run.
            let can_end =
                |at: usize| running.iter().any(|r| r.1 == at) || queued.iter().any(|h| h.1 == at);
            assert!(waiting.iter().all(|(_, at)| can_end(*at)), "seed {seed}");
        }
    }
    assert!(ran_twice_later > 0, "no key came again after its window");
}

#[test]
fn an_evicted_key_is_new_again() {
    let mut store = small_store();
    store.register(&key("a"), attempt(1, 5)).unwrap();
    store.retain(&key("a"), id(1), 100);
    store.remove_attempt(&key("a"), id(1));
    store.evict(id(1));
    assert_eq!(
        store.register(&key("a"), attempt(2, 6)),
        Ok(Registration::First)
    );
}

#[test]
fn a_key_is_bound_to_one_body_for_its_window_whatever_became_of_the_attempts() {
    let mut store = small_store();
    let other = |n, received_at| Attempt {
        body_digest: 8,
        ..attempt(n, received_at)
    };
    store.register(&key("a"), attempt(1, 5)).unwrap();
    assert_eq!(
        store.register(&key("a"), other(2, 6)),
        Err(RegisterError::BodyMismatch)
    );
    // It was rejected before it ran.
    store.remove_attempt(&key("a"), id(1));
    assert_eq!(
        store.register(&key("a"), other(3, 54)),
        Err(RegisterError::BodyMismatch)
    );
    assert_eq!(
        store.register(&key("a"), attempt(4, 20)),
        Ok(Registration::First)
    );
    store.remove_attempt(&key("a"), id(4));
    assert_eq!(
        store.register(&key("a"), other(5, 69)),
        Err(RegisterError::BodyMismatch)
    );
    assert_eq!(
        store.register(&key("a"), other(6, 70)),
        Ok(Registration::First)
    );
}

#[test]
fn an_entry_that_only_keeps_a_fingerprint_gives_way_in_a_full_store() {
    let mut store = small_store();
    for (name, n) in [("a", 1), ("b", 2)] {
        store.register(&key(name), attempt(n, 5)).unwrap();
        store.remove_attempt(&key(name), id(n));
    }
    assert_eq!(
        store.register(&key("c"), attempt(3, 6)),
        Ok(Registration::First)
    );
}
