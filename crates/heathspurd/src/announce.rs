//! Reports to the announce service: one a second, at once on a change, again soon after a failure.

use crate::clock::within;
use crate::link::{self, Inflow, Target};
use crate::notify::Notify;
use crate::tape::Stream;
use async_io::Timer;
use futures_lite::{future, AsyncWriteExt};
use heathspur_wire::http::{self, Fields, Limits, Reader};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Time between reports, for one call, and after a failed one.
const PERIOD: Duration = Duration::from_millis(800);
const CALL: Duration = Duration::from_millis(700);
const AGAIN: Duration = Duration::from_millis(100);
const LIMITS: Limits = Limits { head: 4 * 1024, body: 4 * 1024 };

/// What is reported; nothing until it is known.
pub(crate) struct Readiness {
    ready: Cell<Option<bool>>,
    changed: Notify,
}

impl Readiness {
    pub fn new() -> Rc<Readiness> {
        Rc::new(Readiness { ready: Cell::new(None), changed: Notify::new() })
    }

    pub fn set(&self, ready: bool) {
        if self.ready.replace(Some(ready)) != Some(ready) {
            self.changed.notify();
        }
    }
}

/// Reports for ever.
pub(crate) async fn keep(target: Rc<Target>, name: String, readiness: Rc<Readiness>) {
    let mut connection = None;
    loop {
        let Some(ready) = readiness.ready.get() else {
            readiness.changed.notified().await;
            continue;
        };
        // A change does not wait for a report that is stuck: the connection goes, and a new one tells it.
        let address = target.get();
        let changed = async {
            future::or(readiness.changed.notified(), target.moved(address)).await;
            None
        };
        let told = within(CALL, tell(address, &name, ready, &mut connection));
        let wait = match future::or(async { Some(told.await) }, changed).await {
            None => {
                connection = None;
                continue;
            }
            Some(Ok(())) => PERIOD,
            Some(Err(e)) => {
                warn!(error = %e, "the announce service did not take a report: {e}");
                AGAIN
            }
        };
        let pause = async {
            Timer::after(wait).await;
        };
        future::or(future::or(readiness.changed.notified(), pause), target.moved(address)).await;
        if target.get() != address {
            connection = None;
        }
    }
}

/// One report. The connection is kept for the next one where both sides allow it.
async fn tell(
    address: SocketAddr,
    name: &str,
    ready: bool,
    connection: &mut Option<Stream>,
) -> io::Result<()> {
    let body = format!(r#"{{"accepting":"{ready}"}}"#);
    let mut out = Vec::new();
    http::write_call(&mut out, "PUT", &format!("/announce/{name}"), &address.to_string(), body.as_bytes());
    if let Some(kept) = connection.take() {
        // The other side may have closed it meanwhile: then a new one tells.
        if let Ok(still) = exchange(kept, &out).await {
            *connection = still;
            return Ok(());
        }
    }
    *connection = exchange(link::connect(address, None).await?, &out).await?;
    Ok(())
}

/// One call and its answer; the connection is given back where it stays open.
async fn exchange(stream: Stream, out: &[u8]) -> io::Result<Option<Stream>> {
    (&stream).write_all(out).await?;
    let (mut reader, mut inflow) = (Reader::new(LIMITS), Inflow::new());
    loop {
        inflow.fill(&stream).await?;
        if let Some(message) = reader.read(inflow.bytes()).map_err(io::Error::other)? {
            let status = http::status_line(&inflow.bytes()[message.first]).map_err(io::Error::other)?;
            if status != 204 {
                return Err(io::Error::other(format!("status {status}")));
            }
            let close = http::says_close(Fields::over(&inflow.bytes()[message.fields]));
            return Ok((!close).then_some(stream));
        }
    }
}
