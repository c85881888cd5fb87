//! The failover of one instance, which plans the routing of calls from completed calls, health checks and the fleet's
//! view.

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
    /// Whether it is live. A dead member only counts in the size of the quorum.
    pub live: bool,
    /// Its load.
    pub load: PeerLoad,
    /// Its ballot on its zone's decision.
    pub ballot: Ballot,
}

/// The routing of an instance's calls until the next plan.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoutingPlan {
    /// The part of the calls that each replica receives, in thousandths, by the index of its zone.
    pub shares: Vec<u16>,
    /// The maximum number of calls in flight to each replica of another zone, by the index of its zone; 0 for the local
    /// one, which has no limit.
    pub call_limits: Vec<u32>,
}

impl RoutingPlan {
    /// Returns the plan that routes all calls to the local zone, whose index is `local_index`.
    pub fn all_local(zones: usize, local_index: usize) -> RoutingPlan {
        let mut shares = vec![0; zones];
        shares[local_index] = ALL_CALLS_THOUSANDTHS;
        RoutingPlan {
            shares,
            call_limits: vec![0; zones],
        }
    }
}

/// The outcome of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepOutcome {
    /// The decision of the zone, if a new one was accepted.
    pub new_decision: Option<Decision>,
    /// The ballot to publish.
    pub ballot: Ballot,
    /// Whether this instance has no quorum and moves only its own calls.
    pub without_quorum: bool,
    /// The new routing plan.
    pub plan: RoutingPlan,
    /// Whether the local replica needs health checks, since it receives too few calls to observe its health.
    pub needs_check: bool,
}

/// The failover of one instance.
#[derive(Clone, Debug)]
pub struct Failover {
    /// The zones with a replica, in the order of the operator's file.
    zones: Vec<String>,
    /// The index of the local zone.
    local_index: usize,
    region: String,
    health: ReplicaHealth,
    register: DecisionRegister,
}

impl Failover {
    /// Creates the failover of an instance before any decision. `local_index` is the index of the local zone in
    /// `zones`, the zones with a replica.
    pub fn new(
        zones: Vec<String>,
        local_index: usize,
        region: String,
        hysteresis: Hysteresis,
    ) -> Failover {
        Failover {
            zones,
            local_index,
            region,
            health: ReplicaHealth::default(),
            register: DecisionRegister::new(hysteresis),
        }
    }

    /// Records completed calls to the local zone's replica.
    pub fn record_calls(&mut self, calls: CompletedCalls) {
        self.health.record_calls(calls);
    }

    /// Records a completed health check of the local zone's replica.
    pub fn record_check(&mut self, succeeded: bool) {
        self.health.record_check(succeeded);
    }

    /// Advances by `elapsed_ms` and plans the routing of calls. `peers` are the other members in the current view.
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
        let local_zone = &self.zones[self.local_index];
        let zone_peers = || peers.iter().filter(|peer| peer.zone == *local_zone);
        let live_peers = zone_peers().filter(|peer| peer.live);
        let ballots: Vec<Ballot> = live_peers.map(|peer| peer.ballot).collect();
        let zone_size = 1 + zone_peers().count();
        let observed_level = self.health.level();
        self.register
            .step(elapsed_ms, observed_level, &ballots, zone_size)
    }

    fn plan(&self, local_traffic_tenths: u8, peers: &[Peer]) -> RoutingPlan {
        let live: Vec<&Peer> = peers.iter().filter(|peer| peer.live).collect();
        let remote_zones = (0..self.zones.len()).filter(|&index| index != self.local_index);
        let others: Vec<RemoteZone> = remote_zones
            .map(|index| self.remote_zone(&self.zones[index], &live))
            .collect();
        let split = split_traffic(local_traffic_tenths, &others);
        let mut plan = RoutingPlan {
            shares: vec![0; self.zones.len()],
            call_limits: vec![0; self.zones.len()],
        };
        for (index, zone) in self.zones.iter().enumerate() {
            if index == self.local_index {
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
            // A zone without a live member receives no calls.
            local_traffic_tenths: newest.map_or(0, |decision| decision.local_traffic_tenths),
        }
    }
}

/// Returns the number of instances that may send calls to a zone: this one, and all live members of other zones whose
/// zone moved traffic away.
fn senders_to(zone: &str, live: &[&Peer]) -> usize {
    let moved = |peer: &&&Peer| peer.ballot.accepted.local_traffic_tenths < ALL_TRAFFIC_TENTHS;
    let others = live.iter().filter(|peer| peer.zone != zone);
    1 + others.filter(moved).count()
}
