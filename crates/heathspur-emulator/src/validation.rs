//! Checks of an experiment's plan that its types can't express.

use crate::plan::{Fault, FaultKind, Plan, NAMESPACE};
use heathspur_config::InvalidValue;
use std::ops::RangeInclusive;

const MEMBERS: RangeInclusive<usize> = 2..=2_000;
const ZONES: RangeInclusive<usize> = 1..=100;
const SEEDS: RangeInclusive<u64> = 1..=1_000;
const DURATION_MS: RangeInclusive<u128> = 1..=86_400_000;
const MAX_FAULTS: usize = 1_000;
const SHARE: RangeInclusive<f64> = 0.0..=1.0;
const CLOCK_RATE: RangeInclusive<f64> = 0.5..=2.0;

/// Checks a plan and returns its first error.
pub(crate) fn check_plan(plan: &Plan) -> Result<(), InvalidValue> {
    check_namespace(plan)?;
    check_ranges(plan)?;
    check_settings(plan)?;
    if plan.faults.len() > MAX_FAULTS {
        return Err(InvalidValue::new("", "at most 1000 faults are expected"));
    }
    for (index, fault) in plan.faults.iter().enumerate() {
        check_fault(fault, plan).map_err(|error| InvalidValue {
            path: format!("fault[{index}].{}", error.path),
            ..error
        })?;
        if index > 0 && plan.faults[index - 1].at.0 > fault.at.0 {
            let path = format!("fault[{index}].@at");
            return Err(InvalidValue::new(
                path,
                "a time not before that of the previous fault is expected",
            ));
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
        return Err(InvalidValue::new("@members", "2 to 2000 is expected"));
    }
    if !ZONES.contains(&plan.zones) {
        return Err(InvalidValue::new("@zones", "1 to 100 is expected"));
    }
    if !SEEDS.contains(&plan.seeds) {
        return Err(InvalidValue::new("@seeds", "1 to 1000 is expected"));
    }
    if !DURATION_MS.contains(&plan.duration.0.as_millis()) {
        return Err(InvalidValue::new("@duration", "1 ms to 24 h is expected"));
    }
    Ok(())
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
        if member.is_some_and(|member| member >= plan.members) {
            let reason = format!("under {} is expected, the number of members", plan.members);
            return Err(InvalidValue::new(path, reason));
        }
    }
    if fault.share.is_some_and(|share| !SHARE.contains(&share)) {
        return Err(InvalidValue::new("@share", "0 to 1 is expected"));
    }
    if fault.rate.is_some_and(|rate| !CLOCK_RATE.contains(&rate)) {
        return Err(InvalidValue::new("@rate", "0.5 to 2 is expected"));
    }
    if fault.at.0 >= plan.duration.0 {
        let reason = "a time before the end of the run is expected";
        return Err(InvalidValue::new("@at", reason));
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
