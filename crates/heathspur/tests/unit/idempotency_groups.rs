//! Tests of the groups of attempts of keyed requests.

use super::*;

const WINDOW: Span = Span(1_000_000);
const FIRST: RequestId = RequestId(1);
const RETRY: RequestId = RequestId(2);

fn join(groups: &mut IdempotencyGroups, id: RequestId, previous: Option<RequestId>) -> JoinOutcome {
    let first = groups.first_attempt(id, previous);
    groups.join(id, first, previous.is_some(), WINDOW, Time(0), true)
}

#[test]
fn attempts_of_one_request_share_entry() {
    let mut groups = IdempotencyGroups::default();
    let is_new = |is_new_entry| JoinOutcome::Entered { is_new_entry };
    assert_eq!(join(&mut groups, FIRST, None), is_new(true));
    assert_eq!(join(&mut groups, RETRY, Some(FIRST)), is_new(false));
    assert_eq!(groups.first_attempt(RequestId(3), Some(RETRY)), FIRST);
    assert_eq!(groups.entries(), 1);
}

#[test]
fn run_of_one_attempt_prevents_runs_of_others() {
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
fn repeat_of_unknown_attempt_counts_as_run() {
    let mut groups = IdempotencyGroups::default();
    assert_eq!(
        join(&mut groups, RETRY, Some(FIRST)),
        JoinOutcome::AlreadyRan
    );
}

#[test]
fn join_without_capacity_adds_no_entry() {
    let mut groups = IdempotencyGroups::default();
    let outcome = groups.join(FIRST, FIRST, false, WINDOW, Time(0), false);
    assert_eq!(outcome, JoinOutcome::NoCapacity);
    assert_eq!(groups.entries(), 0);
}

#[test]
fn last_leaving_attempt_releases_entry() {
    let mut groups = IdempotencyGroups::default();
    join(&mut groups, FIRST, None);
    join(&mut groups, RETRY, Some(FIRST));
    assert_eq!(groups.leave(FIRST), None);
    assert_eq!(groups.leave(RETRY), Some(RETRY));
    assert_eq!(groups.entries(), 0);
}

#[test]
fn entry_expires_after_one_window_and_group_after_two() {
    let mut groups = IdempotencyGroups::default();
    join(&mut groups, FIRST, None);
    groups.mark_run(FIRST);
    assert_eq!(groups.expire(Time(WINDOW.0), |_| false), 0);
    assert_eq!(groups.expire(Time(WINDOW.0 + 1), |_| false), 1);
    assert!(groups.has_run(FIRST));
    groups.expire(Time(2 * WINDOW.0), |_| false);
    assert!(!groups.has_run(FIRST));
}
