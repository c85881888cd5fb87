//! The local member: its record, its incarnation and whether it is leaving.

use crate::member::{Load, Member, MemberId, MemberState, ZoneVote};
use crate::wire::Update;

/// The local member and the record that it publishes about itself.
pub(crate) struct LocalMember {
    member: Member,
    incarnation: u64,
    leaving: bool,
    /// The number of changes of the incarnation; it is part of the view's version.
    version: u64,
}

impl LocalMember {
    pub(crate) fn new(member: Member, incarnation: u64) -> LocalMember {
        LocalMember {
            member,
            incarnation,
            leaving: false,
            version: 0,
        }
    }

    pub(crate) fn id(&self) -> &MemberId {
        &self.member.id
    }

    pub(crate) fn member(&self) -> &Member {
        &self.member
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving
    }

    pub(crate) fn state(&self) -> MemberState {
        if self.leaving {
            MemberState::Left
        } else {
            MemberState::Alive
        }
    }

    /// Returns the update by which the local member announces itself.
    pub(crate) fn update(&self) -> Update {
        Update {
            state: self.state(),
            incarnation: self.incarnation,
            accuser: None,
            member: self.member.clone(),
        }
    }

    pub(crate) fn set_load(&mut self, load: Load) {
        self.member.load = load;
    }

    pub(crate) fn set_average_round_trip(&mut self, milliseconds: u64) {
        self.member.average_round_trip_ms = milliseconds as u32;
    }

    /// Sets a new vote and raises the incarnation. Returns false, without a change, if the vote is the same or the
    /// member is leaving.
    pub(crate) fn set_zone_vote(&mut self, vote: ZoneVote) -> bool {
        if self.member.zone_vote() == vote || self.leaving {
            return false;
        }
        self.member.decision_epoch = vote.decision_epoch;
        self.member.local_traffic_tenths = vote.local_traffic_tenths;
        self.member.preferred_local_traffic_tenths = vote.preferred_local_traffic_tenths;
        self.raise_incarnation(self.incarnation + 1);
        true
    }

    /// Marks the member as leaving and raises the incarnation. Returns false if it is leaving already.
    pub(crate) fn leave(&mut self) -> bool {
        if self.leaving {
            return false;
        }
        self.leaving = true;
        self.raise_incarnation(self.incarnation + 1);
        true
    }

    pub(crate) fn raise_incarnation(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.version += 1;
    }
}
