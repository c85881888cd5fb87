//! A fault relay for datagrams between members on loopback. Each member is reached at its relay address; datagrams
//! are dropped, delayed, duplicated or blocked by rules that a test changes while the relay runs.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashSet;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The faults that the relay injects.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// The probability that a datagram is lost, 0 to 1.
    pub loss: f64,
    /// The probability that a datagram is delivered twice, 0 to 1.
    pub duplicate: f64,
    /// The extra delay by member of every datagram from or to it; those of sender and receiver add up.
    pub extra_delay: Vec<Duration>,
    /// The partition by member; nothing passes between different partitions. A member without an entry reaches all.
    pub partitions: Vec<u8>,
    /// One-way links that carry nothing, as (sender, receiver).
    pub blocked_links: HashSet<(usize, usize)>,
}

impl Rules {
    fn allows(&self, from: usize, to: usize) -> bool {
        !self.blocked_links.contains(&(from, to))
            && match (self.partitions.get(from), self.partitions.get(to)) {
                (Some(a), Some(b)) => a == b,
                _ => true,
            }
    }
}

/// A relay whose threads run until the process ends.
///
/// Member `i` listens on `member_addresses[i]` and advertises `relay_addresses[i]`.
pub struct Relay {
    /// Where the relay receives the datagrams for each member.
    pub relay_addresses: Vec<SocketAddr>,
    /// Where each member listens.
    pub member_addresses: Vec<SocketAddr>,
    /// The rules in effect.
    pub rules: Arc<Mutex<Rules>>,
    /// The numbers of datagrams and bytes that the relay has received from all members.
    pub received_totals: Arc<(AtomicU64, AtomicU64)>,
}

/// The capacity of the queue of delayed datagrams, and the largest number that wait to become due.
const MAX_DELAYED_DATAGRAMS: usize = 4_096;

struct DelayedDatagram {
    due: Instant,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl Relay {
    /// Starts a relay for `members` members on free loopback ports.
    ///
    /// # Panics
    ///
    /// Panics if a port cannot be bound.
    pub fn start(members: usize) -> Relay {
        let sockets: Vec<UdpSocket> = (0..members).map(|_| bind_udp_loopback()).collect();
        let relay_addresses: Vec<SocketAddr> = sockets.iter().map(local_address).collect();
        // All sockets for the members are bound before any is dropped, so that no address is chosen twice.
        let member_sockets: Vec<UdpSocket> = (0..members).map(|_| bind_udp_loopback()).collect();
        let member_addresses: Vec<SocketAddr> = member_sockets.iter().map(local_address).collect();
        drop(member_sockets);
        let rules = Arc::new(Mutex::new(Rules {
            extra_delay: vec![Duration::ZERO; members],
            ..Rules::default()
        }));
        let sockets: Arc<Vec<UdpSocket>> = Arc::new(sockets);
        let received_totals = Arc::new((AtomicU64::new(0), AtomicU64::new(0)));
        // The queue is bounded: datagrams beyond its capacity are lost, as on a congested link.
        let (delay_queue, delayed) = mpsc::sync_channel::<DelayedDatagram>(MAX_DELAYED_DATAGRAMS);
        let (delay_sockets, delay_targets) = (sockets.clone(), member_addresses.clone());
        thread::spawn(move || send_delayed(delayed, delay_sockets, delay_targets));
        for to in 0..members {
            let (sockets, rules, member_addresses, delay_queue) = (
                sockets.clone(),
                rules.clone(),
                member_addresses.clone(),
                delay_queue.clone(),
            );
            let received_totals = received_totals.clone();
            thread::spawn(move || {
                forward(
                    to,
                    sockets,
                    rules,
                    member_addresses,
                    delay_queue,
                    received_totals,
                )
            });
        }
        Relay {
            relay_addresses,
            member_addresses,
            rules,
            received_totals,
        }
    }

    /// Changes the rules; datagrams received from then on follow them.
    pub fn update_rules(&self, change: impl FnOnce(&mut Rules)) {
        change(&mut self.rules.lock().expect("lock the relay's rules"));
    }
}

fn bind_udp_loopback() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").expect("bind a UDP socket to a free loopback port")
}

fn local_address(socket: &UdpSocket) -> SocketAddr {
    socket
        .local_addr()
        .expect("read the UDP socket's local address")
}

/// Forwards the datagrams that arrive at the relay address of member `to`.
fn forward(
    to: usize,
    sockets: Arc<Vec<UdpSocket>>,
    rules: Arc<Mutex<Rules>>,
    member_addresses: Vec<SocketAddr>,
    delay_queue: SyncSender<DelayedDatagram>,
    received_totals: Arc<(AtomicU64, AtomicU64)>,
) {
    let mut buffer = [0u8; 2048];
    let mut rng = StdRng::seed_from_u64(0x2545_f491_4f6c_dd1d ^ to as u64);
    let mut draw = move || rng.random::<f64>();
    loop {
        let Ok((len, source)) = sockets[to].recv_from(&mut buffer) else {
            continue;
        };
        // A member sends from the socket it listens on, so the source address identifies the sender.
        let Some(from) = member_addresses.iter().position(|a| *a == source) else {
            continue;
        };
        received_totals.0.fetch_add(1, Ordering::Relaxed);
        received_totals.1.fetch_add(len as u64, Ordering::Relaxed);
        let rules = rules.lock().expect("lock the relay's rules").clone();
        if !rules.allows(from, to) || draw() < rules.loss {
            continue;
        }
        let copies = if draw() < rules.duplicate { 2 } else { 1 };
        let delay = rules.extra_delay[from] + rules.extra_delay[to];
        for _ in 0..copies {
            let bytes = buffer[..len].to_vec();
            if delay.is_zero() {
                // Sent from the sender's relay socket, so that the receiver sees the address the sender advertises.
                let _ = sockets[from].send_to(&bytes, member_addresses[to]);
            } else {
                let _ = delay_queue.try_send(DelayedDatagram {
                    due: Instant::now() + delay,
                    from,
                    to,
                    bytes,
                });
            }
        }
    }
}

/// Sends delayed datagrams when they are due.
fn send_delayed(
    delayed: Receiver<DelayedDatagram>,
    sockets: Arc<Vec<UdpSocket>>,
    member_addresses: Vec<SocketAddr>,
) {
    let mut waiting: Vec<DelayedDatagram> = Vec::new();
    loop {
        let next_due = waiting.iter().map(|datagram| datagram.due).min();
        let wait = next_due.map_or(Duration::from_millis(50), |due| {
            due.saturating_duration_since(Instant::now())
        });
        match delayed.recv_timeout(wait) {
            Ok(datagram) if waiting.len() < MAX_DELAYED_DATAGRAMS => waiting.push(datagram),
            Ok(_) => {}
            Err(mpsc::RecvTimeoutError::Timeout) => {}
            Err(mpsc::RecvTimeoutError::Disconnected) => return,
        }
        let now = Instant::now();
        let (due, not_due): (Vec<DelayedDatagram>, Vec<DelayedDatagram>) =
            waiting.drain(..).partition(|datagram| datagram.due <= now);
        waiting = not_due;
        for datagram in due {
            let _ = sockets[datagram.from].send_to(&datagram.bytes, member_addresses[datagram.to]);
        }
    }
}
