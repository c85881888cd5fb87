//! I/O of one replay connection: writes queued requests and reports the responses. The runner makes all decisions.

use crate::response_parser::{Response, ResponseParser};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use heathspur_replay::event::{ConnectFailure, Event};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Too many open files in this process.
const EMFILE: i32 = 24;
/// Too many open files on this machine.
const ENFILE: i32 = 23;
/// No local port is available.
const EADDRNOTAVAIL: i32 = 99;

/// An event of a connection, as reported to the replay.
pub struct Report {
    /// Distinguishes the connection from earlier ones of the same index.
    pub incarnation: u64,
    /// The event.
    pub event: Event,
    /// Time of the event.
    pub at: Instant,
}

/// A request to be written.
pub struct OutgoingRequest {
    /// Head and body.
    pub bytes: Bytes,
    /// Whether it is a HEAD request, whose response has no body.
    pub is_head: bool,
}

/// Queue of the requests of a connection. The runner's limit on requests in flight bounds its length.
pub type RequestQueue = Receiver<OutgoingRequest>;

/// A task that runs one connection.
pub struct ConnectionTask {
    /// Address of the server.
    pub target: SocketAddr,
    /// Index of the connection in the plan.
    pub connection: usize,
    /// Distinguishes the connection from earlier ones of the same index.
    pub incarnation: u64,
    /// The requests to write. The connection is closed when this queue is.
    pub requests: RequestQueue,
    /// Start of the replay.
    pub start: Instant,
    /// Channel for the reports.
    pub reports: Sender<Report>,
}

/// Which side ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClosedBy {
    /// The replay closed it.
    Replay,
    /// The peer closed it, it broke, or a response was malformed.
    Peer,
}

/// Error: the receiver of reports was dropped because the replay has ended.
struct ReplayEnded;

impl ConnectionTask {
    /// Runs the connection from its opening to its end.
    pub async fn run(self) {
        let stream = match connect(self.target).await {
            Ok(stream) => stream,
            Err(error) => {
                let failed = Event::ConnectFailed(self.connection, connect_failure(&error));
                let _ = self.report(failed).await;
                return;
            }
        };
        let connected = Event::Connected(self.connection);
        if self.report(connected).await.is_err() {
            return;
        }
        let head_flags = RefCell::new(VecDeque::new());
        let writing = self.write_requests(&stream, &head_flags);
        let reading = self.read_responses(&stream, &head_flags);
        if future::or(writing, reading).await == ClosedBy::Peer {
            let _ = self.report(Event::Closed(self.connection)).await;
        }
    }

    async fn report(&self, event: Event) -> Result<(), ReplayEnded> {
        let report = Report {
            incarnation: self.incarnation,
            event,
            at: Instant::now(),
        };
        self.reports.send(report).await.map_err(|_| ReplayEnded)
    }

    /// Writes requests until the queue is closed. Adds to `head_flags`, for each request, whether it is a HEAD request.
    async fn write_requests(
        &self,
        mut stream: &Async<TcpStream>,
        head_flags: &RefCell<VecDeque<bool>>,
    ) -> ClosedBy {
        while let Ok(request) = self.requests.recv().await {
            head_flags.borrow_mut().push_back(request.is_head);
            if stream.write_all(&request.bytes).await.is_err() {
                return ClosedBy::Peer;
            }
        }
        ClosedBy::Replay
    }

    async fn read_responses(
        &self,
        mut stream: &Async<TcpStream>,
        head_flags: &RefCell<VecDeque<bool>>,
    ) -> ClosedBy {
        let mut parser = ResponseParser::new(self.start);
        let mut chunk = vec![0; READ_BUFFER_BYTES];
        loop {
            match stream.read(&mut chunk).await {
                Ok(0) | Err(_) => break,
                Ok(length) => parser.feed(&chunk[..length]),
            }
            if let Err(closed_by) = self.report_responses(&mut parser, head_flags).await {
                return closed_by;
            }
            if parser.is_too_large() {
                return ClosedBy::Peer;
            }
        }
        if let Some(response) = parser.finish() {
            let _ = self.report_response(response).await;
        }
        ClosedBy::Peer
    }

    /// Reports all complete responses. The error is the side that ends the connection.
    async fn report_responses(
        &self,
        parser: &mut ResponseParser,
        head_flags: &RefCell<VecDeque<bool>>,
    ) -> Result<(), ClosedBy> {
        loop {
            let to_head = head_flags.borrow().front().copied().unwrap_or(false);
            let next = parser.next_response(to_head);
            let Some(response) = next.map_err(|_| ClosedBy::Peer)? else {
                return Ok(());
            };
            head_flags.borrow_mut().pop_front();
            let reported = self.report_response(response).await;
            reported.map_err(|ReplayEnded| ClosedBy::Replay)?;
        }
    }

    async fn report_response(&self, response: Response) -> Result<(), ReplayEnded> {
        let event = Event::Response {
            connection: self.connection,
            status: response.status,
            body_digest: response.body_digest,
            first_byte_at: response.first_byte_at,
            close: response.close,
        };
        self.report(event).await
    }
}

async fn connect(target: SocketAddr) -> io::Result<Async<TcpStream>> {
    let connected = async {
        let stream = Async::<TcpStream>::connect(target).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(stream)
    };
    let timed_out = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(connected, timed_out).await
}

fn connect_failure(error: &io::Error) -> ConnectFailure {
    match error.raw_os_error() {
        Some(EMFILE | ENFILE | EADDRNOTAVAIL) => ConnectFailure::Exhausted,
        _ => ConnectFailure::Refused,
    }
}
