//! Conversion of the simulator's messages to events, and of actions to messages.

use crate::error::LineError;
use crate::messages::incoming::{Completion, IncomingRequest};
use crate::messages::outgoing::{
    Call, CloseIdleConnections, Health, Log, Outgoing, Reject, RequestAction, RetainResult,
    SetLoadSignal, SetTimer,
};
use heathspur::{Action, ClassId, Event, Outcome, Request, RequestId, Span, TenantId, Token};
use heathspur_settings::ProtocolNames;

/// The protocol's outcome codes.
const CODE_OK: u64 = 0;
const CODE_ERROR: u64 = 5;
const CODE_REJECTED: u64 = 11;
const CODE_RESET: u64 = 104;
const CODE_TIMEOUT: u64 = 110;
const CODE_CONNECT_FAILED: u64 = 111;
const CODE_NO_LONGER_NEEDED: u64 = 114;
const CODE_CANCELLED: u64 = 125;

/// Converts a request and looks up the indexes of its class and tenant.
pub(crate) fn request(
    message: IncomingRequest,
    names: &ProtocolNames,
) -> Result<Request, LineError> {
    let class =
        position(&names.classes, &message.class).ok_or(LineError::UnknownClass(message.class))?;
    let tenant = match message.tenant {
        Some(serde_json::Value::String(name)) => {
            let index = position(&names.tenants, &name).ok_or(LineError::UnknownTenant(name))?;
            Some(TenantId(index))
        }
        _ => None,
    };
    let remaining_deadline_s = message.remaining_deadline_s;
    Ok(Request {
        id: RequestId(message.request_id),
        class: ClassId(class),
        tenant,
        has_subject: message.subject.is_some(),
        remaining_deadline: (remaining_deadline_s > 0.0)
            .then(|| Span::from_secs(remaining_deadline_s)),
        cost_hint: (message.cost_hint_s > 0.0).then_some(message.cost_hint_s),
        queued_memory_kb: message.queued_memory_kb,
        is_retry: message.is_retry,
        queueing_delay: Span::from_secs(message.queueing_delay_s),
        previous_attempt: (message.previous_attempt != 0)
            .then_some(RequestId(message.previous_attempt)),
    })
}

/// Converts the end of a run.
pub(crate) fn run_completed(message: &Completion) -> Result<Event, LineError> {
    Ok(Event::RunCompleted {
        id: RequestId(message.request_id),
        outcome: outcome(message.outcome_code)?,
        latency: Span::from_secs(message.latency_s),
    })
}

/// Converts the end of a call.
pub(crate) fn call_completed(message: &Completion) -> Result<Event, LineError> {
    Ok(Event::CallCompleted {
        id: RequestId(message.request_id),
        outcome: outcome(message.outcome_code)?,
        latency: Span::from_secs(message.latency_s),
    })
}

/// Parses the token of a timer.
pub(crate) fn token(text: String) -> Result<Token, LineError> {
    match text.parse() {
        Ok(number) => Ok(Token(number)),
        Err(_) => Err(LineError::InvalidToken(text)),
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|other| other == name)
}

fn outcome(code: u64) -> Result<Outcome, LineError> {
    match code {
        CODE_OK => Ok(Outcome::Ok),
        CODE_ERROR => Ok(Outcome::Error),
        CODE_REJECTED => Ok(Outcome::Rejected),
        CODE_RESET => Ok(Outcome::Reset),
        CODE_TIMEOUT => Ok(Outcome::Timeout),
        CODE_CONNECT_FAILED => Ok(Outcome::ConnectFailed),
        CODE_NO_LONGER_NEEDED => Ok(Outcome::NoLongerNeeded),
        CODE_CANCELLED => Ok(Outcome::Cancelled),
        unknown => Err(LineError::UnknownOutcome(unknown)),
    }
}

/// Converts an action of a server to a message.
pub(crate) fn outgoing(server_id: u64, action: &Action) -> Outgoing<'_> {
    let on_request = |id: &RequestId| RequestAction {
        server_id,
        request_id: id.0,
    };
    match action {
        Action::Run(id) => Outgoing::Run(on_request(id)),
        Action::Stop(id) => Outgoing::Stop(on_request(id)),
        Action::Reject {
            id,
            retry_after,
            no_retry,
        } => Outgoing::Reject(Reject {
            server_id,
            request_id: id.0,
            retry_after_s: retry_after.map(Span::secs),
            no_retry: *no_retry,
        }),
        Action::Fail(id) => Outgoing::Fail(on_request(id)),
        Action::Call { id, timeout } => Outgoing::Call(Call {
            server_id,
            request_id: id.0,
            timeout_s: timeout.secs(),
        }),
        Action::SkipCall(id) => Outgoing::SkipCall(on_request(id)),
        Action::RetainResult { id, ttl } => Outgoing::RetainResult(RetainResult {
            server_id,
            request_id: id.0,
            ttl_s: ttl.secs(),
        }),
        Action::EvictResult(id) => Outgoing::EvictResult(on_request(id)),
        Action::ReplayResult(id) => Outgoing::ReplayResult(on_request(id)),
        Action::Health { healthy, cached } => Outgoing::Health(Health {
            server_id,
            healthy: *healthy,
            cached: *cached,
        }),
        Action::SetLoadSignal(level) => Outgoing::SetLoadSignal(SetLoadSignal {
            server_id,
            level: *level,
        }),
        Action::CloseIdleConnections(idle_timeout) => {
            Outgoing::CloseIdleConnections(CloseIdleConnections {
                server_id,
                idle_timeout_s: idle_timeout.secs(),
            })
        }
        Action::SetTimer { after, token } => Outgoing::SetTimer(SetTimer {
            server_id,
            delay_s: after.secs(),
            token: token.0.to_string(),
        }),
        Action::Log(message) => Outgoing::Log(Log { server_id, message }),
    }
}
