//! SIGTERM is the notice to drain, SIGHUP that the configuration was replaced.

use crate::config::Config;
use crate::notify::Notify;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use std::cell::{Cell, RefCell};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// A configuration that can't be used is read so often, and again after this.
const READ_TRIES: u32 = 10;
const READ_AGAIN: Duration = Duration::from_millis(100);

/// Listens from now on.
pub(crate) fn notices() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// What the operators' signals ask for, until the owner takes it. Nothing of it queues behind what peers send:
/// a notice to drain is one however often it comes, and of new configurations the last one holds.
pub(crate) struct SignalState {
    drain: Cell<bool>,
    config: RefCell<Option<Config>>,
    told: Notify,
}

impl SignalState {
    pub fn new() -> Rc<SignalState> {
        Rc::new(SignalState {
            drain: Cell::new(false),
            config: RefCell::new(None),
            told: Notify::new(),
        })
    }

    fn drain(&self) {
        self.drain.set(true);
        self.told.notify();
    }

    fn reload(&self, config: Config) {
        self.config.replace(Some(config));
        self.told.notify();
    }

    /// Waits until there is something to take.
    pub async fn notified(&self) {
        self.told.notified().await;
    }

    /// Whether to drain, and the configuration that holds from now on.
    pub fn take(&self) -> (bool, Option<Config>) {
        (self.drain.take(), self.config.take())
    }
}

/// Hears the notices to drain and to read the configuration again. While it is read again and again the next
/// signal is heard: a drain begins at once, and another SIGHUP has all tries begin anew.
pub(crate) async fn hear(mut signals: Signals, started: Config, notices: Rc<SignalState>) {
    let mut tries = 0;
    loop {
        let signal = async { Some(signals.next().await) };
        let again = async {
            match tries {
                0 => future::pending().await,
                READ_TRIES => {}
                _ => drop(Timer::after(READ_AGAIN).await),
            }
            None
        };
        match (future::or(signal, again).await, &started.file) {
            (Some(Some(Ok(Signal::Hup))), Some(_)) => tries = READ_TRIES,
            (Some(Some(Ok(Signal::Hup))), None) => {}
            (Some(Some(Ok(_))), _) => notices.drain(),
            (None, Some(file)) => match read_again(&started, file) {
                Some(config) => {
                    notices.reload(config);
                    tries = 0;
                }
                None => tries -= 1,
            },
            (Some(_), _) | (None, None) => return,
        }
    }
}

/// The configuration's file as it is now, where it is this server's.
fn read_again(started: &Config, file: &Path) -> Option<Config> {
    let config = match Config::read(file).and_then(|config| started.check_own(config)) {
        Ok(config) => config,
        Err(fault) => {
            warn!(%fault, "the configuration stays as it was: {fault}");
            return None;
        }
    };
    let more = started.differs(&config).join(", ");
    if !more.is_empty() {
        warn!(
            more,
            "only the peers' addresses are taken from the new configuration; it differs in more: {more}"
        );
    }
    Some(config)
}
