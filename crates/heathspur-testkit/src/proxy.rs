//! A TCP proxy that injects faults: it splits, delays and cuts streams and silences connections. The faults of
//! each connection are drawn from a seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The faults that the proxy may inject.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The largest piece that a write is split into, in bytes; pieces have 1 to this many. 0 disables splitting.
    pub max_piece_len: usize,
    /// The longest delay before each piece.
    pub max_delay: Duration,
    /// How many of a thousand connections are cut: closed after a random number of the client's bytes, below
    /// `fault_window_bytes`.
    pub cut_per_mille: u32,
    /// How many of a thousand connections are silenced: after a random number of the client's bytes, below
    /// `fault_window_bytes`, they stay open and forward no more bytes of the client.
    pub silent_per_mille: u32,
    /// The upper bound, exclusive, of the number of a client's bytes before a fault. The number is drawn before
    /// anything is forwarded, so that it does not depend on how the stream is split into reads.
    pub fault_window_bytes: usize,
}

/// Counts of connections and injected faults.
#[derive(Debug, Default)]
pub struct FaultCounts {
    /// Connections accepted.
    pub connections: AtomicU64,
    /// Connections cut.
    pub cut: AtomicU64,
    /// Connections silenced.
    pub silenced: AtomicU64,
}

/// Starts a proxy to `target` that runs until the process ends; returns where it listens, and its counts.
///
/// # Panics
///
/// Panics if no loopback port can be bound.
pub fn start(target: SocketAddr, faults: Faults, seed: u64) -> (SocketAddr, Arc<FaultCounts>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind the proxy to a loopback port");
    let address = listener
        .local_addr()
        .expect("read the proxy's local address");
    let returned = Arc::new(FaultCounts::default());
    let counts = returned.clone();
    thread::spawn(move || {
        for (number, client) in listener.incoming().flatten().enumerate() {
            counts.connections.fetch_add(1, Ordering::Relaxed);
            let Ok(server) = TcpStream::connect(target) else {
                continue;
            };
            let mut rng = StdRng::seed_from_u64(seed ^ (number as u64) << 20);
            let draw = rng.random_range(0..1000);
            let at = rng.random_range(0..faults.fault_window_bytes.max(1));
            let fault = match draw {
                n if n < faults.cut_per_mille => StreamFault::CutAt(at),
                n if n < faults.cut_per_mille + faults.silent_per_mille => {
                    StreamFault::SilentAt(at)
                }
                _ => StreamFault::None,
            };
            for (from, to, fault) in [
                (&client, &server, fault),
                (&server, &client, StreamFault::None),
            ] {
                let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                    continue;
                };
                let (rng, counts) = (StdRng::seed_from_u64(rng.random()), counts.clone());
                thread::spawn(move || forward(from, to, faults, fault, rng, &counts));
            }
        }
    });
    (address, returned)
}

/// The fault of one direction of a connection, with the number of bytes that are forwarded before it.
#[derive(Clone, Copy, Debug)]
enum StreamFault {
    None,
    CutAt(usize),
    SilentAt(usize),
}

fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    faults: Faults,
    fault: StreamFault,
    mut rng: StdRng,
    counts: &FaultCounts,
) {
    let _ = to.set_nodelay(true);
    let mut remaining = match fault {
        StreamFault::None => usize::MAX,
        StreamFault::CutAt(at) | StreamFault::SilentAt(at) => at,
    };
    let mut chunk = vec![0; 16 * 1024];
    loop {
        let count = match from.read(&mut chunk) {
            Ok(n) if n > 0 => n,
            _ => break,
        };
        let mut unsent = &chunk[..count.min(remaining)];
        let fault_reached = count > remaining;
        remaining -= unsent.len();
        while !unsent.is_empty() {
            let max_len = if faults.max_piece_len == 0 {
                unsent.len()
            } else {
                faults.max_piece_len.min(unsent.len())
            };
            let len = if faults.max_piece_len == 0 {
                max_len
            } else {
                rng.random_range(1..=max_len)
            };
            let (piece, rest) = unsent.split_at(len);
            unsent = rest;
            if !faults.max_delay.is_zero() {
                thread::sleep(faults.max_delay.mul_f64(rng.random::<f64>()));
            }
            if to.write_all(piece).is_err() {
                let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
                return;
            }
        }
        match fault {
            StreamFault::CutAt(_) if fault_reached => {
                counts.cut.fetch_add(1, Ordering::Relaxed);
                let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
                return;
            }
            StreamFault::SilentAt(_) if fault_reached => {
                // Keeps reading without forwarding, and closes nothing while the client stays connected.
                counts.silenced.fetch_add(1, Ordering::Relaxed);
                while matches!(from.read(&mut chunk), Ok(n) if n > 0) {}
                return;
            }
            _ => {}
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
