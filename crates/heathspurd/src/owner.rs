//! The one task that owns the module and all requests. It takes in what has arrived as one batch, lets the
//! module decide once, and carries the actions out in order. It never waits for a peer.

use crate::book::{Halting, Need, Table, Told, Work};
use crate::clock::{self, Clock};
use crate::config::Config;
use crate::crowd::Crowd;
use crate::inbox::{Answer, Arrival, Front, News};
use crate::interpreter::{self, News as Heard};
use crate::keys::Keys;
use crate::link::Target;
use crate::store::{self, News as Called};
use crate::tape::Tap;
use crate::{announce, take_in};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use bytes::Bytes;
use futures_lite::{future, StreamExt};
use heathspur::{
    Action, Effect, Event, Gauges, Halt, Outcome, RequestId, Server, Settings, Span, Time, Token,
};
use heathspur_wire::interpreter::{Command, End, Warmth};
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::io;
use std::net::TcpListener;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Requests, and news of other kinds, that may wait to be taken in, and are taken in at once.
const REQUESTS: usize = 256;
const REQUESTS_AT_ONCE: usize = 64;
const NEWS: usize = 1024;
/// Descriptors kept for the links, the log and what the standard library opens.
const SPARE: usize = 20;
/// The part of the descriptors that calls may take.
const CALLS_PART: usize = 8;
/// A timer of the module waits so long for the gauges.
const GAUGES: Span = Span(10_000);
/// The longest wait for notices that were missed, once a link is up again.
const RESUME: Span = Span(1_000_000);
/// Entries in the table of keys at most, and the part of the memory for their results.
const KEYS: usize = 16 * 1024;
const RESULTS_PART: usize = 4;
const PRUNE: Span = Span(1_000_000);
/// A configuration that can't be read is tried so often, and again after this.
const READ_TRIES: u32 = 10;
const READ_AGAIN: Duration = Duration::from_millis(100);
/// The process ends by itself so long before it is killed, and its front is shut so long before that.
const EARLY: Duration = Duration::from_millis(100);
const LEAVE: Duration = Duration::from_millis(300);

/// Whether commands reach the interpreter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkState {
    Down,
    /// Connected; once this question is answered, or it is so late, all notices that were missed have come.
    Resuming(u64, Time),
    Up,
}

impl LinkState {
    pub fn is_up(self) -> bool {
        self == LinkState::Up
    }
}

/// A timer of the module that is due and waits for the gauges.
struct Due {
    nonce: u64,
    token: Token,
    until: Time,
}

pub(crate) struct Owner {
    pub settings: Settings,
    pub front: Rc<Front>,
    pub report: Rc<announce::Report>,
    pub interpreter: Rc<interpreter::Link>,
    targets: Targets,
    pub link: LinkState,
    pub store: Rc<store::Link>,
    pub table: Table,
    pub keys: Keys,
    pub timers: BinaryHeap<Reverse<(Time, Token)>>,
    pub call_timers: BTreeSet<(Time, RequestId)>,
    pub next_call: u64,
    pub events: Vec<Event>,
    /// The time of this batch.
    pub now: Time,
    clock: Clock,
    seed: u64,
    stop: Duration,
    module: Option<Server>,
    due: VecDeque<Due>,
    next_nonce: u64,
    prune_at: Time,
    /// When the front is shut, and when the process ends whatever is left.
    leaving: Option<(Time, Time)>,
    shutter: Sender<()>,
}

/// Starts all tasks and serves until the server has left.
pub(crate) async fn serve(
    executor: Rc<LocalExecutor<'static>>,
    config: Config,
    listener: TcpListener,
    notice: Signals,
    tap: Option<Rc<Tap>>,
) -> io::Result<()> {
    let (requests, new_requests) = async_channel::bounded(REQUESTS);
    let (news, new_news) = async_channel::bounded(NEWS);
    let (shutter, shutting) = async_channel::bounded(1);
    let front = Rc::new(Front {
        requests,
        news: news.clone(),
        names: config.names.clone(),
        keyed: config.settings.classes.iter().map(|c| c.effect == Effect::Keyed).collect(),
        next_id: Cell::new(1),
        good: Cell::new(false),
        idle: Cell::new(config.settings.idle),
        free_value: Cell::new(None),
        leaving: Cell::new(false),
        shutting,
        tap: tap.clone(),
        crowd: Crowd::new(config.sockets.saturating_sub(SPARE + config.sockets / CALLS_PART)),
    });
    let interpreter = interpreter::Link::new();
    let store = store::Link::new(
        executor.clone(),
        config.store,
        config.sockets / CALLS_PART,
        news.clone(),
        tap.clone(),
    );
    let targets =
        Targets { vm: Rc::new(Target::new(config.vm)), announce: Rc::new(Target::new(config.announce)) };
    let report = announce::Report::new();
    let address = listener.local_addr()?;
    info!(%address, "listening on {address}");
    executor.spawn(take_in::accept(executor.clone(), Async::new(listener)?, front.clone())).detach();
    executor.spawn(interpreter::keep(targets.vm.clone(), interpreter.clone(), news.clone(), tap)).detach();
    executor.spawn(announce::keep(targets.announce.clone(), config.name.clone(), report.clone())).detach();
    executor.spawn(hear(notice, config.clone(), news)).detach();
    let clock = Clock::start();
    let late = config.settings.classes.iter().map(|c| c.give_up).max().unwrap_or_default();
    let owner = Owner {
        settings: config.settings,
        front,
        report,
        interpreter,
        targets,
        link: LinkState::Down,
        store,
        table: Table::default(),
        keys: Keys::new(KEYS, config.memory / RESULTS_PART, late),
        timers: BinaryHeap::new(),
        call_timers: BTreeSet::new(),
        next_call: 1,
        events: Vec::new(),
        now: clock.now(),
        clock,
        seed: config.seed,
        stop: config.stop,
        module: None,
        due: VecDeque::new(),
        next_nonce: 1,
        prune_at: clock.now() + PRUNE,
        leaving: None,
        shutter,
    };
    owner.work(new_requests, new_news).await;
    Ok(())
}

/// Where the peers that are called once in a while are found.
struct Targets {
    vm: Rc<Target>,
    announce: Rc<Target>,
}

/// Hears the notices to drain and to read the configuration again.
async fn hear(mut notice: Signals, started: Config, news: Sender<News>) {
    while let Some(Ok(signal)) = notice.next().await {
        let item = match (signal, &started.file) {
            (Signal::Hup, Some(file)) => match read_again(file).await {
                Some(config) => {
                    if started.differs(&config) {
                        warn!("only the peers' addresses are taken from the new configuration; it differs in more");
                    }
                    News::Reload(Box::new(config))
                }
                None => continue,
            },
            (Signal::Hup, None) => continue,
            _ => News::Drain,
        };
        if news.send(item).await.is_err() {
            return;
        }
    }
}

/// The configuration's file as it is now. One that is being written yet is tried again for a while; one that
/// stays wrong changes nothing.
async fn read_again(file: &Path) -> Option<Config> {
    for _ in 0..READ_TRIES {
        match Config::read(file) {
            Ok(config) => return Some(config),
            Err(fault) => warn!(%fault, "the configuration stays as it was: {fault}"),
        }
        Timer::after(READ_AGAIN).await;
    }
    None
}

/// What wakes the owner.
enum Woken {
    Request(Arrival),
    News(News),
    Time,
}

impl Owner {
    async fn work(mut self, requests: Receiver<Arrival>, news: Receiver<News>) {
        let mut actions = Vec::new();
        loop {
            let woken = self.wait(&requests, &news).await;
            // What has arrived comes before a timer that is late: let it be read first.
            future::yield_now().await;
            self.now = self.clock.now();
            match woken {
                Woken::Request(arrival) => self.take_request(arrival),
                Woken::News(item) => self.take_news(item),
                Woken::Time => {}
            }
            // News before requests: results, gauges and notices are few and must not wait behind a flood.
            for _ in 0..NEWS {
                let Ok(item) = news.try_recv() else { break };
                self.take_news(item);
            }
            for _ in 0..REQUESTS_AT_ONCE {
                let Ok(arrival) = requests.try_recv() else { break };
                self.take_request(arrival);
            }
            self.take_time();
            self.decide(&mut actions);
            if self.has_left() {
                return;
            }
        }
    }

    async fn wait(&self, requests: &Receiver<Arrival>, news: &Receiver<News>) -> Woken {
        if !self.events.is_empty() {
            return Woken::Time;
        }
        let request = async {
            match requests.recv().await {
                Ok(arrival) => Woken::Request(arrival),
                Err(_) => future::pending().await,
            }
        };
        let item = async {
            match news.recv().await {
                Ok(item) => Woken::News(item),
                Err(_) => future::pending().await,
            }
        };
        let time = async {
            match self.next_time() {
                Some(at) => Timer::at(self.clock.instant(at)).await,
                None => future::pending().await,
            };
            Woken::Time
        };
        future::or(item, future::or(request, time)).await
    }

    fn next_time(&self) -> Option<Time> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let call = self.call_timers.first().map(|(at, _)| *at);
        let gauges = self.due.front().map(|due| due.until);
        let leave = self.leaving.map(|(shut, end)| if self.front.shutting.is_closed() { end } else { shut });
        let resume = match self.link {
            LinkState::Resuming(_, until) => Some(until),
            LinkState::Up | LinkState::Down => None,
        };
        [timer, call, gauges, leave, resume, Some(self.prune_at)].into_iter().flatten().min()
    }

    /// The module begins with the interpreter's start: from then on the machine warms up.
    fn begin(&mut self, cold: bool, started: Time) {
        if self.module.is_some() {
            return;
        }
        self.settings.cold = cold;
        let mut module = Server::new(self.settings.clone(), self.seed);
        let mut actions = Vec::new();
        module.decide(started, &[], &mut actions);
        self.module = Some(module);
        self.carry_out(&mut actions);
    }

    fn decide(&mut self, actions: &mut Vec<Action>) {
        if self.events.is_empty() {
            return;
        }
        let Some(module) = &mut self.module else { return };
        module.decide(self.now, &self.events, actions);
        self.events.clear();
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            self.route(action);
        }
    }

    fn take_request(&mut self, arrival: Arrival) {
        self.begin(self.settings.cold, self.now);
        self.admit(arrival);
    }

    fn take_news(&mut self, news: News) {
        match news {
            News::Gone(id) => self.gone(id),
            News::Closed => {}
            News::Interpreter(heard) => self.hear(heard),
            News::Store(called) => self.called(called),
            News::Drain => self.leave(),
            News::Reload(config) => self.move_to(&config),
        }
    }

    /// The peers are found elsewhere from now on. What else the file says holds from the next start.
    fn move_to(&mut self, config: &Config) {
        info!("peers at {}, {} and {:?}", config.vm, config.announce, config.store);
        self.targets.vm.set(config.vm);
        self.targets.announce.set(config.announce);
        self.store.set(config.store);
    }

    /// What is due by the clock.
    fn take_time(&mut self) {
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= self.now) {
            let Some(Reverse((_, token))) = self.timers.pop() else { break };
            if self.link.is_up() {
                let nonce = self.ask();
                self.due.push_back(Due { nonce, token, until: self.now + GAUGES });
            } else {
                self.events.push(Event::Timer { token, gauges: Gauges::default() });
            }
        }
        while self.due.front().is_some_and(|due| due.until <= self.now) {
            let Some(due) = self.due.pop_front() else { break };
            self.events.push(Event::Timer { token: due.token, gauges: Gauges::default() });
        }
        while self.call_timers.first().is_some_and(|(at, _)| *at <= self.now) {
            let Some((_, id)) = self.call_timers.pop_first() else { break };
            let Some(entry) = self.table.get(id) else { continue };
            if let Work::Calling { call, .. } = entry.work {
                let outcome = self.store.give_up(call);
                self.call_ended(id, outcome);
            }
        }
        if matches!(self.link, LinkState::Resuming(_, until) if until <= self.now) {
            self.resume();
        }
        if self.prune_at <= self.now {
            self.prune_at = self.now + PRUNE;
            self.keys.prune(clock::unix());
            self.store.prune();
        }
    }

    /// Asks the interpreter for its gauges.
    fn ask(&mut self) -> u64 {
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        self.interpreter.send(Command::Top(nonce));
        nonce
    }

    fn hear(&mut self, heard: Heard) {
        match heard {
            Heard::Banner { warmth, ago_ms } => {
                let ago = Span::from_secs(ago_ms / 1000.0);
                self.begin(warmth == Warmth::Cold, self.now - ago);
                let nonce = self.ask();
                self.link = LinkState::Resuming(nonce, self.now + RESUME);
            }
            Heard::Down => {
                self.link = LinkState::Down;
                for due in std::mem::take(&mut self.due) {
                    self.events.push(Event::Timer { token: due.token, gauges: Gauges::default() });
                }
            }
            Heard::Gauges { nonce, .. } if matches!(self.link, LinkState::Resuming(n, _) if n == nonce) => {
                self.resume();
            }
            Heard::Gauges { nonce, readings } => {
                if let Some(at) = self.due.iter().position(|due| due.nonce == nonce) {
                    let gauges = self.front.names.meters.read(&readings);
                    if let Some(due) = self.due.remove(at) {
                        self.events.push(Event::Timer { token: due.token, gauges });
                    }
                }
            }
            Heard::Ended { txn, end, body } => {
                if let Some(id) = self.table.named(&txn) {
                    self.run_ended(id, end, body);
                }
            }
            Heard::Waits { txn, index, body } => {
                let Some(id) = self.table.named(&txn) else { return };
                let Some(entry) = self.table.get_mut(id) else { return };
                if let Work::Running { since, .. } = entry.work {
                    entry.work = Work::AtCall { since, need: Need { index, body } };
                    self.events.push(Event::NeedsCall(id));
                }
            }
            Heard::Refused { command, txn } => {
                let id = txn.and_then(|txn| self.table.named(&txn));
                let work = id.and_then(|id| self.table.get(id)).map(|e| &e.work);
                let started = matches!(work, Some(Work::Running { told: Told::Apply, .. }));
                if let (Some(id), true, "APPLY") = (id, started, &*command) {
                    self.run_ended(id, End::Error, Bytes::new());
                }
                warn!(command, "the interpreter did not carry out {command:?}");
            }
        }
    }

    /// All notices that were missed are in: what still runs is told again.
    fn resume(&mut self) {
        self.link = LinkState::Up;
        for id in self.table.find(|entry| matches!(entry.work, Work::Running { .. })) {
            self.tell(id);
        }
    }

    /// A run is over, or stopped and to go on later.
    fn run_ended(&mut self, id: RequestId, end: End, body: Bytes) {
        let Some(entry) = self.table.get_mut(id) else { return };
        let (since, halted) = match &entry.work {
            Work::Running { since, halting, .. } => (*since, *halting == Halting::Asked),
            Work::AtCall { since, .. } | Work::Calling { since, .. } => (*since, false),
            Work::Held | Work::Paused { .. } | Work::Waiting { .. } => return,
        };
        let outcome = match end {
            End::Complete => Outcome::Ok,
            End::Error => Outcome::Error,
            End::Cancelled => Outcome::Cancelled,
            End::Unknown => Outcome::Moot,
        };
        self.events.push(Event::Done { id, outcome, latency: self.now - since });
        if end == End::Cancelled && halted && entry.reply.is_some() {
            match self.settings.halt {
                Halt::Pause => entry.work = Work::Paused { since },
                _ => entry.work = Work::Held,
            }
            return;
        }
        let result = (end == End::Complete).then_some(&body);
        let waiting = entry.key.as_ref().map(|key| self.keys.ended(key, id, result)).unwrap_or_default();
        for repeat in waiting {
            self.end_waiting(repeat, result);
        }
        self.answer(id, result.cloned().map_or(Answer::Failed, Answer::Served));
        self.book_out(id);
    }

    fn called(&mut self, called: Called) {
        let Some(entry) = self.table.get(called.id) else { return };
        let Work::Calling { call, until, .. } = &entry.work else { return };
        if *call != called.call {
            return;
        }
        self.call_timers.remove(&(*until, called.id));
        self.call_ended(called.id, called.outcome);
        if called.outcome == Outcome::Ok {
            self.go_on(called.id, |_| Told::Resolve(called.body));
        }
    }

    /// A call has come back, or is given up: the run stands where it stood before.
    fn call_ended(&mut self, id: RequestId, outcome: Outcome) {
        let Some(entry) = self.table.get_mut(id) else { return };
        let Work::Calling { since, need, made, .. } = entry.work.clone() else { return };
        entry.work = Work::AtCall { since, need };
        self.events.push(Event::Called { id, outcome, latency: self.now - made });
    }

    /// The notice to drain.
    fn leave(&mut self) {
        if self.leaving.is_some() {
            return;
        }
        self.begin(self.settings.cold, self.now);
        let span = |d: Duration| Span(d.as_micros() as u64);
        let stop = self.stop.saturating_sub(EARLY);
        let shut = span(stop.saturating_sub(LEAVE)).min(self.settings.drain_grace);
        // The last answers are given before the stop that the module is told; they are on their way then.
        self.leaving = Some((self.now + shut, self.now + span(stop + EARLY / 2)));
        self.front.leaving.set(true);
        self.events.push(Event::Drain(span(stop)));
    }

    /// Shuts the front when nothing new would be run any more; true once all is answered, or nothing can be.
    fn has_left(&mut self) -> bool {
        let Some((shut, end)) = self.leaving else { return false };
        if self.now >= shut {
            self.shutter.close();
        }
        let owed = || self.table.find(|entry| entry.reply.is_some()).len();
        self.front.shutting.is_closed() && (self.front.crowd.open() == 0 && owed() == 0 || self.now >= end)
    }
}
