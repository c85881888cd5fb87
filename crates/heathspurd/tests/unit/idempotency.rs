//! Unit tests of `src/idempotency/mod.rs`, which includes this file as its test module.

use super::*;

/// Returns a store with a capacity of two entries and ten bytes of results.
fn small_store() -> IdempotencyStore {
    IdempotencyStore::new(2, 10, Span(1_000_000))
}

fn id(n: u64) -> RequestId {
    RequestId(n)
}

/// Returns an attempt with the default body digest and a deduplication window of 50 µs.
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
fn attempts_are_linked_before_entry_is_retained() {
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
fn repeat_is_linked_by_its_arrival_time() {
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
fn waiting_attempts_are_returned_when_run_ends() {
    let mut store = small_store();
    store.register(&key("a"), attempt(1, 5)).unwrap();
    store.register(&key("a"), attempt(2, 6)).unwrap();
    store.run_started(&key("a"), id(1));
    assert_eq!(store.attach(&key("a"), id(2)), Attachment::Pending);
    assert_eq!(store.run_ended(&key("a"), id(1), None), vec![id(2)]);
    assert_eq!(store.attach(&key("a"), id(2)), Attachment::Failed);
}

#[test]
fn waiting_fails_when_attempt_is_removed_before_it_runs() {
    let mut store = small_store();
    store.register(&key("a"), attempt(1, 5)).unwrap();
    store.register(&key("a"), attempt(2, 6)).unwrap();
    assert_eq!(store.attach(&key("a"), id(2)), Attachment::Pending);
    assert_eq!(store.remove_attempt(&key("a"), id(1)), vec![id(2)]);
}

#[test]
fn store_is_bounded_in_entries_and_result_bytes() {
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
fn entry_is_retained_for_window_from_timestamp_of_attempt_that_ran() {
    let mut store = small_store();
    // The timestamp of attempt 1 is ahead of the clock that set the retention. The window includes its end, 1050.
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
fn second_run_releases_result_of_first() {
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
    // The entry is not retained, so no attempt can request the result any more.
    assert_eq!(store.result_bytes, 0);
}

#[test]
fn waiting_attempts_are_returned_when_stopped_run_is_abandoned() {
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
fn waiting_fails_when_no_attempt_is_left_to_run() {
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
fn late_read_attempt_of_replaced_entry_does_not_run() {
    let mut store = small_store();
    store.register(&key("a"), attempt(1, 5)).unwrap();
    store.retain(&key("a"), id(1), 60);
    store.run_started(&key("a"), id(1));
    store.run_ended(&key("a"), id(1), None);
    store.remove_attempt(&key("a"), id(1));
    // Attempt 2 arrived after the window, so it is new. It is then rejected, and its entry evicted.
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
    // The entry remains when a full store removes entries that only reject other bodies.
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

/// The attempts of one request, as tracked by the admission controller.
#[derive(Default)]
struct Group {
    ran: bool,
    queued: Vec<RequestId>,
}

/// Returns a pseudorandom number in `0..end`.
fn draw(state: &mut u64, end: u64) -> u64 {
    *state = state
        .wrapping_mul(6364136223846793005)
        .wrapping_add(1442695040888963407);
    (*state >> 33) % end
}

/// Attempts of three keys, with timestamps around our clock, are queued, run, end, wait and are removed in random order,
/// while the store is pruned at random times. The store must link them such that no key runs twice within the window
/// from the timestamp of the attempt that ran, and no attempt waits unless another one runs or may still run.
#[test]
fn key_never_runs_twice_within_window_of_attempt_that_ran() {
    let mut reruns_after_window = 0;
    for seed in 0..300 {
        let state = &mut (seed + 1);
        let window = [0, 1, 40, 300][draw(state, 4) as usize];
        let max_read_delay = 200;
        let mut store = IdempotencyStore::new(64, 100, Span(max_read_delay));
        let keys = [key("a"), key("b"), key("c")];
        let mut now = 10_000;
        let mut next_id = 1;
        // The groups by their first attempts.
        let mut groups: BTreeMap<RequestId, Group> = BTreeMap::new();
        // The first attempt of each attempt's group.
        let mut first_attempts: BTreeMap<RequestId, RequestId> = BTreeMap::new();
        // The attempt, the index of its key, and its timestamp.
        let mut queued: Vec<(RequestId, usize, u64)> = Vec::new();
        let mut running: Vec<(RequestId, usize)> = Vec::new();
        let mut waiting: Vec<(RequestId, usize)> = Vec::new();
        // The timestamps of the attempts that ran, for each key.
        let mut runs: [Vec<u64>; 3] = Default::default();
        for _ in 0..400 {
            now += draw(state, 30);
            match draw(state, 8) {
                0..=2 => {
                    let (attempt_id, key_index) = (id(next_id), draw(state, 3) as usize);
                    next_id += 1;
                    let received_at =
                        now + draw(state, 4) * draw(state, 150) - draw(state, max_read_delay);
                    let attempt = Attempt {
                        id: attempt_id,
                        received_at,
                        body_digest: 7,
                        dedup_window: Span(window),
                    };
                    let registration = store.register(&keys[key_index], attempt).unwrap();
                    let first_attempt = match registration {
                        Registration::First => attempt_id,
                        Registration::RepeatOf(previous) => first_attempts[&previous],
                    };
                    first_attempts.insert(attempt_id, first_attempt);
                    let group = groups.entry(first_attempt).or_default();
                    if !group.ran {
                        group.queued.push(attempt_id);
                        store.retain(&keys[key_index], attempt_id, now + window);
                        queued.push((attempt_id, key_index, received_at));
                    } else if store.attach(&keys[key_index], attempt_id) == Attachment::Pending {
                        waiting.push((attempt_id, key_index));
                    } else {
                        store.remove_attempt(&keys[key_index], attempt_id);
                    }
                }
                3 if !queued.is_empty() => {
                    let (attempt_id, key_index, received_at) =
                        queued.swap_remove(draw(state, queued.len() as u64) as usize);
                    groups.get_mut(&first_attempts[&attempt_id]).unwrap().ran = true;
                    store.run_started(&keys[key_index], attempt_id);
                    for &earlier in &runs[key_index] {
                        let is_within_window =
                            earlier <= received_at && received_at <= earlier + window;
                        assert!(
                            !is_within_window,
                            "seed {seed}: run at {received_at} is within {window} of an earlier run at {earlier}"
                        );
                        reruns_after_window += 1;
                    }
                    runs[key_index].push(received_at);
                    running.push((attempt_id, key_index));
                    // Its queued repeats now wait for it.
                    let (repeats, others) = queued.drain(..).partition(|(other, ..)| {
                        first_attempts[other] == first_attempts[&attempt_id]
                    });
                    queued = others;
                    for (repeat, key_index, _) in repeats as Vec<_> {
                        assert_eq!(store.attach(&keys[key_index], repeat), Attachment::Pending);
                        waiting.push((repeat, key_index));
                    }
                }
                4 | 5 if !running.is_empty() => {
                    let (attempt_id, key_index) =
                        running.swap_remove(draw(state, running.len() as u64) as usize);
                    let result = Bytes::from_static(b"result");
                    // Some runs are abandoned while they are stopped.
                    let mut released = match draw(state, 4) {
                        0 => Vec::new(),
                        1 => store.run_ended(&keys[key_index], attempt_id, None),
                        _ => store.run_ended(&keys[key_index], attempt_id, Some(&result)),
                    };
                    released.extend(store.remove_attempt(&keys[key_index], attempt_id));
                    for repeat in released {
                        let position = waiting
                            .iter()
                            .position(|(other, _)| *other == repeat)
                            .unwrap();
                        let (repeat, key_index) = waiting.swap_remove(position);
                        store.remove_attempt(&keys[key_index], repeat);
                    }
                }
                6 if !queued.is_empty() => {
                    let (attempt_id, key_index, _) =
                        queued.swap_remove(draw(state, queued.len() as u64) as usize);
                    for repeat in store.remove_attempt(&keys[key_index], attempt_id) {
                        waiting.retain(|(other, _)| *other != repeat);
                        store.remove_attempt(&keys[key_index], repeat);
                    }
                    let group = groups.get_mut(&first_attempts[&attempt_id]).unwrap();
                    group.queued.retain(|other| *other != attempt_id);
                    if group.queued.is_empty() {
                        // The controller evicts the entry that it retained last.
                        let retained = store
                            .owners
                            .keys()
                            .copied()
                            .find(|owner| first_attempts[owner] == first_attempts[&attempt_id]);
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
            // An attempt waits only while another attempt of its key runs or may still run.
            let can_end = |key_index: usize| {
                running.iter().any(|(_, other)| *other == key_index)
                    || queued.iter().any(|(_, other, _)| *other == key_index)
            };
            assert!(
                waiting.iter().all(|(_, key_index)| can_end(*key_index)),
                "seed {seed}"
            );
        }
    }
    assert!(reruns_after_window > 0, "no key ran again after its window");
}

#[test]
fn evicted_key_is_new_again() {
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
fn other_body_is_rejected_within_window_of_every_attempt() {
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
    // Attempt 1 was rejected before it ran.
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
fn full_store_removes_fingerprint_only_entry() {
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
