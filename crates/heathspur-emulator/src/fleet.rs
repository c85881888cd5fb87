//! The emulated fleet: starts and stops members, delivers their datagrams and records what they observe.

use crate::network::{Datagram, Network};
use crate::node::{address_of, index_of_address, index_of_id, Node, FIRST_INCARNATION};
use crate::views::MembershipViews;
use heathspur_members::{Action, Event, Member, MemberId, MemberState, Membership, Settings};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The step of emulated time, in milliseconds.
pub const TICK_MS: u64 = 10;
/// How long the process of a member continues to run after the member left, in milliseconds.
pub const DRAIN_MS: u64 = 1_000;

/// The difference between the incarnations of two successive starts. Refutations between them raise the incarnation by
/// less.
const INCARNATION_STEP: u64 = 1_000;

/// A change of a member's state that another member observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedChange {
    /// The true time of the change, in milliseconds.
    pub at: u64,
    /// The member that observed it.
    pub observer: usize,
    /// The member whose state changed.
    pub subject: MemberId,
    /// The new state; `None` if the observer removed the entry.
    pub state: Option<MemberState>,
}

impl ObservedChange {
    /// Returns the index of the member whose state changed; `None` for an id that is not of this fleet.
    pub(crate) fn subject_index(&self) -> Option<usize> {
        index_of_id(&self.subject)
    }
}

/// An emulated fleet and its network.
pub struct Fleet {
    /// Its members, by index.
    pub nodes: Vec<Node>,
    /// The simulated network between them.
    pub network: Network,
    /// True time, in milliseconds.
    pub now: u64,
    /// Every observed change, in order.
    pub changes: Vec<ObservedChange>,
    /// The membership view of every member, compared with the true state.
    pub views: MembershipViews,
    settings: Settings,
    rng: StdRng,
}

impl Fleet {
    /// Creates a fleet whose members all start now and join through member 0. Zones are assigned in turn.
    pub fn new(members: usize, zones: usize, settings: Settings, seed: u64) -> Fleet {
        let mut fleet = Fleet::stopped(members, zones, settings, seed);
        for member in 0..members {
            fleet.start(member);
        }
        fleet
    }

    /// Creates a fleet that is established already: every member has all others in its view from the start.
    pub fn established(members: usize, zones: usize, settings: Settings, seed: u64) -> Fleet {
        let mut fleet = Fleet::stopped(members, zones, settings, seed);
        let known: Vec<(Member, u64)> = fleet
            .nodes
            .iter()
            .map(|node| (node.member.clone(), FIRST_INCARNATION))
            .collect();
        for member in 0..members {
            fleet.start_with_known_members(member, &known);
        }
        for observer in 0..members {
            for subject in 0..members {
                let alive = Some(MemberState::Alive);
                fleet.views.record(observer, subject, alive);
            }
        }
        fleet
    }

    fn stopped(members: usize, zones: usize, settings: Settings, seed: u64) -> Fleet {
        Fleet {
            nodes: (0..members).map(|index| Node::new(index, zones)).collect(),
            network: Network::new(members),
            now: 0,
            changes: Vec::new(),
            views: MembershipViews::new(members),
            settings,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Starts or restarts a member, with an incarnation above all its earlier ones.
    pub fn start(&mut self, member: usize) {
        self.start_with_known_members(member, &[]);
    }

    fn start_with_known_members(&mut self, index: usize, known: &[(Member, u64)]) {
        self.views.set_up(index, true);
        let node = &mut self.nodes[index];
        node.stops_at = None;
        let incarnation = node.next_incarnation;
        node.next_incarnation += INCARNATION_STEP;
        let mut membership = Membership::new(
            self.settings.clone(),
            node.member.clone(),
            incarnation,
            vec![address_of(0)],
            self.rng.random::<u64>(),
        );
        membership.add_known_members(known.iter().cloned());
        node.membership = Some(membership);
        self.handle(index, Event::Join);
    }

    /// Stops a member at once, as SIGKILL does.
    pub fn crash(&mut self, member: usize) {
        self.nodes[member].membership = None;
        self.views.set_up(member, false);
    }

    /// Makes a member leave gracefully. Its process ends `DRAIN_MS` later.
    pub fn leave(&mut self, member: usize) {
        self.handle(member, Event::Leave);
        self.nodes[member].stops_at = Some(self.now + DRAIN_MS);
        // The view of a leaving member is no longer compared with the true state.
        self.views.set_up(member, false);
    }

    /// Runs until true time `until`.
    pub fn run_until(&mut self, until: u64) {
        while self.now < until {
            self.step();
        }
    }

    /// Runs until `condition` is true or time `until` is reached; returns whether the condition is true.
    pub fn run_until_condition(
        &mut self,
        until: u64,
        mut condition: impl FnMut(&Fleet) -> bool,
    ) -> bool {
        while self.now < until {
            if condition(self) {
                return true;
            }
            self.step();
        }
        condition(self)
    }

    /// Runs one tick: delivers the datagrams due, then ticks every member.
    pub fn step(&mut self) {
        self.now += TICK_MS;
        while let Some(datagram) = self.network.next_due(self.now) {
            self.deliver(datagram);
        }
        for index in 0..self.nodes.len() {
            self.tick(index);
        }
    }

    fn deliver(&mut self, datagram: Datagram) {
        let receiver = &self.nodes[datagram.to];
        if receiver.membership.is_none() {
            return;
        }
        // The socket of a paused member buffers datagrams until the member runs again.
        if receiver.paused_until > self.now {
            self.network.postpone(datagram, receiver.paused_until);
            return;
        }
        let event = Event::Datagram {
            from: address_of(datagram.from),
            bytes: &datagram.bytes,
        };
        self.handle(datagram.to, event);
    }

    fn tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.advance_clock(TICK_MS);
        if node.stops_at.is_some_and(|stops_at| stops_at <= self.now) {
            node.membership = None;
            node.stops_at = None;
        }
        if node.paused_until <= self.now {
            self.handle(index, Event::Tick);
        }
    }

    /// Passes an event to a member that is up and carries out the resulting actions.
    fn handle(&mut self, index: usize, event: Event<'_>) {
        let node = &mut self.nodes[index];
        let clock = node.clock();
        let Some(membership) = node.membership.as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        membership.handle(clock, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, bytes } => self.send(index, index_of_address(to), bytes),
                Action::StateChanged { id, to, .. } => self.record_change(index, id, to),
                Action::IncarnationRaised(_) | Action::InputRejected(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let receiver_delay_ms = self.nodes.get(to).map_or(0, |node| node.extra_delay_ms);
        let member_delay_ms = self.nodes[from].extra_delay_ms + receiver_delay_ms;
        self.network
            .send(self.now, (from, to), bytes, member_delay_ms, &mut self.rng);
    }

    fn record_change(&mut self, observer: usize, subject: MemberId, state: Option<MemberState>) {
        let change = ObservedChange {
            at: self.now,
            observer,
            subject,
            state,
        };
        if let Some(subject) = change.subject_index() {
            self.views.record(observer, subject, state);
        }
        self.changes.push(change);
    }

    /// Returns whether every running member considers exactly the running members alive.
    pub fn has_converged(&self) -> bool {
        self.views.wrong() == 0
    }

    /// Returns the number of observed deaths of members for which `was_running` returns true, given the member and the
    /// time of the observation.
    pub fn false_deaths(&self, was_running: impl Fn(usize, u64) -> bool) -> usize {
        self.changes
            .iter()
            .filter(|change| change.state == Some(MemberState::Dead))
            .filter(|change| {
                let subject = change.subject_index().unwrap_or(usize::MAX);
                was_running(subject, change.at)
            })
            .count()
    }
}
