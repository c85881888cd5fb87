//! Checks of a reloaded configuration: whether it belongs to this server, and which of its changed fields need a
//! restart. The caller reads both configurations.

use heathspur::Settings;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

/// The parts of a configuration that a reload compares. The addresses of peers are left out because a reload may change
/// them, and the seed because it differs with each start.
#[derive(Clone, Copy, Debug)]
pub struct ConfigView<'a> {
    /// The server's name in the registration service.
    pub name: &'a str,
    /// The address for connections from load balancers.
    pub listen: SocketAddr,
    /// The address of the proxy to the next tier; `None` for the last tier. Only its presence is part of the server's
    /// identity.
    pub store: Option<SocketAddr>,
    /// The time from the signal to drain until the platform kills the process.
    pub stop_timeout: Duration,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: usize,
    /// Limit on open file descriptors of the process.
    pub file_descriptors: usize,
    /// The settings of the admission controller.
    pub settings: &'a Settings,
    /// Names of the classes, in the order of the settings.
    pub classes: &'a [String],
    /// Names of the tenants, in the order of the settings.
    pub tenants: &'a [String],
}

/// The error of a configuration that belongs to another server or customer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct IdentityMismatchError {
    /// Path of the field that differs.
    pub field: String,
    /// Message with both values.
    pub reason: String,
}

/// Checks that another configuration belongs to this server: it has the same name, address and tier, classes with the
/// same names, idempotency and deduplication windows, and tenants with the same names. A reload may change everything
/// else.
///
/// # Errors
///
/// Returns the first of these fields that differs, in the order of [`ConfigView`].
pub fn check_identity(
    own: &ConfigView<'_>,
    other: &ConfigView<'_>,
) -> Result<(), IdentityMismatchError> {
    check_server(own, other)?;
    check_classes(own, other)?;
    check_tenants(own, other)
}

/// Returns the fields that differ in another configuration of this server and take effect only after a restart.
/// Settings that describe the circumstances of a start are ignored, because they differ with each start.
pub fn restart_required_fields(own: &ConfigView<'_>, other: &ConfigView<'_>) -> Vec<&'static str> {
    let settings_differ = without_start_state(own.settings) != without_start_state(other.settings);
    let fields = [
        ("stop_ms", own.stop_timeout != other.stop_timeout),
        ("limits.memory_mb", own.memory_bytes != other.memory_bytes),
        (
            "limits.sockets",
            own.file_descriptors != other.file_descriptors,
        ),
        ("settings", settings_differ),
    ];
    fields
        .into_iter()
        .filter(|(_, differs)| *differs)
        .map(|(field, _)| field)
        .collect()
}

fn check_server(own: &ConfigView<'_>, other: &ConfigView<'_>) -> Result<(), IdentityMismatchError> {
    check_equal("name", &own.name, &other.name)?;
    check_equal("listen", &own.listen, &other.listen)?;
    let is_same_tier = own.store.is_some() == other.store.is_some();
    if !is_same_tier {
        check_equal("store", &own.store, &other.store)?;
    }
    Ok(())
}

fn check_classes(
    own: &ConfigView<'_>,
    other: &ConfigView<'_>,
) -> Result<(), IdentityMismatchError> {
    check_equal(
        "settings.services",
        &own.classes.len(),
        &other.classes.len(),
    )?;
    let own_classes = own.classes.iter().zip(&own.settings.classes);
    let other_classes = other.classes.iter().zip(&other.settings.classes);
    for (index, ((own_name, own_class), (other_name, other_class))) in
        own_classes.zip(other_classes).enumerate()
    {
        let field = |name| format!("settings.services[{index}].{name}");
        check_equal(&field("name"), own_name, other_name)?;
        check_equal(
            &field("effect"),
            &own_class.idempotency,
            &other_class.idempotency,
        )?;
        check_equal(
            &field("dedup-window-s"),
            &own_class.dedup_window.secs(),
            &other_class.dedup_window.secs(),
        )?;
    }
    Ok(())
}

fn check_tenants(
    own: &ConfigView<'_>,
    other: &ConfigView<'_>,
) -> Result<(), IdentityMismatchError> {
    check_equal("settings.realms", &own.tenants.len(), &other.tenants.len())?;
    for (index, (own_name, other_name)) in own.tenants.iter().zip(other.tenants).enumerate() {
        check_equal(
            &format!("settings.realms[{index}].name"),
            own_name,
            other_name,
        )?;
    }
    Ok(())
}

fn check_equal<T: PartialEq + Debug>(
    field: &str,
    own: &T,
    other: &T,
) -> Result<(), IdentityMismatchError> {
    if own == other {
        return Ok(());
    }
    Err(IdentityMismatchError {
        field: field.to_string(),
        reason: format!("belongs to another server or customer: {other:?}, expected {own:?}"),
    })
}

/// Returns the settings with fixed values for those that describe the circumstances of a start.
fn without_start_state(settings: &Settings) -> Settings {
    Settings {
        servers: 0,
        callers: 0,
        cold_start: false,
        ..settings.clone()
    }
}

#[cfg(test)]
#[path = "../tests/unit/reload.rs"]
mod tests;
