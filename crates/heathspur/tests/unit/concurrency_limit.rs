//! Tests of the AIMD concurrency limit.

use super::*;

fn busy_signal() -> CompletionSignal {
    CompletionSignal {
        met_objective: true,
        requests_waiting: true,
        cpu_utilization: Some(0.5),
        ceiling: 100.0,
    }
}

#[test]
fn useful_completion_raises_limit_by_its_inverse() {
    let mut limit = ConcurrencyLimit::new(4);
    limit.record_inflation(1.0);
    limit.on_completion(&busy_signal());
    assert_eq!(limit.get(), 4.25);
}

#[test]
fn limit_is_constant_without_waiting_requests_idle_cores_or_met_objective() {
    let without = [
        CompletionSignal {
            met_objective: false,
            ..busy_signal()
        },
        CompletionSignal {
            requests_waiting: false,
            ..busy_signal()
        },
        CompletionSignal {
            cpu_utilization: Some(0.9),
            ..busy_signal()
        },
    ];
    for signal in &without {
        let mut limit = ConcurrencyLimit::new(4);
        limit.on_completion(signal);
        assert_eq!(limit.get(), 4.0);
    }
}

#[test]
fn limit_does_not_exceed_ceiling() {
    let mut limit = ConcurrencyLimit::new(4);
    let signal = CompletionSignal {
        ceiling: 4.1,
        ..busy_signal()
    };
    limit.on_completion(&signal);
    assert_eq!(limit.get(), 4.1);
}

#[test]
fn inflation_lowers_limit_once_per_limit_completions() {
    let mut limit = ConcurrencyLimit::new(2);
    for _ in 0..8 {
        limit.on_completion(&busy_signal());
    }
    let before = limit.get();
    for _ in 0..40 {
        limit.record_inflation(2.0);
    }
    limit.decrease_if_inflated();
    assert_eq!(limit.get(), before * 0.85);
    limit.decrease_if_inflated();
    assert_eq!(
        limit.get(),
        before * 0.85,
        "no completion since the decrease"
    );
}

#[test]
fn limit_does_not_fall_below_cores() {
    let mut limit = ConcurrencyLimit::new(4);
    limit.record_inflation(2.0);
    for _ in 0..20 {
        limit.on_completion(&busy_signal());
        limit.decrease_if_inflated();
    }
    assert_eq!(limit.get(), 4.0);
}
