//! A replica of the dependency: agrees to every call after its time, can be killed, revived and slowed, and counts.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

#[derive(Default)]
struct State {
    up: AtomicBool,
    delay_ms: AtomicU64,
    calls: AtomicU64,
    under_way: AtomicU64,
    most: AtomicU64,
}

pub struct StubReplica {
    pub address: SocketAddr,
    state: Arc<State>,
    accepts: Option<JoinHandle<()>>,
}

impl StubReplica {
    pub fn start() -> StubReplica {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let mut replica = StubReplica {
            address,
            state: Arc::new(State::default()),
            accepts: None,
        };
        replica.accept(listener);
        replica
    }

    fn accept(&mut self, listener: TcpListener) {
        self.state.up.store(true, Ordering::SeqCst);
        listener.set_nonblocking(true).unwrap();
        let state = self.state.clone();
        self.accepts = Some(thread::spawn(move || {
            while state.up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let state = state.clone();
                        thread::spawn(move || serve(stream, &state));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        }));
    }

    /// It stops: nothing listens there any more, and what is connected breaks.
    pub fn kill(&mut self) {
        self.state.up.store(false, Ordering::SeqCst);
        if let Some(accepts) = self.accepts.take() {
            accepts.join().unwrap();
        }
    }

    /// It is there again.
    pub fn restart(&mut self) {
        let listener = TcpListener::bind(self.address).unwrap();
        self.accept(listener);
    }

    /// Each call takes so long from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.state
            .delay_ms
            .store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Calls that it agreed to so far.
    pub fn completed_calls(&self) -> u64 {
        self.state.calls.load(Ordering::SeqCst)
    }

    /// The most calls that it ever had in hand at once.
    pub fn max_in_flight(&self) -> u64 {
        self.state.most.load(Ordering::SeqCst)
    }
}

impl Drop for StubReplica {
    fn drop(&mut self) {
        self.kill();
    }
}

fn serve(stream: TcpStream, state: &State) -> Option<()> {
    stream.set_nonblocking(false).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 || !state.up.load(Ordering::SeqCst) {
            return None;
        }
        let words: Vec<_> = line.split_whitespace().collect();
        let ["CALL", id, _, length] = words[..] else {
            continue;
        };
        let mut body = vec![0; length.parse::<usize>().ok()? + 2];
        reader.read_exact(&mut body).ok()?;
        let under_way = 1 + state.under_way.fetch_add(1, Ordering::SeqCst);
        state.most.fetch_max(under_way, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(state.delay_ms.load(Ordering::SeqCst)));
        state.under_way.fetch_sub(1, Ordering::SeqCst);
        if !state.up.load(Ordering::SeqCst) {
            return None;
        }
        let reply = format!("{id} OK {length}\r\n").into_bytes();
        (&stream).write_all(&[reply, body].concat()).ok()?;
        state.calls.fetch_add(1, Ordering::SeqCst);
    }
}
