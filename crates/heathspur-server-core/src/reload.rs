//! What of a configuration that is read again may hold: whether it is this server's at all, and which of its fields
//! have to wait for the next start. Who asks has read both configurations; nothing is read here.

use heathspur::Settings;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

/// The parts of a configuration that matter to that. The peers' addresses, which a later one may move, and the seed,
/// which is new with each start, are not among them.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The server's name in the announce service.
    pub name: &'a str,
    /// Where balancers connect.
    pub listen: SocketAddr,
    /// The way to the next tier, for all tiers but the last. Only whether there is one is this server's own.
    pub store: Option<SocketAddr>,
    /// Time from the notice to drain to the end of the process.
    pub stop: Duration,
    /// Memory of the process, in bytes.
    pub memory: usize,
    /// File descriptors of the process.
    pub sockets: usize,
    /// The settings in the module's terms.
    pub settings: &'a Settings,
    /// The classes' names, in the order of the settings.
    pub classes: &'a [String],
    /// The tenants' names, in the order of the settings.
    pub tenants: &'a [String],
}

/// A field that tells another server or customer apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Foreign {
    /// The field, as a path.
    pub field: String,
    /// What is wrong with it.
    pub what: String,
}

fn check_same<T: PartialEq + Debug>(field: &str, other: &T, own: &T) -> Result<(), Foreign> {
    if other == own {
        return Ok(());
    }
    let what = format!("it is of another server or customer: {other:?}, not {own:?}");
    Err(Foreign {
        field: field.to_string(),
        what,
    })
}

/// Whether another configuration is this server's: of its name, its address and its tier, and of a customer whose
/// classes and tenants have the same names and whose keys hold in the same way. All else may change while the server
/// stays the same one. The error names the first field that differs, in the order of [`View`].
pub fn check_own(own: &View<'_>, other: &View<'_>) -> Result<(), Foreign> {
    check_same("name", &other.name, &own.name)?;
    check_same("listen", &other.listen, &own.listen)?;
    // The last tier has none.
    if other.store.is_some() != own.store.is_some() {
        check_same("store", &other.store, &own.store)?;
    }
    check_same(
        "settings.services",
        &other.classes.len(),
        &own.classes.len(),
    )?;
    for (i, (class, same)) in other
        .settings
        .classes
        .iter()
        .zip(&own.settings.classes)
        .enumerate()
    {
        let field = |name| format!("settings.services[{i}].{name}");
        check_same(&field("name"), &other.classes[i], &own.classes[i])?;
        check_same(&field("effect"), &class.idempotency, &same.idempotency)?;
        check_same(
            &field("dedup-window-s"),
            &class.dedup_window.secs(),
            &same.dedup_window.secs(),
        )?;
    }
    check_same("settings.realms", &other.tenants.len(), &own.tenants.len())?;
    for (i, (tenant, same)) in other.tenants.iter().zip(own.tenants).enumerate() {
        check_same(&format!("settings.realms[{i}].name"), tenant, same)?;
    }
    Ok(())
}

/// The fields that hold from the start on and in which a later configuration of this server's differs. The seed is new
/// with each start, and so is what the settings say of that moment.
pub fn differs(own: &View<'_>, other: &View<'_>) -> Vec<&'static str> {
    let at_start = |settings: &Settings| Settings {
        servers: 0,
        callers: 0,
        cold_start: false,
        ..settings.clone()
    };
    let fields = [
        ("stop_ms", own.stop != other.stop),
        ("limits.memory_mb", own.memory != other.memory),
        ("limits.sockets", own.sockets != other.sockets),
        (
            "settings",
            at_start(own.settings) != at_start(other.settings),
        ),
    ];
    fields
        .into_iter()
        .filter(|(_, differs)| *differs)
        .map(|(field, _)| field)
        .collect()
}

#[cfg(test)]
#[path = "../tests/unit/reload.rs"]
mod tests;
