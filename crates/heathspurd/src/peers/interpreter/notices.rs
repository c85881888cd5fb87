//! Reads the interpreter's notices from a connection and forwards them to the event loop.
//!
//! A notice counts as received only once it is in the event loop's queue, so that no notice is lost when a connection
//! ends.

use super::notice_sequence::{NoticeSequence, SequencePosition};
use super::{InterpreterEvent, LinkError};
use crate::frontend::AttemptId;
use crate::peers::connection::ReadBuffer;
use crate::recording::recorded_stream::Stream;
use async_channel::Sender;
use heathspur_wire::interpreter::{self as wire, Notice};
use std::convert::Infallible;

/// Forwards notices as they arrive, and returns the reason why that ended.
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

/// Forwards notices as they arrive, until the connection fails.
async fn try_read_notices<N: From<InterpreterEvent>>(
    stream: &Stream,
    events: &Sender<N>,
    sequence: &mut NoticeSequence,
) -> Result<Infallible, LinkError> {
    let mut buffer = ReadBuffer::new();
    loop {
        buffer.fill(stream).await?;
        while let Some(end) = wire::line_end(buffer.bytes()) {
            forward_line(&buffer.bytes()[..end], events, sequence).await?;
            buffer.consume(end + 1);
        }
        if buffer.bytes().len() > wire::MAX_LINE_BYTES {
            return Err(LinkError::LineTooLong);
        }
    }
}

/// Forwards the events of one line. The sequence advances only once the event loop's queue has accepted them. If the
/// connection ends before that, the interpreter sends the notice again on the next one.
async fn forward_line<N: From<InterpreterEvent>>(
    line: &[u8],
    events: &Sender<N>,
    sequence: &mut NoticeSequence,
) -> Result<(), LinkError> {
    let mut advanced = *sequence;
    let line_events = match parse_line(line, &mut advanced) {
        Ok(line_events) => line_events,
        Err(error) => {
            if matches!(error, LinkError::OutOfSequence(_)) {
                // The rejected number decides which numbers are accepted on the next connection.
                *sequence = advanced;
            }
            return Err(error);
        }
    };
    for event in line_events.into_iter().flatten() {
        let sent = events.send(event.into()).await;
        sent.map_err(|_| LinkError::EventLoopEnded)?;
    }
    *sequence = advanced;
    Ok(())
}

/// Parses a line into events, and accepts its number in `sequence`. An empty line or a duplicate yields no events.
fn parse_line(
    line: &[u8],
    sequence: &mut NoticeSequence,
) -> Result<[Option<InterpreterEvent>; 2], LinkError> {
    let notice = match wire::parse_notice(line) {
        Ok(notice) => notice,
        Err(_) if line.trim_ascii().is_empty() => return Ok([None, None]),
        Err(error) => return Err(LinkError::InvalidNotice(error)),
    };
    // Checked before the number is accepted, so that the interpreter sends the notice again on the next connection.
    require_request_id(&notice)?;
    if matches!(notice, Notice::Gauges { .. }) {
        sequence.mark_caught_up();
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

/// Checks that a notice about a request has a valid request id.
fn require_request_id(notice: &Notice<'_>) -> Result<(), LinkError> {
    match notice {
        Notice::RunCompleted { request_id, .. } | Notice::CallNeeded { request_id, .. }
            if AttemptId::parse(request_id.as_bytes()).is_none() =>
        {
            Err(LinkError::InvalidRequestId)
        }
        _ => Ok(()),
    }
}

/// Accepts a notice's number, or fails if it is out of sequence.
fn accept_number(
    sequence: &mut NoticeSequence,
    number: u64,
) -> Result<SequencePosition, LinkError> {
    match sequence.accept(number) {
        SequencePosition::OutOfSequence => Err(LinkError::OutOfSequence(number)),
        position => Ok(position),
    }
}

/// Returns the number of a notice, or `None` if notices of its kind are not numbered.
fn notice_number(notice: &Notice<'_>) -> Option<u64> {
    match notice {
        Notice::RunCompleted { index, .. }
        | Notice::CallNeeded { index, .. }
        | Notice::Log { index } => Some(*index),
        Notice::Connected { .. } | Notice::Gauges { .. } | Notice::CommandRejected { .. } => None,
    }
}

/// Converts a notice into an event, or returns `None` if it does not concern the event loop.
fn notice_event(notice: Notice<'_>) -> Option<InterpreterEvent> {
    match notice {
        Notice::Connected { warmth, uptime_ms } => {
            Some(InterpreterEvent::Connected { warmth, uptime_ms })
        }
        Notice::RunCompleted {
            request_id,
            outcome,
            body,
            ..
        } => Some(InterpreterEvent::RunEnded {
            attempt: AttemptId::parse(request_id.as_bytes())?,
            outcome,
            body: body.into(),
        }),
        Notice::CallNeeded {
            index,
            request_id,
            body,
        } => Some(InterpreterEvent::CallNeeded {
            attempt: AttemptId::parse(request_id.as_bytes())?,
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
            command,
            attempt: AttemptId::parse(request_id.as_bytes()),
        }),
        Notice::Log { .. } => None,
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/interpreter.rs"]
mod tests;
