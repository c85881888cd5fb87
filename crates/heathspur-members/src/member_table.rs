//! The table of other members: their records, suspicions and round trips, with an index by state.

use crate::member::{Member, MemberId, MemberState};
use crate::state_record::StateRecord;
use crate::suspicion::Suspicion;
use crate::wire::Update;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::ops::Bound;

/// The entry of one other member in the local view.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// The record that the member publishes about itself.
    pub member: Member,
    /// Its state in the local view.
    pub state: MemberState,
    /// Its incarnation in the local view.
    pub incarnation: u64,
    /// When its state in the local view last changed, in milliseconds of the local clock.
    pub state_since: u64,
    /// The running suspicion of a suspect.
    suspicion: Option<Suspicion>,
    /// The recent round trip of its acks, in milliseconds; 0 before the first.
    round_trip_ms: u64,
}

impl MemberEntry {
    fn alive(member: Member, incarnation: u64, now: u64) -> MemberEntry {
        MemberEntry {
            member,
            state: MemberState::Alive,
            incarnation,
            state_since: now,
            suspicion: None,
            round_trip_ms: 0,
        }
    }

    /// Returns the member's state and incarnation in the local view.
    pub fn record(&self) -> StateRecord {
        StateRecord {
            state: self.state,
            incarnation: self.incarnation,
        }
    }

    pub(crate) fn round_trip_ms(&self) -> u64 {
        self.round_trip_ms
    }

    /// Returns the update by which `accuser` reports this member as suspect or dead.
    pub(crate) fn accusation(&self, state: MemberState, accuser: MemberId) -> Update {
        Update {
            state,
            incarnation: self.incarnation,
            accuser: Some(accuser),
            member: self.member.clone(),
        }
    }

    /// Returns the update that reports the member's state in the local view.
    pub(crate) fn update(&self, local: &MemberId) -> Update {
        let accused = matches!(self.state, MemberState::Suspect | MemberState::Dead);
        let accuser = || {
            let first = self.suspicion.as_ref().and_then(Suspicion::first_accuser);
            // Without a running suspicion the local member is the accuser.
            first.unwrap_or(local).clone()
        };
        Update {
            state: self.state,
            incarnation: self.incarnation,
            accuser: accused.then(accuser),
            member: self.member.clone(),
        }
    }
}

/// An index of members by state, so that a tick does not scan the complete table.
#[derive(Default)]
struct StateIndex {
    suspects: BTreeSet<MemberId>,
    /// The number of members that are dead or left.
    departed: usize,
}

impl StateIndex {
    fn add(&mut self, id: &MemberId, state: MemberState) {
        if state == MemberState::Suspect {
            self.suspects.insert(id.clone());
        }
        self.departed += usize::from(!state.is_live());
    }

    fn remove(&mut self, id: &MemberId, state: MemberState) {
        if state == MemberState::Suspect {
            self.suspects.remove(id);
        }
        self.departed -= usize::from(!state.is_live());
    }
}

/// All other members in the local view, by id.
pub(crate) struct MemberTable {
    entries: BTreeMap<MemberId, MemberEntry>,
    index: StateIndex,
    /// Rises with every change; part of the view's version.
    version: u64,
}

impl MemberTable {
    pub(crate) fn new() -> MemberTable {
        MemberTable {
            entries: BTreeMap::new(),
            index: StateIndex::default(),
            version: 1,
        }
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of members that are alive or suspect.
    pub(crate) fn live_len(&self) -> usize {
        self.entries.len() - self.index.departed
    }

    pub(crate) fn has_departed(&self) -> bool {
        self.index.departed > 0
    }

    pub(crate) fn get(&self, id: &MemberId) -> Option<&MemberEntry> {
        self.entries.get(id)
    }

    /// Returns all members in the order of ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Returns the members whose ids follow `id`, in the order of ids; all members for `None`.
    pub(crate) fn after(&self, id: Option<&MemberId>) -> impl Iterator<Item = &MemberEntry> {
        let start = id.map_or(Bound::Unbounded, Bound::Excluded);
        self.entries
            .range((start, Bound::Unbounded))
            .map(|(_, entry)| entry)
    }

    /// Returns the ids of all live members, in order.
    pub(crate) fn live_ids(&self) -> Vec<MemberId> {
        let live = self.iter().filter(|entry| entry.state.is_live());
        live.map(|entry| entry.member.id.clone()).collect()
    }

    /// Returns the addresses of all live members, in the order of ids.
    pub(crate) fn live_addresses(&self) -> Vec<SocketAddrV4> {
        self.addresses(|entry| entry.state.is_live())
    }

    /// Returns the addresses of the members for which `matches` returns true, in the order of ids.
    pub(crate) fn addresses(&self, matches: impl Fn(&MemberEntry) -> bool) -> Vec<SocketAddrV4> {
        let matching = self.iter().filter(|entry| matches(entry));
        matching.map(|entry| entry.member.address).collect()
    }

    /// Adds a member that is not in the table yet, in the alive state.
    pub(crate) fn insert(&mut self, member: Member, incarnation: u64, now: u64) {
        let id = member.id.clone();
        self.index.add(&id, MemberState::Alive);
        self.entries
            .insert(id, MemberEntry::alive(member, incarnation, now));
        self.version += 1;
    }

    /// Replaces the record that a member publishes about itself, at the known incarnation.
    pub(crate) fn update_member(&mut self, member: &Member) {
        let Some(entry) = self.entries.get_mut(&member.id) else {
            return;
        };
        if entry.member != *member {
            entry.member = member.clone();
            self.version += 1;
        }
    }

    /// Marks a member as alive at a higher incarnation. Returns whether its state changed.
    pub(crate) fn mark_alive(&mut self, member: &Member, incarnation: u64, now: u64) -> bool {
        let Some(entry) = self.entries.get_mut(&member.id) else {
            return false;
        };
        entry.member = member.clone();
        let alive = StateRecord {
            state: MemberState::Alive,
            incarnation,
        };
        self.set_record(&member.id, alive, now)
    }

    /// Starts a suspicion. Returns whether the member's state changed.
    pub(crate) fn mark_suspect(
        &mut self,
        id: &MemberId,
        suspected: StateRecord,
        suspicion: Suspicion,
        now: u64,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        entry.suspicion = Some(suspicion);
        self.set_record(id, suspected, now)
    }

    /// Sets the state and incarnation of a member. Returns whether its state changed.
    pub(crate) fn set_record(&mut self, id: &MemberId, record: StateRecord, now: u64) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        let previous = entry.state;
        entry.incarnation = record.incarnation;
        if record.state != MemberState::Suspect {
            entry.suspicion = None;
        }
        if previous != record.state {
            entry.state = record.state;
            entry.state_since = now;
            self.index.remove(id, previous);
            self.index.add(id, record.state);
        }
        self.version += 1;
        previous != record.state
    }

    /// Adds an accuser to a running suspicion. Returns whether it is a new confirmation.
    pub(crate) fn confirm_suspicion(
        &mut self,
        id: &MemberId,
        incarnation: u64,
        accuser: &MemberId,
    ) -> bool {
        let suspicion = self.suspicion_mut(id, incarnation);
        suspicion.is_some_and(|suspicion| suspicion.confirm(accuser.clone()))
    }

    /// Shortens a running suspicion to its minimum timeout, since another member has declared the suspect dead.
    pub(crate) fn shorten_suspicion(&mut self, id: &MemberId, incarnation: u64) {
        if let Some(suspicion) = self.suspicion_mut(id, incarnation) {
            suspicion.declare_dead();
        }
    }

    fn suspicion_mut(&mut self, id: &MemberId, incarnation: u64) -> Option<&mut Suspicion> {
        let entry = self.entries.get_mut(id)?;
        if entry.incarnation != incarnation {
            return None;
        }
        entry.suspicion.as_mut()
    }

    /// Returns the suspects whose suspicion has timed out.
    pub(crate) fn expired_suspects(&self, now: u64) -> Vec<MemberId> {
        let expired = |id: &&MemberId| {
            let suspicion = self.entries.get(*id).and_then(|e| e.suspicion.as_ref());
            suspicion.is_some_and(|suspicion| suspicion.deadline() <= now)
        };
        self.index
            .suspects
            .iter()
            .filter(expired)
            .cloned()
            .collect()
    }

    /// Returns the suspects that are due for a last direct query before their suspicion times out, each once for a
    /// suspicion.
    pub(crate) fn take_suspects_to_query(&mut self, now: u64) -> Vec<MemberId> {
        let mut due = Vec::new();
        for id in &self.index.suspects {
            let suspicion = self.entries.get_mut(id).and_then(|e| e.suspicion.as_mut());
            if suspicion.is_some_and(|suspicion| suspicion.take_due_query(now)) {
                due.push(id.clone());
            }
        }
        due
    }

    /// Removes and returns the members that have been dead or left for at least `retention_ms`.
    pub(crate) fn reap(&mut self, now: u64, retention_ms: u64) -> Vec<MemberEntry> {
        let expired = |entry: &&MemberEntry| {
            !entry.state.is_live() && now.saturating_sub(entry.state_since) >= retention_ms
        };
        let ids: Vec<MemberId> = self
            .iter()
            .filter(expired)
            .map(|entry| entry.member.id.clone())
            .collect();
        let mut reaped = Vec::with_capacity(ids.len());
        for id in ids {
            if let Some(entry) = self.entries.remove(&id) {
                self.index.remove(&id, entry.state);
                self.version += 1;
                reaped.push(entry);
            }
        }
        reaped
    }

    /// Records the round trip of an ack. Returns false, without a change, if the member itself did not send it.
    pub(crate) fn record_round_trip(
        &mut self,
        id: &MemberId,
        from: SocketAddrV4,
        round_trip_ms: u64,
    ) -> bool {
        let entry = self.entries.get_mut(id);
        let Some(entry) = entry.filter(|entry| entry.member.address == from) else {
            return false;
        };
        let known = entry.round_trip_ms;
        // A longer round trip takes effect at once; a shorter one lowers the value by a quarter of the difference.
        entry.round_trip_ms = if round_trip_ms >= known {
            round_trip_ms
        } else {
            known - (known - round_trip_ms).div_ceil(4)
        };
        true
    }
}
