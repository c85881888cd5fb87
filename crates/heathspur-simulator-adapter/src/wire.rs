//! The simulator's words: lines of JSON in, lines of JSON out. Translates and decides nothing.

use heathspur::*;
use heathspur_settings::{WireNames, WireSettings};
use serde::{Deserialize, Serialize};

/// One line from the simulator.
#[derive(Deserialize)]
pub enum In {
    #[serde(rename = "BEGIN_BATCH")]
    Begin(Clock),
    #[serde(rename = "YOUR_TURN")]
    Turn(Nothing),
    #[serde(rename = "ENLIST")]
    Enlist(Box<Enlist>),
    #[serde(rename = "HALT")]
    Halt(Bare),
    #[serde(rename = "DEMAND")]
    Demand(Demand),
    #[serde(rename = "ENDED")]
    Ended(Ended),
    #[serde(rename = "WANTS_CALL")]
    WantsCall(Ticket),
    #[serde(rename = "CAME_BACK")]
    CameBack(Ended),
    #[serde(rename = "ABANDONED")]
    Abandoned(Ticket),
    #[serde(rename = "DRAIN")]
    Drain(Drain),
    #[serde(rename = "TICK_DUE")]
    TickDue(TickDue),
}

#[derive(Deserialize)]
pub struct Nothing {}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Clock {
    pub t_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Bare {
    pub server_id: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Ticket {
    pub server_id: u64,
    pub ticket: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Ended {
    pub server_id: u64,
    pub ticket: u64,
    #[serde(default)]
    pub rc: u64,
    #[serde(default)]
    pub rtt_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Drain {
    pub server_id: u64,
    #[serde(default)]
    pub patience_left_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TickDue {
    pub server_id: u64,
    pub token: String,
    #[serde(default)]
    pub gauge: Vec<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Demand {
    pub server_id: u64,
    pub ticket: u64,
    pub kind: String,
    #[serde(default)]
    pub client_group: Option<serde_json::Value>,
    #[serde(default)]
    pub route_key: Option<u64>,
    #[serde(default)]
    pub patience_left_s: f64,
    #[serde(default)]
    pub cost_s: f64,
    #[serde(default)]
    pub size_kb: f64,
    #[serde(default)]
    pub is_retry: bool,
    #[serde(default)]
    pub waited_s: f64,
    #[serde(default)]
    pub dup_of: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Enlist {
    pub server_id: u64,
    pub init_seed: u64,
    pub facts: WireSettings,
}

/// A request in the decisions' terms; the error says what the settings do not name.
pub fn request(d: Demand, names: &WireNames) -> Result<Request, String> {
    let class = names
        .classes
        .iter()
        .position(|n| *n == d.kind)
        .ok_or(format!("no class {:?}", d.kind))?;
    let tenant = match &d.client_group {
        Some(serde_json::Value::String(name)) => Some(
            names
                .tenants
                .iter()
                .position(|n| n == name)
                .ok_or(format!("no tenant {name:?}"))?,
        ),
        _ => None,
    };
    Ok(Request {
        id: RequestId(d.ticket),
        class: ClassId(class),
        tenant: tenant.map(TenantId),
        has_subject: d.route_key.is_some(),
        remaining_deadline: (d.patience_left_s > 0.0).then(|| Span::from_secs(d.patience_left_s)),
        cost_hint: (d.cost_s > 0.0).then_some(d.cost_s),
        queued_memory_kb: d.size_kb,
        is_retry: d.is_retry,
        queueing_delay: Span::from_secs(d.waited_s),
        previous_attempt: (d.dup_of != 0).then_some(RequestId(d.dup_of)),
    })
}

/// The outcome of a run or call.
pub fn outcome(rc: u64) -> Result<Outcome, String> {
    Ok(match rc {
        0 => Outcome::Ok,
        5 => Outcome::Error,
        11 => Outcome::Rejected,
        110 => Outcome::Timeout,
        111 => Outcome::ConnectFailed,
        104 => Outcome::Reset,
        125 => Outcome::Cancelled,
        114 => Outcome::NoLongerNeeded,
        other => return Err(format!("no outcome {other}")),
    })
}

/// One line to the simulator.
#[derive(Serialize)]
pub enum Out<'a> {
    #[serde(rename = "EXECUTE")]
    Execute(One),
    #[serde(rename = "YANK")]
    Yank(One),
    #[serde(rename = "BUSY")]
    Busy(Busy),
    #[serde(rename = "FINISH_ERROR")]
    FinishError(One),
    #[serde(rename = "CALL")]
    Call(Call),
    #[serde(rename = "SKIP")]
    Skip(One),
    #[serde(rename = "PIN")]
    Pin(Pin),
    #[serde(rename = "FORGET")]
    Forget(One),
    #[serde(rename = "ATTACH")]
    Attach(One),
    #[serde(rename = "HEALTH")]
    Health(Health),
    #[serde(rename = "STAMP")]
    Stamp(Stamp),
    #[serde(rename = "IDLE")]
    Idle(Idle),
    #[serde(rename = "SLEEP")]
    Sleep(Sleep),
    #[serde(rename = "REMARK")]
    Remark(Remark<'a>),
    #[serde(rename = "OK")]
    Ok {},
}

macro_rules! out {
    ($name:ident { $($field:ident : $kind:ty),* }) => {
        #[derive(Serialize)]
        #[serde(rename_all = "kebab-case")]
        pub struct $name { pub server_id: u64, $(pub $field: $kind),* }
    };
}
out!(One { ticket: u64 });
out!(Call {
    ticket: u64,
    limit_s: f64
});
out!(Pin {
    ticket: u64,
    ttl_s: f64
});
out!(Health {
    enable: bool,
    cached: bool
});
out!(Stamp { level: f64 });
out!(Idle { ttl_s: f64 });
out!(Sleep {
    wait_s: f64,
    token: String
});

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Busy {
    pub server_id: u64,
    pub ticket: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub not_before_for_s: Option<f64>,
    #[serde(rename = "final", skip_serializing_if = "std::ops::Not::not")]
    pub last: bool,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Remark<'a> {
    pub server_id: u64,
    pub message: &'a str,
}

/// An action in the simulator's words.
pub fn action(server_id: u64, action: &Action) -> Out<'_> {
    let one = |id: &RequestId| One {
        server_id,
        ticket: id.0,
    };
    match action {
        Action::Run(id) => Out::Execute(one(id)),
        Action::Stop(id) => Out::Yank(one(id)),
        Action::Reject {
            id,
            retry_after: stay_away,
            no_retry: last,
        } => Out::Busy(Busy {
            server_id,
            ticket: id.0,
            not_before_for_s: stay_away.map(Span::secs),
            last: *last,
        }),
        Action::Fail(id) => Out::FinishError(one(id)),
        Action::Call { id, timeout: limit } => Out::Call(Call {
            server_id,
            ticket: id.0,
            limit_s: limit.secs(),
        }),
        Action::SkipCall(id) => Out::Skip(one(id)),
        Action::RetainResult { id, ttl } => Out::Pin(Pin {
            server_id,
            ticket: id.0,
            ttl_s: ttl.secs(),
        }),
        Action::EvictResult(id) => Out::Forget(one(id)),
        Action::ReplayResult(id) => Out::Attach(one(id)),
        Action::Health {
            healthy: good,
            cached: stored,
        } => Out::Health(Health {
            server_id,
            enable: *good,
            cached: *stored,
        }),
        Action::SetLoadSignal(level) => Out::Stamp(Stamp {
            server_id,
            level: *level,
        }),
        Action::CloseIdleConnections(span) => Out::Idle(Idle {
            server_id,
            ttl_s: span.secs(),
        }),
        Action::SetTimer { after, token } => Out::Sleep(Sleep {
            server_id,
            wait_s: after.secs(),
            token: token.0.to_string(),
        }),
        Action::Log(text) => Out::Remark(Remark {
            server_id,
            message: text,
        }),
    }
}
