//! Groups of attempts.

use super::*;

const WINDOW: Span = Span(1_000_000);
const FIRST: RequestId = RequestId(1);
const RETRY: RequestId = RequestId(2);

fn join(groups: &mut IdempotencyGroups, id: RequestId, previous: Option<RequestId>) -> JoinOutcome {
    let first = groups.first_attempt(id, previous);
    groups.join(id, first, previous.is_some(), WINDOW, Time(0), true)
}

#[test]
fn attempts_of_one_request_share_an_entry() {
    let mut groups = IdempotencyGroups::default();
    let is_new = |is_new_entry| JoinOutcome::Entered { is_new_entry };
    assert_eq!(join(&mut groups, FIRST, None), is_new(true));
    assert_eq!(join(&mut groups, RETRY, Some(FIRST)), is_new(false));
    assert_eq!(groups.first_attempt(RequestId(3), Some(RETRY)), FIRST);
    assert_eq!(groups.entries(), 1);
}

#[test]
fn a_run_of_one_attempt_bars_all_others() {
    let mut groups = IdempotencyGroups::default();
    join(&mut groups, FIRST, None);
    assert_eq!(groups.mark_run(FIRST), [FIRST]);
    assert_eq!(
        join(&mut groups, RETRY, Some(FIRST)),
        JoinOutcome::AlreadyRan
    );
    assert!(groups.has_run(FIRST));
}

#[test]
fn a_repeat_of_an_unknown_attempt_counts_as_run() {
    let mut groups = IdempotencyGroups::default();
    assert_eq!(
        join(&mut groups, RETRY, Some(FIRST)),
        JoinOutcome::AlreadyRan
    );
}

#[test]
fn without_capacity_no_new_entry_is_made() {
    let mut groups = IdempotencyGroups::default();
    let outcome = groups.join(FIRST, FIRST, false, WINDOW, Time(0), false);
    assert_eq!(outcome, JoinOutcome::NoCapacity);
    assert_eq!(groups.entries(), 0);
}

#[test]
fn the_entry_leaves_with_the_last_attempt_that_never_ran() {
    let mut groups = IdempotencyGroups::default();
    join(&mut groups, FIRST, None);
    join(&mut groups, RETRY, Some(FIRST));
    assert_eq!(groups.leave(FIRST), None);
    assert_eq!(groups.leave(RETRY), Some(RETRY));
    assert_eq!(groups.entries(), 0);
}

#[test]
fn an_entry_expires_after_its_window_and_its_group_after_two() {
    let mut groups = IdempotencyGroups::default();
    join(&mut groups, FIRST, None);
    groups.mark_run(FIRST);
    assert_eq!(groups.expire(Time(WINDOW.0), |_| false), 0);
    assert_eq!(groups.expire(Time(WINDOW.0 + 1), |_| false), 1);
    assert!(groups.has_run(FIRST));
    groups.expire(Time(2 * WINDOW.0), |_| false);
    assert!(!groups.has_run(FIRST));
}
