//! The invariants that the harness checks are true under random but legal sequences of events.

mod common;
use common::*;
use heathspur::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// One step of a random sequence. `pick` selects a request, modulo the number of eligible ones; a
/// step without an eligible request does nothing.
#[derive(Clone, Debug)]
enum Step {
    /// A request arrives in a batch of its own.
    Arrive {
        class: usize,
        idempotency_key: u64,
        queueing_delay_ms: u64,
        remaining_deadline_ms: Option<u64>,
        is_retry: bool,
        memory_kb: u64,
    },
    /// Attempts with one idempotency key arrive in one batch; each repeats the one before it.
    ArriveTogether {
        idempotency_key: u64,
        attempts: u64,
    },
    /// A run or a wait for another attempt's result ends.
    CompleteRun {
        pick: usize,
        succeeds: bool,
    },
    /// A running request needs a call.
    NeedCall {
        pick: usize,
    },
    CompleteCall {
        pick: usize,
        outcome: Outcome,
    },
    /// A client cancels.
    Cancel {
        pick: usize,
    },
    /// The clock advances.
    Advance {
        span_ms: u64,
    },
    BeginDrain,
}

fn any_step() -> impl Strategy<Value = Step> {
    let call_outcomes = prop_oneof![
        4 => Just(Outcome::Ok),
        1 => Just(Outcome::Rejected),
        1 => Just(Outcome::Error),
        1 => Just(Outcome::Timeout),
        1 => Just(Outcome::Reset),
        1 => Just(Outcome::ConnectFailed),
    ];
    prop_oneof![
        8 => (
            0usize..3,
            0u64..6,
            0u64..1500,
            prop::option::of(1u64..7000),
            any::<bool>(),
            1u64..60,
        )
            .prop_map(
                |(
                    class,
                    idempotency_key,
                    queueing_delay_ms,
                    remaining_deadline_ms,
                    is_retry,
                    memory_kb,
                )| Step::Arrive {
                    class,
                    idempotency_key,
                    queueing_delay_ms,
                    remaining_deadline_ms,
                    is_retry,
                    memory_kb,
                },
            ),
        1 => (0u64..6, 2u64..5).prop_map(|(idempotency_key, attempts)| {
            Step::ArriveTogether { idempotency_key, attempts }
        }),
        4 => (any::<usize>(), prop::bool::weighted(0.9))
            .prop_map(|(pick, succeeds)| Step::CompleteRun { pick, succeeds }),
        3 => any::<usize>().prop_map(|pick| Step::NeedCall { pick }),
        3 => (any::<usize>(), call_outcomes)
            .prop_map(|(pick, outcome)| Step::CompleteCall { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Step::Cancel { pick }),
        5 => (1u64..700).prop_map(|span_ms| Step::Advance { span_ms }),
        1 => prop::bool::weighted(0.05).prop_map(|drains| {
            if drains { Step::BeginDrain } else { Step::Advance { span_ms: 50 } }
        }),
    ]
}

/// Generates settings for small and large fleets and all kinds of preemption, dependency and load
/// signal.
fn any_settings() -> impl Strategy<Value = Settings> {
    let preemptions = prop_oneof![
        Just(Preemption::None),
        Just(Preemption::Restart),
        Just(Preemption::Pause)
    ];
    let dependencies = prop_oneof![
        Just(Dependency::Tier),
        Just(Dependency::Shared {
            capacity_share: 2.4,
            averaging_window: ms(5000),
            abandoned_call_lifetime: ms(200)
        }),
        Just(Dependency::Shared {
            capacity_share: 0.6,
            averaging_window: ms(5000),
            abandoned_call_lifetime: ms(200)
        }),
        Just(Dependency::Shared {
            capacity_share: 0.01,
            averaging_window: ms(5000),
            abandoned_call_lifetime: ms(200)
        }),
    ];
    let load_signals = prop_oneof![
        Just(LoadSignal::None),
        Just(LoadSignal::Level),
        Just(LoadSignal::Credit),
        Just(LoadSignal::Weight)
    ];
    let memory_kb = prop_oneof![Just(900.0), Just(5000.0)];
    // Cores, servers, callers and client idle timeout in milliseconds: a few servers, hundreds of
    // servers with one core each and a tenant quota of 0.1 requests per second at each, or a server
    // that has no other server and no caller listed.
    let sizes = prop_oneof![
        Just((4, 4, 2, 0)),
        Just((1, 300, 1000, 30_000)),
        Just((2, 0, 0, 30_000))
    ];
    (
        preemptions,
        dependencies,
        load_signals,
        memory_kb,
        any::<bool>(),
        any::<bool>(),
        sizes,
    )
        .prop_map(
            |(
                preemption,
                dependency,
                load_signal,
                memory_kb,
                cold_start,
                accepts_degraded_and_late,
                (cores, servers, callers, client_idle_timeout_ms),
            )| {
                let mut settings = settings();
                settings.cores = cores;
                settings.servers = servers;
                settings.callers = callers;
                settings.client_idle_timeout = ms(client_idle_timeout_ms);
                if servers > 4 {
                    settings.tenants =
                        vec![Tenant { quota_per_s: 30.0 }, Tenant { quota_per_s: 0.0 }];
                }
                settings.preemption = preemption;
                settings.dependency = dependency;
                settings.load_signal = load_signal;
                settings.memory_kb = memory_kb;
                settings.cold_start = cold_start;
                let idempotent = &mut settings.classes[IDEMPOTENT];
                idempotent.degraded_weight = if accepts_degraded_and_late { 0.6 } else { 0.0 };
                idempotent.late_weight = if accepts_degraded_and_late { 0.2 } else { 0.0 };
                settings
            },
        )
}

/// Returns the id at `pick` modulo the number of ids, or `None` if there are none.
fn pick_id(ids: Vec<u64>, pick: usize) -> Option<u64> {
    (!ids.is_empty()).then(|| ids[pick % ids.len()])
}

/// Plays the steps. Stops early at the end of a drain, since a stopped process gets no further
/// events.
fn play(settings: Settings, steps: &[Step]) -> Harness {
    let mut harness = Harness::new(settings);
    let mut next_id = 1;
    for step in steps {
        match step.clone() {
            Step::Arrive {
                class,
                idempotency_key,
                queueing_delay_ms,
                remaining_deadline_ms,
                is_retry,
                memory_kb,
            } => {
                let arriving = Request {
                    queueing_delay: ms(queueing_delay_ms),
                    remaining_deadline: remaining_deadline_ms.map(ms),
                    is_retry,
                    queued_memory_kb: memory_kb as f64,
                    tenant: Some(TenantId((idempotency_key % 3) as usize)),
                    ..request(next_id, class)
                };
                harness.arrive(arriving, idempotency_key);
                next_id += 1;
            }
            Step::ArriveTogether {
                idempotency_key,
                attempts,
            } => {
                let mut events = Vec::new();
                for attempt in 0..attempts {
                    let mut arriving = request(next_id, KEYED);
                    let entry = harness
                        .store_entries
                        .get(&idempotency_key)
                        .filter(|(_, expires_at)| *expires_at >= harness.now);
                    arriving.previous_attempt = if attempt > 0 {
                        Some(RequestId(next_id - 1))
                    } else {
                        entry.map(|(id, _)| *id)
                    };
                    harness.track(&arriving, idempotency_key);
                    events.push(Event::Request(arriving));
                    next_id += 1;
                }
                harness.decide(&events);
            }
            Step::CompleteRun { pick, succeeds } => {
                let mut ids = harness.running();
                ids.extend(harness.in_state(State::AwaitingResult));
                if let Some(id) = pick_id(ids, pick) {
                    let outcome = if succeeds {
                        Outcome::Ok
                    } else {
                        Outcome::Error
                    };
                    harness.complete_run(id, outcome);
                }
            }
            Step::NeedCall { pick } => {
                let may_call = |id: &u64| {
                    harness.settings.classes[harness.requests[&RequestId(*id)].class].may_call
                };
                let ids = harness.running().into_iter().filter(may_call).collect();
                if let Some(id) = pick_id(ids, pick) {
                    if harness.requests[&RequestId(id)].answered {
                        harness.complete_run(id, Outcome::Cancelled);
                    } else {
                        harness.need_call(id);
                    }
                }
            }
            Step::CompleteCall { pick, outcome } => {
                if let Some(id) = pick_id(harness.in_state(State::Calling), pick) {
                    if harness.requests[&RequestId(id)].answered {
                        harness.complete_run(id, Outcome::Cancelled);
                    } else {
                        harness.complete_call(id, outcome);
                    }
                }
            }
            Step::Cancel { pick } => {
                let unanswered = harness
                    .requests
                    .iter()
                    .filter(|(_, request)| !request.answered)
                    .map(|(id, _)| id.0)
                    .collect();
                if let Some(id) = pick_id(unanswered, pick) {
                    harness.cancel(id);
                }
            }
            Step::Advance { span_ms } => harness.advance(ms(span_ms)),
            Step::BeginDrain => {
                if harness.drain.is_none() {
                    harness.begin_drain(ms(4000));
                }
            }
        }
        // A step may take up to 700 ms, so the next one could pass the end of the drain.
        if harness
            .drain
            .is_some_and(|drain| harness.now + ms(700) >= drain.stops_at)
        {
            let remaining = harness
                .drain
                .map_or(ms(0), |drain| drain.stops_at - harness.now);
            harness.advance(remaining);
            return harness;
        }
    }
    harness.advance(ms(9000));
    harness
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_201),
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_events_get_one_answer_per_request_and_break_no_invariant(
        settings in any_settings(),
        steps in prop::collection::vec(any_step(), 1..160),
    ) {
        let harness = play(settings, &steps);
        prop_assert!(harness.answer_counts.values().all(|&count| count == 1));
        prop_assert!(
            harness.requests.values().all(|request| request.answered),
            "requests without an answer: {:?}",
            harness.requests
        );
    }
}
