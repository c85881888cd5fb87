//! One instance's failover as a whole: calls and checks in, what its zone says of itself in, shares and budgets out.

use crate::call_budget::spare_capacity;
use crate::decision_register::{Ballot, Decision, DecisionRegister, Hysteresis};
use crate::replica_health::ReplicaHealth;
use crate::traffic_split::{split_traffic, RemoteZone};

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
    pub ballot: Ballot,
}

/// What an instance goes by until the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoutingPlan {
    /// Parts of its calls by replica, in thousandths.
    pub shares: Vec<u16>,
    /// Calls that it may have under way to each replica that is not its own zone's.
    pub call_limits: Vec<u32>,
}

/// What a step came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepOutcome {
    /// What the zone holds from now on, if that changed.
    pub new_decision: Option<Decision>,
    /// What is to be said to others.
    pub ballot: Ballot,
    /// Whether this instance hears no quorum and moves only itself.
    pub without_quorum: bool,
    /// How calls go from now on.
    pub plan: RoutingPlan,
    /// The own zone's replica gets no calls that would tell of it: it is to be checked.
    pub needs_check: bool,
}

/// The failover of one instance.
#[derive(Clone, Debug)]
pub struct Failover {
    /// The zones that have a replica, in the order of the operator's file.
    zones: Vec<String>,
    home: usize,
    region: String,
    health: ReplicaHealth,
    register: DecisionRegister,
}

impl Failover {
    /// All near, nothing decided. `home` is the place of the own zone among the zones with a replica.
    pub fn new(
        zones: Vec<String>,
        home: usize,
        region: String,
        hysteresis: Hysteresis,
    ) -> Failover {
        Failover {
            zones,
            home,
            region,
            health: ReplicaHealth::default(),
            register: DecisionRegister::new(hysteresis),
        }
    }

    /// Calls to the own zone's replica that ended since: well, with the natural logarithms of their times in
    /// milliseconds summed, or not.
    pub fn record_calls(&mut self, succeeded: u32, failed: u32, latency_ln_sum: f64) {
        self.health
            .record_calls(f64::from(succeeded), f64::from(failed), latency_ln_sum);
    }

    /// A check of the own zone's replica ended.
    pub fn record_check(&mut self, succeeded: bool) {
        self.health.record_check(succeeded);
    }

    /// So many milliseconds passed, and the other members are these.
    pub fn step(&mut self, elapsed_ms: u32, peers: &[Peer]) -> StepOutcome {
        self.health.advance(u64::from(elapsed_ms));
        let same_zone = |peer: &&Peer| peer.zone == self.zones[self.home];
        let ballots: Vec<Ballot> = peers
            .iter()
            .filter(same_zone)
            .filter(|p| p.live)
            .map(|p| p.ballot)
            .collect();
        let zone = 1 + peers.iter().filter(same_zone).count();
        let new_decision = self
            .register
            .step(elapsed_ms, self.health.level(), &ballots, zone);
        let local_traffic_tenths = self.register.local_traffic_tenths();
        let needs_check = local_traffic_tenths < crate::ALL_TRAFFIC_TENTHS
            || self.register.ballot().preferred < crate::ALL_TRAFFIC_TENTHS;
        StepOutcome {
            new_decision,
            ballot: self.register.ballot(),
            without_quorum: self.register.without_quorum(),
            plan: self.plan(local_traffic_tenths, peers),
            needs_check,
        }
    }

    fn plan(&self, local_traffic_tenths: u8, peers: &[Peer]) -> RoutingPlan {
        let live = || peers.iter().filter(|p| p.live);
        let others: Vec<RemoteZone> = (0..self.zones.len())
            .filter(|&z| z != self.home)
            .map(|z| {
                let members = || live().filter(|p| p.zone == self.zones[z]);
                RemoteZone {
                    zone: self.zones[z].clone(),
                    same_region: members().any(|p| p.region == self.region),
                    spare_capacity: spare_capacity(members().map(|p| p.load)),
                    // The newest decision that any of its members holds.
                    local_traffic_tenths: members()
                        .map(|p| p.ballot.accepted)
                        .reduce(|a, b| if b.supersedes(a) { b } else { a })
                        .map_or(0, |accepted| accepted.local_traffic_tenths),
                }
            })
            .collect();
        let split = split_traffic(local_traffic_tenths, &others);
        let mut plan = RoutingPlan {
            shares: vec![0; self.zones.len()],
            call_limits: vec![0; self.zones.len()],
        };
        plan.shares[self.home] = split.local_thousandths;
        for (z, name) in self
            .zones
            .iter()
            .enumerate()
            .filter(|(z, _)| *z != self.home)
        {
            plan.shares[z] = split
                .remote
                .iter()
                .find(|(zone, _)| zone == name)
                .map_or(0, |(_, part)| *part);
            // All who moved may send there, this one too.
            let senders = 1 + live()
                .filter(|p| {
                    p.zone != *name
                        && p.ballot.accepted.local_traffic_tenths < crate::ALL_TRAFFIC_TENTHS
                })
                .count();
            let room = others
                .iter()
                .find(|o| o.zone == *name)
                .map_or(0, |o| o.spare_capacity);
            plan.call_limits[z] = room / senders as u32;
        }
        plan
    }
}
