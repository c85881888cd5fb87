//! Reads the interpreter's notices from a connection and passes them on to the event loop.
//!
//! A notice counts as received only once the event loop has it, so that none is lost with a connection.

use super::notice_sequence::{NoticeSequence, SequencePosition};
use super::{InterpreterEvent, LinkError};
use crate::frontend::AttemptId;
use crate::peers::connection::ReadBuffer;
use crate::recording::recorded_stream::Stream;
use async_channel::Sender;
use heathspur_wire::interpreter::{self as wire, Notice};
use std::convert::Infallible;

/// Passes notices on as they arrive, and returns why that ended.
pub(super) async fn read_notices<N: From<InterpreterEvent>>(
    stream: &Stream,
    events: &Sender<N>,
    sequence: &mut NoticeSequence,
) -> LinkError {
    match try_read_notices(stream, events, sequence).await {
        Ok(never) => match never {},
        Err(error) => error,
    }
}

/// Passes notices on as they arrive, until the connection fails.
async fn try_read_notices<N: From<InterpreterEvent>>(
    stream: &Stream,
    events: &Sender<N>,
    sequence: &mut NoticeSequence,
) -> Result<Infallible, LinkError> {
    let mut buffer = ReadBuffer::new();
    loop {
        buffer.fill(stream).await?;
        while let Some(end) = wire::line_end(buffer.bytes()) {
            pass_on_line(&buffer.bytes()[..end], events, sequence).await?;
            buffer.consume(end + 1);
        }
        if buffer.bytes().len() > wire::MAX_LINE_BYTES {
            return Err(LinkError::LineTooLong);
        }
    }
}

/// Passes on what one line says. The sequence advances only once the event loop has received it: a connection that
/// ends before that reads the notice again.
async fn pass_on_line<N: From<InterpreterEvent>>(
    line: &[u8],
    events: &Sender<N>,
    sequence: &mut NoticeSequence,
) -> Result<(), LinkError> {
    let mut advanced = *sequence;
    let line_events = match parse_line(line, &mut advanced) {
        Ok(line_events) => line_events,
        Err(error) => {
            if matches!(error, LinkError::OutOfSequence(_)) {
                // The next connection needs to know the rejected number.
                *sequence = advanced;
            }
            return Err(error);
        }
    };
    for event in line_events.into_iter().flatten() {
        let passed_on = events.send(event.into()).await;
        passed_on.map_err(|_| LinkError::EventLoopEnded)?;
    }
    *sequence = advanced;
    Ok(())
}

/// The events that a line stands for, in order.
fn parse_line(
    line: &[u8],
    sequence: &mut NoticeSequence,
) -> Result<[Option<InterpreterEvent>; 2], LinkError> {
    let notice = match wire::parse_notice(line) {
        Ok(notice) => notice,
        Err(_) if line.trim_ascii().is_empty() => return Ok([None, None]),
        Err(error) => return Err(LinkError::InvalidNotice(error)),
    };
    // Checked before the number is accepted, so that the notice is sent again on the next connection.
    require_request_id(&notice)?;
    if matches!(notice, Notice::Gauges { .. }) {
        sequence.caught_up();
    }
    let position = match notice_number(&notice) {
        Some(number) => accept_number(sequence, number)?,
        None => SequencePosition::Next,
    };
    if position == SequencePosition::Duplicate {
        return Ok([None, None]);
    }
    let lost =
        (position == SequencePosition::NextAfterGap).then_some(InterpreterEvent::NoticesLost);
    Ok([lost, notice_event(notice)])
}

fn require_request_id(notice: &Notice<'_>) -> Result<(), LinkError> {
    match notice {
        Notice::RunCompleted { request_id, .. } | Notice::CallNeeded { request_id, .. }
            if AttemptId::read(request_id.as_bytes()).is_none() =>
        {
            Err(LinkError::InvalidRequestId)
        }
        _ => Ok(()),
    }
}

fn accept_number(
    sequence: &mut NoticeSequence,
    number: u64,
) -> Result<SequencePosition, LinkError> {
    match sequence.accept(number) {
        SequencePosition::OutOfSequence => Err(LinkError::OutOfSequence(number)),
        position => Ok(position),
    }
}

/// The number of a notice, where its kind has one.
fn notice_number(notice: &Notice<'_>) -> Option<u64> {
    match notice {
        Notice::RunCompleted { index, .. }
        | Notice::CallNeeded { index, .. }
        | Notice::Log { index } => Some(*index),
        Notice::Connected { .. } | Notice::Gauges { .. } | Notice::CommandRejected { .. } => None,
    }
}

/// The event that a notice stands for, where it concerns the event loop.
fn notice_event(notice: Notice<'_>) -> Option<InterpreterEvent> {
    match notice {
        Notice::Connected { warmth, uptime_ms } => Some(InterpreterEvent::Connected {
            warmth,
            started_ms_ago: uptime_ms,
        }),
        Notice::RunCompleted {
            request_id,
            outcome,
            body,
            ..
        } => Some(InterpreterEvent::RunEnded {
            attempt: AttemptId::read(request_id.as_bytes())?,
            outcome,
            body: body.into(),
        }),
        Notice::CallNeeded {
            index,
            request_id,
            body,
        } => Some(InterpreterEvent::CallRequested {
            attempt: AttemptId::read(request_id.as_bytes())?,
            index,
            body: body.into(),
        }),
        Notice::Gauges { nonce, readings } => Some(InterpreterEvent::Gauges {
            nonce: nonce.parse().ok()?,
            readings,
        }),
        Notice::CommandRejected {
            command,
            request_id,
        } => Some(InterpreterEvent::CommandRejected {
            command: command.into_owned(),
            attempt: AttemptId::read(request_id.as_bytes()),
        }),
        Notice::Log { .. } => None,
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/interpreter.rs"]
mod tests;
