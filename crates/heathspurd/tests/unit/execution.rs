//! Unit tests of `src/event_loop/execution.rs`, which includes this file as its module of tests.

use super::*;

const UNSENT: CommandDelivery = CommandDelivery::CurrentLink { before_query: 5 };

fn call(index: u64) -> PendingCall {
    PendingCall {
        index,
        body: Bytes::new(),
    }
}

fn in_flight(id: u64) -> InFlightCall {
    InFlightCall {
        id: CallId(id),
        started: Time(20),
        deadline: Time(30),
    }
}

fn running() -> ExecutionState {
    let mut execution = ExecutionState::Queued;
    assert!(execution.start_run(Time(10), UNSENT));
    execution
}

fn awaiting_call() -> ExecutionState {
    let mut execution = running();
    assert_eq!(execution.require_call(call(1)), CallRequirement::New);
    execution
}

fn calling() -> ExecutionState {
    let mut execution = awaiting_call();
    execution.begin_call(in_flight(7));
    execution
}

fn every_state() -> [ExecutionState; 6] {
    [
        ExecutionState::Queued,
        running(),
        ExecutionState::Paused { started: Time(10) },
        awaiting_call(),
        calling(),
        ExecutionState::AwaitingResult { since: Time(10) },
    ]
}

#[test]
fn only_queued_and_paused_requests_start_to_run() {
    let starts = every_state().map(|mut execution| execution.start_run(Time(40), UNSENT));
    assert_eq!(starts, [true, false, true, false, false, false]);
}

#[test]
fn a_continued_run_keeps_the_time_of_its_start() {
    let mut execution = running();
    assert!(execution.request_stop());
    execution.preempt(Preemption::Pause);
    assert!(matches!(execution, ExecutionState::Paused { started } if started == Time(10)));
    assert!(execution.start_run(Time(40), UNSENT));
    assert!(matches!(
        execution,
        ExecutionState::Running {
            run: Run {
                started: Time(10),
                stop_requested: false
            },
            last_command: LastCommand::Resume,
            ..
        }
    ));
}

#[test]
fn a_preempted_run_that_can_not_be_paused_is_queued_again() {
    let mut execution = running();
    execution.preempt(Preemption::Restart);
    assert!(matches!(execution, ExecutionState::Queued));
}

#[test]
fn a_call_in_flight_is_given_back_once_when_it_ends_or_is_replaced() {
    let mut execution = calling();
    assert_eq!(execution.end_call(), Some(in_flight(7)));
    assert_eq!(execution.end_call(), None);
    assert!(matches!(execution, ExecutionState::AwaitingCall { .. }));

    let mut execution = calling();
    let replaced = CallRequirement::Replaces(Some(in_flight(7)));
    assert_eq!(execution.require_call(call(2)), replaced);
    assert_eq!(execution.end_call(), None);
    assert!(
        matches!(&execution, ExecutionState::AwaitingCall { call, .. } if call.index == 2),
        "{execution:?}"
    );
}

#[test]
fn a_call_is_ignored_where_nothing_runs() {
    let ignored = every_state()
        .map(|mut execution| execution.require_call(call(1)) == CallRequirement::Ignored);
    assert_eq!(ignored, [true, false, true, false, false, true]);
}

#[test]
fn only_the_reply_to_a_call_is_confirmed_by_a_later_answer() {
    let mut resolved = awaiting_call();
    assert!(resolved.resume_run(|_| LastCommand::CompleteCall(Bytes::new()), UNSENT));
    let (mut early, mut late, mut started) = (resolved.clone(), resolved, running());
    early.mark_uncertain(4);
    late.mark_uncertain(5);
    started.mark_uncertain(5);
    assert_eq!(early.delivery(), Some(CommandDelivery::Uncertain));
    assert_eq!(late.delivery(), Some(CommandDelivery::Confirmed));
    assert_eq!(started.delivery(), Some(CommandDelivery::Uncertain));
    // What is confirmed stays so on all later links.
    late.mark_resent(UNSENT);
    late.mark_uncertain(0);
    assert_eq!(late.delivery(), Some(CommandDelivery::Confirmed));
    early.mark_resent(UNSENT);
    assert_eq!(early.delivery(), Some(UNSENT));
}

#[test]
fn an_end_can_be_lost_only_for_runs_that_an_earlier_link_carried() {
    let lost = |execution: &ExecutionState, is_idempotent, owes_reply| {
        execution.may_have_ended_unnoticed(is_idempotent, owes_reply)
    };
    let mut uncertain = running();
    assert!(!lost(&uncertain, false, true));
    uncertain.mark_uncertain(0);
    assert!(lost(&uncertain, false, true));
    assert!(!lost(&uncertain, true, true), "it can be started again");
    assert!(uncertain.request_stop());
    assert!(lost(&uncertain, true, true));
    for waiting in [awaiting_call(), calling()] {
        assert!(!lost(&waiting, false, true));
        assert!(lost(&waiting, false, false));
    }
    for idle in [
        ExecutionState::Queued,
        ExecutionState::Paused { started: Time(10) },
        ExecutionState::AwaitingResult { since: Time(10) },
    ] {
        assert!(!lost(&idle, false, false));
    }
}
