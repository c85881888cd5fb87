//! Tests of `src/connection_permits.rs`, which names this file as its module of tests.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const AT: Duration = Duration::from_secs(1);

#[test]
fn one_that_has_just_come_stays_where_others_rest_for_longer() {
    let mut permits = Permits::new(2);
    assert!(permits.take() && permits.take() && !permits.take());
    permits.idle(AT, true, "resting");
    let fresh = permits.idle(AT, false, "fresh");
    assert_eq!(permits.ask_one(AT, true), Some(("resting", Asked::Idle)));
    // The last one left is in the midst of a request, and leaves only if it has to.
    permits.begun(fresh);
    assert_eq!(permits.ask_one(AT, false), None);
    assert_eq!(permits.ask_one(AT, true), Some(("fresh", Asked::Begun)));
    assert_eq!(permits.ask_one(AT, true), None);
}

#[test]
fn those_that_linger_count_as_leaving_and_end_where_no_permit_is_left() {
    let mut permits = Permits::new(8);
    assert_eq!((0..9).filter(|_| permits.take()).count(), 8);
    permits.linger("first");
    permits.linger("second");
    permits.idle(AT, false, "idle");
    // One is about to leave where two are to be free: so one of the idle is asked too.
    let asked = permits.make_room(AT);
    assert_eq!(
        asked,
        [
            Some(("first", Asked::Lingering)),
            Some(("idle", Asked::Idle))
        ]
    );
}

/// What a connection of the model does.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Doing {
    Work,
    Idle {
        begun: bool,
        since: Duration,
        number: u64,
    },
    Lingers {
        number: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Conn {
    id: usize,
    heard: bool,
    doing: Doing,
    /// It was asked, and has yet to act on it.
    asked: bool,
}

impl Conn {
    fn is_begun(&self) -> bool {
        matches!(self.doing, Doing::Idle { begun: true, .. })
    }

    /// Silent or slow for too long before its first request.
    fn is_slow(&self, now: Duration) -> bool {
        matches!(self.doing, Doing::Idle { since, .. } if !self.heard && now - since >= FIRST)
    }

    fn in_midst(&self, now: Duration) -> bool {
        self.is_begun() && !self.is_slow(now)
    }
}

/// One of the idle that comes before all others.
fn first(conns: &[Conn], now: Duration) -> Option<Conn> {
    let orders: [&dyn Fn(&Conn) -> bool; 4] = [
        &|c| c.is_slow(now) && !c.is_begun(),
        &|c| c.is_slow(now),
        &|c| !c.is_begun(),
        &|_| true,
    ];
    let idle = conns.iter().filter(|c| !c.asked);
    let numbered = idle.filter_map(|c| match c.doing {
        Doing::Idle { number, .. } => Some((number, *c)),
        _ => None,
    });
    let idle: Vec<(u64, Conn)> = numbered.collect();
    orders.iter().find_map(|fits| {
        let fitting = idle.iter().filter(|(_, c)| fits(c));
        fitting.min_by_key(|(number, _)| *number).map(|(_, c)| *c)
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
    fn whoever_leaves_is_the_first_in_rank_and_in_the_midst_of_a_request_only_where_no_permit_is_left(
        most in 0..24usize, steps in prop::collection::vec((0..12u8, any::<prop::sample::Index>(), 0..200u64), 0..300)
    ) {
        let (mut permits, most) = (Permits::new(most), most.max(1));
        let reserve = FREE.min(most / 4);
        let (mut conns, mut now, mut ids): (Vec<Conn>, _, _) = (Vec::new(), Duration::ZERO, 0..);
        for (step, which, wait) in steps {
            let at = (!conns.is_empty()).then(|| which.index(conns.len()));
            match (step, at) {
                (0..4, _) => {
                    let taken = permits.take();
                    prop_assert_eq!(taken, conns.len() < most);
                    if let Some(id) = ids.next().filter(|_| taken) {
                        let number = permits.idle(now, false, id);
                        let doing = Doing::Idle { begun: false, since: now, number };
                        conns.push(Conn { id, heard: false, doing, asked: false });
                    }
                }
                (4 | 5, Some(at)) => match conns[at].doing {
                    // A request comes in part, and then whole.
                    Doing::Idle { begun: false, since, number } if !conns[at].asked => {
                        permits.begun(number);
                        conns[at].doing = Doing::Idle { begun: true, since, number };
                    }
                    Doing::Idle { number, .. } => {
                        permits.busy(number);
                        conns[at] = Conn { heard: true, doing: Doing::Work, asked: false, ..conns[at] };
                    }
                    Doing::Work => {
                        let number = permits.idle(now, true, conns[at].id);
                        conns[at].doing = Doing::Idle { begun: false, since: now, number };
                    }
                    Doing::Lingers { .. } => {}
                },
                (6, Some(at)) => {
                    if let Doing::Idle { number, .. } = conns[at].doing {
                        permits.busy(number);
                    }
                    if !matches!(conns[at].doing, Doing::Lingers { .. }) {
                        let number = permits.linger(conns[at].id);
                        conns[at] = Conn { doing: Doing::Lingers { number }, asked: false, ..conns[at] };
                    }
                }
                (7, Some(at)) => {
                    match conns.remove(at).doing {
                        Doing::Idle { number, .. } => permits.busy(number),
                        Doing::Lingers { number } => permits.lingered(number),
                        Doing::Work => {}
                    }
                    permits.give_back();
                }
                (8, _) => now += Duration::from_millis(wait),
                (9.., _) => {
                    let free = most - conns.len();
                    prop_assert_eq!(permits.is_scarce(), free < reserve);
                    let mut lingering: Vec<(u64, usize)> = conns.iter().enumerate().filter(|(_, c)| !c.asked)
                        .filter_map(|(at, c)| match c.doing {
                            Doing::Lingers { number } => Some((number, at)),
                            _ => None,
                        }).collect();
                    lingering.sort();
                    let [cut, asked] = permits.make_room(now);
                    let longest = (free == 0 && !lingering.is_empty()).then(|| lingering.remove(0).1);
                    prop_assert_eq!(cut, longest.map(|at| (conns[at].id, Asked::Lingering)));
                    if let Some(at) = longest {
                        conns[at].asked = true;
                    }
                    let near = free + lingering.len();
                    let may = first(&conns, now).filter(|c| near < reserve && (near == 0 || !c.in_midst(now)));
                    prop_assert_eq!(asked, may.map(|c| {
                        (c.id, if c.is_begun() { Asked::Begun } else { Asked::Idle })
                    }));
                    for conn in conns.iter_mut().filter(|c| Some(c.id) == asked.map(|(id, _)| id)) {
                        conn.asked = true;
                    }
                }
                (_, None) => {}
            }
            prop_assert!(permits.open() == conns.len() && conns.len() <= most);
        }
    }
}
