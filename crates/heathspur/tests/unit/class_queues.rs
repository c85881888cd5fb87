//! Tests of the queues and their dispatch order.

use super::*;
use crate::settings::{Class, Idempotency};
use crate::time::Span;

fn class(priority_weight: f64) -> Class {
    Class {
        latency_objective: Span::from_secs(1.0),
        latency_objective_per_work: 0.0,
        client_timeout: Span::from_secs(2.0),
        priority_weight,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        dedup_window: Span(0),
        may_call: false,
        degraded_weight: 0.0,
    }
}

fn queues() -> ClassQueues {
    ClassQueues::new(&Settings {
        classes: vec![class(1.0), class(4.0)],
        over_quota_weight: 0.5,
        ..Settings::default()
    })
}

#[test]
fn dispatch_order_decreases_by_weight_and_quota_state() {
    let order: Vec<_> = queues().dispatch_order().to_vec();
    let expected = [(1, false), (1, true), (0, false), (0, true)];
    assert_eq!(order, expected.map(|(c, over)| QueueIndex::new(c, over)));
}

#[test]
fn ended_requests_are_removed_from_head_only() {
    let mut queues = queues();
    let queue = QueueIndex::new(0, false);
    for id in 1..=4 {
        queues.push(queue, RequestId(id));
    }
    let waits = |id: RequestId| id.0 == 2 || id.0 == 4;
    assert_eq!(queues.first_waiting(queue, waits), Some(RequestId(2)));
    assert_eq!(queues.len(), 3);
}

#[test]
fn newest_request_of_lowest_weight_is_removed_first() {
    let mut queues = queues();
    queues.push(QueueIndex::new(1, false), RequestId(1));
    queues.push(QueueIndex::new(0, false), RequestId(2));
    queues.push(QueueIndex::new(0, false), RequestId(3));
    let freed: Vec<_> = std::iter::from_fn(|| queues.pop_newest_of_lowest()).collect();
    assert_eq!(freed, [3, 2, 1].map(RequestId));
    assert!(queues.is_empty());
}
