//! Tests of the PI control of run-slot budgets.

use super::*;

const PERIOD_S: f64 = 0.5;

fn observation(oldest_wait_s: Option<f64>) -> ClassObservation {
    ClassObservation {
        latency_objective_s: 2.0,
        expected_run_s: 0.4,
        oldest_wait_s,
    }
}

#[test]
fn wait_above_target_raises_budget() {
    let mut budgets = SlotBudgets::new(1);
    budgets.record_wait(0, 4.8);
    budgets.update(&[observation(None)], PERIOD_S, 10.0);
    // The target is half of (2 s - 0.4 s), so the error is -4 s.
    assert_eq!(budgets.budget(0), 3.0);
}

#[test]
fn class_without_starts_uses_wait_of_oldest_request() {
    let mut budgets = SlotBudgets::new(1);
    budgets.update(&[observation(Some(4.8))], PERIOD_S, 10.0);
    assert_eq!(budgets.budget(0), 3.0);
}

#[test]
fn class_without_wait_retains_budget() {
    let mut budgets = SlotBudgets::new(1);
    budgets.update(&[observation(Some(4.8))], PERIOD_S, 10.0);
    budgets.update(&[observation(None)], PERIOD_S, 10.0);
    assert_eq!(budgets.budget(0), 3.0);
}

#[test]
fn budget_stays_between_one_slot_and_limit() {
    let mut budgets = SlotBudgets::new(1);
    budgets.update(&[observation(Some(100.0))], PERIOD_S, 5.0);
    assert_eq!(budgets.budget(0), 5.0);
    budgets.update(&[observation(Some(0.0))], PERIOD_S, 5.0);
    budgets.update(&[observation(Some(0.0))], PERIOD_S, 5.0);
    budgets.update(&[observation(Some(0.0))], PERIOD_S, 5.0);
    assert_eq!(budgets.budget(0), 1.0);
}

#[test]
fn running_requests_count_against_budget() {
    let mut budgets = SlotBudgets::new(1);
    assert!(budgets.is_within_budget(0));
    budgets.occupy(0);
    assert!(!budgets.is_within_budget(0));
    budgets.vacate(0);
    assert!(budgets.is_within_budget(0));
}
