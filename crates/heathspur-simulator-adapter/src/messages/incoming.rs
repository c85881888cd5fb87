//! Messages from the simulator, one JSON object per line. Unknown fields are ignored.

use heathspur_settings::WireSettings;
use serde::Deserialize;

/// A message from the simulator.
#[derive(Deserialize)]
pub(crate) enum Incoming {
    #[serde(rename = "BEGIN_BATCH")]
    BeginBatch(BeginBatch),
    #[serde(rename = "YOUR_TURN")]
    EndBatch(EndBatch),
    #[serde(rename = "ENLIST")]
    StartServer(Box<StartServer>),
    #[serde(rename = "HALT")]
    StopServer(StopServer),
    #[serde(rename = "DEMAND")]
    Request(IncomingRequest),
    #[serde(rename = "ENDED")]
    RunCompleted(Completion),
    #[serde(rename = "WANTS_CALL")]
    CallNeeded(RequestReference),
    #[serde(rename = "CAME_BACK")]
    CallCompleted(Completion),
    #[serde(rename = "ABANDONED")]
    ClientCancelled(RequestReference),
    #[serde(rename = "DRAIN")]
    Drain(Drain),
    #[serde(rename = "TICK_DUE")]
    Timer(Timer),
}

/// Begins a batch, whose events all have the same time.
#[derive(Deserialize)]
pub(crate) struct BeginBatch {
    #[serde(rename = "t-s")]
    pub time_s: f64,
}

/// Ends a batch and requests the servers' actions.
#[derive(Deserialize)]
pub(crate) struct EndBatch {}

/// Starts a server, which replaces any server with the same identifier.
#[derive(Deserialize)]
pub(crate) struct StartServer {
    #[serde(rename = "server-id")]
    pub server_id: u64,
    #[serde(rename = "init-seed")]
    pub seed: u64,
    #[serde(rename = "facts")]
    pub settings: WireSettings,
}

/// Stops a server.
#[derive(Deserialize)]
pub(crate) struct StopServer {
    #[serde(rename = "server-id")]
    pub server_id: u64,
}

/// An event that concerns one request.
#[derive(Deserialize)]
pub(crate) struct RequestReference {
    #[serde(rename = "server-id")]
    pub server_id: u64,
    #[serde(rename = "ticket")]
    pub request_id: u64,
}

/// The end of a run or a call.
#[derive(Deserialize)]
pub(crate) struct Completion {
    #[serde(rename = "server-id")]
    pub server_id: u64,
    #[serde(rename = "ticket")]
    pub request_id: u64,
    #[serde(rename = "rc", default)]
    pub outcome_code: u64,
    #[serde(rename = "rtt-s", default)]
    pub latency_s: f64,
}

/// The server starts to drain, and stops after the given time.
#[derive(Deserialize)]
pub(crate) struct Drain {
    #[serde(rename = "server-id")]
    pub server_id: u64,
    #[serde(rename = "patience-left-s", default)]
    pub remaining_s: f64,
}

/// A timer has expired.
#[derive(Deserialize)]
pub(crate) struct Timer {
    #[serde(rename = "server-id")]
    pub server_id: u64,
    #[serde(rename = "token")]
    pub token: String,
    /// The gauge values, in the order of the gauges' names in the settings.
    #[serde(rename = "gauge", default)]
    pub gauges: Vec<f64>,
}

/// A request has arrived.
#[derive(Deserialize)]
pub(crate) struct IncomingRequest {
    #[serde(rename = "server-id")]
    pub server_id: u64,
    #[serde(rename = "ticket")]
    pub request_id: u64,
    #[serde(rename = "kind")]
    pub class: String,
    /// The tenant's name. A value that is not a string means that the request has no tenant.
    #[serde(rename = "client-group", default)]
    pub tenant: Option<serde_json::Value>,
    #[serde(rename = "route-key", default)]
    pub subject: Option<u64>,
    /// How long the client still waits, in seconds; 0 if the client states no deadline.
    #[serde(rename = "patience-left-s", default)]
    pub remaining_deadline_s: f64,
    /// The expected work on a standard core, in seconds; 0 if the client states none.
    #[serde(rename = "cost-s", default)]
    pub cost_hint_s: f64,
    #[serde(rename = "size-kb", default)]
    pub queued_memory_kb: f64,
    #[serde(rename = "is-retry", default)]
    pub is_retry: bool,
    #[serde(rename = "waited-s", default)]
    pub queueing_delay_s: f64,
    /// The earlier attempt that the request repeats; 0 for a first attempt.
    #[serde(rename = "dup-of", default)]
    pub previous_attempt: u64,
}
