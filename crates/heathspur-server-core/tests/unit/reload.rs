//! Tests of `src/reload.rs`, which names this file as its module of tests. `heathspurd`'s tests of its configuration
//! hold it to the files' fields.

use super::*;
use heathspur::{Class, Idempotency, Span};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// A configuration of few values, so that two are often alike in a field.
#[derive(Clone, Debug)]
struct Few {
    name: &'static str,
    listen: SocketAddr,
    store: Option<SocketAddr>,
    stop: Duration,
    memory: usize,
    sockets: usize,
    settings: Settings,
    classes: Vec<String>,
    tenants: Vec<String>,
}

impl Few {
    fn view(&self) -> View<'_> {
        View {
            name: self.name,
            listen: self.listen,
            store: self.store,
            stop: self.stop,
            memory: self.memory,
            sockets: self.sockets,
            settings: &self.settings,
            classes: &self.classes,
            tenants: &self.tenants,
        }
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn class_of(effect: Idempotency, window: u64, worth: u8) -> Class {
    Class {
        latency_objective: Span(1),
        latency_objective_per_work: 0.0,
        client_timeout: Span(2),
        priority_weight: f64::from(worth),
        late_weight: 0.0,
        idempotency: effect,
        dedup_window: Span(window),
        may_call: false,
        degraded_weight: 0.0,
    }
}

/// Each field is nearly always what most have, so that one that differs alone is often seen.
fn rarely<T: Clone + std::fmt::Debug + 'static>(often: T, else_: T) -> impl Strategy<Value = T> {
    prop_oneof![14 => Just(often), 1 => Just(else_)]
}

fn few() -> impl Strategy<Value = Few> {
    let class = || {
        (
            rarely("a", "b"),
            rarely(Idempotency::Keyed, Idempotency::NonIdempotent),
            rarely(1_000, 2_000),
            rarely(1, 2),
        )
    };
    let classes = rarely(2usize, 1).prop_flat_map(move |n| prop::collection::vec(class(), n));
    let tenants = rarely(2usize, 0).prop_flat_map(|n| prop::collection::vec(rarely("t", "u"), n));
    let store = prop_oneof![7 => Just(Some(1)), 7 => Just(Some(2)), 1 => Just(None)];
    let own = (rarely("n1", "n2"), rarely(1u16, 2), store, classes, tenants);
    let start = (
        rarely(1u64, 2),
        rarely(1usize, 2),
        rarely(1usize, 2),
        0..3u64,
        0..3u64,
        any::<bool>(),
    );
    (own, start).prop_map(
        |(
            (name, listen, store, classes, tenants),
            (stop, memory, sockets, servers, callers, cold),
        )| Few {
            name,
            listen: address(listen),
            store: store.map(address),
            stop: Duration::from_secs(stop),
            memory,
            sockets,
            settings: Settings {
                classes: classes
                    .iter()
                    .map(|(_, e, window, worth)| class_of(*e, *window, *worth))
                    .collect(),
                servers,
                callers,
                cold_start: cold,
                ..Settings::default()
            },
            classes: classes.iter().map(|(name, ..)| name.to_string()).collect(),
            tenants: tenants.iter().map(|name| name.to_string()).collect(),
        },
    )
}

/// All that is a server's own, by field, as a table.
fn identity(few: &Few) -> Vec<(String, String)> {
    let mut fields = vec![
        ("name".to_string(), few.name.to_string()),
        ("listen".to_string(), few.listen.to_string()),
        ("store".to_string(), few.store.is_some().to_string()),
        (
            "settings.services".to_string(),
            few.classes.len().to_string(),
        ),
    ];
    for (i, (name, class)) in few.classes.iter().zip(&few.settings.classes).enumerate() {
        fields.push((format!("settings.services[{i}].name"), name.clone()));
        fields.push((
            format!("settings.services[{i}].effect"),
            format!("{:?}", class.idempotency),
        ));
        fields.push((
            format!("settings.services[{i}].dedup-window-s"),
            class.dedup_window.0.to_string(),
        ));
    }
    fields.push(("settings.realms".to_string(), few.tenants.len().to_string()));
    let realms = few.tenants.iter().enumerate();
    fields.extend(realms.map(|(i, name)| (format!("settings.realms[{i}].name"), name.clone())));
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
    fn a_configuration_is_foreign_by_the_first_field_of_its_identity_that_differs(own in few(), other in few()) {
        let fields = identity(&own).into_iter().zip(identity(&other));
        let first = fields.filter(|(own, other)| own != other).map(|(own, _)| own.0).next();
        let found = check_own(&own.view(), &other.view()).err().map(|foreign| foreign.field);
        prop_assert_eq!(found, first);
        prop_assert_eq!(check_own(&own.view(), &own.view()), Ok(()));
    }

    #[test]
    fn all_else_that_holds_from_the_start_is_told_and_what_a_start_changes_is_not(own in few(), other in few()) {
        let mut expected = Vec::new();
        expected.extend((own.stop != other.stop).then_some("stop_ms"));
        expected.extend((own.memory != other.memory).then_some("limits.memory_mb"));
        expected.extend((own.sockets != other.sockets).then_some("limits.sockets"));
        expected.extend((own.settings.classes != other.settings.classes).then_some("settings"));
        prop_assert_eq!(differs(&own.view(), &other.view()), expected);
    }
}
