//! Reports to the announce service: one a second, at once on a change, again soon after a failure.

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use heathspur_wire::http::{self, Fields, Limits, Reader};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Time between reports, for one call, and after a failed one.
const PERIOD: Duration = Duration::from_millis(800);
const CALL: Duration = Duration::from_millis(700);
const AGAIN: Duration = Duration::from_millis(100);
const LIMITS: Limits = Limits { head: 4 * 1024, body: 4 * 1024 };

/// What is reported; nothing until it is known.
pub(crate) struct Report {
    accepting: Cell<Option<bool>>,
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl Report {
    pub fn new() -> Rc<Report> {
        let (wake, woken) = async_channel::bounded(1);
        Rc::new(Report { accepting: Cell::new(None), wake, woken })
    }

    pub fn set(&self, accepting: bool) {
        if self.accepting.replace(Some(accepting)) != Some(accepting) {
            // A full channel has woken the reporter already.
            let _ = self.wake.try_send(());
        }
    }
}

/// Reports for ever.
pub(crate) async fn keep(address: SocketAddr, name: String, report: Rc<Report>) {
    let mut connection = None;
    loop {
        let Some(accepting) = report.accepting.get() else {
            let _ = report.woken.recv().await;
            continue;
        };
        let late = async {
            Timer::after(CALL).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let told = future::or(tell(address, &name, accepting, &mut connection), late).await;
        let wait = match told {
            Ok(()) => PERIOD,
            Err(e) => {
                log!("the announce service did not take a report: {e}");
                connection = None;
                AGAIN
            }
        };
        let woken = async { report.woken.recv().await.unwrap_or(()) };
        future::or(woken, async {
            Timer::after(wait).await;
        })
        .await;
    }
}

/// One report. The connection is kept for the next one where both sides allow it.
async fn tell(
    address: SocketAddr,
    name: &str,
    accepting: bool,
    connection: &mut Option<Async<TcpStream>>,
) -> io::Result<()> {
    let kept = connection.take();
    let fresh = kept.is_none();
    let mut stream = match kept {
        Some(stream) => stream,
        None => Async::<TcpStream>::connect(address).await?,
    };
    let mut out = Vec::new();
    let body = format!(r#"{{"accepting":"{accepting}"}}"#);
    http::write_call(&mut out, "PUT", &format!("/announce/{name}"), &address.to_string(), body.as_bytes());
    let answer = async {
        stream.get_ref().set_nodelay(true)?;
        stream.write_all(&out).await?;
        let (mut reader, mut buffer) = (Reader::new(LIMITS), Vec::new());
        loop {
            let mut chunk = [0; 512];
            let n = stream.read(&mut chunk).await?;
            if n == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
            }
            buffer.extend_from_slice(&chunk[..n]);
            if let Some(message) = reader.read(&buffer).map_err(io::Error::other)? {
                let status = http::status_line(&buffer[message.first]).map_err(io::Error::other)?;
                return Ok((status, http::says_close(Fields::over(&buffer[message.fields]))));
            }
        }
    };
    match answer.await {
        Ok((204, close)) => {
            if !close {
                *connection = Some(stream);
            }
            Ok(())
        }
        Ok((status, _)) => Err(io::Error::other(format!("status {status}"))),
        // The other side may have closed a kept connection meanwhile: a new one tells.
        Err(_) if !fresh => Box::pin(tell(address, name, accepting, connection)).await,
        Err(e) => Err(e),
    }
}
