//! What an answer says, in any version of HTTP: status, fields and body.

use crate::frontend::{Answer, FrontendContext};
use bytes::Bytes;

/// What an answer says.
pub(crate) struct Response {
    pub status: u16,
    pub fields: Vec<(&'static str, f64)>,
    pub body: Bytes,
}

impl Response {
    /// Those of a request's final answer.
    pub fn of(answer: &Answer, desk: &FrontendContext) -> Response {
        let mut fields = free_value(desk);
        let (status, body) = match answer {
            Answer::Success(body) => (200, body.clone()),
            Answer::Rejected {
                retry_after: stay_away,
                no_retry: give_up,
            } => {
                if let Some(span) = stay_away {
                    fields.push(("X-Throttle-Ms", span.0.div_ceil(1000) as f64));
                }
                if *give_up {
                    fields.push(("X-Give-Up", 1.0));
                }
                (503, Bytes::new())
            }
            Answer::Failed => (500, Bytes::new()),
            Answer::DeadlineExceeded => (504, Bytes::new()),
            Answer::Conflict => (409, Bytes::new()),
            Answer::KeyReused => (422, Bytes::new()),
        };
        Response {
            status,
            fields,
            body,
        }
    }

    /// Those of a health check.
    pub fn of_health(desk: &FrontendContext) -> Response {
        let status = if desk.healthy.get() { 200 } else { 503 };
        Response {
            status,
            fields: free_value(desk),
            body: Bytes::new(),
        }
    }
}

/// The field that every answer and check carries once the value is set.
fn free_value(desk: &FrontendContext) -> Vec<(&'static str, f64)> {
    desk.load_signal
        .get()
        .map(|value| ("X-Capacity", value))
        .into_iter()
        .collect()
}
