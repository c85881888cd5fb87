//! Unit tests of `src/hear.rs`, which names this file as its module of tests. The module of today stops only what
//! nobody waits for, so a stop of what is owed an answer is carried out here.

use super::*;
use crate::clock::Clock;
use crate::config::Config;
use crate::event_loop::request_table::Table;
use crate::event_loop::state::Targets;
use crate::frontend::connection_pool::Pool;
use crate::frontend::{Arrival, Desk, Txn};
use crate::idempotency::Keys;
use crate::peers::connection::Target;
use crate::peers::registration::Readiness;
use crate::signals::Notices;
use async_channel::{Receiver, Sender};
use heathspur::{ClassId, Time};
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::rc::Rc;

fn config() -> Config {
    let nobody = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let text = heathspur_testkit::scripted::config(nobody, nobody, nobody).to_string();
    Config::parse(text.as_bytes()).unwrap()
}

/// An owner whose links all lead nowhere, with no module.
fn owner() -> Owner {
    let config = config();
    let (to_owner, _) = async_channel::bounded(1);
    let (shutter, shutting) = async_channel::bounded(1);
    let pool = Rc::new(Pool::new(8));
    let (names, idle) = (config.names.clone(), config.settings.client_idle_timeout);
    let clock = Clock::start();
    Owner {
        desk: Rc::new(Desk::new(
            names,
            vec![false, true],
            idle,
            shutting,
            None,
            pool,
            None,
        )),
        readiness: Readiness::new(),
        interpreter: crate::peers::interpreter::Link::new(),
        targets: Targets {
            vm: Rc::new(Target::new(config.vm)),
            announce: Rc::new(Target::new(config.announce)),
        },
        link: LinkState::Up,
        store: crate::peers::store::Link::new(Rc::default(), None, 1, to_owner, None, None),
        table: Table::default(),
        keys: Keys::new(1, 1, Span(1)),
        timers: BinaryHeap::new(),
        call_timers: BTreeSet::new(),
        next_call: 1,
        members: None,
        notices: Notices::new(),
        events: Vec::new(),
        now: Time(0),
        clock,
        seed: 1,
        stop: config.stop,
        module: None,
        due: VecDeque::new(),
        next_nonce: 1,
        answered: 0,
        prune_at: Time(0),
        leaving: None,
        shutter,
        closed: async_channel::bounded(1).0,
        settings: config.settings,
    }
}

const ID: RequestId = RequestId(1);

fn txn() -> Txn {
    Txn::read(b"9b1f03aa5c7e2d41").unwrap()
}

/// A run that is told to stop while the notice that it needs a call is on its way.
fn crossed() -> (Owner, Receiver<Answer>) {
    let mut owner = owner();
    let (reply, answers): (Sender<Answer>, _) = async_channel::bounded(1);
    let arrival = Arrival {
        id: ID,
        txn: txn(),
        class: ClassId(0),
        tenant: None,
        ingress: 0,
        key: None,
        row: false,
        retry: false,
        left: None,
        cost: None,
        held_kb: 1.0,
        body: Bytes::new(),
        reply,
    };
    owner.table.insert(arrival, None);
    owner.run(ID);
    owner.stop(ID);
    owner.hear(Heard::Waits {
        txn: txn(),
        index: 1,
        body: Bytes::new(),
    });
    (owner, answers)
}

#[test]
fn a_stop_that_crosses_a_call_is_known_as_one_when_the_run_ends() {
    let (mut owner, answers) = crossed();
    owner.hear(Heard::Ended {
        txn: txn(),
        end: RunOutcome::Cancelled,
        body: Bytes::new(),
    });
    // It is paused as asked for, and its answer still owed.
    assert!(answers.is_empty() && !answers.is_closed());
    assert!(matches!(
        owner.table.get(ID).map(|e| &e.work),
        Some(Work::Paused { .. })
    ));
}

#[test]
fn a_stop_that_crosses_a_call_holds_behind_its_reply() {
    let (mut owner, _answers) = crossed();
    owner.go_on(ID, |need| Told::Stub(need.index));
    let work = owner.table.get(ID).map(|e| e.work.clone());
    assert!(
        matches!(
            work,
            Some(Work::Running {
                halting: Halting::Asked,
                ..
            })
        ),
        "{work:?}"
    );
}
