//! Plausibility checks of updates. No peer is trusted; each check limits the damage of a wrong update.

use crate::member::MemberId;
use crate::member_table::MemberEntry;
use crate::rejected_input::RejectionReason;
use crate::wire::Update;
use std::net::SocketAddrV4;

/// The most by which a reported incarnation may exceed the known one. A restarted member takes its incarnation from
/// the wall clock in milliseconds, so it exceeds the previous one by the time that the member ran. The limit allows
/// four years.
const MAX_INCARNATION_LEAD: u64 = 1 << 37;
/// The highest incarnation that is accepted. The limit leaves higher values for refutations.
const MAX_INCARNATION: u64 = 1 << 48;

/// The origin of an update.
pub(crate) struct UpdateSource<'a> {
    pub(crate) sender: &'a MemberId,
    pub(crate) address: SocketAddrV4,
}

impl UpdateSource<'_> {
    /// Returns whether the update was sent by the member that it is about.
    pub(crate) fn is_subject_of(&self, update: &Update) -> bool {
        *self.sender == update.member.id && self.address == update.member.address
    }
}

/// Checks an update without regard to the known state of its member; returns `None` if it is plausible.
pub(crate) fn check_update(update: &Update) -> Option<RejectionReason> {
    if !update.member.is_well_formed() {
        return Some(RejectionReason::Malformed);
    }
    let too_high = update.incarnation > MAX_INCARNATION;
    too_high.then_some(RejectionReason::FutureIncarnation)
}

/// Checks an update against the known state of its member; returns `None` if it is plausible.
pub(crate) fn check_known_update(
    update: &Update,
    source: &UpdateSource<'_>,
    known: &MemberEntry,
) -> Option<RejectionReason> {
    if is_too_far_ahead(update.incarnation, known.incarnation) {
        return Some(RejectionReason::FutureIncarnation);
    }
    // Only the member itself may change its address, in a datagram sent from the new address.
    let moved = update.member.address != known.member.address;
    (moved && !source.is_subject_of(update)).then_some(RejectionReason::IdConflict)
}

/// Returns whether a reported incarnation exceeds the known one by more than is plausible.
pub(crate) fn is_too_far_ahead(reported: u64, known: u64) -> bool {
    reported > known.saturating_add(MAX_INCARNATION_LEAD)
}
