//! Tests of `src/connection_permits.rs`, which includes this file as its test module.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const NOW: Duration = Duration::from_secs(1);

fn eviction<T>(handle: T, phase: ConnectionPhase) -> Eviction<T> {
    Eviction { handle, phase }
}

#[test]
fn a_new_connection_stays_while_others_are_idle_for_longer() {
    let mut permits = Permits::new(2);
    assert!(permits.try_acquire() && permits.try_acquire() && !permits.try_acquire());
    permits.mark_idle(NOW, true, "resting");
    let new = permits.mark_idle(NOW, false, "new");
    assert_eq!(
        permits.evict_idle(NOW, true),
        Some(eviction("resting", ConnectionPhase::Idle))
    );
    // The last one is in the middle of a request, and is evicted only if it must be.
    permits.mark_reading(new);
    assert_eq!(permits.evict_idle(NOW, false), None);
    assert_eq!(
        permits.evict_idle(NOW, true),
        Some(eviction("new", ConnectionPhase::ReadingRequest))
    );
    assert_eq!(permits.evict_idle(NOW, true), None);
}

#[test]
fn lingering_connections_count_as_soon_free_and_are_evicted_if_no_permit_is_left() {
    let mut permits = Permits::new(8);
    assert_eq!((0..9).filter(|_| permits.try_acquire()).count(), 8);
    permits.mark_lingering("first");
    permits.mark_lingering("second");
    permits.mark_idle(NOW, false, "idle");
    // One is soon free where two are reserved: so an idle one is evicted too.
    let evicted = permits.evict(NOW);
    assert_eq!(
        evicted,
        [
            Some(eviction("first", ConnectionPhase::Lingering)),
            Some(eviction("idle", ConnectionPhase::Idle))
        ]
    );
}

/// The state of a connection in the model.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Working,
    Idle {
        reading: bool,
        since: Duration,
        token: u64,
    },
    Lingering {
        token: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Conn {
    id: usize,
    served_request: bool,
    state: State,
    /// It was selected for eviction, and has not ended yet.
    evicted: bool,
}

impl Conn {
    fn is_reading(&self) -> bool {
        matches!(self.state, State::Idle { reading: true, .. })
    }

    /// Without a first request past the timeout.
    fn is_past_timeout(&self, now: Duration) -> bool {
        matches!(self.state, State::Idle { since, .. } if !self.served_request && now - since >= FIRST_REQUEST_TIMEOUT)
    }

    fn in_request(&self, now: Duration) -> bool {
        self.is_reading() && !self.is_past_timeout(now)
    }
}

/// The first idle connection in eviction order.
fn first_to_evict(conns: &[Conn], now: Duration) -> Option<Conn> {
    let orders: [&dyn Fn(&Conn) -> bool; 4] = [
        &|c| c.is_past_timeout(now) && !c.is_reading(),
        &|c| c.is_past_timeout(now),
        &|c| !c.is_reading(),
        &|_| true,
    ];
    let idle = conns.iter().filter(|c| !c.evicted);
    let numbered = idle.filter_map(|c| match c.state {
        State::Idle { token, .. } => Some((token, *c)),
        _ => None,
    });
    let idle: Vec<(u64, Conn)> = numbered.collect();
    orders.iter().find_map(|fits| {
        let fitting = idle.iter().filter(|(_, c)| fits(c));
        fitting.min_by_key(|(token, _)| *token).map(|(_, c)| *c)
    })
}

proptest! {
    #![proptest_config(Config {
        cases: 600,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_202),
        ..Config::default()
    })]

    #[test]
    fn the_first_in_eviction_order_is_evicted_and_one_in_a_request_only_if_no_permit_is_left(
        most in 0..24usize, steps in prop::collection::vec((0..12u8, any::<prop::sample::Index>(), 0..200u64), 0..300)
    ) {
        let (mut permits, most) = (Permits::new(most), most.max(1));
        let reserve = MAX_RESERVED_PERMITS.min(most / RESERVED_PART);
        let (mut conns, mut now, mut ids): (Vec<Conn>, _, _) = (Vec::new(), Duration::ZERO, 0..);
        for (step, which, wait) in steps {
            let at = (!conns.is_empty()).then(|| which.index(conns.len()));
            match (step, at) {
                (0..4, _) => {
                    let taken = permits.try_acquire();
                    prop_assert_eq!(taken, conns.len() < most);
                    if let Some(id) = ids.next().filter(|_| taken) {
                        let token = permits.mark_idle(now, false, id);
                        let state = State::Idle { reading: false, since: now, token };
                        conns.push(Conn { id, served_request: false, state, evicted: false });
                    }
                }
                (4 | 5, Some(at)) => match conns[at].state {
                    // A request arrives in part, and is then complete.
                    State::Idle { reading: false, since, token } if !conns[at].evicted => {
                        permits.mark_reading(token);
                        conns[at].state = State::Idle { reading: true, since, token };
                    }
                    State::Idle { token, .. } => {
                        permits.remove_idle(token);
                        conns[at] = Conn { served_request: true, state: State::Working, evicted: false, ..conns[at] };
                    }
                    State::Working => {
                        let token = permits.mark_idle(now, true, conns[at].id);
                        conns[at].state = State::Idle { reading: false, since: now, token };
                    }
                    State::Lingering { .. } => {}
                },
                (6, Some(at)) => {
                    if let State::Idle { token, .. } = conns[at].state {
                        permits.remove_idle(token);
                    }
                    if !matches!(conns[at].state, State::Lingering { .. }) {
                        let token = permits.mark_lingering(conns[at].id);
                        conns[at] = Conn { state: State::Lingering { token }, evicted: false, ..conns[at] };
                    }
                }
                (7, Some(at)) => {
                    match conns.remove(at).state {
                        State::Idle { token, .. } => permits.remove_idle(token),
                        State::Lingering { token } => permits.remove_lingering(token),
                        State::Working => {}
                    }
                    permits.release();
                }
                (8, _) => now += Duration::from_millis(wait),
                (9.., _) => {
                    let free = most - conns.len();
                    prop_assert_eq!(permits.is_scarce(), free < reserve);
                    let mut lingering: Vec<(u64, usize)> = conns.iter().enumerate().filter(|(_, c)| !c.evicted)
                        .filter_map(|(at, c)| match c.state {
                            State::Lingering { token } => Some((token, at)),
                            _ => None,
                        }).collect();
                    lingering.sort();
                    let [lingering_evicted, idle_evicted] = permits.evict(now);
                    let longest = (free == 0 && !lingering.is_empty()).then(|| lingering.remove(0).1);
                    prop_assert_eq!(lingering_evicted, longest.map(|at| eviction(conns[at].id, ConnectionPhase::Lingering)));
                    if let Some(at) = longest {
                        conns[at].evicted = true;
                    }
                    let soon_free = free + lingering.len();
                    let expected = first_to_evict(&conns, now).filter(|c| soon_free < reserve && (soon_free == 0 || !c.in_request(now)));
                    prop_assert_eq!(idle_evicted, expected.map(|c| {
                        eviction(c.id, if c.is_reading() { ConnectionPhase::ReadingRequest } else { ConnectionPhase::Idle })
                    }));
                    for conn in conns.iter_mut().filter(|c| Some(c.id) == idle_evicted.map(|eviction| eviction.handle)) {
                        conn.evicted = true;
                    }
                }
                (_, None) => {}
            }
            prop_assert!(permits.acquired() == conns.len() && conns.len() <= most);
        }
    }
}
