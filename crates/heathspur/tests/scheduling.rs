//! The ordinary path: grant order, lending, cap, late drop, retries, shares, signals.

mod common;
use common::*;
use heathspur::*;

fn fill(b: &mut Bench, from: u64, n: u64, class: usize) {
    for id in from..from + n {
        b.arrive(request(id, class), id);
    }
}

/// Short runs teach the server its run times.
fn teach(b: &mut Bench, class: usize) {
    for id in 9000..9012 {
        b.arrive(request(id, class), id);
        b.pass(ms(50));
        b.done(id, Outcome::Ok);
    }
}

#[test]
fn starts_at_once_up_to_the_cores_and_holds_the_rest() {
    let mut b = Bench::new(settings());
    fill(&mut b, 1, 6, 2);
    assert_eq!(b.running(), [1, 2, 3, 4]);
    assert_eq!(b.in_state(State::Held), [5, 6]);
}

#[test]
fn a_freed_slot_goes_to_the_class_worth_most() {
    let mut b = Bench::new(settings());
    fill(&mut b, 1, 4, 2);
    b.arrive(request(10, 0), 10);
    b.arrive(request(11, 2), 11);
    b.arrive(request(12, 1), 12);
    b.done(1, Outcome::Ok);
    b.done(2, Outcome::Ok);
    b.done(3, Outcome::Ok);
    // The class of the four long runs is past its budget already, so it waits for an idle slot.
    assert_eq!(b.ran()[4..], [12, 10, 11]);
}

#[test]
fn within_a_class_the_oldest_starts_first() {
    let mut b = Bench::new(settings());
    fill(&mut b, 1, 7, 2);
    for id in [2, 3, 1] {
        b.done(id, Outcome::Ok);
    }
    assert_eq!(b.ran()[4..], [5, 6, 7]);
}

#[test]
fn idle_slots_are_lent_past_the_budget() {
    // A budget starts at the minimum of one slot; four run because the other slots idle.
    let mut b = Bench::new(settings());
    fill(&mut b, 1, 4, 0);
    assert_eq!(b.running().len(), 4);
}

#[test]
fn a_waiting_class_gets_its_budget_beside_one_worth_more() {
    let mut set = settings();
    set.classes = vec![
        class(1.0, Idempotency::Idempotent, false),
        class(4.0, Idempotency::Idempotent, false),
    ];
    set.classes[1].latency_objective = ms(60_000);
    set.classes[1].client_timeout = ms(90_000);
    set.classes[0].latency_objective = ms(4000);
    let mut b = Bench::new(set);
    teach(&mut b, 0);
    fill(&mut b, 1, 30, 1);
    fill(&mut b, 100, 5, 0);
    for _ in 0..8 {
        b.pass(ms(200));
        let id = b.running()[0];
        b.done(id, Outcome::Ok);
    }
    let low = b
        .ran()
        .iter()
        .filter(|&&id| (100..200).contains(&id))
        .count();
    assert!((1..4).contains(&low), "{low} of eight slots");
}

#[test]
fn held_work_is_refused_once_too_little_of_its_aim_is_left() {
    let mut b = Bench::new(settings());
    fill(&mut b, 1, 4, 2);
    b.arrive(request(9, 0), 9);
    b.pass(ms(300));
    assert!(b.refused().is_empty(), "refused before it queued");
    b.pass(ms(1700));
    assert_eq!(b.refused(), [9]);
    assert!(b.answers[&RequestId(9)] == 1);
}

#[test]
fn what_the_work_ahead_keeps_past_its_aim_is_refused_after_a_short_queueing() {
    let mut set = settings();
    set.classes[2].may_call = false;
    let mut b = Bench::new(set);
    for id in 9000..9008 {
        b.arrive(request(id, 2), id);
        b.pass(ms(800));
        b.done(id, Outcome::Ok);
    }
    fill(&mut b, 1, 40, 2);
    b.pass(ms(150));
    assert!(b.refused().is_empty(), "refused before it queued");
    b.pass(ms(150));
    let refused = b.refused();
    assert!(
        refused.contains(&40),
        "the last in a hopeless line still waits"
    );
    assert!(!refused.contains(&5), "the head of the line was refused");
}

#[test]
fn late_runs_that_earn_nothing_are_stopped_and_writes_are_not() {
    let mut b = Bench::new(settings());
    b.arrive(request(1, 0), 1);
    b.arrive(request(2, 2), 2);
    // Something else keeps moving, so that this is no stall.
    for id in 10..30 {
        b.pass(ms(110));
        b.arrive(request(id, 0), id);
        b.done(id, Outcome::Ok);
    }
    assert!(b.all.contains(&Action::Stop(RequestId(1))));
    assert_eq!(b.running(), [2]);
}

#[test]
fn the_cap_grows_with_runs_in_time_and_is_cut_when_runs_stretch() {
    let mut set = settings();
    set.classes = vec![class(1.0, Idempotency::Idempotent, false)];
    set.classes[0].latency_objective = ms(30_000);
    set.classes[0].client_timeout = ms(60_000);
    let mut b = Bench::new(set);
    let mut next = 1;
    let mut feed = |b: &mut Bench, n: u64| {
        fill(b, next, n, 0);
        next += n;
    };
    for _ in 0..20 {
        feed(&mut b, 1);
        b.pass(ms(400));
        let id = b.running()[0];
        b.done(id, Outcome::Ok);
    }
    feed(&mut b, 8);
    // Runs that take the same however many there are: the cores are not what they wait for.
    for _ in 0..60 {
        b.pass(Span(400_000 / b.running().len() as u64));
        let id = b.running()[0];
        b.done(id, Outcome::Ok);
        feed(&mut b, 1);
    }
    let grown = b.running().len();
    assert!(grown > 4, "no growth: {grown}");
    for _ in 0..60 {
        b.pass(ms(1000));
        let id = b.running()[0];
        b.done(id, Outcome::Ok);
        feed(&mut b, 1);
    }
    let cut = b.running().len();
    assert!(cut < grown, "not cut: {grown} to {cut}");
    assert!(cut >= 4, "below the cores: {cut}");
}

#[test]
fn marked_retries_wait_behind_first_tries_where_no_patience_is_told() {
    let mut b = Bench::new(settings());
    fill(&mut b, 1, 4, 2);
    b.arrive(
        Request {
            is_retry: true,
            ..request(5, 2)
        },
        5,
    );
    b.arrive(request(6, 0), 6);
    b.done(1, Outcome::Ok);
    assert_eq!(b.ran()[4..], [6]);
    b.arrive(
        Request {
            is_retry: true,
            remaining_deadline: Some(ms(5000)),
            ..request(7, 2)
        },
        7,
    );
    b.arrive(request(8, 0), 8);
    b.done(2, Outcome::Ok);
    assert_eq!(
        b.ran()[5..],
        [7],
        "told patience gives a retry its class's place"
    );
}

#[test]
fn a_tenant_far_past_its_share_waits_behind_one_within() {
    let mut set = settings();
    set.tenants = vec![Tenant { quota_per_s: 8.0 }, Tenant { quota_per_s: 8.0 }];
    set.over_quota_weight = 0.05;
    let mut b = Bench::new(set);
    for id in 1..=20 {
        b.arrive(
            Request {
                tenant: Some(TenantId(0)),
                ..request(id, 2)
            },
            id,
        );
    }
    b.arrive(
        Request {
            tenant: Some(TenantId(1)),
            ..request(50, 0)
        },
        50,
    );
    for id in 1..=4 {
        b.done(id, Outcome::Ok);
    }
    assert_eq!(b.ran()[4], 50, "{:?}", b.ran());
}

#[test]
fn a_few_requests_at_once_are_no_flood_where_a_share_is_a_part_of_one_a_second() {
    let mut set = settings();
    set.servers = 100;
    set.tenants = vec![
        Tenant { quota_per_s: 20.0 },
        Tenant {
            quota_per_s: 2000.0,
        },
    ];
    set.over_quota_weight = 0.05;
    let mut b = Bench::new(set);
    fill(&mut b, 1, 4, 2);
    for id in 60..63 {
        b.arrive(
            Request {
                tenant: Some(TenantId(0)),
                ..request(id, 0)
            },
            id,
        );
    }
    b.arrive(
        Request {
            tenant: Some(TenantId(1)),
            ..request(50, 0)
        },
        50,
    );
    for id in 1..=4 {
        b.done(id, Outcome::Ok);
    }
    assert_eq!(b.ran()[4..], [60, 61, 62, 50], "{:?}", b.ran());
}

#[test]
fn the_level_rises_under_a_long_hold_and_falls_again() {
    let mut set = settings();
    set.load_signal = LoadSignal::Level;
    let mut b = Bench::new(set);
    for round in 0..20 {
        fill(&mut b, 100 * round + 1, 15, 0);
        b.pass(ms(250));
        let id = b.running()[0];
        b.done(id, Outcome::Ok);
    }
    let said = |b: &Bench| {
        let level = |a: &Action| {
            if let Action::SetLoadSignal(v) = a {
                Some(*v)
            } else {
                None
            }
        };
        b.all.iter().filter_map(level).next_back()
    };
    let high = said(&b).expect("a level");
    assert!(high > 0.1, "{high}");
    for _ in 0..200 {
        b.pass(ms(250));
        if let Some(&id) = b.running().first() {
            b.done(id, Outcome::Ok);
        }
    }
    assert_eq!(said(&b), Some(0.0));
}

#[test]
fn the_level_rises_while_requests_wait_unread_though_none_is_held() {
    for (free_value, up) in [(LoadSignal::Level, 1.0), (LoadSignal::Weight, -1.0)] {
        let mut b = Bench::new(Settings {
            load_signal: free_value,
            ..settings()
        });
        let mut said = |from: u64, waited: Span| {
            let before = b.all.len();
            for id in from..from + 12 {
                b.arrive(
                    Request {
                        queueing_delay: waited,
                        ..request(id, 0)
                    },
                    id,
                );
                assert_eq!(b.running(), [id], "held");
                b.done(id, Outcome::Ok);
                b.pass(ms(250));
            }
            let value = |a: &Action| {
                if let Action::SetLoadSignal(v) = a {
                    Some(up * *v)
                } else {
                    None
                }
            };
            b.all[before..].iter().filter_map(value).collect::<Vec<_>>()
        };
        let rises = said(100, ms(1000));
        assert!(
            rises.len() > 3 && rises.windows(2).all(|w| w[0] < w[1]),
            "{rises:?}"
        );
        said(200, ms(0));
        let falls = said(300, ms(0));
        assert!(
            falls.len() > 3 && falls.windows(2).all(|w| w[0] > w[1]),
            "{falls:?}"
        );
    }
}

#[test]
fn refusals_ask_not_to_try_elsewhere_unless_told_patience_leaves_time() {
    let mut set = settings();
    set.memory_kb = 1500.0;
    let mut b = Bench::new(set);
    for id in 1..200 {
        let patience = (id % 2 == 0).then(|| ms(6000));
        b.arrive(
            Request {
                remaining_deadline: patience,
                ..request(id, 0)
            },
            id,
        );
    }
    let lasts = |even: bool| {
        b.all.iter().filter_map(move |a| match a {
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
        let mut b = Bench::new(settings());
        for id in 1..60 {
            b.arrive(request(id, (id % 3) as usize), id);
            b.pass(ms(37));
            if let Some(&first) = b.running().first() {
                if id % 3 == 0 {
                    b.needs_call(first);
                    if b.in_state(State::Calling).contains(&first) {
                        b.called(first, Outcome::Rejected);
                    }
                } else {
                    b.done(first, Outcome::Ok);
                }
            }
        }
        b.all
    };
    assert_eq!(play(), play());
}

#[test]
fn refusals_for_want_of_room_ask_to_stay_away_for_a_while() {
    let mut b = Bench::new(settings());
    fill(&mut b, 1, 4, 2);
    b.arrive(request(9, 0), 9);
    b.pass(ms(2500));
    let asked = |a: &Action| matches!(a, Action::Reject { id: RequestId(9), retry_after: Some(s), .. } if s.0 > 0);
    assert!(b.all.iter().any(asked));
    let mut set = settings();
    set.max_retry_after = None;
    let mut b = Bench::new(set);
    fill(&mut b, 1, 4, 2);
    b.arrive(request(9, 0), 9);
    b.pass(ms(2500));
    assert!(b.all.iter().any(|a| matches!(
        a,
        Action::Reject {
            id: RequestId(9),
            retry_after: None,
            ..
        }
    )));
}

#[test]
fn runs_that_wait_for_a_disk_leave_their_slots_to_others() {
    let mut b = Bench::new(settings());
    for id in 1..=8 {
        b.arrive(request(id, 2), id);
    }
    assert_eq!(b.running().len(), 4);
    // Three of the four want no core.
    b.gauges.runnable = Some(1.0);
    b.pass(ms(20));
    assert_eq!(b.running().len(), 7);
    // More at a core than runs, since requests are read too: nothing is lent.
    b.gauges.runnable = Some(9.0);
    b.pass(ms(20));
    b.done(1, Outcome::Ok);
    assert_eq!(b.running().len(), 6);
}

#[test]
fn a_patience_longer_than_the_aim_does_not_move_the_aim() {
    let mut b = Bench::new(settings());
    for id in 1..=4 {
        b.arrive(request(id, 2), id);
    }
    // Its caller gives this try up after 3.5 s of 6, and wants an answer within 2.
    let mut r = request(9, 0);
    r.remaining_deadline = Some(ms(3500));
    b.arrive(r, 9);
    b.pass(ms(1950));
    assert_eq!(b.refused(), [9]);
}

#[test]
fn what_is_refused_beyond_a_share_does_not_keep_its_caller_away_from_few_servers() {
    let mut set = settings();
    set.tenants = vec![Tenant { quota_per_s: 0.0 }, Tenant { quota_per_s: 1e6 }];
    let (few, many) = (2, 1000);
    let asked = |servers, tenant| {
        let mut b = Bench::new(Settings {
            servers,
            ..set.clone()
        });
        for id in 1..40 {
            b.arrive(
                Request {
                    tenant: Some(TenantId(tenant)),
                    ..request(id, 0)
                },
                id,
            );
        }
        b.pass(ms(600));
        let advice = |a: &Action| match a {
            Action::Reject {
                retry_after: stay_away,
                ..
            } => *stay_away,
            _ => None,
        };
        b.all
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
