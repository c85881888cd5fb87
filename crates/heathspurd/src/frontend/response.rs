//! What an answer says, in any version of HTTP: status, fields and body.

use crate::frontend::{Answer, Desk};
use bytes::Bytes;

/// What an answer says.
pub(crate) struct Response {
    pub status: u16,
    pub fields: Vec<(&'static str, f64)>,
    pub body: Bytes,
}

impl Response {
    /// Those of a request's final answer.
    pub fn of(answer: &Answer, desk: &Desk) -> Response {
        let mut fields = free_value(desk);
        let (status, body) = match answer {
            Answer::Served(body) => (200, body.clone()),
            Answer::Refused {
                stay_away,
                last: give_up,
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
            Answer::GivenUp => (504, Bytes::new()),
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
    pub fn of_health(desk: &Desk) -> Response {
        let status = if desk.good.get() { 200 } else { 503 };
        Response {
            status,
            fields: free_value(desk),
            body: Bytes::new(),
        }
    }
}

/// The field that every answer and check carries once the value is set.
fn free_value(desk: &Desk) -> Vec<(&'static str, f64)> {
    desk.free_value
        .get()
        .map(|value| ("X-Capacity", value))
        .into_iter()
        .collect()
}
