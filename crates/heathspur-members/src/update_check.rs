//! Plausibility checks of updates: no peer is trusted, and each check bounds what a wrong update can do.

use crate::member::MemberId;
use crate::member_table::MemberEntry;
use crate::rejected_input::RejectionReason;
use crate::wire::Update;
use std::net::SocketAddrV4;

/// An incarnation further ahead of the known one is rejected. A restarted member takes its incarnation from the wall
/// clock's milliseconds, so it is ahead by as long as the member ran: this is four years.
const MAX_INCARNATION_LEAD: u64 = 1 << 37;
/// No incarnation above this is accepted, so that a refutation can always exceed it.
const MAX_INCARNATION: u64 = 1 << 48;

/// The origin of an update.
pub(crate) struct UpdateSource<'a> {
    pub(crate) sender: &'a MemberId,
    pub(crate) address: SocketAddrV4,
}

impl UpdateSource<'_> {
    /// Whether the update was sent by the member that it is about.
    pub(crate) fn is_subject_of(&self, update: &Update) -> bool {
        *self.sender == update.member.id && self.address == update.member.address
    }
}

/// Why an update is rejected whatever is known of its member; `None` if it is plausible.
pub(crate) fn check_update(update: &Update) -> Option<RejectionReason> {
    if !update.member.well_formed() {
        return Some(RejectionReason::Malformed);
    }
    let too_high = update.incarnation > MAX_INCARNATION;
    too_high.then_some(RejectionReason::FutureIncarnation)
}

/// Why an update of a known member is rejected; `None` if it is plausible.
pub(crate) fn check_known_update(
    update: &Update,
    source: &UpdateSource<'_>,
    known: &MemberEntry,
) -> Option<RejectionReason> {
    if is_too_far_ahead(update.incarnation, known.incarnation) {
        return Some(RejectionReason::FutureIncarnation);
    }
    // Only the member itself, from its new address, may change the address of a known id.
    let moved = update.member.address != known.member.address;
    (moved && !source.is_subject_of(update)).then_some(RejectionReason::IdConflict)
}

/// Whether a reported incarnation is implausibly far ahead of the known one.
pub(crate) fn is_too_far_ahead(reported: u64, known: u64) -> bool {
    reported > known.saturating_add(MAX_INCARNATION_LEAD)
}
