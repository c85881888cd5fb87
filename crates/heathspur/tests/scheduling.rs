//! Dispatch order, lent run slots, the concurrency limit, late requests, retries, tenant quotas,
//! the load signal and `Retry-After`.

mod common;
use common::*;
use heathspur::*;
use std::ops::RangeInclusive;

/// Delivers one request of the class for each id.
fn arrive_all(harness: &mut Harness, ids: RangeInclusive<u64>, class: usize) {
    for id in ids {
        harness.arrive(request(id, class), id);
    }
}

/// Returns a server whose four cores run the non-idempotent requests 1 to 4.
fn server_with_busy_cores(settings: Settings) -> Harness {
    let mut harness = Harness::new(settings);
    arrive_all(&mut harness, 1..=4, NON_IDEMPOTENT);
    harness
}

/// Completes 12 runs of 50 ms each, which set the run-time estimate of the class.
fn train_run_time_estimate(harness: &mut Harness, class: usize) {
    for id in 9000..9012 {
        harness.arrive(request(id, class), id);
        harness.advance(ms(50));
        harness.complete_run(id, Outcome::Ok);
    }
}

/// Returns a request of a tenant.
fn tenant_request(id: u64, class: usize, tenant: usize) -> Request {
    Request {
        tenant: Some(TenantId(tenant)),
        ..request(id, class)
    }
}

/// Returns the advertised values of the load signal, in their order.
fn advertised_values(actions: &[Action]) -> Vec<f64> {
    let value = |action: &Action| {
        if let Action::SetLoadSignal(value) = action {
            Some(*value)
        } else {
            None
        }
    };
    actions.iter().filter_map(value).collect()
}

#[test]
fn requests_run_up_to_core_count_and_queue_beyond() {
    let mut harness = Harness::new(settings());
    arrive_all(&mut harness, 1..=6, NON_IDEMPOTENT);
    assert_eq!(harness.running(), [1, 2, 3, 4]);
    assert_eq!(harness.in_state(State::Queued), [5, 6]);
}

#[test]
fn freed_slot_goes_to_class_of_highest_weight() {
    let mut harness = server_with_busy_cores(settings());
    harness.arrive(request(10, IDEMPOTENT), 10);
    harness.arrive(request(11, NON_IDEMPOTENT), 11);
    harness.arrive(request(12, KEYED), 12);
    harness.complete_run(1, Outcome::Ok);
    harness.complete_run(2, Outcome::Ok);
    harness.complete_run(3, Outcome::Ok);
    // The non-idempotent class has used its budget for the first runs, so request 11 waits for a
    // slot that no other class needs.
    assert_eq!(harness.started()[4..], [12, 10, 11]);
}

#[test]
fn requests_of_one_class_start_in_arrival_order() {
    let mut harness = Harness::new(settings());
    arrive_all(&mut harness, 1..=7, NON_IDEMPOTENT);
    for id in [2, 3, 1] {
        harness.complete_run(id, Outcome::Ok);
    }
    assert_eq!(harness.started()[4..], [5, 6, 7]);
}

#[test]
fn idle_slots_are_lent_beyond_budget() {
    // A budget starts at one slot; four requests run because the other slots are idle.
    let mut harness = Harness::new(settings());
    arrive_all(&mut harness, 1..=4, IDEMPOTENT);
    assert_eq!(harness.running().len(), 4);
}

#[test]
fn low_weight_class_gets_its_budget_beside_saturating_high_weight_class() {
    const LOW: usize = 0;
    const HIGH: usize = 1;
    let mut settings = settings();
    settings.classes = vec![
        class(1.0, Idempotency::Idempotent, false),
        class(4.0, Idempotency::Idempotent, false),
    ];
    settings.classes[HIGH].latency_objective = ms(60_000);
    settings.classes[HIGH].client_timeout = ms(90_000);
    settings.classes[LOW].latency_objective = ms(4000);
    let mut harness = Harness::new(settings);
    train_run_time_estimate(&mut harness, LOW);
    arrive_all(&mut harness, 1..=30, HIGH);
    arrive_all(&mut harness, 100..=104, LOW);
    for _ in 0..8 {
        harness.advance(ms(200));
        let id = harness.running()[0];
        harness.complete_run(id, Outcome::Ok);
    }
    let low_starts = harness
        .started()
        .iter()
        .filter(|&&id| (100..200).contains(&id))
        .count();
    assert!(
        (1..4).contains(&low_starts),
        "{low_starts} of eight freed slots"
    );
}

#[test]
fn queued_request_without_enough_time_left_is_rejected() {
    let mut harness = server_with_busy_cores(settings());
    harness.arrive(request(9, IDEMPOTENT), 9);
    harness.advance(ms(300));
    assert!(harness.rejected().is_empty(), "rejected with time left");
    harness.advance(ms(1700));
    assert_eq!(harness.rejected(), [9]);
    assert!(harness.answer_counts[&RequestId(9)] == 1);
}

#[test]
fn request_behind_too_much_queued_work_is_rejected_after_minimum_wait() {
    let mut settings = settings();
    settings.classes[NON_IDEMPOTENT].may_call = false;
    let mut harness = Harness::new(settings);
    for id in 9000..9008 {
        harness.arrive(request(id, NON_IDEMPOTENT), id);
        harness.advance(ms(800));
        harness.complete_run(id, Outcome::Ok);
    }
    arrive_all(&mut harness, 1..=40, NON_IDEMPOTENT);
    harness.advance(ms(150));
    assert!(
        harness.rejected().is_empty(),
        "rejected before a tenth of the objective had passed"
    );
    harness.advance(ms(150));
    let rejected = harness.rejected();
    assert!(
        rejected.contains(&40),
        "the last request is still queued, although it cannot meet its objective"
    );
    assert!(
        !rejected.contains(&5),
        "the first queued request was rejected"
    );
}

#[test]
fn late_idempotent_run_is_stopped_and_non_idempotent_run_continues() {
    let mut harness = Harness::new(settings());
    harness.arrive(request(1, IDEMPOTENT), 1);
    harness.arrive(request(2, NON_IDEMPOTENT), 2);
    // Other runs complete meanwhile, so the server does not count as stalled.
    for id in 10..30 {
        harness.advance(ms(110));
        harness.arrive(request(id, IDEMPOTENT), id);
        harness.complete_run(id, Outcome::Ok);
    }
    assert!(harness.actions.contains(&Action::Stop(RequestId(1))));
    assert_eq!(harness.running(), [2]);
}

#[test]
fn concurrency_limit_grows_at_baseline_latency_and_falls_when_inflated() {
    let mut settings = settings();
    settings.classes = vec![class(1.0, Idempotency::Idempotent, false)];
    settings.classes[0].latency_objective = ms(30_000);
    settings.classes[0].client_timeout = ms(60_000);
    let mut harness = Harness::new(settings);
    let mut next_id = 1;
    let mut arrive_next = |harness: &mut Harness, count: u64| {
        arrive_all(harness, next_id..=next_id + count - 1, 0);
        next_id += count;
    };
    // Runs alone on the cores set the baseline latency to 400 ms.
    for _ in 0..20 {
        arrive_next(&mut harness, 1);
        harness.advance(ms(400));
        let id = harness.running()[0];
        harness.complete_run(id, Outcome::Ok);
    }
    arrive_next(&mut harness, 8);
    // Each run takes 400 ms at any concurrency, so the server is not overloaded.
    for _ in 0..60 {
        harness.advance(Span(400_000 / harness.running().len() as u64));
        let id = harness.running()[0];
        harness.complete_run(id, Outcome::Ok);
        arrive_next(&mut harness, 1);
    }
    let grown = harness.running().len();
    assert!(grown > 4, "no growth: {grown}");
    // One completion per second: with several requests running, latency is far above the baseline.
    for _ in 0..60 {
        harness.advance(ms(1000));
        let id = harness.running()[0];
        harness.complete_run(id, Outcome::Ok);
        arrive_next(&mut harness, 1);
    }
    let reduced = harness.running().len();
    assert!(reduced < grown, "not reduced: {grown} to {reduced}");
    assert!(reduced >= 4, "below the core count: {reduced}");
}

#[test]
fn retry_without_stated_deadline_queues_behind_first_attempts() {
    let mut harness = server_with_busy_cores(settings());
    harness.arrive(
        Request {
            is_retry: true,
            ..request(5, NON_IDEMPOTENT)
        },
        5,
    );
    harness.arrive(request(6, IDEMPOTENT), 6);
    harness.complete_run(1, Outcome::Ok);
    assert_eq!(harness.started()[4..], [6]);
    harness.arrive(
        Request {
            is_retry: true,
            remaining_deadline: Some(ms(5000)),
            ..request(7, NON_IDEMPOTENT)
        },
        7,
    );
    harness.arrive(request(8, IDEMPOTENT), 8);
    harness.complete_run(2, Outcome::Ok);
    assert_eq!(
        harness.started()[5..],
        [7],
        "a retry with a stated deadline is ordered by its class weight"
    );
}

#[test]
fn requests_over_tenant_quota_queue_behind_requests_within_quota() {
    let mut settings = settings();
    settings.tenants = vec![Tenant { quota_per_s: 8.0 }, Tenant { quota_per_s: 8.0 }];
    settings.over_quota_weight = 0.05;
    let mut harness = Harness::new(settings);
    for id in 1..=20 {
        harness.arrive(tenant_request(id, NON_IDEMPOTENT, 0), id);
    }
    harness.arrive(tenant_request(50, IDEMPOTENT, 1), 50);
    for id in 1..=4 {
        harness.complete_run(id, Outcome::Ok);
    }
    assert_eq!(harness.started()[4], 50, "{:?}", harness.started());
}

#[test]
fn small_burst_is_within_per_server_quota_below_one_per_second() {
    let mut settings = settings();
    settings.servers = 100;
    settings.tenants = vec![
        Tenant { quota_per_s: 20.0 },
        Tenant {
            quota_per_s: 2000.0,
        },
    ];
    settings.over_quota_weight = 0.05;
    let mut harness = server_with_busy_cores(settings);
    for id in 60..63 {
        harness.arrive(tenant_request(id, IDEMPOTENT, 0), id);
    }
    harness.arrive(tenant_request(50, IDEMPOTENT, 1), 50);
    for id in 1..=4 {
        harness.complete_run(id, Outcome::Ok);
    }
    assert_eq!(
        harness.started()[4..],
        [60, 61, 62, 50],
        "{:?}",
        harness.started()
    );
}

#[test]
fn admission_level_rises_with_long_queue_and_falls_after_it_clears() {
    let mut settings = settings();
    settings.load_signal = LoadSignal::Level;
    let mut harness = Harness::new(settings);
    for round in 0..20 {
        arrive_all(&mut harness, 100 * round + 1..=100 * round + 15, IDEMPOTENT);
        harness.advance(ms(250));
        let id = harness.running()[0];
        harness.complete_run(id, Outcome::Ok);
    }
    let last_level = |harness: &Harness| advertised_values(&harness.actions).last().copied();
    let high = last_level(&harness).expect("a level was advertised");
    assert!(high > 0.1, "{high}");
    for _ in 0..200 {
        harness.advance(ms(250));
        if let Some(&id) = harness.running().first() {
            harness.complete_run(id, Outcome::Ok);
        }
    }
    assert_eq!(last_level(&harness), Some(0.0));
}

#[test]
fn load_signal_follows_unread_delay_while_queues_are_empty() {
    // A level rises with the load and a load-balancing weight falls.
    for (load_signal, sign) in [(LoadSignal::Level, 1.0), (LoadSignal::Weight, -1.0)] {
        let mut harness = Harness::new(Settings {
            load_signal,
            ..settings()
        });
        let mut advertised = |first_id: u64, queueing_delay: Span| {
            let actions_before = harness.actions.len();
            for id in first_id..first_id + 12 {
                harness.arrive(
                    Request {
                        queueing_delay,
                        ..request(id, IDEMPOTENT)
                    },
                    id,
                );
                assert_eq!(harness.running(), [id], "not started at once");
                harness.complete_run(id, Outcome::Ok);
                harness.advance(ms(250));
            }
            advertised_values(&harness.actions[actions_before..])
                .iter()
                .map(|value| sign * value)
                .collect::<Vec<_>>()
        };
        let rises = advertised(100, ms(1000));
        assert!(
            rises.len() > 3 && rises.windows(2).all(|w| w[0] < w[1]),
            "{rises:?}"
        );
        advertised(200, ms(0));
        let falls = advertised(300, ms(0));
        assert!(
            falls.len() > 3 && falls.windows(2).all(|w| w[0] > w[1]),
            "{falls:?}"
        );
    }
}

#[test]
fn rejection_allows_retry_only_with_enough_stated_deadline() {
    let mut settings = settings();
    settings.memory_kb = 1500.0;
    let mut harness = Harness::new(settings);
    // Requests with even ids state a deadline.
    for id in 1..200 {
        let remaining_deadline = (id % 2 == 0).then(|| ms(6000));
        harness.arrive(
            Request {
                remaining_deadline,
                ..request(id, IDEMPOTENT)
            },
            id,
        );
    }
    let no_retry_flags = |even_ids: bool| {
        harness
            .actions
            .iter()
            .filter_map(move |action| match action {
                Action::Reject { id, no_retry, .. } if (id.0 % 2 == 0) == even_ids => {
                    Some(*no_retry)
                }
                _ => None,
            })
    };
    assert!(no_retry_flags(true).count() > 3 && no_retry_flags(true).all(|no_retry| !no_retry));
    assert!(no_retry_flags(false).count() > 3 && no_retry_flags(false).all(|no_retry| no_retry));
}

#[test]
fn same_events_give_same_actions() {
    let play = || {
        let mut harness = Harness::new(settings());
        for id in 1..60 {
            harness.arrive(request(id, (id % 3) as usize), id);
            harness.advance(ms(37));
            if let Some(&first) = harness.running().first() {
                if id % 3 == 0 {
                    harness.need_call(first);
                    if harness.in_state(State::Calling).contains(&first) {
                        harness.complete_call(first, Outcome::Rejected);
                    }
                } else {
                    harness.complete_run(first, Outcome::Ok);
                }
            }
        }
        harness.actions
    };
    assert_eq!(play(), play());
}

#[test]
fn capacity_rejection_carries_retry_after_if_callers_honour_it() {
    let mut harness = server_with_busy_cores(settings());
    harness.arrive(request(9, IDEMPOTENT), 9);
    harness.advance(ms(2500));
    assert!(harness.actions.iter().any(|action| matches!(
        action,
        Action::Reject {
            id: RequestId(9),
            retry_after: Some(delay),
            ..
        } if delay.0 > 0
    )));
    let mut settings = settings();
    settings.max_retry_after = None;
    let mut harness = server_with_busy_cores(settings);
    harness.arrive(request(9, IDEMPOTENT), 9);
    harness.advance(ms(2500));
    assert!(harness.actions.iter().any(|action| matches!(
        action,
        Action::Reject {
            id: RequestId(9),
            retry_after: None,
            ..
        }
    )));
}

#[test]
fn runs_off_cpu_lend_their_slots() {
    let mut harness = Harness::new(settings());
    arrive_all(&mut harness, 1..=8, NON_IDEMPOTENT);
    assert_eq!(harness.running().len(), 4);
    // One task is runnable, so three of the four runs wait for a disk and need no core.
    harness.gauges.runnable = Some(1.0);
    harness.advance(ms(20));
    assert_eq!(harness.running().len(), 7);
    // Reading requests adds runnable tasks, so there can be more of them than runs: no slot is
    // lent.
    harness.gauges.runnable = Some(9.0);
    harness.advance(ms(20));
    harness.complete_run(1, Outcome::Ok);
    assert_eq!(harness.running().len(), 6);
}

#[test]
fn stated_deadline_beyond_objective_does_not_extend_objective() {
    let mut harness = server_with_busy_cores(settings());
    // The client times out this attempt after 3.5 s of its 6 s in all; the objective is 2 s.
    let mut attempt = request(9, IDEMPOTENT);
    attempt.remaining_deadline = Some(ms(3500));
    harness.arrive(attempt, 9);
    harness.advance(ms(1950));
    assert_eq!(harness.rejected(), [9]);
}

/// A longer `Retry-After` in a small fleet would also delay requests within the quota.
#[test]
fn over_quota_rejection_carries_short_retry_after_in_small_fleet() {
    let mut settings = settings();
    settings.tenants = vec![Tenant { quota_per_s: 0.0 }, Tenant { quota_per_s: 1e6 }];
    let (small_fleet, large_fleet) = (2, 1000);
    let (over_quota, within_quota) = (0, 1);
    let last_retry_after = |servers, tenant| {
        let mut harness = Harness::new(Settings {
            servers,
            ..settings.clone()
        });
        for id in 1..40 {
            harness.arrive(tenant_request(id, IDEMPOTENT, tenant), id);
        }
        harness.advance(ms(600));
        let retry_after = |action: &Action| match action {
            Action::Reject { retry_after, .. } => *retry_after,
            _ => None,
        };
        harness
            .actions
            .iter()
            .rev()
            .find_map(retry_after)
            .expect("a rejection with Retry-After")
    };
    assert!(
        last_retry_after(small_fleet, over_quota) > ms(0)
            && last_retry_after(small_fleet, over_quota) < ms(100),
        "{:?}",
        last_retry_after(small_fleet, over_quota)
    );
    assert!(
        last_retry_after(small_fleet, within_quota) >= ms(500)
            && last_retry_after(large_fleet, over_quota) >= ms(500)
    );
}
