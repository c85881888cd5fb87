//! Unit tests of `src/config.rs`, which includes this file as its test module.

use super::*;
use serde_json::{json, Value};

/// Returns the testkit's configuration after an edit.
fn edited_config(edit: impl FnOnce(&mut Value)) -> Config {
    let peer = "127.0.0.1:9".parse().unwrap();
    let mut config = heathspur_testkit::prelude::server_config(peer, peer, peer);
    edit(&mut config);
    Config::parse(config.to_string().as_bytes()).unwrap()
}

#[test]
fn config_of_another_server_or_customer_is_rejected_by_field() {
    let own = edited_config(|_| {});
    let field = |edit: &dyn Fn(&mut Value)| match own.check_identity(edited_config(edit)) {
        Err(ConfigError::Invalid { invalid, .. }) => invalid.field,
        other => panic!("{other:?}"),
    };
    let class_field =
        |name: &str, value: Value| field(&|c| c["settings"]["services"][1][name] = value.clone());
    assert_eq!(field(&|c| c["name"] = json!("n4")), "name");
    assert_eq!(field(&|c| c["listen"] = json!("127.0.0.1:1")), "listen");
    assert_eq!(
        field(&|c| drop(c.as_object_mut().unwrap().remove("store"))),
        "store"
    );
    assert_eq!(
        class_field("name", json!("book")),
        "settings.services[1].name"
    );
    assert_eq!(
        class_field("effect", json!("non_idempotent")),
        "settings.services[1].effect"
    );
    assert_eq!(
        class_field("dedup-window-s", json!(6.0)),
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
fn only_fields_that_require_restart_are_reported() {
    let own = edited_config(|_| {});
    let restart_required = |edit: &dyn Fn(&mut Value)| {
        own.restart_required_fields(&own.check_identity(edited_config(edit)).unwrap())
    };
    let family_info = |name: &str, value: Value| {
        restart_required(&|c| c["settings"]["family-info"][name] = value.clone())
    };
    let none: [&str; 0] = [];
    for address in ["vm", "announce", "store"] {
        assert_eq!(
            restart_required(&|c| c[address] = json!("127.0.0.1:1")),
            none
        );
    }
    assert_eq!(restart_required(&|c| c["seed"] = json!("1")), none);
    assert_eq!(
        restart_required(&|c| c["settings"]["servers"] = json!(9)),
        none
    );
    assert_eq!(restart_required(&|c| c["settings"]["me"] = json!(9)), none);
    assert_eq!(
        (
            family_info("cold", json!(true)),
            family_info("upstreams", json!(9))
        ),
        (vec![], vec![])
    );
    assert_eq!(family_info("n-cores", json!(9)), ["settings"]);
    assert_eq!(
        restart_required(&|c| c["settings"]["services"][1]["gain"] = json!(9.0)),
        ["settings"]
    );
    assert_eq!(restart_required(&|c| c["stop_ms"] = json!(9)), ["stop_ms"]);
    assert_eq!(
        restart_required(&|c| c["limits"]["memory_mb"] = json!(9)),
        ["limits.memory_mb"]
    );
    assert_eq!(
        restart_required(&|c| c["limits"]["sockets"] = json!(9)),
        ["limits.sockets"]
    );
}
