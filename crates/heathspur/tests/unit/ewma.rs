//! The moving average.

use super::*;

#[test]
fn starts_as_a_plain_mean() {
    let mut average = Ewma::default();
    average.add(1.0, FAST_WEIGHT);
    average.add(3.0, FAST_WEIGHT);
    assert_eq!(average.value(), 2.0);
    assert_eq!(average.samples(), 2.0);
}

#[test]
fn gives_a_new_sample_its_fixed_weight_once_established() {
    let mut average = Ewma::with_history(1.0, 1.0 / FAST_WEIGHT);
    average.add(2.0, FAST_WEIGHT);
    assert!((average.value() - 1.1).abs() < 1e-12);
}

#[test]
fn has_its_initial_value_before_the_first_sample_only() {
    let mut average = Ewma::default();
    assert_eq!(average.value_or(7.0), 7.0);
    average.add(1.0, FAST_WEIGHT);
    assert_eq!(average.value_or(7.0), 1.0);
}
