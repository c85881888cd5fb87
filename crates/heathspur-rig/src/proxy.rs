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
    pub split: usize,
    /// Each piece waits up to this.
    pub delay: Duration,
    /// Of a thousand pieces, so many break the connection at a byte within them.
    pub cut_per_mille: u32,
    /// Of a thousand connections, so many go silent after some bytes, and stay open.
    pub silent_per_mille: u32,
}

/// What it did.
#[derive(Debug, Default)]
pub struct Done {
    pub connections: AtomicU64,
    pub cut: AtomicU64,
    pub silent: AtomicU64,
}

/// Passes connections on to a target until the process ends.
pub fn start(target: SocketAddr, faults: Faults, seed: u64) -> (SocketAddr, Arc<Done>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let done = Arc::new(Done::default());
    let counts = done.clone();
    thread::spawn(move || {
        for (number, front) in listener.incoming().flatten().enumerate() {
            counts.connections.fetch_add(1, Ordering::Relaxed);
            let Ok(back) = TcpStream::connect(target) else { continue };
            let mut lots = StdRng::seed_from_u64(seed ^ (number as u64) << 20);
            let silent = lots.random_range(0..1000) < faults.silent_per_mille;
            for (from, to, salt) in [(&front, &back, 1), (&back, &front, 2)] {
                let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                let (lots, counts) = (StdRng::seed_from_u64(lots.random::<u64>() ^ salt), counts.clone());
                thread::spawn(move || pass(from, to, faults, silent, lots, &counts));
            }
        }
    });
    (address, done)
}

fn pass(mut from: TcpStream, mut to: TcpStream, faults: Faults, silent: bool, mut lots: StdRng, done: &Done) {
    let _ = to.set_nodelay(true);
    let mut left = if silent { lots.random_range(0..4096) } else { usize::MAX };
    let mut chunk = vec![0; 16 * 1024];
    loop {
        let read = match from.read(&mut chunk) {
            Ok(n) if n > 0 => n,
            _ => break,
        };
        let mut rest = &chunk[..read.min(left)];
        if read > left {
            done.silent.fetch_add(1, Ordering::Relaxed);
        }
        left -= rest.len();
        while !rest.is_empty() {
            let most = if faults.split == 0 { rest.len() } else { faults.split.min(rest.len()) };
            let size = if faults.split == 0 { most } else { lots.random_range(1..=most) };
            let (mut piece, after) = rest.split_at(size);
            rest = after;
            let cut = lots.random_range(0..1000) < faults.cut_per_mille;
            if cut {
                piece = &piece[..lots.random_range(0..=piece.len())];
            }
            if !faults.delay.is_zero() {
                thread::sleep(faults.delay.mul_f64(lots.random::<f64>()));
            }
            if to.write_all(piece).is_err() || cut {
                done.cut.fetch_add(u64::from(cut), Ordering::Relaxed);
                let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
                return;
            }
        }
        if left == 0 {
            // Silent: it reads on, passes nothing, and closes nothing.
            while matches!(from.read(&mut chunk), Ok(n) if n > 0) {}
            thread::sleep(Duration::from_secs(3600));
            return;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
