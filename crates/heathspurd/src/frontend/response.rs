//! Status, header fields and body of a response, independent of the HTTP version.

use crate::frontend::{header, Answer, FrontendContext};
use bytes::Bytes;

/// A response that can be sent in any HTTP version.
pub(crate) struct Response {
    pub status: u16,
    /// Header fields; all of their values are numbers.
    pub fields: Vec<(&'static str, f64)>,
    pub body: Bytes,
}

impl Response {
    /// Creates the response for a request's final answer.
    pub fn of(answer: &Answer, context: &FrontendContext) -> Response {
        let mut fields = common_fields(context);
        let (status, body) = match answer {
            Answer::Success(body) => (200, body.clone()),
            Answer::Rejected {
                retry_after,
                no_retry,
            } => {
                if let Some(delay) = retry_after {
                    let delay_ms = delay.0.div_ceil(1000);
                    fields.push((header::RETRY_AFTER_MS, delay_ms as f64));
                }
                if *no_retry {
                    fields.push((header::NO_RETRY, 1.0));
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

    /// Creates the response to a health check.
    pub fn of_health(context: &FrontendContext) -> Response {
        let status = if context.healthy.get() { 200 } else { 503 };
        Response {
            status,
            fields: common_fields(context),
            body: Bytes::new(),
        }
    }

    /// Creates a response that consists of a status only.
    pub fn of_status(status: u16) -> Response {
        Response {
            status,
            fields: Vec::new(),
            body: Bytes::new(),
        }
    }
}

/// Returns the fields of every answer and health check: the load signal, once it is set.
fn common_fields(context: &FrontendContext) -> Vec<(&'static str, f64)> {
    context
        .load_signal
        .get()
        .map(|value| (header::LOAD_SIGNAL, value))
        .into_iter()
        .collect()
}
