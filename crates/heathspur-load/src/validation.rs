//! Checks constraints on a load test's plan that its types can't express.

use crate::plan::{Class, Plan, Stage, Target, NAMESPACE};
use heathspur_config::InvalidValue;
use std::ops::RangeInclusive;

/// Allowed number of targets, of stages and of classes, each.
const ELEMENT_COUNT: RangeInclusive<usize> = 1..=100;
// The bounds of the attributes, which `crate::plan` documents.
const CLIENT_TIMEOUT_MS: RangeInclusive<u128> = 10..=600_000;
const IN_FLIGHT_LIMIT: RangeInclusive<u32> = 1..=100_000;
const CONNECTIONS: RangeInclusive<u32> = 1..=10_000;
const WEIGHT: RangeInclusive<u32> = 1..=1_000;
const MAX_STAGE_SECONDS: u64 = 86_400;
/// Highest rate, in requests per second.
const MAX_RATE: f64 = 100_000.0;
const RETRY_SHARE: RangeInclusive<f64> = 0.0..=1.0;
const RETRY_DELAY_MS: RangeInclusive<u128> = 1..=600_000;
const MAX_BODY_BYTES: u64 = 64 << 10;

const INVALID_NAME: &str = "expected only letters, digits, `-`, `_` and `.`";

/// Checks a plan and returns the first error.
pub(crate) fn check_plan(plan: &Plan) -> Result<(), InvalidValue> {
    check_namespace(plan)?;
    check_count("target", plan.targets.len())?;
    check_count("stage", plan.stages.len())?;
    check_count("class", plan.classes.len())?;
    check_limits(plan)?;
    check_each("target", &plan.targets, check_target)?;
    check_each("stage", &plan.stages, check_stage)?;
    check_each("class", &plan.classes, check_class)
}

fn check_namespace(plan: &Plan) -> Result<(), InvalidValue> {
    let namespace = plan.namespace();
    if namespace == NAMESPACE {
        return Ok(());
    }
    let reason = format!("expected the namespace `{NAMESPACE}`, found `{namespace}`");
    Err(InvalidValue::new("", reason))
}

fn check_count(element: &str, count: usize) -> Result<(), InvalidValue> {
    let reason = format!("expected 1 to 100 `{element}` elements");
    expect(ELEMENT_COUNT.contains(&count), "", reason)
}

fn check_limits(plan: &Plan) -> Result<(), InvalidValue> {
    let timeout_ms = plan.client_timeout.0.as_millis();
    expect(
        CLIENT_TIMEOUT_MS.contains(&timeout_ms),
        "@patience",
        "expected 10 ms to 10 min",
    )?;
    expect(
        IN_FLIGHT_LIMIT.contains(&plan.max_in_flight),
        "@open",
        "expected 1 to 100000",
    )
}

/// Checks all elements of one name. The paths in the errors of `check` are relative to the element.
fn check_each<T>(
    name: &str,
    elements: &[T],
    check: impl Fn(&T) -> Result<(), InvalidValue>,
) -> Result<(), InvalidValue> {
    for (index, element) in elements.iter().enumerate() {
        check(element).map_err(|error| InvalidValue {
            path: format!("{name}[{index}].{}", error.path),
            ..error
        })?;
    }
    Ok(())
}

fn check_target(target: &Target) -> Result<(), InvalidValue> {
    expect(
        CONNECTIONS.contains(&target.connections),
        "@connections",
        "expected 1 to 10000",
    )?;
    check_weight(target.weight)
}

fn check_stage(stage: &Stage) -> Result<(), InvalidValue> {
    expect(
        stage.duration.0.as_secs() <= MAX_STAGE_SECONDS,
        "@duration",
        "expected at most 24 h",
    )?;
    expect(
        stage.rate > 0.0 && stage.rate <= MAX_RATE,
        "@rate",
        "expected a rate above 0 and at most 100000",
    )
}

fn check_class(class: &Class) -> Result<(), InvalidValue> {
    expect(is_name(&class.name), "@name", INVALID_NAME)?;
    check_weight(class.weight)?;
    expect(
        RETRY_SHARE.contains(&class.retry_share),
        "@repeats",
        "expected 0 to 1",
    )?;
    expect(
        RETRY_DELAY_MS.contains(&class.retry_delay.0.as_millis()),
        "@repeat-after",
        "expected 1 ms to 10 min",
    )?;
    expect(
        class.body_size.0 <= MAX_BODY_BYTES,
        "@body",
        "expected at most 64 KiB",
    )?;
    let tenant_is_valid = class.tenant.as_deref().is_none_or(is_name);
    expect(tenant_is_valid, "@tenant", INVALID_NAME)
}

fn check_weight(weight: u32) -> Result<(), InvalidValue> {
    expect(WEIGHT.contains(&weight), "@part", "expected 1 to 1000")
}

fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !text.is_empty() && text.bytes().all(is_allowed)
}

fn expect(is_valid: bool, path: &str, reason: impl Into<String>) -> Result<(), InvalidValue> {
    if is_valid {
        Ok(())
    } else {
        Err(InvalidValue::new(path, reason))
    }
}
