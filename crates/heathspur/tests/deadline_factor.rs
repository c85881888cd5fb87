//! What a server learns from runs that end in vain, and what it starts then: the room on the cores, the length
//! of runs, and the margin within which held work must fit.

mod common;
use common::*;
use heathspur::*;

const CORES: u64 = 8;

/// A safe class to judge by, a safe and an unsafe one that teach; each with an aim of 2 s of 6 s.
fn server(halt: Preemption) -> Bench {
    let effects = [
        Idempotency::Idempotent,
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
    ];
    let classes = effects.map(|effect| class(1.0, effect, false)).to_vec();
    Bench::new(Settings {
        classes,
        preemption: halt,
        cores: CORES,
        memory_kb: 1e6,
        ..settings()
    })
}

/// Runs one after the other, each alone on the cores; what is stopped meanwhile does not end.
fn runs(b: &mut Bench, n: u64, class: usize, took: u64) {
    for _ in 0..n {
        let id = b.now.0;
        b.arrive(request(id, class), id);
        b.pass(ms(took));
        b.done(id, Outcome::Ok);
    }
}

/// Runs whose callers leave.
fn left(b: &mut Bench, n: u64, class: usize, took: u64) {
    for _ in 0..n {
        let id = b.now.0;
        b.arrive(request(id, class), id);
        b.pass(ms(took));
        b.gone(id);
    }
}

fn fill(b: &mut Bench, class: usize) {
    for id in b.now.0..b.now.0 + CORES {
        b.arrive(request(id, class), id);
    }
    assert_eq!(b.running().len() as u64, CORES);
}

/// Ends all that runs or is held; runs that fail teach nothing.
fn clear(b: &mut Bench) {
    while let Some(&id) = b.running().first() {
        b.done(id, Outcome::Error);
    }
}

/// The next id free beside those that `fill` took.
fn next(b: &Bench) -> u64 {
    b.now.0 + CORES
}

/// Whether a request behind full cores, with so many others after it that have time, is kept by the next
/// sweep and then run; else it was refused there, with advice when to come back.
fn tried(b: &mut Bench, r: Request, others: u64) -> bool {
    let id = next(b);
    fill(b, 2);
    b.arrive(
        Request {
            id: RequestId(id),
            ..r
        },
        id,
    );
    for other in id + 1..=id + others {
        b.arrive(request(other, 0), other);
    }
    b.pass(ms(20));
    let advised = |a: &Action| matches!(a, Action::Reject { id: r, retry_after: Some(s), .. } if r.0 == id && *s >= ms(500));
    let refused = b.last.iter().any(advised);
    clear(b);
    b.pass(ms(20));
    let ran = b.ran();
    assert_eq!(
        ran.contains(&id),
        !refused,
        "neither run nor refused with advice"
    );
    assert!(
        (id + 1..=id + others).all(|other| ran.contains(&other)),
        "one with time was turned away"
    );
    !refused
}

/// Judged by class 0 with 0.8 s left of its aim, though it has only now come.
fn tight() -> Request {
    Request {
        remaining_deadline: Some(ms(4800)),
        ..request(0, 0)
    }
}

#[test]
fn the_cap_grows_while_half_a_core_is_idle_and_not_on_busy_cores() {
    let mut b = server(Preemption::Restart);
    runs(&mut b, 10, 0, 400);
    fill(&mut b, 0);
    // Always work held, and each run takes as long however many there are.
    let mut grown = |cpu: f64| {
        b.gauges.cpu = Some(cpu);
        b.pass(ms(20));
        let before = b.server.concurrency_limit();
        for _ in 0..30 {
            let id = next(&b);
            b.arrive(request(id, 0), id);
            b.pass(Span(400_000 / b.running().len() as u64));
            let first = b.running()[0];
            b.done(first, Outcome::Ok);
        }
        b.server.concurrency_limit() - before
    };
    assert_eq!(grown(1.0), 0.0);
    assert_eq!(grown(0.95), 0.0, "0.4 of a core idle");
    assert!(grown(1.0 - 0.5 / CORES as f64) >= 1.0, "half a core idle");
    assert_eq!(grown(1.0), 0.0, "busy again");
}

#[test]
fn a_hint_of_more_than_the_aim_is_refused_while_held_and_a_mean_request_is_tried() {
    let mut b = server(Preemption::Restart);
    // Means past the aim are bounded, so a class is always tried: the hint multiplies what is bounded.
    runs(&mut b, 10, 2, 3000);
    assert!(tried(&mut b, request(0, 2), 0));
    assert!(!tried(
        &mut b,
        Request {
            cost_hint: Some(4.0),
            ..request(0, 2)
        },
        1
    ));
    assert!(
        tried(
            &mut b,
            Request {
                cost_hint: Some(4.0),
                ..request(0, 2)
            },
            0
        ),
        "nobody else for the slot"
    );
    assert!(tried(&mut b, request(0, 2), 0));
}

#[test]
fn hints_count_as_far_as_run_times_followed_them() {
    // Runs of half and of half as much again of the mean cost take as long, or by their hints.
    for (took, believed) in [([700, 700], false), ([350, 1050], true)] {
        let mut b = server(Preemption::Restart);
        for i in 0..40 {
            let id = b.now.0;
            b.arrive(
                Request {
                    cost_hint: Some([0.5, 1.5][i % 2]),
                    ..request(id, 0)
                },
                id,
            );
            b.pass(ms(took[i % 2]));
            b.done(id, Outcome::Ok);
        }
        let large = Request {
            cost_hint: Some(4.0),
            ..request(0, 0)
        };
        assert_eq!(tried(&mut b, large, 1), !believed, "{took:?}");
    }
}

#[test]
fn runs_stopped_as_late_or_left_teach_how_long_runs_take() {
    let mut b = server(Preemption::Restart);
    runs(&mut b, 2, 0, 100);
    assert!(tried(&mut b, tight(), 0));
    runs(&mut b, 10, 0, 2100);
    assert_eq!(
        b.all
            .iter()
            .filter(|a| matches!(a, Action::Stop(_)))
            .count(),
        10
    );
    assert!(!tried(&mut b, tight(), 0));
    // One left early tells nothing of its length: it does not count as short.
    left(&mut b, 60, 0, 20);
    assert!(!tried(&mut b, tight(), 0));
}

#[test]
fn where_nothing_can_be_stopped_runs_that_outlive_their_answers_teach() {
    let mut b = server(Preemption::None);
    runs(&mut b, 2, 0, 100);
    assert!(tried(&mut b, tight(), 0));
    runs(&mut b, 20, 0, 2500);
    assert!(!tried(&mut b, tight(), 0));
    // Nor were these served: the advice says that nearly all is turned away.
    let advice = |a: &Action| {
        if let Action::Reject {
            retry_after: stay_away,
            ..
        } = a
        {
            *stay_away
        } else {
            None
        }
    };
    assert!(b.all.iter().rev().find_map(advice).expect("advice") > ms(800));
}

#[test]
fn runs_in_vain_narrow_what_is_started_beside_other_work_and_runs_in_time_widen_it() {
    let vain: [fn(&mut Bench); 3] = [
        |b| runs(b, 16, 1, 2100), // stopped as late
        |b| runs(b, 16, 2, 2100), // writes that end late
        |b| left(b, 16, 1, 100),
    ];
    for (kind, vain) in vain.iter().enumerate() {
        let mut b = server(Preemption::Restart);
        let queued = Request {
            queueing_delay: ms(300),
            ..request(0, 0)
        };
        runs(&mut b, 20, 0, 500);
        assert!(tried(&mut b, tight(), 1) && tried(&mut b, queued.clone(), 1));
        vain(&mut b);
        assert!(
            !tried(&mut b, tight(), 1),
            "{kind}: started with its mean just left"
        );
        assert!(
            !tried(&mut b, queued.clone(), 1),
            "{kind}: the line may take all that is left"
        );
        assert!(tried(&mut b, tight(), 0), "{kind}: alone in the line");
        // On free cores, alone or first of two, and judged before it is started.
        for n in 1..=2 {
            let requests = [
                Request {
                    id: RequestId(1),
                    ..tight()
                },
                request(2, 0),
            ];
            requests[..n].iter().for_each(|r| b.track(r, r.id.0));
            let mut events: Vec<_> = requests[..n].iter().cloned().map(Event::Request).collect();
            events.push(Event::Timer {
                token: Token(9),
                gauges: b.gauges,
            });
            b.batch(&events);
            assert_eq!(b.running(), [1, 2][..n], "{kind}: on free cores");
            clear(&mut b);
        }
        runs(&mut b, 130, 1, 40);
        assert!(
            tried(&mut b, tight(), 1) && tried(&mut b, queued, 1),
            "{kind}: not widened"
        );
    }
}

#[test]
fn runs_stopped_in_a_stall_and_what_never_ran_do_not_narrow_what_is_started() {
    let mut b = server(Preemption::Restart);
    runs(&mut b, 20, 0, 500);
    fill(&mut b, 1);
    b.pass(ms(1700));
    assert_eq!(b.refused().len() as u64, CORES);
    assert!(tried(&mut b, tight(), 1));
    for _ in 0..10 {
        assert!(!tried(
            &mut b,
            Request {
                queueing_delay: ms(1800),
                ..request(0, 0)
            },
            0
        ));
    }
    assert!(tried(&mut b, tight(), 1));
}

/// Time until a request is refused, in the batch that gives it up; whether that batch stops it.
fn refused_after(b: &mut Bench, id: u64) -> (Span, bool) {
    let since = b.now;
    while b.known.contains_key(&RequestId(id)) {
        b.pass(ms(20));
        let stops = b.last.contains(&Action::Stop(RequestId(id)));
        if b.last
            .iter()
            .any(|a| matches!(a, Action::Reject { id: r, .. } if r.0 == id))
        {
            return (b.now - since, stops);
        }
        assert!(!stops, "stopped without its answer");
    }
    panic!("gone without a refusal");
}

#[test]
fn what_is_given_up_is_answered_in_that_batch_long_before_its_deadline() {
    let mut b = server(Preemption::Restart);
    runs(&mut b, 20, 0, 700);
    let late = b.now.0;
    b.arrive(request(late, 0), late);
    let (after, stops) = refused_after(&mut b, late);
    assert!(
        stops && after <= ms(2020),
        "a late run: {after:?}, stopped: {stops}"
    );
    left(&mut b, 16, 1, 100);
    let id = next(&b);
    fill(&mut b, 2);
    b.arrive(
        Request {
            cost_hint: Some(6.0),
            ..request(id, 0)
        },
        id,
    );
    b.arrive(request(id + 1, 0), id + 1);
    assert_eq!(refused_after(&mut b, id), (ms(20), false), "too large");
    // From a tenth of its aim on line and run must fit into a quarter of the 1.8 s left.
    assert_eq!(
        refused_after(&mut b, id + 1),
        (ms(200), false),
        "too long a line"
    );
    b.pass(ms(6000));
    assert!([late, id, id + 1]
        .iter()
        .all(|id| b.answers[&RequestId(*id)] == 1));
}
