//! Dispatch order, lent slots, the concurrency limit, late requests, retries, quotas and signals.

mod common;
use common::*;
use heathspur::*;

fn fill(harness: &mut Harness, from: u64, n: u64, class: usize) {
    for id in from..from + n {
        harness.arrive(request(id, class), id);
    }
}

/// Completes short runs, from which the run time of a class is learned.
fn teach(harness: &mut Harness, class: usize) {
    for id in 9000..9012 {
        harness.arrive(request(id, class), id);
        harness.advance(ms(50));
        harness.complete_run(id, Outcome::Ok);
    }
}

#[test]
fn starts_requests_up_to_the_cores_and_queues_the_rest() {
    let mut harness = Harness::new(settings());
    fill(&mut harness, 1, 6, 2);
    assert_eq!(harness.running(), [1, 2, 3, 4]);
    assert_eq!(harness.in_state(State::Queued), [5, 6]);
}

#[test]
fn a_freed_slot_goes_to_the_class_of_highest_weight() {
    let mut harness = Harness::new(settings());
    fill(&mut harness, 1, 4, 2);
    harness.arrive(request(10, 0), 10);
    harness.arrive(request(11, 2), 11);
    harness.arrive(request(12, 1), 12);
    harness.complete_run(1, Outcome::Ok);
    harness.complete_run(2, Outcome::Ok);
    harness.complete_run(3, Outcome::Ok);
    // The class of the four long runs has used its budget, so it waits for an idle slot.
    assert_eq!(harness.started()[4..], [12, 10, 11]);
}

#[test]
fn within_a_class_the_oldest_starts_first() {
    let mut harness = Harness::new(settings());
    fill(&mut harness, 1, 7, 2);
    for id in [2, 3, 1] {
        harness.complete_run(id, Outcome::Ok);
    }
    assert_eq!(harness.started()[4..], [5, 6, 7]);
}

#[test]
fn idle_slots_are_lent_beyond_the_budget() {
    // A budget starts at one slot; four requests run because the other slots are idle.
    let mut harness = Harness::new(settings());
    fill(&mut harness, 1, 4, 0);
    assert_eq!(harness.running().len(), 4);
}

#[test]
fn a_waiting_class_gets_its_budget_beside_one_of_higher_weight() {
    let mut set = settings();
    set.classes = vec![
        class(1.0, Idempotency::Idempotent, false),
        class(4.0, Idempotency::Idempotent, false),
    ];
    set.classes[1].latency_objective = ms(60_000);
    set.classes[1].client_timeout = ms(90_000);
    set.classes[0].latency_objective = ms(4000);
    let mut harness = Harness::new(set);
    teach(&mut harness, 0);
    fill(&mut harness, 1, 30, 1);
    fill(&mut harness, 100, 5, 0);
    for _ in 0..8 {
        harness.advance(ms(200));
        let id = harness.running()[0];
        harness.complete_run(id, Outcome::Ok);
    }
    let low = harness
        .started()
        .iter()
        .filter(|&&id| (100..200).contains(&id))
        .count();
    assert!((1..4).contains(&low), "{low} of eight slots");
}

#[test]
fn queued_work_is_rejected_once_too_little_time_is_left() {
    let mut harness = Harness::new(settings());
    fill(&mut harness, 1, 4, 2);
    harness.arrive(request(9, 0), 9);
    harness.advance(ms(300));
    assert!(harness.rejected().is_empty(), "rejected before it queued");
    harness.advance(ms(1700));
    assert_eq!(harness.rejected(), [9]);
    assert!(harness.answers[&RequestId(9)] == 1);
}

#[test]
fn work_ahead_past_the_objective_rejects_after_a_short_wait() {
    let mut set = settings();
    set.classes[2].may_call = false;
    let mut harness = Harness::new(set);
    for id in 9000..9008 {
        harness.arrive(request(id, 2), id);
        harness.advance(ms(800));
        harness.complete_run(id, Outcome::Ok);
    }
    fill(&mut harness, 1, 40, 2);
    harness.advance(ms(150));
    assert!(harness.rejected().is_empty(), "rejected before it queued");
    harness.advance(ms(150));
    let rejected = harness.rejected();
    assert!(
        rejected.contains(&40),
        "the last in a hopeless line still waits"
    );
    assert!(!rejected.contains(&5), "the head of the line was rejected");
}

#[test]
fn late_runs_of_no_weight_are_stopped_and_writes_are_not() {
    let mut harness = Harness::new(settings());
    harness.arrive(request(1, 0), 1);
    harness.arrive(request(2, 2), 2);
    // Other work makes progress, so that this is no stall.
    for id in 10..30 {
        harness.advance(ms(110));
        harness.arrive(request(id, 0), id);
        harness.complete_run(id, Outcome::Ok);
    }
    assert!(harness.all.contains(&Action::Stop(RequestId(1))));
    assert_eq!(harness.running(), [2]);
}

#[test]
fn the_limit_grows_with_runs_in_time_and_falls_with_inflated_runs() {
    let mut set = settings();
    set.classes = vec![class(1.0, Idempotency::Idempotent, false)];
    set.classes[0].latency_objective = ms(30_000);
    set.classes[0].client_timeout = ms(60_000);
    let mut harness = Harness::new(set);
    let mut next = 1;
    let mut feed = |harness: &mut Harness, n: u64| {
        fill(harness, next, n, 0);
        next += n;
    };
    for _ in 0..20 {
        feed(&mut harness, 1);
        harness.advance(ms(400));
        let id = harness.running()[0];
        harness.complete_run(id, Outcome::Ok);
    }
    feed(&mut harness, 8);
    // Run times do not depend on concurrency: the runs do not wait for the cores.
    for _ in 0..60 {
        harness.advance(Span(400_000 / harness.running().len() as u64));
        let id = harness.running()[0];
        harness.complete_run(id, Outcome::Ok);
        feed(&mut harness, 1);
    }
    let grown = harness.running().len();
    assert!(grown > 4, "no growth: {grown}");
    for _ in 0..60 {
        harness.advance(ms(1000));
        let id = harness.running()[0];
        harness.complete_run(id, Outcome::Ok);
        feed(&mut harness, 1);
    }
    let cut = harness.running().len();
    assert!(cut < grown, "not cut: {grown} to {cut}");
    assert!(cut >= 4, "below the cores: {cut}");
}

#[test]
fn marked_retries_queue_behind_first_attempts_without_stated_deadlines() {
    let mut harness = Harness::new(settings());
    fill(&mut harness, 1, 4, 2);
    harness.arrive(
        Request {
            is_retry: true,
            ..request(5, 2)
        },
        5,
    );
    harness.arrive(request(6, 0), 6);
    harness.complete_run(1, Outcome::Ok);
    assert_eq!(harness.started()[4..], [6]);
    harness.arrive(
        Request {
            is_retry: true,
            remaining_deadline: Some(ms(5000)),
            ..request(7, 2)
        },
        7,
    );
    harness.arrive(request(8, 0), 8);
    harness.complete_run(2, Outcome::Ok);
    assert_eq!(
        harness.started()[5..],
        [7],
        "a stated deadline gives a retry its class's place"
    );
}

#[test]
fn a_tenant_far_over_its_quota_queues_behind_one_within() {
    let mut set = settings();
    set.tenants = vec![Tenant { quota_per_s: 8.0 }, Tenant { quota_per_s: 8.0 }];
    set.over_quota_weight = 0.05;
    let mut harness = Harness::new(set);
    for id in 1..=20 {
        harness.arrive(
            Request {
                tenant: Some(TenantId(0)),
                ..request(id, 2)
            },
            id,
        );
    }
    harness.arrive(
        Request {
            tenant: Some(TenantId(1)),
            ..request(50, 0)
        },
        50,
    );
    for id in 1..=4 {
        harness.complete_run(id, Outcome::Ok);
    }
    assert_eq!(harness.started()[4], 50, "{:?}", harness.started());
}

#[test]
fn a_small_burst_is_within_a_quota_below_one_per_second() {
    let mut set = settings();
    set.servers = 100;
    set.tenants = vec![
        Tenant { quota_per_s: 20.0 },
        Tenant {
            quota_per_s: 2000.0,
        },
    ];
    set.over_quota_weight = 0.05;
    let mut harness = Harness::new(set);
    fill(&mut harness, 1, 4, 2);
    for id in 60..63 {
        harness.arrive(
            Request {
                tenant: Some(TenantId(0)),
                ..request(id, 0)
            },
            id,
        );
    }
    harness.arrive(
        Request {
            tenant: Some(TenantId(1)),
            ..request(50, 0)
        },
        50,
    );
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
fn the_level_rises_with_a_long_queue_and_falls_again() {
    let mut set = settings();
    set.load_signal = LoadSignal::Level;
    let mut harness = Harness::new(set);
    for round in 0..20 {
        fill(&mut harness, 100 * round + 1, 15, 0);
        harness.advance(ms(250));
        let id = harness.running()[0];
        harness.complete_run(id, Outcome::Ok);
    }
    let advertised = |harness: &Harness| {
        let level = |a: &Action| {
            if let Action::SetLoadSignal(v) = a {
                Some(*v)
            } else {
                None
            }
        };
        harness.all.iter().filter_map(level).next_back()
    };
    let high = advertised(&harness).expect("a level");
    assert!(high > 0.1, "{high}");
    for _ in 0..200 {
        harness.advance(ms(250));
        if let Some(&id) = harness.running().first() {
            harness.complete_run(id, Outcome::Ok);
        }
    }
    assert_eq!(advertised(&harness), Some(0.0));
}

#[test]
fn the_level_rises_with_unread_delay_and_empty_queues() {
    for (free_value, up) in [(LoadSignal::Level, 1.0), (LoadSignal::Weight, -1.0)] {
        let mut harness = Harness::new(Settings {
            load_signal: free_value,
            ..settings()
        });
        let mut advertised = |from: u64, waited: Span| {
            let before = harness.all.len();
            for id in from..from + 12 {
                harness.arrive(
                    Request {
                        queueing_delay: waited,
                        ..request(id, 0)
                    },
                    id,
                );
                assert_eq!(harness.running(), [id], "held");
                harness.complete_run(id, Outcome::Ok);
                harness.advance(ms(250));
            }
            let value = |a: &Action| {
                if let Action::SetLoadSignal(v) = a {
                    Some(up * *v)
                } else {
                    None
                }
            };
            harness.all[before..]
                .iter()
                .filter_map(value)
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
fn rejections_advise_against_retries_unless_a_stated_deadline_leaves_time() {
    let mut set = settings();
    set.memory_kb = 1500.0;
    let mut harness = Harness::new(set);
    for id in 1..200 {
        let patience = (id % 2 == 0).then(|| ms(6000));
        harness.arrive(
            Request {
                remaining_deadline: patience,
                ..request(id, 0)
            },
            id,
        );
    }
    let lasts = |even: bool| {
        harness.all.iter().filter_map(move |a| match a {
            Action::Reject {
                id, no_retry: last, ..
            } if (id.0 % 2 == 0) == even => Some(*last),
            _ => None,
        })
    };
    assert!(lasts(true).count() > 3 && lasts(true).all(|last| !last));
    assert!(lasts(false).count() > 3 && lasts(false).all(|last| last));
}

#[test]
fn the_same_events_give_the_same_actions() {
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
        harness.all
    };
    assert_eq!(play(), play());
}

#[test]
fn rejections_for_capacity_carry_retry_after() {
    let mut harness = Harness::new(settings());
    fill(&mut harness, 1, 4, 2);
    harness.arrive(request(9, 0), 9);
    harness.advance(ms(2500));
    let asked = |a: &Action| matches!(a, Action::Reject { id: RequestId(9), retry_after: Some(s), .. } if s.0 > 0);
    assert!(harness.all.iter().any(asked));
    let mut set = settings();
    set.max_retry_after = None;
    let mut harness = Harness::new(set);
    fill(&mut harness, 1, 4, 2);
    harness.arrive(request(9, 0), 9);
    harness.advance(ms(2500));
    assert!(harness.all.iter().any(|a| matches!(
        a,
        Action::Reject {
            id: RequestId(9),
            retry_after: None,
            ..
        }
    )));
}

#[test]
fn runs_that_wait_for_a_disk_lend_their_slots() {
    let mut harness = Harness::new(settings());
    for id in 1..=8 {
        harness.arrive(request(id, 2), id);
    }
    assert_eq!(harness.running().len(), 4);
    // Three of the four runs need no core.
    harness.gauges.runnable = Some(1.0);
    harness.advance(ms(20));
    assert_eq!(harness.running().len(), 7);
    // More runnable tasks than runs, since requests are read too: no slot is lent.
    harness.gauges.runnable = Some(9.0);
    harness.advance(ms(20));
    harness.complete_run(1, Outcome::Ok);
    assert_eq!(harness.running().len(), 6);
}

#[test]
fn a_deadline_beyond_the_objective_does_not_move_the_objective() {
    let mut harness = Harness::new(settings());
    for id in 1..=4 {
        harness.arrive(request(id, 2), id);
    }
    // The client gives up this attempt after 3.5 s of its 6 s; the objective is 2 s.
    let mut r = request(9, 0);
    r.remaining_deadline = Some(ms(3500));
    harness.arrive(r, 9);
    harness.advance(ms(1950));
    assert_eq!(harness.rejected(), [9]);
}

#[test]
fn over_quota_rejections_carry_short_retry_after_in_a_small_fleet() {
    let mut set = settings();
    set.tenants = vec![Tenant { quota_per_s: 0.0 }, Tenant { quota_per_s: 1e6 }];
    let (few, many) = (2, 1000);
    let asked = |servers, tenant| {
        let mut harness = Harness::new(Settings {
            servers,
            ..set.clone()
        });
        for id in 1..40 {
            harness.arrive(
                Request {
                    tenant: Some(TenantId(tenant)),
                    ..request(id, 0)
                },
                id,
            );
        }
        harness.advance(ms(600));
        let advice = |a: &Action| match a {
            Action::Reject {
                retry_after: stay_away,
                ..
            } => *stay_away,
            _ => None,
        };
        harness
            .all
            .iter()
            .rev()
            .find_map(advice)
            .expect("a refusal with advice")
    };
    assert!(
        asked(few, 0) > ms(0) && asked(few, 0) < ms(100),
        "{:?}",
        asked(few, 0)
    );
    assert!(asked(few, 1) >= ms(500) && asked(many, 0) >= ms(500));
}
