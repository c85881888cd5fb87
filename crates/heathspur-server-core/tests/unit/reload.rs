//! Unit tests of `src/reload.rs`, which includes this file as its test module. The configuration tests of `heathspurd`
//! check the field names against a configuration file.

use super::*;
use heathspur::{Class, Idempotency, Span};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// A configuration with few possible values per field, so that two generated ones often agree in a field.
#[derive(Clone, Debug)]
struct SmallConfig {
    name: &'static str,
    listen: SocketAddr,
    store: Option<SocketAddr>,
    stop_timeout: Duration,
    memory_bytes: usize,
    file_descriptors: usize,
    settings: Settings,
    classes: Vec<String>,
    tenants: Vec<String>,
}

impl SmallConfig {
    fn view(&self) -> ConfigView<'_> {
        ConfigView {
            name: self.name,
            listen: self.listen,
            store: self.store,
            stop_timeout: self.stop_timeout,
            memory_bytes: self.memory_bytes,
            file_descriptors: self.file_descriptors,
            settings: &self.settings,
            classes: &self.classes,
            tenants: &self.tenants,
        }
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn class_with(idempotency: Idempotency, dedup_window_us: u64, priority_weight: u8) -> Class {
    Class {
        latency_objective: Span(1),
        latency_objective_per_work: 0.0,
        client_timeout: Span(2),
        priority_weight: f64::from(priority_weight),
        late_weight: 0.0,
        idempotency,
        dedup_window: Span(dedup_window_us),
        may_call: false,
        degraded_weight: 0.0,
    }
}

/// Generates mostly the usual value, so that two configurations often differ in a single field.
fn mostly<T: Clone + std::fmt::Debug + 'static>(usual: T, unusual: T) -> impl Strategy<Value = T> {
    prop_oneof![14 => Just(usual), 1 => Just(unusual)]
}

fn any_config() -> impl Strategy<Value = SmallConfig> {
    let class = || {
        (
            mostly("a", "b"),
            mostly(Idempotency::Keyed, Idempotency::NonIdempotent),
            mostly(1_000, 2_000),
            mostly(1, 2),
        )
    };
    let classes = mostly(2usize, 1).prop_flat_map(move |n| prop::collection::vec(class(), n));
    let tenants = mostly(2usize, 0).prop_flat_map(|n| prop::collection::vec(mostly("t", "u"), n));
    let store = prop_oneof![7 => Just(Some(1)), 7 => Just(Some(2)), 1 => Just(None)];
    let identity = (mostly("n1", "n2"), mostly(1u16, 2), store, classes, tenants);
    let start = (
        mostly(1u64, 2),
        mostly(1usize, 2),
        mostly(1usize, 2),
        0..3u64,
        0..3u64,
        any::<bool>(),
    );
    (identity, start).prop_map(
        |(
            (name, listen, store, classes, tenants),
            (stop, memory_bytes, file_descriptors, servers, callers, cold_start),
        )| SmallConfig {
            name,
            listen: address(listen),
            store: store.map(address),
            stop_timeout: Duration::from_secs(stop),
            memory_bytes,
            file_descriptors,
            settings: Settings {
                classes: classes
                    .iter()
                    .map(|(_, idempotency, window, weight)| {
                        class_with(*idempotency, *window, *weight)
                    })
                    .collect(),
                servers,
                callers,
                cold_start,
                ..Settings::default()
            },
            classes: classes.iter().map(|(name, ..)| name.to_string()).collect(),
            tenants: tenants.iter().map(|name| name.to_string()).collect(),
        },
    )
}

/// Returns the fields that identify a server, with their values.
fn identity(config: &SmallConfig) -> Vec<(String, String)> {
    let mut fields = vec![
        ("name".to_string(), config.name.to_string()),
        ("listen".to_string(), config.listen.to_string()),
        ("store".to_string(), config.store.is_some().to_string()),
        (
            "settings.services".to_string(),
            config.classes.len().to_string(),
        ),
    ];
    for (index, (name, class)) in config
        .classes
        .iter()
        .zip(&config.settings.classes)
        .enumerate()
    {
        fields.push((format!("settings.services[{index}].name"), name.clone()));
        fields.push((
            format!("settings.services[{index}].effect"),
            format!("{:?}", class.idempotency),
        ));
        fields.push((
            format!("settings.services[{index}].dedup-window-s"),
            class.dedup_window.0.to_string(),
        ));
    }
    fields.push((
        "settings.realms".to_string(),
        config.tenants.len().to_string(),
    ));
    let realms = config.tenants.iter().enumerate();
    fields.extend(
        realms.map(|(index, name)| (format!("settings.realms[{index}].name"), name.clone())),
    );
    fields
}

proptest! {
    #![proptest_config(Config {
        cases: 1000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_202),
        ..Config::default()
    })]

    #[test]
    fn configuration_of_another_server_is_rejected_with_first_differing_field(own in any_config(), other in any_config()) {
        let fields = identity(&own).into_iter().zip(identity(&other));
        let expected = fields.filter(|(own, other)| own != other).map(|(own, _)| own.0).next();
        let reported = check_identity(&own.view(), &other.view()).err().map(|error| error.field);
        prop_assert_eq!(reported, expected);
        prop_assert_eq!(check_identity(&own.view(), &own.view()), Ok(()));
    }

    #[test]
    fn changed_fields_that_need_restart_are_listed_without_start_state(own in any_config(), other in any_config()) {
        let mut expected = Vec::new();
        expected.extend((own.stop_timeout != other.stop_timeout).then_some("stop_ms"));
        expected.extend((own.memory_bytes != other.memory_bytes).then_some("limits.memory_mb"));
        expected.extend((own.file_descriptors != other.file_descriptors).then_some("limits.sockets"));
        expected.extend((own.settings.classes != other.settings.classes).then_some("settings"));
        prop_assert_eq!(restart_required_fields(&own.view(), &other.view()), expected);
    }
}
