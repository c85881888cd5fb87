//! A fault relay for datagrams between members on loopback: each member is reached at its relay port, and
//! what passes is dropped, delayed, duplicated or cut by rules that a test changes while it runs.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashSet;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What the relay does now.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// The share of datagrams lost, 0 to 1.
    pub loss: f64,
    /// The share delivered twice.
    pub duplicate: f64,
    /// Every datagram from or to member `i` waits `slow[i]` more.
    pub extra_delay: Vec<Duration>,
    /// A side for each member; between different sides nothing passes.
    pub partitions: Vec<u8>,
    /// Links cut one way, (from, to).
    pub blocked_links: HashSet<(usize, usize)>,
}

impl Rules {
    fn passes(&self, from: usize, to: usize) -> bool {
        !self.blocked_links.contains(&(from, to))
            && match (self.partitions.get(from), self.partitions.get(to)) {
                (Some(a), Some(b)) => a == b,
                _ => true,
            }
    }
}

/// The relay: member `i` listens on `real[i]` and is told to others as `ports[i]`.
pub struct Relay {
    /// Where members are reached through the relay.
    pub relay_addresses: Vec<SocketAddr>,
    /// Where members really listen.
    pub member_addresses: Vec<SocketAddr>,
    /// Its rules, changed by the test.
    pub rules: Arc<Mutex<Rules>>,
    /// Datagrams and bytes that came to it so far, from all members.
    pub received_totals: Arc<(AtomicU64, AtomicU64)>,
}

/// Datagrams held back for delay at once.
const DELAYED: usize = 4_096;

struct Later {
    at: Instant,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl Relay {
    /// A relay for `members` members, on free loopback ports.
    pub fn start(members: usize) -> Relay {
        let sockets: Vec<UdpSocket> = (0..members)
            .map(|_| UdpSocket::bind("127.0.0.1:0").unwrap())
            .collect();
        let ports: Vec<SocketAddr> = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
        // Free ports for the members themselves: all bound, read, and only then let go, so that none comes twice.
        let free: Vec<UdpSocket> = (0..members)
            .map(|_| UdpSocket::bind("127.0.0.1:0").unwrap())
            .collect();
        let real: Vec<SocketAddr> = free.iter().map(|s| s.local_addr().unwrap()).collect();
        drop(free);
        let rules = Arc::new(Mutex::new(Rules {
            extra_delay: vec![Duration::ZERO; members],
            ..Rules::default()
        }));
        let sockets: Arc<Vec<UdpSocket>> = Arc::new(sockets);
        let came = Arc::new((AtomicU64::new(0), AtomicU64::new(0)));
        // Bounded: past it a delayed datagram is lost, as on a full link.
        let (later, queue) = mpsc::sync_channel::<Later>(DELAYED);
        let out = sockets.clone();
        let targets = real.clone();
        thread::spawn(move || delayed(queue, out, targets));
        for to in 0..members {
            let (sockets, rules, real, later) =
                (sockets.clone(), rules.clone(), real.clone(), later.clone());
            let came = came.clone();
            thread::spawn(move || forward(to, sockets, rules, real, later, came));
        }
        Relay {
            relay_addresses: ports,
            member_addresses: real,
            rules,
            received_totals: came,
        }
    }

    /// Changes the rules.
    pub fn update_rules(&self, change: impl FnOnce(&mut Rules)) {
        change(&mut self.rules.lock().unwrap());
    }
}

fn forward(
    to: usize,
    sockets: Arc<Vec<UdpSocket>>,
    rules: Arc<Mutex<Rules>>,
    real: Vec<SocketAddr>,
    later: SyncSender<Later>,
    came: Arc<(AtomicU64, AtomicU64)>,
) {
    let mut buffer = [0u8; 2048];
    let mut draw = StdRng::seed_from_u64(0x2545_f491_4f6c_dd1d ^ to as u64);
    let mut chance = move || draw.random::<f64>();
    loop {
        let Ok((len, source)) = sockets[to].recv_from(&mut buffer) else {
            continue;
        };
        // Members send from the socket they listen on, so the source tells who sent.
        let Some(from) = real.iter().position(|r| *r == source) else {
            continue;
        };
        came.0.fetch_add(1, Ordering::Relaxed);
        came.1.fetch_add(len as u64, Ordering::Relaxed);
        let rules = rules.lock().unwrap().clone();
        if !rules.passes(from, to) || chance() < rules.loss {
            continue;
        }
        let copies = if chance() < rules.duplicate { 2 } else { 1 };
        let wait = rules.extra_delay[from] + rules.extra_delay[to];
        for _ in 0..copies {
            let bytes = buffer[..len].to_vec();
            if wait.is_zero() {
                // Out of the sender's relay port, so that the receiver sees the address it knows the sender by.
                let _ = sockets[from].send_to(&bytes, real[to]);
            } else {
                let _ = later.try_send(Later {
                    at: Instant::now() + wait,
                    from,
                    to,
                    bytes,
                });
            }
        }
    }
}

fn delayed(queue: Receiver<Later>, sockets: Arc<Vec<UdpSocket>>, real: Vec<SocketAddr>) {
    let mut waiting: Vec<Later> = Vec::new();
    loop {
        let next = waiting.iter().map(|l| l.at).min();
        let wait = next.map_or(Duration::from_millis(50), |at| {
            at.saturating_duration_since(Instant::now())
        });
        match queue.recv_timeout(wait) {
            Ok(later) if waiting.len() < DELAYED => waiting.push(later),
            Ok(_) => {}
            Err(mpsc::RecvTimeoutError::Timeout) => {}
            Err(mpsc::RecvTimeoutError::Disconnected) => return,
        }
        let now = Instant::now();
        let (due, kept): (Vec<Later>, Vec<Later>) = waiting.drain(..).partition(|l| l.at <= now);
        waiting = kept;
        for l in due {
            let _ = sockets[l.from].send_to(&l.bytes, real[l.to]);
        }
    }
}
