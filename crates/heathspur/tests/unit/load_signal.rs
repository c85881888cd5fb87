//! Tests of the advertised load signal.

use super::*;
use crate::settings::{Class, Idempotency};
use crate::time::Span;

fn advertiser(kind: LoadSignal) -> LoadAdvertiser {
    let class = Class {
        latency_objective: Span::from_secs(1.0),
        latency_objective_per_work: 0.0,
        client_timeout: Span::from_secs(2.0),
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        dedup_window: Span(0),
        may_call: false,
        degraded_weight: 0.0,
    };
    let settings = Settings {
        classes: vec![class.clone(), class],
        load_signal: kind,
        ..Settings::default()
    };
    LoadAdvertiser::new(&settings, 1.0)
}

#[test]
fn long_clear_time_raises_level_up_to_maximum() {
    let mut advertiser = advertiser(LoadSignal::Level);
    advertiser.update_level(10.0);
    assert_eq!(advertiser.changed_value(false, 4.0), Some(0.1));
    for _ in 0..20 {
        advertiser.update_level(10.0);
    }
    assert_eq!(advertiser.changed_value(false, 4.0), Some(0.5));
}

#[test]
fn unchanged_value_is_not_advertised_again() {
    let mut advertiser = advertiser(LoadSignal::Credit);
    assert_eq!(advertiser.changed_value(false, 4.0), Some(8.0));
    assert_eq!(advertiser.changed_value(false, 4.0), None);
}

#[test]
fn unavailable_server_asks_for_no_requests() {
    let value = |kind| advertiser(kind).changed_value(true, 4.0);
    assert_eq!(value(LoadSignal::Level), Some(1.0));
    // Weight and credit are 0 from the start, so there is no change to advertise.
    assert_eq!(value(LoadSignal::Weight), None);
    assert_eq!(value(LoadSignal::Credit), None);
    assert_eq!(value(LoadSignal::None), None);
}
