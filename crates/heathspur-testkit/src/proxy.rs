//! A proxy that breaks connections byte by byte: it splits, delays and cuts what passes, resets, goes silent.
//! What it does is drawn from a seed, connection by connection.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// What it may do to a connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Writes are split into pieces of 1 to this many bytes; 0 leaves them whole.
    pub max_piece_len: usize,
    /// Each piece waits up to this.
    pub max_delay: Duration,
    /// Of a thousand connections, so many break at a byte of the client's, below `within`.
    pub cut_per_mille: u32,
    /// Of a thousand connections, so many go silent at such a byte, and stay open.
    pub silent_per_mille: u32,
    /// Bytes of a client within which faults lie. They are drawn before anything passes, so that how the bytes
    /// come in pieces changes no fate.
    pub fault_window_bytes: usize,
}

/// What it did.
#[derive(Debug, Default)]
pub struct FaultCounts {
    pub connections: AtomicU64,
    pub cut: AtomicU64,
    pub silenced: AtomicU64,
}

/// Passes connections on to a target until the process ends.
pub fn start(target: SocketAddr, faults: Faults, seed: u64) -> (SocketAddr, Arc<FaultCounts>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let done = Arc::new(FaultCounts::default());
    let counts = done.clone();
    thread::spawn(move || {
        for (number, front) in listener.incoming().flatten().enumerate() {
            counts.connections.fetch_add(1, Ordering::Relaxed);
            let Ok(back) = TcpStream::connect(target) else {
                continue;
            };
            let mut lots = StdRng::seed_from_u64(seed ^ (number as u64) << 20);
            let fate = lots.random_range(0..1000);
            let at = lots.random_range(0..faults.fault_window_bytes.max(1));
            let fate = match fate {
                n if n < faults.cut_per_mille => Fate::Cut(at),
                n if n < faults.cut_per_mille + faults.silent_per_mille => Fate::Silent(at),
                _ => Fate::Whole,
            };
            for (from, to, fate) in [(&front, &back, fate), (&back, &front, Fate::Whole)] {
                let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                    continue;
                };
                let (lots, counts) = (StdRng::seed_from_u64(lots.random()), counts.clone());
                thread::spawn(move || pass(from, to, faults, fate, lots, &counts));
            }
        }
    });
    (address, done)
}

/// What becomes of a client's bytes.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Whole,
    Cut(usize),
    Silent(usize),
}

fn pass(
    mut from: TcpStream,
    mut to: TcpStream,
    faults: Faults,
    fate: Fate,
    mut lots: StdRng,
    done: &FaultCounts,
) {
    let _ = to.set_nodelay(true);
    let mut left = match fate {
        Fate::Whole => usize::MAX,
        Fate::Cut(at) | Fate::Silent(at) => at,
    };
    let mut chunk = vec![0; 16 * 1024];
    loop {
        let read = match from.read(&mut chunk) {
            Ok(n) if n > 0 => n,
            _ => break,
        };
        let mut rest = &chunk[..read.min(left)];
        let over = read > left;
        left -= rest.len();
        while !rest.is_empty() {
            let most = if faults.max_piece_len == 0 {
                rest.len()
            } else {
                faults.max_piece_len.min(rest.len())
            };
            let size = if faults.max_piece_len == 0 {
                most
            } else {
                lots.random_range(1..=most)
            };
            let (piece, after) = rest.split_at(size);
            rest = after;
            if !faults.max_delay.is_zero() {
                thread::sleep(faults.max_delay.mul_f64(lots.random::<f64>()));
            }
            if to.write_all(piece).is_err() {
                let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
                return;
            }
        }
        match fate {
            Fate::Cut(_) if over => {
                done.cut.fetch_add(1, Ordering::Relaxed);
                let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
                return;
            }
            Fate::Silent(_) if over => {
                // It reads on, passes nothing, and closes nothing while the client stays.
                done.silenced.fetch_add(1, Ordering::Relaxed);
                while matches!(from.read(&mut chunk), Ok(n) if n > 0) {}
                return;
            }
            _ => {}
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
