//! Unit tests of `src/event_loop/execution.rs`, which includes this file as its test module.

use super::*;

/// The delivery of a command that was sent on the current connection before gauge query 5.
const BEFORE_QUERY_5: CommandDelivery = CommandDelivery::CurrentConnection { before_query: 5 };

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
    assert!(execution.start_run(Time(10), BEFORE_QUERY_5));
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
    let starts = every_state().map(|mut execution| execution.start_run(Time(40), BEFORE_QUERY_5));
    assert_eq!(starts, [true, false, true, false, false, false]);
}

#[test]
fn resumed_run_keeps_its_start_time() {
    let mut execution = running();
    assert!(execution.request_stop());
    execution.preempt(Preemption::Pause);
    assert!(matches!(execution, ExecutionState::Paused { started } if started == Time(10)));
    assert!(execution.start_run(Time(40), BEFORE_QUERY_5));
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
fn preempted_run_without_pause_support_is_queued_again() {
    let mut execution = running();
    execution.preempt(Preemption::Restart);
    assert!(matches!(execution, ExecutionState::Queued));
}

#[test]
fn call_in_flight_is_returned_once_when_ended_or_replaced() {
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
fn call_without_run_is_ignored() {
    let ignored = every_state()
        .map(|mut execution| execution.require_call(call(1)) == CallRequirement::Ignored);
    assert_eq!(ignored, [true, false, true, false, false, true]);
}

// Guards against a second run: a start that the interpreter had received was sent again after a reconnection.
#[test]
fn later_query_answer_confirms_every_kind_of_command() {
    let mut paused = running();
    assert!(paused.request_stop());
    paused.preempt(Preemption::Pause);
    assert!(paused.start_run(Time(40), BEFORE_QUERY_5));
    let resumed_with = |command: LastCommand| {
        let mut execution = awaiting_call();
        assert!(execution.resume_run(|_| command, BEFORE_QUERY_5));
        execution
    };
    for sent in [
        running(),
        paused,
        resumed_with(LastCommand::CompleteCall(Bytes::new())),
        resumed_with(LastCommand::SkipCall(1)),
    ] {
        // The connections broke after the answer to query 4, and after that to query 5.
        let (mut unconfirmed, mut confirmed) = (sent.clone(), sent);
        unconfirmed.mark_uncertain(4);
        confirmed.mark_uncertain(5);
        assert_eq!(unconfirmed.delivery(), Some(CommandDelivery::Uncertain));
        assert_eq!(confirmed.delivery(), Some(CommandDelivery::Confirmed));
        // A confirmed command remains confirmed on all later connections.
        confirmed.mark_resent(BEFORE_QUERY_5);
        confirmed.mark_uncertain(0);
        assert_eq!(confirmed.delivery(), Some(CommandDelivery::Confirmed));
        unconfirmed.mark_resent(BEFORE_QUERY_5);
        assert_eq!(unconfirmed.delivery(), Some(BEFORE_QUERY_5));
    }
}

#[test]
fn only_confirmed_start_is_resent_when_notices_are_lost() {
    let mut started = running();
    started.mark_start_uncertain();
    assert_eq!(started.delivery(), Some(BEFORE_QUERY_5));
    started.mark_uncertain(5);
    started.mark_start_uncertain();
    assert_eq!(started.delivery(), Some(CommandDelivery::Uncertain));

    let mut replied = awaiting_call();
    assert!(replied.resume_run(|call| LastCommand::SkipCall(call.index), BEFORE_QUERY_5));
    replied.mark_uncertain(5);
    replied.mark_start_uncertain();
    assert_eq!(replied.delivery(), Some(CommandDelivery::Confirmed));
}

#[test]
fn end_can_be_lost_only_for_runs_sent_on_earlier_connection() {
    let lost = |execution: &ExecutionState, is_idempotent, owes_reply| {
        execution.may_have_ended_unnoticed(is_idempotent, owes_reply)
    };
    let mut uncertain = running();
    assert!(!lost(&uncertain, false, true));
    uncertain.mark_uncertain(0);
    assert!(lost(&uncertain, false, true));
    assert!(
        !lost(&uncertain, true, true),
        "an idempotent run can be started again"
    );
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
