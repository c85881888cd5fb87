//! The link to the interpreter: held open, made again when it breaks, resumed at the last notice read.

use crate::frontend::Txn;
use crate::notify::Notify;
use crate::peers::connection::{connect, Inflow, Target};
use crate::peers::notice_sequence::{Count, Sight};
use crate::recording::recorded_stream::{Stream, Tap};
use async_channel::Sender;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::{future, AsyncWriteExt};
use heathspur_record::recorder::Leg;
use heathspur_wire::interpreter::{self as wire, Command, Notice, RunOutcome, Warmth};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Waits before the link is made again.
const SHORTEST: Duration = Duration::from_millis(10);
const LONGEST: Duration = Duration::from_millis(500);
/// The longest wait for a connection. The system sends a dial's lost packet again after one and three seconds
/// at the latest, so a shorter wait would never get through to a listener that is this slow.
const DIAL: Duration = Duration::from_secs(4);
/// Bytes of commands that may wait to be written before the link counts as broken.
const MOST: usize = 8 << 20;

/// What the link tells the owner.
#[derive(Debug)]
pub(crate) enum Event {
    Banner {
        warmth: Warmth,
        ago_ms: f64,
    },
    Ended {
        txn: Txn,
        end: RunOutcome,
        body: Bytes,
    },
    Waits {
        txn: Txn,
        index: u64,
        body: Bytes,
    },
    Gauges {
        nonce: u64,
        readings: Vec<f64>,
    },
    Refused {
        command: String,
        txn: Option<Txn>,
    },
    /// Notices were made that are kept no longer.
    Missed,
    Down,
}

/// The owner's end of the link: commands wait here to be written.
pub(crate) struct Link {
    out: RefCell<Vec<u8>>,
    queued: Notify,
}

impl Link {
    pub fn new() -> Rc<Link> {
        Rc::new(Link {
            out: RefCell::new(Vec::new()),
            queued: Notify::new(),
        })
    }

    pub fn send(&self, command: Command<'_>) {
        wire::write_command(&mut self.out.borrow_mut(), command);
        self.queued.notify();
    }
}

/// Keeps the link up for ever, wherever the interpreter is found.
pub(crate) async fn keep<N: From<Event>>(
    target: Rc<Target>,
    link: Rc<Link>,
    events: Sender<N>,
    tap: Option<Rc<Tap>>,
) {
    let (mut count, mut wait) = (Count::default(), SHORTEST);
    loop {
        let address = target.get();
        let dial = connect(
            address,
            DIAL,
            tap.as_ref().map(|tap| (tap, Leg::Interpreter)),
        );
        let moved = async {
            target.moved(address).await;
            None
        };
        match future::or(async { Some(dial.await) }, moved).await {
            Some(Ok(stream)) => {
                let before = count.last();
                let moved = async {
                    target.moved(address).await;
                    "it has moved".to_string()
                };
                let ended = future::or(talk(&stream, &link, &events, &mut count), moved).await;
                link.out.borrow_mut().clear();
                let last = count.last();
                warn!(last, cause = %ended, "the interpreter's link broke after notice {last}: {ended}");
                if last > before {
                    wait = SHORTEST;
                }
                if events.send(Event::Down.into()).await.is_err() {
                    return;
                }
            }
            None => {}
            Some(Err(e)) => warn!(error = %e, "no link to the interpreter: {e}"),
        }
        if target.get() != address {
            wait = SHORTEST;
            continue;
        }
        let pause = async {
            Timer::after(wait).await;
        };
        future::or(pause, target.moved(address)).await;
        wait = (wait * 2).min(LONGEST);
    }
}

/// Carries one connection to its end and says why it ended.
async fn talk<N: From<Event>>(
    stream: &Stream,
    link: &Link,
    events: &Sender<N>,
    count: &mut Count,
) -> String {
    let mut hello = Vec::new();
    count.begin_link();
    wire::write_command(&mut hello, Command::Connect(count.last()));
    {
        let mut out = link.out.borrow_mut();
        out.clear();
        out.append(&mut hello);
    }
    future::or(listen(stream, events, count), speak(stream, link)).await
}

async fn speak(mut stream: &Stream, link: &Link) -> String {
    let mut out = Vec::new();
    loop {
        std::mem::swap(&mut out, &mut *link.out.borrow_mut());
        if out.len() > MOST {
            return format!("it left {} bytes of commands unread", out.len());
        }
        if out.is_empty() {
            link.queued.notified().await;
            continue;
        }
        if let Err(e) = stream.write_all(&out).await {
            return e.to_string();
        }
        out.clear();
    }
}

async fn listen<N: From<Event>>(stream: &Stream, events: &Sender<N>, count: &mut Count) -> String {
    let mut inflow = Inflow::new();
    loop {
        if let Err(e) = inflow.fill(stream).await {
            return e.to_string();
        }
        while let Some(end) = wire::line_end(inflow.bytes()) {
            let line = &inflow.bytes()[..end];
            // It is taken once the owner has it: a link that ends before that is told it again.
            let mut read = *count;
            let mut sight = Sight::Next;
            let heard = match wire::parse_notice(line) {
                // Its number is not taken either, so it comes again, whole, on the next link.
                Ok(
                    Notice::RunCompleted {
                        request_id: task, ..
                    }
                    | Notice::CallNeeded {
                        request_id: task, ..
                    },
                ) if Txn::read(task.as_bytes()).is_none() => {
                    return "a notice names no request".to_string();
                }
                Ok(notice) => {
                    if matches!(notice, Notice::Gauges { .. }) {
                        read.caught_up();
                    }
                    if let Some(index) = number(&notice) {
                        sight = read.see(index);
                        if sight == Sight::Spoilt {
                            *count = read;
                            return format!("a notice is numbered {index}");
                        }
                    }
                    understand(notice, sight)
                }
                Err(_) if line.trim_ascii().is_empty() => None,
                Err(e) => return format!("a line makes no sense: {e}"),
            };
            let missed = (sight == Sight::NextKept).then_some(Event::Missed);
            for heard in missed.into_iter().chain(heard) {
                if events.send(heard.into()).await.is_err() {
                    return "the server has ended".to_string();
                }
            }
            *count = read;
            inflow.use_up(end + 1);
        }
        if inflow.bytes().len() > wire::MAX_LINE_BYTES {
            return "a line is too long".to_string();
        }
    }
}

/// The number of a notice, where its kind has one.
fn number(notice: &Notice<'_>) -> Option<u64> {
    match notice {
        Notice::RunCompleted { index, .. }
        | Notice::CallNeeded { index, .. }
        | Notice::Log { index } => Some(*index),
        Notice::Connected { .. } | Notice::Gauges { .. } | Notice::CommandRejected { .. } => None,
    }
}

/// What a notice tells the owner; nothing when it was taken before.
fn understand(notice: Notice<'_>, sight: Sight) -> Option<Event> {
    if sight == Sight::Old {
        return None;
    }
    match notice {
        Notice::Connected {
            warmth,
            uptime_ms: ago_ms,
        } => Some(Event::Banner { warmth, ago_ms }),
        Notice::RunCompleted {
            request_id: task,
            outcome: end,
            body,
            ..
        } => Some(Event::Ended {
            txn: Txn::read(task.as_bytes())?,
            end,
            body: body.into(),
        }),
        Notice::CallNeeded {
            index,
            request_id: task,
            body,
        } => Some(Event::Waits {
            txn: Txn::read(task.as_bytes())?,
            index,
            body: body.into(),
        }),
        Notice::Gauges { nonce, readings } => Some(Event::Gauges {
            nonce: nonce.parse().ok()?,
            readings,
        }),
        Notice::CommandRejected {
            command,
            request_id: task,
        } => Some(Event::Refused {
            command: command.into_owned(),
            txn: Txn::read(task.as_bytes()),
        }),
        Notice::Log { .. } => None,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/interpreter.rs"]
mod tests;
