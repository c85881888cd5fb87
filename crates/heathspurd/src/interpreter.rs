//! The link to the interpreter: held open, made again when it breaks, resumed at the last notice read.

use crate::inbox::{self, Txn};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use heathspur_wire::interpreter::{self as wire, Command, End, Notice, Warmth};
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Waits before the link is made again.
const SHORTEST: Duration = Duration::from_millis(10);
const LONGEST: Duration = Duration::from_millis(500);
/// A connection must come up within this.
const CONNECT: Duration = Duration::from_secs(1);
/// Bytes of commands that may wait to be written before the link counts as broken.
const MOST: usize = 8 << 20;
const CHUNK: usize = 16 * 1024;

/// What the link tells the owner.
#[derive(Debug)]
pub(crate) enum News {
    Banner { warmth: Warmth, ago_ms: f64 },
    Ended { txn: Txn, end: End, body: Bytes },
    Waits { txn: Txn, index: u64, body: Bytes },
    Gauges { nonce: u64, readings: Vec<f64> },
    Refused { command: String, txn: Option<Txn> },
    Down,
}

/// The owner's end of the link: commands wait here to be written.
pub(crate) struct Link {
    out: RefCell<Vec<u8>>,
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl Link {
    pub fn new() -> Rc<Link> {
        let (wake, woken) = async_channel::bounded(1);
        Rc::new(Link { out: RefCell::new(Vec::new()), wake, woken })
    }

    pub fn send(&self, command: Command<'_>) {
        wire::write(&mut self.out.borrow_mut(), command);
        // A full channel has woken the writer already.
        let _ = self.wake.try_send(());
    }
}

/// Keeps the link up for ever.
pub(crate) async fn keep(address: SocketAddr, link: Rc<Link>, news: Sender<inbox::News>) {
    let (mut last, mut wait) = (0, SHORTEST);
    loop {
        let connect = async {
            Timer::after(CONNECT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        match future::or(Async::<TcpStream>::connect(address), connect).await {
            Ok(stream) => {
                let before = last;
                let ended = talk(&stream, &link, &news, &mut last).await;
                link.out.borrow_mut().clear();
                log!("the interpreter's link broke after notice {last}: {ended}");
                if last > before {
                    wait = SHORTEST;
                }
                if news.send(inbox::News::Interpreter(News::Down)).await.is_err() {
                    return;
                }
            }
            Err(e) => log!("no link to the interpreter: {e}"),
        }
        Timer::after(wait).await;
        wait = (wait * 2).min(LONGEST);
    }
}

/// Carries one connection to its end and says why it ended.
async fn talk(stream: &Async<TcpStream>, link: &Link, news: &Sender<inbox::News>, last: &mut u64) -> String {
    if let Err(e) = stream.get_ref().set_nodelay(true) {
        return e.to_string();
    }
    let mut hello = Vec::new();
    wire::write(&mut hello, Command::Connect(*last));
    {
        let mut out = link.out.borrow_mut();
        out.clear();
        out.append(&mut hello);
    }
    future::or(listen(stream, news, last), speak(stream, link)).await
}

async fn speak(mut stream: &Async<TcpStream>, link: &Link) -> String {
    let mut out = Vec::new();
    loop {
        std::mem::swap(&mut out, &mut *link.out.borrow_mut());
        if out.len() > MOST {
            return format!("it left {} bytes of commands unread", out.len());
        }
        if out.is_empty() {
            // The link's own sender keeps the channel open.
            let _ = link.woken.recv().await;
            continue;
        }
        if let Err(e) = stream.write_all(&out).await {
            return e.to_string();
        }
        out.clear();
    }
}

async fn listen(mut stream: &Async<TcpStream>, news: &Sender<inbox::News>, last: &mut u64) -> String {
    let (mut buffer, mut filled) = (vec![0; CHUNK], 0);
    loop {
        if filled == buffer.len() {
            buffer.resize(2 * filled, 0);
        }
        match stream.read(&mut buffer[filled..]).await {
            Ok(0) => return "closed by the interpreter".to_string(),
            Ok(n) => filled += n,
            Err(e) => return e.to_string(),
        }
        let mut start = 0;
        while let Some(at) = buffer[start..filled].iter().position(|&b| b == b'\n') {
            let line = &buffer[start..start + at];
            start += at + 1;
            if line.trim_ascii().is_empty() {
                continue;
            }
            let heard = match wire::read(line) {
                Ok(notice) => understand(notice, last),
                Err(e) => return format!("a line makes no sense: {e}"),
            };
            if let Some(heard) = heard {
                if news.send(inbox::News::Interpreter(heard)).await.is_err() {
                    return "the server has ended".to_string();
                }
            }
        }
        buffer.copy_within(start..filled, 0);
        filled -= start;
        if filled > wire::LINE {
            return "a line is too long".to_string();
        }
    }
}

/// What a notice tells the owner; nothing when it was taken before.
fn understand(notice: Notice<'_>, last: &mut u64) -> Option<News> {
    let mut fresh = |index: u64| {
        let new = index > *last;
        *last = index.max(*last);
        new
    };
    match notice {
        Notice::Banner { warmth, ago_ms } => Some(News::Banner { warmth, ago_ms }),
        Notice::Value { index, task, end, body } => {
            let txn = Txn::read(task.as_bytes());
            fresh(index).then_some(())?;
            Some(News::Ended { txn: txn?, end, body: body.into() })
        }
        Notice::Await { index, task, body } => {
            let txn = Txn::read(task.as_bytes());
            fresh(index).then_some(())?;
            Some(News::Waits { txn: txn?, index, body: body.into() })
        }
        Notice::Tops { nonce, readings } => Some(News::Gauges { nonce: nonce.parse().ok()?, readings }),
        Notice::Refused { command, task } => {
            Some(News::Refused { command: command.into_owned(), txn: Txn::read(task.as_bytes()) })
        }
        Notice::Trace { index } => {
            fresh(index);
            None
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_notice_is_taken_once_by_its_number() {
        let mut last = 0;
        let line = br#"{"verb":"VALUE","index":3,"task":"9b1f03aa5c7e2d41","outcome":"error","spent":1}"#;
        assert!(understand(wire::read(line).unwrap(), &mut last).is_some());
        assert!(understand(wire::read(line).unwrap(), &mut last).is_none());
        assert!(understand(wire::read(br#"{"verb":"TRACE","index":9,"outcome":"x"}"#).unwrap(), &mut last)
            .is_none());
        assert_eq!(last, 9);
    }
}
