//! Messages to the simulator, one JSON object per line.

use serde::Serialize;

/// A message to the simulator.
#[derive(Serialize)]
pub(crate) enum Outgoing<'a> {
    #[serde(rename = "EXECUTE")]
    Run(RequestAction),
    #[serde(rename = "YANK")]
    Stop(RequestAction),
    #[serde(rename = "BUSY")]
    Reject(Reject),
    #[serde(rename = "FINISH_ERROR")]
    Fail(RequestAction),
    #[serde(rename = "CALL")]
    Call(Call),
    #[serde(rename = "SKIP")]
    SkipCall(RequestAction),
    #[serde(rename = "PIN")]
    RetainResult(RetainResult),
    #[serde(rename = "FORGET")]
    EvictResult(RequestAction),
    #[serde(rename = "ATTACH")]
    ReplayResult(RequestAction),
    #[serde(rename = "HEALTH")]
    Health(Health),
    #[serde(rename = "STAMP")]
    SetLoadSignal(SetLoadSignal),
    #[serde(rename = "IDLE")]
    CloseIdleConnections(CloseIdleConnections),
    #[serde(rename = "SLEEP")]
    SetTimer(SetTimer),
    #[serde(rename = "REMARK")]
    Log(Log<'a>),
    /// Ends the reply to a batch.
    #[serde(rename = "OK")]
    EndReply {},
}

/// An action on one request.
#[derive(Serialize)]
pub(crate) struct RequestAction {
    #[serde(rename = "server-id")]
    pub server_id: u64,
    #[serde(rename = "ticket")]
    pub request_id: u64,
}

/// Rejects a request.
#[derive(Serialize)]
pub(crate) struct Reject {
    #[serde(rename = "server-id")]
    pub server_id: u64,
    #[serde(rename = "ticket")]
    pub request_id: u64,
    #[serde(rename = "not-before-for-s", skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<f64>,
    #[serde(rename = "final", skip_serializing_if = "std::ops::Not::not")]
    pub no_retry: bool,
}

/// Makes the call that a request waits for.
#[derive(Serialize)]
pub(crate) struct Call {
    #[serde(rename = "server-id")]
    pub server_id: u64,
    #[serde(rename = "ticket")]
    pub request_id: u64,
    #[serde(rename = "limit-s")]
    pub timeout_s: f64,
}

/// Adds an entry to the idempotency store.
#[derive(Serialize)]
pub(crate) struct RetainResult {
    #[serde(rename = "server-id")]
    pub server_id: u64,
    #[serde(rename = "ticket")]
    pub request_id: u64,
    #[serde(rename = "ttl-s")]
    pub ttl_s: f64,
}

/// Sets the answer to health checks.
#[derive(Serialize)]
pub(crate) struct Health {
    #[serde(rename = "server-id")]
    pub server_id: u64,
    #[serde(rename = "enable")]
    pub healthy: bool,
    #[serde(rename = "cached")]
    pub cached: bool,
}

/// Sets the advertised load signal.
#[derive(Serialize)]
pub(crate) struct SetLoadSignal {
    #[serde(rename = "server-id")]
    pub server_id: u64,
    #[serde(rename = "level")]
    pub level: f64,
}

/// Closes connections that have been idle for a given time.
#[derive(Serialize)]
pub(crate) struct CloseIdleConnections {
    #[serde(rename = "server-id")]
    pub server_id: u64,
    #[serde(rename = "ttl-s")]
    pub idle_timeout_s: f64,
}

/// Sets a timer.
#[derive(Serialize)]
pub(crate) struct SetTimer {
    #[serde(rename = "server-id")]
    pub server_id: u64,
    #[serde(rename = "wait-s")]
    pub delay_s: f64,
    #[serde(rename = "token")]
    pub token: String,
}

/// Writes a line to the operators' log.
#[derive(Serialize)]
pub(crate) struct Log<'a> {
    #[serde(rename = "server-id")]
    pub server_id: u64,
    #[serde(rename = "message")]
    pub message: &'a str,
}
