//! The shell of failover: what the owner's calls tell goes to the thread that keeps the view, and its plan comes
//! back as a versioned snapshot. Nothing here decides: `heathspur-failover` does, and neither side waits for the other.

use async_io::{Async, Timer};
use futures_lite::future;
use heathspur::Outcome;
use heathspur_config::Failover as Operated;
use heathspur_failover::health::{ln_ms, tells};
use heathspur_failover::pick::Picker;
use heathspur_failover::register::{Decision, Pace, Voice};
use heathspur_failover::zone::{Failover, Peer, Plan};
use heathspur_members::{Stand, State, View};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tracing::info;

/// A step is made so often.
const STEP: Duration = Duration::from_millis(100);
/// A check's connection comes up within this, or the check has failed.
const CHECKED: Duration = Duration::from_millis(500);

/// Parts of a unit in which logarithms cross to the other thread.
const LN: f64 = 1e6;

/// What both threads see.
#[derive(Default)]
struct Shared {
    /// Calls to the own zone's replica that ended since they were last taken in.
    good: AtomicU32,
    bad: AtomicU32,
    /// The logarithms of the times of the good ones, in [`LN`] parts, summed.
    took_ln: AtomicI64,
    /// Whether the own zone's replica is to be checked, and what checks came to.
    check: AtomicBool,
    answered: AtomicU32,
    silent: AtomicU32,
    /// Rises with each plan.
    version: AtomicU64,
    plan: Mutex<Arc<Plan>>,
}

/// The end for the thread that keeps the view.
pub(crate) struct Decider {
    shared: Arc<Shared>,
    failover: Failover,
    stepped: Instant,
    plan: Plan,
    alone: bool,
    home: SocketAddr,
    every: Duration,
}

/// The end for the owner, before it is on the owner's thread.
pub(crate) struct Ways {
    shared: Arc<Shared>,
    zones: Vec<String>,
    addresses: Vec<SocketAddr>,
    home: usize,
}

/// Both ends; `home` is the place of the own zone's replica.
pub(crate) fn start(operated: &Operated, home: usize, region: &str) -> (Decider, Ways) {
    let ms = |span: heathspur_config::units::Span| span.0.as_millis() as u32;
    let pace = Pace {
        dwell: ms(operated.minimum_hold),
        leave: ms(operated.failover_delay),
        back: ms(operated.recovery_delay),
        ..Pace::default()
    };
    let zones: Vec<String> = operated.replica.iter().map(|r| r.zone.clone()).collect();
    let addresses: Vec<SocketAddr> = operated.replica.iter().map(|r| r.address).collect();
    let shared = Arc::new(Shared::default());
    let decider = Decider {
        shared: shared.clone(),
        failover: Failover::new(zones.clone(), home, region.to_string(), pace),
        stepped: Instant::now(),
        plan: Plan::default(),
        alone: false,
        home: addresses[home],
        every: operated.health_check_interval.0,
    };
    (
        decider,
        Ways {
            shared,
            zones,
            addresses,
            home,
        },
    )
}

impl Decider {
    /// Whether the next step is due; the view is not looked through at each turn of the thread.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        now.duration_since(self.stepped) >= STEP
    }

    /// Steps on with the view as it is; what is to be said of it to others.
    pub(crate) fn step(&mut self, view: &View, me: &str) -> Stand {
        let now = Instant::now();
        let elapsed = now.duration_since(self.stepped).as_millis() as u32;
        self.stepped += Duration::from_millis(u64::from(elapsed));
        let take = |count: &AtomicU32| count.swap(0, Ordering::Relaxed);
        let (good, bad) = (take(&self.shared.good), take(&self.shared.bad));
        let took_ln = self.shared.took_ln.swap(0, Ordering::Relaxed);
        if good + bad > 0 {
            self.failover.called(good, bad, took_ln as f64 / LN);
        }
        (0..take(&self.shared.answered)).for_each(|_| self.failover.checked(true));
        (0..take(&self.shared.silent)).for_each(|_| self.failover.checked(false));
        let others = view
            .members
            .iter()
            .filter(|(m, state, _)| m.id.0 != me && *state != State::Left);
        let peers: Vec<Peer> = others
            .map(|(m, state, _)| Peer {
                zone: m.zone.clone(),
                region: m.region.clone(),
                live: state.live(),
                load: (m.load.cap, m.load.in_flight),
                voice: Voice {
                    held: Decision {
                        epoch: m.epoch,
                        near: m.near,
                    },
                    wants: m.wants,
                },
            })
            .collect();
        let step = self.failover.step(elapsed, &peers);
        if let Some(Decision { epoch, near }) = step.decided {
            info!(
                epoch,
                near, "failover: the zone holds epoch {epoch}: {near} tenths near"
            );
        }
        if step.alone != self.alone {
            self.alone = step.alone;
            let word = if step.alone {
                "no quorum of the zone is heard: moving alone"
            } else {
                "the zone is heard"
            };
            info!(alone = step.alone, "failover: {word}");
        }
        self.shared.check.store(step.check, Ordering::Relaxed);
        if step.plan != self.plan {
            self.plan = step.plan.clone();
            *self
                .shared
                .plan
                .lock()
                .expect("nobody panics while it is held") = Arc::new(step.plan);
            self.shared.version.fetch_add(1, Ordering::Release);
        }
        Stand {
            epoch: step.voice.held.epoch,
            near: step.voice.held.near,
            wants: step.voice.wants,
        }
    }

    /// Checks the own zone's replica while no calls tell of it; never ends.
    pub(crate) fn checks(&self) -> impl std::future::Future<Output = ()> {
        let (shared, home, every) = (self.shared.clone(), self.home, self.every);
        async move {
            loop {
                Timer::after(every).await;
                if !shared.check.load(Ordering::Relaxed) {
                    continue;
                }
                let connected = async { Async::<TcpStream>::connect(home).await.is_ok() };
                let late = async {
                    Timer::after(CHECKED).await;
                    false
                };
                let answers = future::or(connected, late).await;
                let count = if answers {
                    &shared.answered
                } else {
                    &shared.silent
                };
                count.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// Where calls go, on the owner's thread.
pub(crate) struct Routes {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
    home: usize,
    version: Cell<u64>,
    picker: RefCell<Picker>,
}

impl Ways {
    pub(crate) fn routes(self) -> Rc<Routes> {
        Rc::new(Routes {
            picker: RefCell::new(Picker::new(self.zones, self.home)),
            shared: self.shared,
            addresses: self.addresses,
            home: self.home,
            version: Cell::new(0),
        })
    }
}

impl Routes {
    /// The way of the next call; none where who is due has no room for it.
    pub(crate) fn pick(self: &Rc<Routes>) -> Option<Way> {
        let version = self.shared.version.load(Ordering::Acquire);
        if self.version.replace(version) != version {
            // Held over there for the exchange of a pointer.
            let plan = self
                .shared
                .plan
                .lock()
                .expect("nobody panics while it is held")
                .clone();
            self.picker.borrow_mut().set(Plan::clone(&plan));
        }
        let replica = self.picker.borrow_mut().pick()?;
        Some(Way {
            routes: self.clone(),
            replica,
            began: Instant::now(),
            told: Cell::new(false),
        })
    }
}

/// A call's place on the way to a replica; given back when it is dropped.
pub(crate) struct Way {
    routes: Rc<Routes>,
    replica: usize,
    began: Instant,
    told: Cell<bool>,
}

impl Way {
    pub(crate) fn address(&self) -> SocketAddr {
        self.routes.addresses[self.replica]
    }

    /// How the call ended, where that tells of the replica; once.
    pub(crate) fn ended(&self, outcome: Outcome) {
        if self.replica != self.routes.home || self.told.replace(true) {
            return;
        }
        let shared = &self.routes.shared;
        match tells(outcome) {
            Some(true) => {
                shared.good.fetch_add(1, Ordering::Relaxed);
                let took_ln = (ln_ms(self.began.elapsed()) * LN) as i64;
                shared.took_ln.fetch_add(took_ln, Ordering::Relaxed);
            }
            Some(false) => {
                shared.bad.fetch_add(1, Ordering::Relaxed);
            }
            None => {}
        }
    }
}

impl Drop for Way {
    fn drop(&mut self) {
        self.routes.picker.borrow_mut().give_back(self.replica);
    }
}
