//! The four rules of the service hold under random but legal events.

mod common;
use common::*;
use heathspur::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Clone, Debug)]
enum Op {
    Arrive {
        class: usize,
        identity: u64,
        waited: u64,
        patience: Option<u64>,
        retry: bool,
        kb: u64,
    },
    Together {
        identity: u64,
        tries: u64,
    },
    Done {
        pick: usize,
        ok: bool,
    },
    NeedsCall {
        pick: usize,
    },
    Called {
        pick: usize,
        outcome: Outcome,
    },
    Gone {
        pick: usize,
    },
    Pass {
        span: u64,
    },
    Leave,
}

fn op() -> impl Strategy<Value = Op> {
    let outcome = prop_oneof![
        4 => Just(Outcome::Ok),
        1 => Just(Outcome::Rejected),
        1 => Just(Outcome::Error),
        1 => Just(Outcome::Timeout),
        1 => Just(Outcome::Reset),
        1 => Just(Outcome::ConnectFailed),
    ];
    prop_oneof![
        8 => (0usize..3, 0u64..6, 0u64..1500, prop::option::of(1u64..7000), any::<bool>(), 1u64..60).prop_map(
            |(class, identity, waited, patience, retry, kb)| {
                Op::Arrive { class, identity, waited, patience, retry, kb }
            }
        ),
        1 => (0u64..6, 2u64..5).prop_map(|(identity, tries)| Op::Together { identity, tries }),
        4 => (any::<usize>(), prop::bool::weighted(0.9)).prop_map(|(pick, ok)| Op::Done { pick, ok }),
        3 => any::<usize>().prop_map(|pick| Op::NeedsCall { pick }),
        3 => (any::<usize>(), outcome).prop_map(|(pick, outcome)| Op::Called { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Op::Gone { pick }),
        5 => (1u64..700).prop_map(|span| Op::Pass { span }),
        1 => prop::bool::weighted(0.05).prop_map(|l| if l { Op::Leave } else { Op::Pass { span: 50 } }),
    ]
}

fn world() -> impl Strategy<Value = Settings> {
    let halt = prop_oneof![
        Just(Preemption::None),
        Just(Preemption::Restart),
        Just(Preemption::Pause)
    ];
    let below = prop_oneof![
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
    let say = prop_oneof![
        Just(LoadSignal::None),
        Just(LoadSignal::Level),
        Just(LoadSignal::Credit),
        Just(LoadSignal::Weight)
    ];
    let memory = prop_oneof![Just(900.0), Just(5000.0)];
    // One core among hundreds of servers, with a tenth of a request per second for each tenant; or
    // neither of these.
    let size = prop_oneof![
        Just((4, 4, 2, 0)),
        Just((1, 300, 1000, 30_000)),
        Just((2, 0, 0, 30_000))
    ];
    (halt, below, say, memory, any::<bool>(), any::<bool>(), size).prop_map(
        |(halt, below, say, memory, cold, skip, (cores, servers, callers, idle))| {
            let mut set = settings();
            (set.cores, set.servers, set.callers, set.client_idle_timeout) =
                (cores, servers, callers, ms(idle));
            if servers > 4 {
                set.tenants = vec![Tenant { quota_per_s: 30.0 }, Tenant { quota_per_s: 0.0 }];
            }
            (
                set.preemption,
                set.dependency,
                set.load_signal,
                set.memory_kb,
            ) = (halt, below, say, memory);
            set.cold_start = cold;
            set.classes[0].degraded_weight = if skip { 0.6 } else { 0.0 };
            set.classes[0].late_weight = if skip { 0.2 } else { 0.0 };
            set
        },
    )
}

fn nth(ids: Vec<u64>, pick: usize) -> Option<u64> {
    (!ids.is_empty()).then(|| ids[pick % ids.len()])
}

fn play(set: Settings, ops: &[Op]) -> Harness {
    let mut harness = Harness::new(set);
    let mut next = 1;
    for op in ops {
        match op.clone() {
            Op::Arrive {
                class,
                identity,
                waited,
                patience,
                retry,
                kb,
            } => {
                let r = Request {
                    queueing_delay: ms(waited),
                    remaining_deadline: patience.map(ms),
                    is_retry: retry,
                    queued_memory_kb: kb as f64,
                    tenant: Some(TenantId((identity % 3) as usize)),
                    ..request(next, class)
                };
                harness.arrive(r, identity);
                next += 1;
            }
            Op::Together { identity, tries } => {
                let mut events = Vec::new();
                for i in 0..tries {
                    let mut r = request(next, 1);
                    let entry = harness
                        .entries
                        .get(&identity)
                        .filter(|(_, until)| *until >= harness.now);
                    r.previous_attempt = if i > 0 {
                        Some(RequestId(next - 1))
                    } else {
                        entry.map(|(id, _)| *id)
                    };
                    harness.track(&r, identity);
                    events.push(Event::Request(r));
                    next += 1;
                }
                harness.batch(&events);
            }
            Op::Done { pick, ok } => {
                let mut ids = harness.running();
                ids.extend(harness.in_state(State::AwaitingResult));
                if let Some(id) = nth(ids, pick) {
                    harness.complete_run(id, if ok { Outcome::Ok } else { Outcome::Error });
                }
            }
            Op::NeedsCall { pick } => {
                let calls = |id: &u64| {
                    harness.settings.classes[harness.requests[&RequestId(*id)].class].may_call
                };
                if let Some(id) = nth(harness.running().into_iter().filter(calls).collect(), pick) {
                    if harness.requests[&RequestId(id)].answered {
                        harness.complete_run(id, Outcome::Cancelled);
                    } else {
                        harness.need_call(id);
                    }
                }
            }
            Op::Called { pick, outcome } => {
                if let Some(id) = nth(harness.in_state(State::Calling), pick) {
                    if harness.requests[&RequestId(id)].answered {
                        harness.complete_run(id, Outcome::Cancelled);
                    } else {
                        harness.complete_call(id, outcome);
                    }
                }
            }
            Op::Gone { pick } => {
                let open = harness
                    .requests
                    .iter()
                    .filter(|(_, k)| !k.answered)
                    .map(|(id, _)| id.0)
                    .collect();
                if let Some(id) = nth(open, pick) {
                    harness.cancel(id);
                }
            }
            Op::Pass { span } => harness.advance(ms(span)),
            Op::Leave => {
                if harness.drain.is_none() {
                    harness.drain(ms(4000));
                }
            }
        }
        // A process that has stopped gets no further events.
        if harness
            .drain
            .is_some_and(|(_, stop)| harness.now + ms(700) >= stop)
        {
            let left = harness.drain.map_or(ms(0), |(_, stop)| stop - harness.now);
            harness.advance(left);
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
    fn every_request_is_answered_once_and_no_rule_is_broken(set in world(), ops in prop::collection::vec(op(), 1..160)) {
        let harness = play(set, &ops);
        prop_assert!(harness.answers.values().all(|&n| n == 1));
        prop_assert!(harness.requests.values().all(|k| k.answered), "left unanswered: {:?}", harness.requests);
    }
}
