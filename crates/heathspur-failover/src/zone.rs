//! One instance's failover as a whole: calls and checks in, what its zone says of itself in, shares and budgets out.

use crate::health::Health;
use crate::register::{Decision, Pace, Register, Voice};
use crate::shares::{shares, Other};
use crate::spare::spare;

/// Another member, as the fleet's view has it. Those that left are not among them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Whether it counts as in the fleet; the dead count for the quorum only.
    pub live: bool,
    /// The cap of its admission, and its requests in flight.
    pub load: (u32, u32),
    /// What it holds and wants.
    pub voice: Voice,
}

/// What an instance goes by until the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Parts of its calls by replica, in thousandths.
    pub shares: Vec<u16>,
    /// Calls that it may have under way to each replica that is not its own zone's.
    pub may: Vec<u32>,
}

/// What a step came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// What the zone holds from now on, if that changed.
    pub decided: Option<Decision>,
    /// What is to be said to others.
    pub voice: Voice,
    /// Whether this instance hears no quorum and moves only itself.
    pub alone: bool,
    /// How calls go from now on.
    pub plan: Plan,
    /// The own zone's replica gets no calls that would tell of it: it is to be checked.
    pub check: bool,
}

/// The failover of one instance.
#[derive(Clone, Debug)]
pub struct Failover {
    /// The zones that have a replica, in the order of the operator's file.
    zones: Vec<String>,
    home: usize,
    region: String,
    health: Health,
    register: Register,
}

impl Failover {
    /// All near, nothing decided. `home` is the place of the own zone among the zones with a replica.
    pub fn new(zones: Vec<String>, home: usize, region: String, pace: Pace) -> Failover {
        Failover {
            zones,
            home,
            region,
            health: Health::default(),
            register: Register::new(pace),
        }
    }

    /// Calls to the own zone's replica that ended since: well, with the natural logarithms of their times in
    /// milliseconds summed, or not.
    pub fn called(&mut self, good: u32, bad: u32, took_ln: f64) {
        self.health.called(f64::from(good), f64::from(bad), took_ln);
    }

    /// A check of the own zone's replica ended.
    pub fn checked(&mut self, good: bool) {
        self.health.checked(good);
    }

    /// So many milliseconds passed, and the other members are these.
    pub fn step(&mut self, elapsed_ms: u32, peers: &[Peer]) -> Step {
        self.health.pass(u64::from(elapsed_ms));
        let mine = |peer: &&Peer| peer.zone == self.zones[self.home];
        let voices: Vec<Voice> = peers
            .iter()
            .filter(mine)
            .filter(|p| p.live)
            .map(|p| p.voice)
            .collect();
        let zone = 1 + peers.iter().filter(mine).count();
        let decided = self
            .register
            .step(elapsed_ms, self.health.level(), &voices, zone);
        let near = self.register.near();
        let check = near < crate::WHOLE || self.register.voice().wants < crate::WHOLE;
        Step {
            decided,
            voice: self.register.voice(),
            alone: self.register.alone(),
            plan: self.plan(near, peers),
            check,
        }
    }

    fn plan(&self, near: u8, peers: &[Peer]) -> Plan {
        let live = || peers.iter().filter(|p| p.live);
        let others: Vec<Other> = (0..self.zones.len())
            .filter(|&z| z != self.home)
            .map(|z| {
                let members = || live().filter(|p| p.zone == self.zones[z]);
                Other {
                    zone: self.zones[z].clone(),
                    same_region: members().any(|p| p.region == self.region),
                    spare: spare(members().map(|p| p.load)),
                    // The newest decision that any of its members holds.
                    near: members()
                        .map(|p| p.voice.held)
                        .reduce(|a, b| if b.replaces(a) { b } else { a })
                        .map_or(0, |held| held.near),
                }
            })
            .collect();
        let told = shares(near, &others);
        let mut plan = Plan {
            shares: vec![0; self.zones.len()],
            may: vec![0; self.zones.len()],
        };
        plan.shares[self.home] = told.near;
        for (z, name) in self
            .zones
            .iter()
            .enumerate()
            .filter(|(z, _)| *z != self.home)
        {
            plan.shares[z] = told
                .far
                .iter()
                .find(|(zone, _)| zone == name)
                .map_or(0, |(_, part)| *part);
            // All who moved may send there, this one too.
            let senders = 1 + live()
                .filter(|p| p.zone != *name && p.voice.held.near < crate::WHOLE)
                .count();
            let room = others
                .iter()
                .find(|o| o.zone == *name)
                .map_or(0, |o| o.spare);
            plan.may[z] = room / senders as u32;
        }
        plan
    }
}
