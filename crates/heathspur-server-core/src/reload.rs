//! Checks of a reloaded configuration: whether it belongs to this server at all, and which of its fields need a
//! restart. The caller has read both configurations; nothing is read here.

use heathspur::Settings;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

/// The parts of a configuration that a reload compares. The peers' addresses, which a reload may change, and the seed,
/// which differs with each start, are not among them.
#[derive(Clone, Copy, Debug)]
pub struct ConfigView<'a> {
    /// The server's name in the registration service.
    pub name: &'a str,
    /// The address for connections from load balancers.
    pub listen: SocketAddr,
    /// The address of the next tier, for all tiers but the last. Only its presence identifies the server.
    pub store: Option<SocketAddr>,
    /// Time from the signal to drain to the end of the process.
    pub stop_timeout: Duration,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: usize,
    /// Limit of file descriptors of the process.
    pub file_descriptors: usize,
    /// The settings of admission.
    pub settings: &'a Settings,
    /// The classes' names, in the order of the settings.
    pub classes: &'a [String],
    /// The tenants' names, in the order of the settings.
    pub tenants: &'a [String],
}

/// A field by which a configuration belongs to another server or customer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct ForeignConfigError {
    /// The path of the field.
    pub field: String,
    /// Both values.
    pub reason: String,
}

/// Checks that another configuration belongs to this server: it has the same name, address and tier, and its classes
/// and tenants have the same names and idempotency. Everything else may change in a reload. The error names the
/// first field that differs, in the order of [`ConfigView`].
pub fn check_identity(
    own: &ConfigView<'_>,
    other: &ConfigView<'_>,
) -> Result<(), ForeignConfigError> {
    check_server(own, other)?;
    check_classes(own, other)?;
    check_tenants(own, other)
}

/// Returns the fields that take effect only at a start, and in which another configuration of this server differs.
/// Settings that describe the moment of a start are ignored: they differ with each one.
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

fn check_server(own: &ConfigView<'_>, other: &ConfigView<'_>) -> Result<(), ForeignConfigError> {
    check_equal("name", &own.name, &other.name)?;
    check_equal("listen", &own.listen, &other.listen)?;
    let is_same_tier = own.store.is_some() == other.store.is_some();
    if !is_same_tier {
        check_equal("store", &own.store, &other.store)?;
    }
    Ok(())
}

fn check_classes(own: &ConfigView<'_>, other: &ConfigView<'_>) -> Result<(), ForeignConfigError> {
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

fn check_tenants(own: &ConfigView<'_>, other: &ConfigView<'_>) -> Result<(), ForeignConfigError> {
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
) -> Result<(), ForeignConfigError> {
    if own == other {
        return Ok(());
    }
    Err(ForeignConfigError {
        field: field.to_string(),
        reason: format!("it is of another server or customer: {other:?}, not {own:?}"),
    })
}

/// The settings without those that describe the moment of a start.
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
