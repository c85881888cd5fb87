//! Unit tests of `src/event_loop/execution.rs`, which includes this file as its test module.

use super::*;

/// The delivery of a command that was sent on the current connection as command 4, before gauge query 5.
const BEFORE_QUERY_5: CommandDelivery = CommandDelivery::CurrentConnection { number: 4 };

/// Returns the evidence of a connection that broke after the answer to this query. All commands were written.
fn evidence(last_answered_query: u64) -> DeliveryEvidence {
    DeliveryEvidence {
        last_answered_query,
        last_written: u64::MAX,
    }
}

/// When a connection breaks in these tests.
const BREAK: Time = Time(50);
/// The delivery of a command that may be lost with that connection.
const UNCERTAIN: CommandDelivery = CommandDelivery::Uncertain { since: BREAK };

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

fn resumed_with(command: LastCommand) -> ExecutionState {
    let mut execution = awaiting_call();
    assert!(execution.resume_run(|_| command, BEFORE_QUERY_5));
    execution
}

/// Returns a run that was sent the reply to its call.
fn replied() -> ExecutionState {
    resumed_with(LastCommand::CompleteCall {
        call: call(1),
        reply: Bytes::new(),
    })
}

/// Returns a run whose last command was to continue after a pause.
fn resumed() -> ExecutionState {
    let mut execution = running();
    assert!(execution.request_stop());
    execution.preempt(Preemption::Pause);
    assert!(execution.start_run(Time(40), BEFORE_QUERY_5));
    execution
}

/// Returns a running execution for each kind of last command: start, resume, reply and skip.
fn every_last_command() -> [ExecutionState; 4] {
    [
        running(),
        resumed(),
        replied(),
        resumed_with(LastCommand::SkipCall(1)),
    ]
}

// Guards against a second run: a start that the interpreter had received was sent again after a reconnection.
#[test]
fn later_query_answer_confirms_every_kind_of_command() {
    for sent in every_last_command() {
        // The connections broke after the answer to query 4, and after that to query 5.
        let (mut unconfirmed, mut confirmed) = (sent.clone(), sent);
        unconfirmed.classify_delivery(evidence(4), BREAK);
        confirmed.classify_delivery(evidence(5), BREAK);
        assert_eq!(unconfirmed.delivery(), Some(UNCERTAIN));
        assert_eq!(confirmed.delivery(), Some(CommandDelivery::Confirmed));
        // A confirmed command remains confirmed on all later connections.
        confirmed.mark_resent(BEFORE_QUERY_5, true);
        confirmed.classify_delivery(evidence(0), BREAK);
        assert_eq!(confirmed.delivery(), Some(CommandDelivery::Confirmed));
    }
}

// Guards against a second run and a reply to the wrong call: a command that may have arrived was sent again.
#[test]
fn uncertain_command_is_resent_only_if_it_may_arrive_twice() {
    let resent = |is_idempotent| {
        every_last_command().map(|mut execution| {
            execution.classify_delivery(evidence(4), BREAK);
            let in_doubt_since = execution.in_doubt_since(is_idempotent);
            execution.mark_resent(BEFORE_QUERY_5, is_idempotent);
            let is_resent = execution.delivery() == Some(BEFORE_QUERY_5);
            // Either the command is resent, or the run is in doubt since the break.
            assert_eq!(in_doubt_since, (!is_resent).then_some(BREAK));
            is_resent
        })
    };
    assert_eq!(resent(true), [true, true, false, true]);
    assert_eq!(resent(false), [false, true, false, true]);
}

// Guards against a request that fails although its command never left the server.
#[test]
fn command_that_was_not_written_is_resent() {
    for is_idempotent in [false, true] {
        for mut execution in every_last_command() {
            let unwritten = DeliveryEvidence {
                last_answered_query: 2,
                last_written: 3,
            };
            execution.classify_delivery(unwritten, BREAK);
            assert_eq!(execution.delivery(), Some(CommandDelivery::Unsent));
            assert_eq!(execution.in_doubt_since(is_idempotent), None);
            execution.mark_resent(BEFORE_QUERY_5, is_idempotent);
            assert_eq!(execution.delivery(), Some(BEFORE_QUERY_5));
        }
    }
}

#[test]
fn run_stays_in_doubt_over_later_breaks_until_a_notice() {
    let mut execution = running();
    execution.classify_delivery(evidence(4), BREAK);
    execution.mark_resent(BEFORE_QUERY_5, false);
    execution.classify_delivery(evidence(5), Time(60));
    assert_eq!(execution.in_doubt_since(false), Some(BREAK));
    assert_eq!(execution.require_call(call(1)), CallRequirement::New);
    assert_eq!(execution.in_doubt_since(false), None);
}

#[test]
fn only_run_that_was_sent_a_reply_can_need_its_call_again() {
    let required = every_last_command().map(|mut execution| execution.require_call_again());
    assert_eq!(required, [false, false, true, false]);
    let mut execution = replied();
    assert!(execution.require_call_again());
    assert!(
        matches!(&execution, ExecutionState::AwaitingCall { call, .. } if call.index == 1),
        "{execution:?}"
    );
}

#[test]
fn only_confirmed_start_is_resent_when_notices_are_lost() {
    let mut started = running();
    started.mark_start_uncertain(BREAK);
    assert_eq!(started.delivery(), Some(BEFORE_QUERY_5));
    started.classify_delivery(evidence(5), Time(45));
    started.mark_start_uncertain(BREAK);
    assert_eq!(started.delivery(), Some(UNCERTAIN));

    let mut skipped = resumed_with(LastCommand::SkipCall(1));
    skipped.classify_delivery(evidence(5), Time(45));
    skipped.mark_start_uncertain(BREAK);
    assert_eq!(skipped.delivery(), Some(CommandDelivery::Confirmed));
}

#[test]
fn end_can_be_lost_only_for_runs_sent_on_earlier_connection() {
    let lost = |execution: &ExecutionState, is_idempotent, owes_reply| {
        execution.may_have_ended_unnoticed(is_idempotent, owes_reply)
    };
    let mut uncertain = running();
    assert!(!lost(&uncertain, false, true));
    uncertain.classify_delivery(evidence(0), BREAK);
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
