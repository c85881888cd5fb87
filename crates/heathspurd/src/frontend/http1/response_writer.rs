//! Writes responses to an HTTP/1.1 connection.

use crate::clock::within;
use crate::frontend::lingering_close;
use crate::frontend::response::Response;
use crate::frontend::response_budget::ResponseBudget;
use crate::frontend::FrontendContext;
use crate::recording::recorded_stream::Stream;
use futures_lite::{future, AsyncWriteExt};
use heathspur_wire::http::{self, ConnectionOption};
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of writing a response to a client.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Initial buffer capacity for the head of a response, in bytes.
const HEAD_CAPACITY_BYTES: usize = 256;

/// Writes a response. After an error the connection must not be used any more.
pub(crate) async fn write(
    stream: &Stream,
    context: &FrontendContext,
    response: &Response,
    connection_option: ConnectionOption,
) -> io::Result<()> {
    let mut bytes = Vec::with_capacity(HEAD_CAPACITY_BYTES + response.body.len());
    http::write_response(
        &mut bytes,
        response.status,
        &response.fields,
        connection_option,
        &response.body,
    );
    match &context.response_budget {
        None => write_all(stream, &bytes).await,
        Some(budget) => write_within_budget(stream, budget, &bytes).await,
    }
}

/// Answers an invalid request and closes the connection.
pub(crate) async fn reject(stream: &Stream, status: u16) {
    let mut bytes = Vec::new();
    http::write_response(&mut bytes, status, &[], ConnectionOption::Close, b"");
    // A failure needs no handling: the connection is closed in any case.
    let _ = write_all(stream, &bytes).await;
    lingering_close::close(stream).await;
}

async fn write_all(mut stream: &Stream, bytes: &[u8]) -> io::Result<()> {
    within(WRITE_TIMEOUT, stream.write_all(bytes)).await
}

/// Writes under the memory budget shared with other frontends. Bytes that the client does not accept at once are
/// reserved in the budget; the connection is aborted if the memory is needed for other responses.
async fn write_within_budget(
    mut stream: &Stream,
    budget: &Rc<ResponseBudget>,
    bytes: &[u8],
) -> io::Result<()> {
    let written = match future::poll_once(stream.write(bytes)).await {
        Some(written) => written?,
        None => 0,
    };
    if written == bytes.len() {
        return Ok(());
    }
    let reservation = budget.reserve(budget.new_connection_key(), bytes.len() - written);
    let evicted = async {
        reservation.evicted().await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(write_all(stream, &bytes[written..]), evicted).await
}
