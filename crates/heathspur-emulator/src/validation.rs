//! Checks of an experiment's plan that its types can't express.

use crate::plan::{Fault, FaultKind, Plan, NAMESPACE};
use heathspur_config::InvalidValue;
use std::fmt;
use std::ops::RangeInclusive;

/// The number of members of a fleet.
const MEMBERS: RangeInclusive<usize> = 2..=2_000;
/// The number of zones of a fleet.
const ZONES: RangeInclusive<usize> = 1..=100;
/// The number of seeds, and so of runs.
const SEEDS: RangeInclusive<u64> = 1..=1_000;
/// The duration of a run, in milliseconds; up to 24 h.
const DURATION_MS: RangeInclusive<u128> = 1..=86_400_000;
/// The maximum number of faults, as in the schema.
const MAX_FAULTS: usize = 1_000;
/// The share of the datagrams that a fault affects.
const SHARE: RangeInclusive<f64> = 0.0..=1.0;
/// The rate of a clock relative to true time.
const CLOCK_RATE: RangeInclusive<f64> = 0.5..=2.0;

/// Checks a plan and returns its first error.
pub(crate) fn check_plan(plan: &Plan) -> Result<(), InvalidValue> {
    check_namespace(plan)?;
    check_ranges(plan)?;
    check_settings(plan)?;
    if plan.faults.len() > MAX_FAULTS {
        let reason = format!(
            "{} faults where at most 1000 are expected",
            plan.faults.len()
        );
        return Err(InvalidValue::new("", reason));
    }
    for (index, fault) in plan.faults.iter().enumerate() {
        check_fault(fault, plan).map_err(|error| InvalidValue {
            path: format!("fault[{index}].{}", error.path),
            ..error
        })?;
        if index > 0 && plan.faults[index - 1].at.0 > fault.at.0 {
            let path = format!("fault[{index}].@at");
            let reason = format!(
                "{:?} where a time not before that of the previous fault, {:?}, is expected",
                fault.at.0,
                plan.faults[index - 1].at.0
            );
            return Err(InvalidValue::new(path, reason));
        }
    }
    Ok(())
}

fn check_namespace(plan: &Plan) -> Result<(), InvalidValue> {
    let namespace = plan.namespace();
    if namespace == NAMESPACE {
        return Ok(());
    }
    let reason = format!("the namespace `{namespace}` where `{NAMESPACE}` is expected");
    Err(InvalidValue::new("", reason))
}

fn check_ranges(plan: &Plan) -> Result<(), InvalidValue> {
    if !MEMBERS.contains(&plan.members) {
        return Err(out_of_range("@members", plan.members, "2 to 2000"));
    }
    if !ZONES.contains(&plan.zones) {
        return Err(out_of_range("@zones", plan.zones, "1 to 100"));
    }
    if !SEEDS.contains(&plan.seeds) {
        return Err(out_of_range("@seeds", plan.seeds, "1 to 1000"));
    }
    if !DURATION_MS.contains(&plan.duration.0.as_millis()) {
        let duration = format!("{:?}", plan.duration.0);
        return Err(out_of_range("@duration", duration, "1 ms to 24 h"));
    }
    Ok(())
}

/// Returns the error for a value outside its range.
fn out_of_range(path: &str, value: impl fmt::Display, range: &str) -> InvalidValue {
    InvalidValue::new(path, format!("{value} where {range} is expected"))
}

/// Checks the bounds of the members' settings.
fn check_settings(plan: &Plan) -> Result<(), InvalidValue> {
    plan.settings()
        .check()
        .map_err(|error| InvalidValue::new(format!("@{}", error.name()), error.to_string()))
}

/// Checks one fault; the path of an error starts at the fault's element.
fn check_fault(fault: &Fault, plan: &Plan) -> Result<(), InvalidValue> {
    check_attributes(fault)?;
    for (path, member) in [("@member", fault.member), ("@other", fault.other)] {
        if let Some(member) = member.filter(|member| *member >= plan.members) {
            let reason = format!(
                "{member} where less than {} is expected, the number of members",
                plan.members
            );
            return Err(InvalidValue::new(path, reason));
        }
    }
    if let Some(share) = fault.share.filter(|share| !SHARE.contains(share)) {
        return Err(out_of_range("@share", share, "0 to 1"));
    }
    if let Some(rate) = fault.rate.filter(|rate| !CLOCK_RATE.contains(rate)) {
        return Err(out_of_range("@rate", rate, "0.5 to 2"));
    }
    if fault.at.0 >= plan.duration.0 {
        let at = format!("{:?}", fault.at.0);
        return Err(out_of_range("@at", at, "a time before the end of the run"));
    }
    Ok(())
}

/// Checks that a fault has exactly the attributes of its kind; only the jitter of a delay is optional.
fn check_attributes(fault: &Fault) -> Result<(), InvalidValue> {
    let kind = fault.kind;
    let needs_member = matches!(
        kind,
        FaultKind::Crash
            | FaultKind::Restart
            | FaultKind::Leave
            | FaultKind::Pause
            | FaultKind::Slow
            | FaultKind::Clock
            | FaultKind::Partition
            | FaultKind::Cut
    );
    let needs_span = matches!(kind, FaultKind::Pause | FaultKind::Slow | FaultKind::Delay);
    let needs_share = matches!(kind, FaultKind::Loss | FaultKind::Duplicate);
    let has_jitter = fault.jitter.is_some();
    check_presence("member", fault.member.is_some(), needs_member)?;
    check_presence("span", fault.span.is_some(), needs_span)?;
    check_presence("share", fault.share.is_some(), needs_share)?;
    check_presence("other", fault.other.is_some(), kind == FaultKind::Cut)?;
    check_presence("rate", fault.rate.is_some(), kind == FaultKind::Clock)?;
    check_presence("jitter", has_jitter, kind == FaultKind::Delay && has_jitter)
}

fn check_presence(name: &str, is_present: bool, is_needed: bool) -> Result<(), InvalidValue> {
    let expectation = match (is_present, is_needed) {
        (true, false) => "is not expected",
        (false, true) => "is expected",
        _ => return Ok(()),
    };
    let reason = format!("{name} {expectation} with this kind");
    Err(InvalidValue::new(format!("@{name}"), reason))
}
