//! Counts false positives of the failure detector: members that were declared dead while they were running and
//! reachable.

use crate::fleet::ObservedChange;
use crate::plan::{Fault, FaultKind, Plan};
use heathspur_members::MemberState;

/// How long deaths across a healed partition are not counted as false, in milliseconds. Suspicions from before the heal
/// may still expire during this time.
const HEAL_GRACE_MS: u64 = 2_000;

/// Counts the observed deaths of members that were running, were reachable by the observer and had not announced a
/// leave.
pub(crate) fn count(changes: &[ObservedChange], plan: &Plan) -> u64 {
    changes
        .iter()
        .filter(|change| change.state == Some(MemberState::Dead))
        .filter(|change| is_false_death(change, plan))
        .count() as u64
}

fn is_false_death(change: &ObservedChange, plan: &Plan) -> bool {
    let Some(subject) = change.subject_index() else {
        return false;
    };
    let mut is_running = true;
    // The number of members on the first side of the partition in force, and of one that healed just before.
    let mut partition = None;
    let mut healed_partition = None;
    for fault in plan
        .faults
        .iter()
        .filter(|fault| millis(fault) <= change.at)
    {
        match fault.kind {
            FaultKind::Crash | FaultKind::Leave if fault.member == Some(subject) => {
                is_running = false;
            }
            FaultKind::Restart if fault.member == Some(subject) => is_running = true,
            FaultKind::Partition => partition = fault.member,
            FaultKind::Heal => {
                let in_grace = millis(fault) + HEAL_GRACE_MS > change.at;
                healed_partition = partition.filter(|_| in_grace);
                partition = None;
            }
            _ => {}
        }
    }
    let same_side = |first_side| (subject < first_side) == (change.observer < first_side);
    is_running && partition.or(healed_partition).is_none_or(same_side)
}

fn millis(fault: &Fault) -> u64 {
    fault.at.0.as_millis() as u64
}
