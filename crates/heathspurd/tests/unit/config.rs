//! Unit tests of `src/config.rs`, which includes this file as its module of tests.

use super::*;
use serde_json::{json, Value};

/// The testkit's configuration with a change.
fn with(edit: impl FnOnce(&mut Value)) -> Config {
    let somewhere = "127.0.0.1:9".parse().unwrap();
    let mut config = heathspur_testkit::prelude::server_config(somewhere, somewhere, somewhere);
    edit(&mut config);
    Config::parse(config.to_string().as_bytes()).unwrap()
}

#[test]
fn the_file_of_another_server_or_customer_is_refused_with_the_field_that_differs() {
    let own = with(|_| {});
    let field = |edit: &dyn Fn(&mut Value)| match own.check_own(with(edit)) {
        Err(ConfigError::Invalid { invalid, .. }) => invalid.field,
        other => panic!("{other:?}"),
    };
    let service =
        |name: &str, value: Value| field(&|c| c["settings"]["services"][1][name] = value.clone());
    assert_eq!(field(&|c| c["name"] = json!("n4")), "name");
    assert_eq!(field(&|c| c["listen"] = json!("127.0.0.1:1")), "listen");
    assert_eq!(
        field(&|c| drop(c.as_object_mut().unwrap().remove("store"))),
        "store"
    );
    assert_eq!(service("name", json!("book")), "settings.services[1].name");
    assert_eq!(
        service("effect", json!("non_idempotent")),
        "settings.services[1].effect"
    );
    assert_eq!(
        service("dedup-window-s", json!(6.0)),
        "settings.services[1].dedup-window-s"
    );
    assert_eq!(
        field(&|c| drop(c["settings"]["services"].as_array_mut().unwrap().pop())),
        "settings.services"
    );
    assert_eq!(
        field(&|c| c["settings"]["services"].as_array_mut().unwrap().swap(0, 1)),
        "settings.services[0].name"
    );
    assert_eq!(
        field(&|c| c["settings"]["realms"][0]["name"] = json!("south")),
        "settings.realms[0].name"
    );
    assert_eq!(
        field(&|c| c["settings"]["realms"] = json!([])),
        "settings.realms"
    );
}

#[test]
fn all_differences_are_reported_but_for_those_that_each_start_has() {
    let own = with(|_| {});
    let differs = |edit: &dyn Fn(&mut Value)| own.differs(&own.check_own(with(edit)).unwrap());
    let info =
        |name: &str, value: Value| differs(&|c| c["settings"]["family-info"][name] = value.clone());
    let none: [&str; 0] = [];
    for address in ["vm", "announce", "store"] {
        assert_eq!(differs(&|c| c[address] = json!("127.0.0.1:1")), none);
    }
    assert_eq!(differs(&|c| c["seed"] = json!("1")), none);
    assert_eq!(differs(&|c| c["settings"]["servers"] = json!(9)), none);
    assert_eq!(differs(&|c| c["settings"]["me"] = json!(9)), none);
    assert_eq!(
        (info("cold", json!(true)), info("upstreams", json!(9))),
        (vec![], vec![])
    );
    assert_eq!(info("n-cores", json!(9)), ["settings"]);
    assert_eq!(
        differs(&|c| c["settings"]["services"][1]["gain"] = json!(9.0)),
        ["settings"]
    );
    assert_eq!(differs(&|c| c["stop_ms"] = json!(9)), ["stop_ms"]);
    assert_eq!(
        differs(&|c| c["limits"]["memory_mb"] = json!(9)),
        ["limits.memory_mb"]
    );
    assert_eq!(
        differs(&|c| c["limits"]["sockets"] = json!(9)),
        ["limits.sockets"]
    );
}
