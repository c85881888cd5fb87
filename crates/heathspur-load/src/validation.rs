//! Checks what the types of a load test's plan can't express.

use crate::plan::{Class, Plan, Stage, Target, NAMESPACE};
use heathspur_config::InvalidValue;
use std::ops::RangeInclusive;

/// Allowed number of targets, of stages and of classes.
const ELEMENTS: RangeInclusive<usize> = 1..=100;
const CLIENT_TIMEOUT_MS: RangeInclusive<u128> = 10..=600_000;
const OPEN_REQUESTS: RangeInclusive<u32> = 1..=100_000;
const CONNECTIONS: RangeInclusive<u32> = 1..=10_000;
const WEIGHT: RangeInclusive<u32> = 1..=1_000;
const MAX_STAGE_SECONDS: u64 = 86_400;
/// Highest rate, in requests per second.
const MAX_RATE: f64 = 100_000.0;
const RETRY_SHARE: RangeInclusive<f64> = 0.0..=1.0;
const RETRY_DELAY_MS: RangeInclusive<u128> = 1..=600_000;
const MAX_BODY_BYTES: u64 = 64 << 10;

const NAME_EXPECTED: &str = "letters, digits, `-`, `_` and `.` are expected";

/// Checks a whole plan and returns the first mistake.
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
    let reason = format!("the namespace `{namespace}` where `{NAMESPACE}` is expected");
    Err(InvalidValue::new("", reason))
}

fn check_count(element: &str, count: usize) -> Result<(), InvalidValue> {
    let reason = format!("1 to 100 elements `{element}` are expected");
    expect(ELEMENTS.contains(&count), "", reason)
}

fn check_limits(plan: &Plan) -> Result<(), InvalidValue> {
    let timeout_ms = plan.client_timeout.0.as_millis();
    expect(
        CLIENT_TIMEOUT_MS.contains(&timeout_ms),
        "@patience",
        "10 ms to 10 min is expected",
    )?;
    expect(
        OPEN_REQUESTS.contains(&plan.max_open_requests),
        "@open",
        "1 to 100000 is expected",
    )
}

/// Checks all elements of one name; `check` returns paths that start at the element.
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
        "1 to 10000 is expected",
    )?;
    check_weight(target.weight)
}

fn check_stage(stage: &Stage) -> Result<(), InvalidValue> {
    expect(
        stage.duration.0.as_secs() <= MAX_STAGE_SECONDS,
        "@duration",
        "24 h at most is expected",
    )?;
    expect(
        stage.rate > 0.0 && stage.rate <= MAX_RATE,
        "@rate",
        "above 0, 100000 at most is expected",
    )
}

fn check_class(class: &Class) -> Result<(), InvalidValue> {
    expect(is_name(&class.name), "@name", NAME_EXPECTED)?;
    check_weight(class.weight)?;
    expect(
        RETRY_SHARE.contains(&class.retry_share),
        "@repeats",
        "0 to 1 is expected",
    )?;
    expect(
        RETRY_DELAY_MS.contains(&class.retry_delay.0.as_millis()),
        "@repeat-after",
        "1 ms to 10 min is expected",
    )?;
    expect(
        class.body_size.0 <= MAX_BODY_BYTES,
        "@body",
        "64 KiB at most is expected",
    )?;
    let tenant_is_valid = class.tenant.as_deref().is_none_or(is_name);
    expect(tenant_is_valid, "@tenant", NAME_EXPECTED)
}

fn check_weight(weight: u32) -> Result<(), InvalidValue> {
    expect(WEIGHT.contains(&weight), "@part", "1 to 1000 is expected")
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
