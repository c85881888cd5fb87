//! A stub replica of the dependency: it answers every call with success after a delay, can be killed, restarted
//! and slowed down, and counts its calls.

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
    completed_calls: AtomicU64,
    in_flight: AtomicU64,
    max_in_flight: AtomicU64,
}

/// A stub replica; it is killed when dropped.
pub struct StubReplica {
    /// Where it listens; the same after a restart.
    pub address: SocketAddr,
    state: Arc<State>,
    accept_thread: Option<JoinHandle<()>>,
}

impl StubReplica {
    /// Starts a replica on a free loopback port, without delay.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn start() -> StubReplica {
        let listener =
            TcpListener::bind("127.0.0.1:0").expect("bind the replica to a loopback port");
        let address = listener
            .local_addr()
            .expect("read the replica's local address");
        let mut replica = StubReplica {
            address,
            state: Arc::new(State::default()),
            accept_thread: None,
        };
        replica.accept(listener);
        replica
    }

    fn accept(&mut self, listener: TcpListener) {
        self.state.up.store(true, Ordering::SeqCst);
        listener
            .set_nonblocking(true)
            .expect("set the replica's listener to non-blocking mode");
        let state = self.state.clone();
        self.accept_thread = Some(thread::spawn(move || {
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

    /// Stops the replica: its listener is closed, and each connection is closed at its next call or reply.
    pub fn kill(&mut self) {
        self.state.up.store(false, Ordering::SeqCst);
        if let Some(accept_thread) = self.accept_thread.take() {
            accept_thread
                .join()
                .expect("join the replica's accept thread");
        }
    }

    /// Listens again on the same address after [`kill`](Self::kill).
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound again.
    pub fn restart(&mut self) {
        let listener = TcpListener::bind(self.address)
            .unwrap_or_else(|e| panic!("bind the replica to {} again: {e}", self.address));
        self.accept(listener);
    }

    /// Sets how long each call takes from now on, with a resolution of a millisecond.
    pub fn set_delay(&self, delay: Duration) {
        self.state
            .delay_ms
            .store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Returns how many calls the replica has answered.
    pub fn completed_calls(&self) -> u64 {
        self.state.completed_calls.load(Ordering::SeqCst)
    }

    /// Returns the largest number of calls that were in flight at once.
    pub fn max_in_flight(&self) -> u64 {
        self.state.max_in_flight.load(Ordering::SeqCst)
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
        let in_flight = 1 + state.in_flight.fetch_add(1, Ordering::SeqCst);
        state.max_in_flight.fetch_max(in_flight, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(state.delay_ms.load(Ordering::SeqCst)));
        state.in_flight.fetch_sub(1, Ordering::SeqCst);
        if !state.up.load(Ordering::SeqCst) {
            return None;
        }
        let reply = format!("{id} OK {length}\r\n").into_bytes();
        (&stream).write_all(&[reply, body].concat()).ok()?;
        state.completed_calls.fetch_add(1, Ordering::SeqCst);
    }
}
