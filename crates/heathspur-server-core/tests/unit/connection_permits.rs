//! Unit tests of `src/connection_permits.rs`, which includes this file as its test module.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const NOW: Duration = Duration::from_secs(1);

fn eviction<T>(handle: T, phase: ConnectionPhase) -> Eviction<T> {
    Eviction { handle, phase }
}

#[test]
fn longest_idle_connection_is_evicted_before_new_one() {
    let mut permits = Permits::new(2);
    assert!(permits.try_acquire() && permits.try_acquire() && !permits.try_acquire());
    permits.mark_idle(NOW, true, "longest idle");
    let new = permits.mark_idle(NOW, false, "new");
    assert_eq!(
        permits.evict_idle(NOW, true),
        Some(eviction("longest idle", ConnectionPhase::Idle))
    );
    // The remaining connection is in the middle of a request, and is evicted only if it must be.
    permits.mark_reading(new);
    assert_eq!(permits.evict_idle(NOW, false), None);
    assert_eq!(
        permits.evict_idle(NOW, true),
        Some(eviction("new", ConnectionPhase::ReadingRequest))
    );
    assert_eq!(permits.evict_idle(NOW, true), None);
}

#[test]
fn lingering_and_idle_connections_are_evicted_if_no_permit_is_free() {
    let mut permits = Permits::new(8);
    assert_eq!((0..9).filter(|_| permits.try_acquire()).count(), 8);
    permits.mark_lingering("first");
    permits.mark_lingering("second");
    permits.mark_idle(NOW, false, "idle");
    // The lingering connection that remains frees one permit soon, but two are reserved: an idle one is evicted too.
    let evicted = permits.evict(NOW);
    assert_eq!(
        evicted,
        [
            Some(eviction("first", ConnectionPhase::Lingering)),
            Some(eviction("idle", ConnectionPhase::Idle))
        ]
    );
}

/// State of a connection in the model.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// A request is being handled.
    Serving,
    Idle {
        /// Whether a part of a request has arrived.
        reading: bool,
        since: Duration,
        token: u64,
    },
    Lingering {
        token: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct ModelConnection {
    id: usize,
    has_received_request: bool,
    state: State,
    /// Whether it was selected for eviction and has not ended yet.
    evicted: bool,
}

impl ModelConnection {
    fn is_reading(&self) -> bool {
        matches!(self.state, State::Idle { reading: true, .. })
    }

    /// Returns whether no complete request has arrived within the timeout of the first request.
    fn is_timed_out(&self, now: Duration) -> bool {
        matches!(self.state, State::Idle { since, .. } if !self.has_received_request && now - since >= FIRST_REQUEST_TIMEOUT)
    }

    fn is_in_request(&self, now: Duration) -> bool {
        self.is_reading() && !self.is_timed_out(now)
    }
}

/// Returns the first idle connection in eviction order.
fn first_to_evict(connections: &[ModelConnection], now: Duration) -> Option<ModelConnection> {
    let orders: [&dyn Fn(&ModelConnection) -> bool; 4] = [
        &|connection| connection.is_timed_out(now) && !connection.is_reading(),
        &|connection| connection.is_timed_out(now),
        &|connection| !connection.is_reading(),
        &|_| true,
    ];
    let idle = connections.iter().filter(|connection| !connection.evicted);
    let with_tokens = idle.filter_map(|connection| match connection.state {
        State::Idle { token, .. } => Some((token, *connection)),
        _ => None,
    });
    let idle: Vec<(u64, ModelConnection)> = with_tokens.collect();
    orders.iter().find_map(|matches| {
        let matching = idle.iter().filter(|(_, connection)| matches(connection));
        matching
            .min_by_key(|(token, _)| *token)
            .map(|(_, connection)| *connection)
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
    fn first_in_eviction_order_is_evicted_and_one_in_request_only_if_no_permit_is_free(
        limit in 0..24usize, steps in prop::collection::vec((0..12u8, any::<prop::sample::Index>(), 0..200u64), 0..300)
    ) {
        let (mut permits, limit) = (Permits::new(limit), limit.max(1));
        let reserved = MAX_RESERVED_PERMITS.min(limit / PERMITS_PER_RESERVED);
        let (mut connections, mut now, mut ids): (Vec<ModelConnection>, _, _) = (Vec::new(), Duration::ZERO, 0..);
        for (step, selector, wait_ms) in steps {
            let index = (!connections.is_empty()).then(|| selector.index(connections.len()));
            match (step, index) {
                (0..4, _) => {
                    let acquired = permits.try_acquire();
                    prop_assert_eq!(acquired, connections.len() < limit);
                    if let Some(id) = ids.next().filter(|_| acquired) {
                        let token = permits.mark_idle(now, false, id);
                        let state = State::Idle { reading: false, since: now, token };
                        connections.push(ModelConnection { id, has_received_request: false, state, evicted: false });
                    }
                }
                (4 | 5, Some(index)) => match connections[index].state {
                    // A request arrives in part, and is then complete.
                    State::Idle { reading: false, since, token } if !connections[index].evicted => {
                        permits.mark_reading(token);
                        connections[index].state = State::Idle { reading: true, since, token };
                    }
                    State::Idle { token, .. } => {
                        permits.remove_idle(token);
                        connections[index] = ModelConnection { has_received_request: true, state: State::Serving, evicted: false, ..connections[index] };
                    }
                    State::Serving => {
                        let token = permits.mark_idle(now, true, connections[index].id);
                        connections[index].state = State::Idle { reading: false, since: now, token };
                    }
                    State::Lingering { .. } => {}
                },
                (6, Some(index)) => {
                    if let State::Idle { token, .. } = connections[index].state {
                        permits.remove_idle(token);
                    }
                    if !matches!(connections[index].state, State::Lingering { .. }) {
                        let token = permits.mark_lingering(connections[index].id);
                        connections[index] = ModelConnection { state: State::Lingering { token }, evicted: false, ..connections[index] };
                    }
                }
                (7, Some(index)) => {
                    match connections.remove(index).state {
                        State::Idle { token, .. } => permits.remove_idle(token),
                        State::Lingering { token } => permits.remove_lingering(token),
                        State::Serving => {}
                    }
                    permits.release();
                }
                (8, _) => now += Duration::from_millis(wait_ms),
                (9.., _) => {
                    let free = limit - connections.len();
                    prop_assert_eq!(permits.is_scarce(), free < reserved);
                    let mut lingering: Vec<(u64, usize)> = connections.iter().enumerate().filter(|(_, connection)| !connection.evicted)
                        .filter_map(|(index, connection)| match connection.state {
                            State::Lingering { token } => Some((token, index)),
                            _ => None,
                        }).collect();
                    lingering.sort();
                    let [lingering_evicted, idle_evicted] = permits.evict(now);
                    let longest_lingering = (free == 0 && !lingering.is_empty()).then(|| lingering.remove(0).1);
                    prop_assert_eq!(lingering_evicted, longest_lingering.map(|index| eviction(connections[index].id, ConnectionPhase::Lingering)));
                    if let Some(index) = longest_lingering {
                        connections[index].evicted = true;
                    }
                    let soon_free = free + lingering.len();
                    let expected = first_to_evict(&connections, now).filter(|connection| soon_free < reserved && (soon_free == 0 || !connection.is_in_request(now)));
                    prop_assert_eq!(idle_evicted, expected.map(|connection| {
                        eviction(connection.id, if connection.is_reading() { ConnectionPhase::ReadingRequest } else { ConnectionPhase::Idle })
                    }));
                    for connection in connections.iter_mut().filter(|connection| Some(connection.id) == idle_evicted.map(|eviction| eviction.handle)) {
                        connection.evicted = true;
                    }
                }
                (_, None) => {}
            }
            prop_assert!(permits.acquired() == connections.len() && connections.len() <= limit);
        }
    }
}
