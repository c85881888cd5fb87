//! Changes of member states. Each change is applied to the table, queued as gossip and reported as an action.

use crate::event::{Action, ChangeCause};
use crate::gossip_queue::GossipQueue;
use crate::member::{Member, MemberId, MemberState};
use crate::member_table::MemberTable;
use crate::state_record::StateRecord;
use crate::suspicion::{Suspicion, SuspicionTimeout};
use crate::wire::Update;
use std::net::SocketAddrV4;

/// An accusation of a member.
pub(crate) struct Accusation<'a> {
    pub(crate) suspect: &'a MemberId,
    /// The incarnation at which the member is accused.
    pub(crate) incarnation: u64,
    pub(crate) accuser: MemberId,
    pub(crate) cause: ChangeCause,
}

/// The states of all other members, and the updates to gossip about them.
pub(crate) struct MemberStates {
    table: MemberTable,
    gossip: GossipQueue,
}

impl MemberStates {
    pub(crate) fn new(gossip_capacity: usize) -> MemberStates {
        MemberStates {
            table: MemberTable::new(),
            gossip: GossipQueue::new(gossip_capacity),
        }
    }

    pub(crate) fn table(&self) -> &MemberTable {
        &self.table
    }

    pub(crate) fn gossip(&self) -> &GossipQueue {
        &self.gossip
    }

    pub(crate) fn gossip_mut(&mut self) -> &mut GossipQueue {
        &mut self.gossip
    }

    /// Adds a member that is known to be alive, without gossip or an action.
    pub(crate) fn add_known(&mut self, member: Member, incarnation: u64, now: u64) {
        self.table.insert(member, incarnation, now);
    }

    /// Adds a member that was seen for the first time; `gossip` determines whether its update is gossiped.
    pub(crate) fn add_newcomer(
        &mut self,
        update: &Update,
        gossip: bool,
        now: u64,
        actions: &mut Vec<Action>,
    ) {
        let alive = Update {
            state: MemberState::Alive,
            accuser: None,
            ..update.clone()
        };
        self.table
            .insert(alive.member.clone(), alive.incarnation, now);
        let id = &alive.member.id;
        actions.push(state_changed(id, alive.record(), ChangeCause::Joined));
        if gossip {
            self.gossip.push(alive);
        }
    }

    /// Replaces the record that a member publishes about itself, at the known incarnation. The record is not gossiped,
    /// since each member publishes its own.
    pub(crate) fn update_member(&mut self, member: &Member) {
        self.table.update_member(member);
    }

    /// Applies an update that reports a member as alive at a higher incarnation.
    pub(crate) fn apply_alive(&mut self, update: &Update, now: u64, actions: &mut Vec<Action>) {
        let incarnation = update.incarnation;
        if self.table.mark_alive(&update.member, incarnation, now) {
            let id = &update.member.id;
            actions.push(state_changed(id, update.record(), ChangeCause::Refuted));
        }
        self.gossip.push(update.clone());
    }

    /// Applies an update that reports that a member has left.
    pub(crate) fn apply_left(&mut self, update: &Update, now: u64, actions: &mut Vec<Action>) {
        let id = &update.member.id;
        self.set_record(id, update.record(), ChangeCause::Left, now, actions);
        self.gossip.push(update.clone());
    }

    /// Starts a suspicion, or confirms the running one.
    pub(crate) fn suspect(
        &mut self,
        accusation: Accusation<'_>,
        timeout: SuspicionTimeout,
        now: u64,
        actions: &mut Vec<Action>,
    ) {
        let Accusation {
            suspect,
            incarnation,
            accuser,
            cause,
        } = accusation;
        let Some(entry) = self.table.get(suspect) else {
            return;
        };
        if let Some(suspected) = entry.record().suspect(incarnation) {
            let suspicion = Suspicion::new(now, timeout, accuser.clone());
            if self.table.mark_suspect(suspect, suspected, suspicion, now) {
                actions.push(state_changed(suspect, suspected, cause));
            }
            self.gossip_accusation(suspect, MemberState::Suspect, accuser);
        } else if self.table.confirm_suspicion(suspect, incarnation, &accuser) {
            // A confirmation is gossiped too, since it shortens the suspicion of other members.
            self.gossip_accusation(suspect, MemberState::Suspect, accuser);
        }
    }

    /// Shortens a running suspicion to its minimum timeout, since another member has declared the suspect dead.
    pub(crate) fn shorten_suspicion(&mut self, id: &MemberId, incarnation: u64) {
        self.table.shorten_suspicion(id, incarnation);
    }

    /// Declares a member dead whose suspicion has timed out. `accuser` is the local member.
    pub(crate) fn declare_dead(
        &mut self,
        id: &MemberId,
        accuser: &MemberId,
        now: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(dead) = self.table.get(id).and_then(|entry| entry.record().expire()) else {
            return;
        };
        self.set_record(id, dead, ChangeCause::SuspicionTimeout, now, actions);
        self.gossip_accusation(id, MemberState::Dead, accuser.clone());
    }

    /// Returns the suspects that are due for a last direct query before their suspicion times out, each once for a
    /// suspicion.
    pub(crate) fn take_suspects_to_query(&mut self, now: u64) -> Vec<MemberId> {
        self.table.take_suspects_to_query(now)
    }

    /// Removes members that have been dead or left for at least `retention_ms`.
    pub(crate) fn reap(&mut self, now: u64, retention_ms: u64, actions: &mut Vec<Action>) {
        for entry in self.table.reap(now, retention_ms) {
            actions.push(Action::StateChanged {
                id: entry.member.id,
                to: None,
                incarnation: entry.incarnation,
                cause: ChangeCause::Reaped,
            });
        }
    }

    /// Records the round trip of an ack. Returns false, without a change, if the member itself did not send it.
    pub(crate) fn record_round_trip(
        &mut self,
        id: &MemberId,
        from: SocketAddrV4,
        round_trip_ms: u64,
    ) -> bool {
        self.table.record_round_trip(id, from, round_trip_ms)
    }

    fn set_record(
        &mut self,
        id: &MemberId,
        record: StateRecord,
        cause: ChangeCause,
        now: u64,
        actions: &mut Vec<Action>,
    ) {
        if self.table.set_record(id, record, now) {
            actions.push(state_changed(id, record, cause));
        }
    }

    fn gossip_accusation(&mut self, id: &MemberId, state: MemberState, accuser: MemberId) {
        if let Some(entry) = self.table.get(id) {
            self.gossip.push(entry.accusation(state, accuser));
        }
    }
}

fn state_changed(id: &MemberId, record: StateRecord, cause: ChangeCause) -> Action {
    Action::StateChanged {
        id: id.clone(),
        to: Some(record.state),
        incarnation: record.incarnation,
        cause,
    }
}
