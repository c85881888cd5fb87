//! The failover of one instance: takes calls, checks and the fleet's view, and plans the routing of calls.

use crate::call_budget::{spare_capacity, PeerLoad};
use crate::decision_register::{Ballot, Decision, DecisionRegister, Hysteresis};
use crate::replica_health::{CompletedCalls, ReplicaHealth};
use crate::traffic_split::{split_traffic, RemoteZone};
use crate::{ALL_CALLS_THOUSANDTHS, ALL_TRAFFIC_TENTHS};

/// Another member in the fleet's view that has not left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Whether it is in the fleet; a dead one counts for the size of the quorum only.
    pub live: bool,
    /// Its load.
    pub load: PeerLoad,
    /// Its ballot on its zone's decision.
    pub ballot: Ballot,
}

/// How calls are routed until the next plan.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoutingPlan {
    /// The parts of this instance's calls by replica, in thousandths.
    pub shares: Vec<u16>,
    /// The most calls in flight to each replica of another zone.
    pub call_limits: Vec<u32>,
}

impl RoutingPlan {
    /// The plan that keeps all calls in the local zone, whose index is `home`.
    pub fn all_local(zones: usize, home: usize) -> RoutingPlan {
        let mut shares = vec![0; zones];
        shares[home] = ALL_CALLS_THOUSANDTHS;
        RoutingPlan {
            shares,
            call_limits: vec![0; zones],
        }
    }
}

/// The outcome of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepOutcome {
    /// The zone's decision, if a new one was accepted.
    pub new_decision: Option<Decision>,
    /// The ballot to publish.
    pub ballot: Ballot,
    /// Whether this instance has no quorum and moves only its own calls.
    pub without_quorum: bool,
    /// The routing of calls from now on.
    pub plan: RoutingPlan,
    /// Whether the local replica gets too few calls to show its health and needs health checks.
    pub needs_check: bool,
}

/// The failover of one instance.
#[derive(Clone, Debug)]
pub struct Failover {
    /// The zones with a replica, in the order of the operator's file.
    zones: Vec<String>,
    /// The index of the local zone.
    home: usize,
    region: String,
    health: ReplicaHealth,
    register: DecisionRegister,
}

impl Failover {
    /// Failover before any decision. `home` is the index of the local zone among the zones with a replica.
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

    /// Counts completed calls to the local zone's replica.
    pub fn record_calls(&mut self, calls: CompletedCalls) {
        self.health.record_calls(calls);
    }

    /// Counts a completed health check of the local zone's replica.
    pub fn record_check(&mut self, succeeded: bool) {
        self.health.record_check(succeeded);
    }

    /// Advances by `elapsed_ms`, with the other members as they are now.
    pub fn step(&mut self, elapsed_ms: u32, peers: &[Peer]) -> StepOutcome {
        self.health.advance(u64::from(elapsed_ms));
        let new_decision = self.update_register(elapsed_ms, peers);
        let ballot = self.register.ballot();
        let level = self.register.local_traffic_tenths();
        StepOutcome {
            new_decision,
            ballot,
            without_quorum: self.register.without_quorum(),
            plan: self.plan(level, peers),
            needs_check: level < ALL_TRAFFIC_TENTHS || ballot.preferred < ALL_TRAFFIC_TENTHS,
        }
    }

    fn update_register(&mut self, elapsed_ms: u32, peers: &[Peer]) -> Option<Decision> {
        let home_zone = &self.zones[self.home];
        let zone_peers = || peers.iter().filter(|peer| peer.zone == *home_zone);
        let live_peers = zone_peers().filter(|peer| peer.live);
        let ballots: Vec<Ballot> = live_peers.map(|peer| peer.ballot).collect();
        let zone_size = 1 + zone_peers().count();
        let observed_level = self.health.level();
        self.register
            .step(elapsed_ms, observed_level, &ballots, zone_size)
    }

    fn plan(&self, local_traffic_tenths: u8, peers: &[Peer]) -> RoutingPlan {
        let live: Vec<&Peer> = peers.iter().filter(|peer| peer.live).collect();
        let remote_zones = (0..self.zones.len()).filter(|&index| index != self.home);
        let others: Vec<RemoteZone> = remote_zones
            .map(|index| self.remote_zone(&self.zones[index], &live))
            .collect();
        let split = split_traffic(local_traffic_tenths, &others);
        let mut plan = RoutingPlan {
            shares: vec![0; self.zones.len()],
            call_limits: vec![0; self.zones.len()],
        };
        for (index, zone) in self.zones.iter().enumerate() {
            if index == self.home {
                plan.shares[index] = split.local_thousandths;
                continue;
            }
            if let Some(share) = split.remote.iter().find(|share| share.zone == *zone) {
                plan.shares[index] = share.thousandths;
            }
            if let Some(other) = others.iter().find(|other| other.zone == *zone) {
                plan.call_limits[index] = other.spare_capacity / senders_to(zone, &live) as u32;
            }
        }
        plan
    }

    fn remote_zone(&self, zone: &str, live: &[&Peer]) -> RemoteZone {
        let members = || live.iter().filter(|peer| peer.zone == zone);
        let decisions = members().map(|peer| peer.ballot.accepted);
        let newest = decisions.reduce(|a, b| if b.supersedes(a) { b } else { a });
        RemoteZone {
            zone: zone.to_string(),
            same_region: members().any(|peer| peer.region == self.region),
            spare_capacity: spare_capacity(members().map(|peer| peer.load)),
            // A zone without a live member takes nothing.
            local_traffic_tenths: newest.map_or(0, |decision| decision.local_traffic_tenths),
        }
    }
}

/// Instances that may send calls to a zone: all members of other zones that moved traffic away, and this one.
fn senders_to(zone: &str, live: &[&Peer]) -> usize {
    let moved = |peer: &&&Peer| peer.ballot.accepted.local_traffic_tenths < ALL_TRAFFIC_TENTHS;
    let others = live.iter().filter(|peer| peer.zone != zone);
    1 + others.filter(moved).count()
}
