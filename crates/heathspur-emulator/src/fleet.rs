//! The emulated fleet: members, their datagrams in flight, and what each saw when.

use crate::beliefs::Beliefs;
use crate::net::Faults;
use heathspur_members::{Action, Event, Load, Member, MemberId, MemberState, Membership, Settings};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The step of emulated time, in milliseconds.
pub const TICK_MS: u64 = 10;
/// A member that leaves stops so long after, in milliseconds.
pub const DRAIN_MS: u64 = 1_000;

/// One member of the emulated fleet.
pub struct Node {
    /// Its core, `None` while it is down.
    pub core: Option<Membership>,
    /// Its member record.
    pub member: Member,
    /// It takes nothing in and sends nothing until this time.
    pub paused_until: u64,
    /// What it takes in waits so many milliseconds more.
    pub slow_ms: u64,
    /// Its clock's rate against the true one (1.0: right).
    pub rate: f64,
    /// It left, and its process ends then.
    stops_at: Option<u64>,
    /// Its clock's reading at the last step.
    clock: f64,
    /// Incarnation of its next start.
    next_incarnation: u64,
}

/// A change that a member saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// True time, in milliseconds.
    pub at: u64,
    /// Who saw it.
    pub by: usize,
    /// Of whom.
    pub of: MemberId,
    /// Into what (`None`: out of the table).
    pub to: Option<MemberState>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    at: u64,
    order: u64,
    to: usize,
    from: usize,
    bytes: Vec<u8>,
}

/// The fleet and its network.
pub struct Fleet {
    /// Its members, by index.
    pub nodes: Vec<Node>,
    /// The network's faults now.
    pub faults: Faults,
    /// True time, in milliseconds.
    pub now: u64,
    /// Every change seen, in order.
    pub seen: Vec<Seen>,
    /// What each holds of each, against what is so.
    pub beliefs: Beliefs,
    /// Datagrams and bytes sent, by member; 28 bytes of IP and UDP counted with each.
    pub sent: Vec<(u64, u64)>,
    settings: Settings,
    queue: BinaryHeap<Reverse<InFlight>>,
    order: u64,
    rng: StdRng,
}

/// The address of member `i`.
pub fn address(i: usize) -> SocketAddrV4 {
    SocketAddrV4::new(
        Ipv4Addr::new(10, (i >> 16) as u8, (i >> 8) as u8, i as u8),
        7946,
    )
}

fn index(address: SocketAddrV4) -> usize {
    let [_, a, b, c] = address.ip().octets();
    ((a as usize) << 16) | ((b as usize) << 8) | c as usize
}

impl Fleet {
    /// `members` members, each with `settings`, zones `zones` in turn; all join through member 0.
    pub fn new(members: usize, zones: usize, settings: Settings, seed: u64) -> Fleet {
        let mut fleet = Fleet::down(members, zones, settings, seed);
        (0..members).for_each(|i| fleet.start(i));
        fleet
    }

    /// The same members, who know each other already: a fleet that has stood for long.
    pub fn standing(members: usize, zones: usize, settings: Settings, seed: u64) -> Fleet {
        let mut fleet = Fleet::down(members, zones, settings, seed);
        let all: Vec<(Member, u64)> = fleet.nodes.iter().map(|n| (n.member.clone(), 1)).collect();
        for i in 0..members {
            fleet.begin(i, &all);
        }
        for (by, of) in (0..members).flat_map(|by| (0..members).map(move |of| (by, of))) {
            fleet.beliefs.set(by, of, Some(MemberState::Alive));
        }
        fleet
    }

    fn down(members: usize, zones: usize, settings: Settings, seed: u64) -> Fleet {
        let nodes = (0..members)
            .map(|i| Node {
                core: None,
                member: Member {
                    id: MemberId(format!("m{i}")),
                    address: address(i),
                    zone: format!("z{}", i % zones.max(1)),
                    region: format!("r{}", (i % zones.max(1)) % 2),
                    version: 1,
                    load: Load::default(),
                    usual_round_trip_ms: 0,
                    decision_epoch: 0,
                    local_traffic_tenths: 10,
                    preferred_tenths: 10,
                },
                paused_until: 0,
                slow_ms: 0,
                rate: 1.0,
                stops_at: None,
                clock: 0.0,
                next_incarnation: 1,
            })
            .collect();
        Fleet {
            nodes,
            faults: Faults::default(),
            now: 0,
            seen: Vec::new(),
            beliefs: Beliefs::new(members),
            sent: vec![(0, 0); members],
            settings,
            queue: BinaryHeap::new(),
            order: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Starts (or restarts) member `i` with an incarnation above all it had.
    pub fn start(&mut self, i: usize) {
        self.begin(i, &[]);
    }

    fn begin(&mut self, i: usize, known: &[(Member, u64)]) {
        self.beliefs.set_up(i, true);
        let node = &mut self.nodes[i];
        node.stops_at = None;
        let incarnation = node.next_incarnation;
        node.next_incarnation += 1_000;
        let seeds = vec![address(0)];
        let seed = self.rng.random::<u64>();
        let mut core = Membership::new(
            self.settings.clone(),
            node.member.clone(),
            incarnation,
            seeds,
            seed,
        );
        core.add_known_members(known.iter().cloned());
        let mut out = Vec::new();
        core.handle(node.clock as u64, Event::Join, &mut out);
        node.core = Some(core);
        self.act(i, out);
    }

    /// Member `i` stops at once, as by SIGKILL.
    pub fn crash(&mut self, i: usize) {
        self.nodes[i].core = None;
        self.beliefs.set_up(i, false);
    }

    /// Member `i` leaves as in a drain, and stops [`DRAIN_MS`] later.
    pub fn leave(&mut self, i: usize) {
        let mut out = Vec::new();
        let clock = self.nodes[i].clock as u64;
        if let Some(core) = self.nodes[i].core.as_mut() {
            core.handle(clock, Event::Leave, &mut out);
        }
        self.act(i, out);
        self.nodes[i].stops_at = Some(self.now + DRAIN_MS);
        // What it holds of others from now on matters to nobody.
        self.beliefs.set_up(i, false);
    }

    /// Runs until true time `until`.
    pub fn run_until(&mut self, until: u64) {
        while self.now < until {
            self.step();
        }
    }

    /// Runs until `done` holds or `until` passes; says whether it held.
    pub fn run_while(&mut self, until: u64, mut done: impl FnMut(&Fleet) -> bool) -> bool {
        while self.now < until {
            if done(self) {
                return true;
            }
            self.step();
        }
        done(self)
    }

    /// One tick: datagrams due are delivered, then every member's clock moves on.
    pub fn step(&mut self) {
        self.now += TICK_MS;
        while self.queue.peek().is_some_and(|Reverse(f)| f.at <= self.now) {
            let Reverse(flight) = self.queue.pop().expect("peeked");
            let node = &self.nodes[flight.to];
            if node.core.is_none() {
                continue;
            }
            // A paused member's socket holds what comes; it is read once it goes on.
            if node.paused_until > self.now {
                let at = node.paused_until;
                self.queue.push(Reverse(InFlight { at, ..flight }));
                continue;
            }
            let mut out = Vec::new();
            let clock = node.clock as u64;
            let from = address(flight.from);
            if let Some(core) = self.nodes[flight.to].core.as_mut() {
                core.handle(
                    clock,
                    Event::Datagram {
                        from,
                        bytes: &flight.bytes,
                    },
                    &mut out,
                );
            }
            self.act(flight.to, out);
        }
        for i in 0..self.nodes.len() {
            let node = &mut self.nodes[i];
            node.clock += TICK_MS as f64 * node.rate;
            if node.stops_at.is_some_and(|at| at <= self.now) {
                (node.core, node.stops_at) = (None, None);
            }
            if node.core.is_none() || node.paused_until > self.now {
                continue;
            }
            let clock = node.clock as u64;
            let mut out = Vec::new();
            if let Some(core) = node.core.as_mut() {
                core.handle(clock, Event::Tick, &mut out);
            }
            self.act(i, out);
        }
    }

    fn act(&mut self, i: usize, out: Vec<Action>) {
        for action in out {
            match action {
                Action::Send { to, bytes } => self.send(i, index(to), bytes),
                Action::StateChanged { id, to, .. } => {
                    if let Some(of) = id.0.strip_prefix('m').and_then(|n| n.parse().ok()) {
                        self.beliefs.set(i, of, to);
                    }
                    self.seen.push(Seen {
                        at: self.now,
                        by: i,
                        of: id,
                        to,
                    });
                }
                Action::IncarnationRaised(_) | Action::InputRejected(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.sent[from].0 += 1;
        self.sent[from].1 += bytes.len() as u64 + 28;
        if to >= self.nodes.len() || !self.faults.passes(from, to) {
            return;
        }
        if self.faults.loss > 0.0 && self.rng.random::<f64>() < self.faults.loss {
            return;
        }
        let copies =
            if self.faults.duplicate > 0.0 && self.rng.random::<f64>() < self.faults.duplicate {
                2
            } else {
                1
            };
        for _ in 0..copies {
            let jitter = if self.faults.jitter_ms > 0 {
                self.rng.random_range(0..=self.faults.jitter_ms)
            } else {
                0
            };
            let at = self.now
                + self.faults.delay_ms.max(1)
                + jitter
                + self.nodes[to].slow_ms
                + self.nodes[from].slow_ms;
            self.order += 1;
            self.queue.push(Reverse(InFlight {
                at,
                order: self.order,
                to,
                from,
                bytes: bytes.clone(),
            }));
        }
    }

    /// Whether every running member holds every running member alive and every stopped one not live.
    pub fn settled(&self) -> bool {
        self.beliefs.wrong() == 0
    }

    /// How many running members hold member `j` not live.
    pub fn know_gone(&self, j: usize) -> usize {
        self.beliefs.know_gone(j).0
    }

    /// Running members other than `j`.
    pub fn running_but(&self, j: usize) -> usize {
        self.beliefs.know_gone(j).1
    }

    /// Times that a running member was held dead by another, while it ran.
    pub fn false_deaths(&self, running: impl Fn(usize, u64) -> bool) -> usize {
        self.seen
            .iter()
            .filter(|s| s.to == Some(MemberState::Dead))
            .filter(|s| {
                let j: usize = s.of.0[1..].parse().unwrap_or(usize::MAX);
                running(j, s.at)
            })
            .count()
    }
}
