//! PI control of run-slot budgets.

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
fn a_wait_above_its_target_raises_the_budget() {
    let mut budgets = SlotBudgets::new(1);
    budgets.record_wait(0, 4.8);
    budgets.update(&[observation(None)], PERIOD_S, 10.0);
    // The target is half of 2 s less 0.4 s, so the error is -4 s.
    assert_eq!(budgets.budget(0), 3.0);
}

#[test]
fn a_class_without_starts_is_judged_by_its_oldest_request() {
    let mut budgets = SlotBudgets::new(1);
    budgets.update(&[observation(Some(4.8))], PERIOD_S, 10.0);
    assert_eq!(budgets.budget(0), 3.0);
}

#[test]
fn a_class_without_any_wait_keeps_its_budget() {
    let mut budgets = SlotBudgets::new(1);
    budgets.update(&[observation(Some(4.8))], PERIOD_S, 10.0);
    budgets.update(&[observation(None)], PERIOD_S, 10.0);
    assert_eq!(budgets.budget(0), 3.0);
}

#[test]
fn a_budget_stays_between_one_slot_and_the_limit() {
    let mut budgets = SlotBudgets::new(1);
    budgets.update(&[observation(Some(100.0))], PERIOD_S, 5.0);
    assert_eq!(budgets.budget(0), 5.0);
    budgets.update(&[observation(Some(0.0))], PERIOD_S, 5.0);
    budgets.update(&[observation(Some(0.0))], PERIOD_S, 5.0);
    budgets.update(&[observation(Some(0.0))], PERIOD_S, 5.0);
    assert_eq!(budgets.budget(0), 1.0);
}

#[test]
fn running_requests_count_against_the_budget() {
    let mut budgets = SlotBudgets::new(1);
    assert!(budgets.is_within_budget(0));
    budgets.occupy(0);
    assert!(!budgets.is_within_budget(0));
    budgets.vacate(0);
    assert!(budgets.is_within_budget(0));
}
