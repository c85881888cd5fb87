//! Tests of the moving average.

use super::*;

#[test]
fn first_samples_give_plain_mean() {
    let mut average = Ewma::default();
    average.add(1.0, FAST_WEIGHT);
    average.add(3.0, FAST_WEIGHT);
    assert_eq!(average.value(), 2.0);
    assert_eq!(average.samples(), 2.0);
}

#[test]
fn established_average_gives_sample_its_fixed_weight() {
    let mut average = Ewma::with_history(1.0, 1.0 / FAST_WEIGHT);
    average.add(2.0, FAST_WEIGHT);
    assert!((average.value() - 1.1).abs() < 1e-12);
}

#[test]
fn initial_value_is_returned_only_before_first_sample() {
    let mut average = Ewma::default();
    assert_eq!(average.value_or(7.0), 7.0);
    average.add(1.0, FAST_WEIGHT);
    assert_eq!(average.value_or(7.0), 1.0);
}
