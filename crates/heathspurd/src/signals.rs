//! The operators' signals: SIGTERM and SIGINT begin the drain, SIGHUP has the configuration read again.

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

/// How often a configuration that can't be used is read before it is ignored.
const READ_ATTEMPTS: u32 = 10;
/// Between two of these attempts.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Catches the operators' signals from now on.
pub(crate) fn subscribe() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// The requests of the signals since the last time.
#[derive(Debug, Default)]
pub(crate) struct SignalRequests {
    pub drain: bool,
    /// The configuration to use from now on.
    pub config: Option<Config>,
}

/// The requests of the signals, until the event loop takes them. They queue behind nothing that peers send: several signals
/// to drain count as one, and of several configurations the last one counts.
pub(crate) struct SignalState {
    drain: Cell<bool>,
    config: RefCell<Option<Config>>,
    notified: Notify,
}

impl SignalState {
    /// A state without requests.
    pub fn new() -> Rc<SignalState> {
        Rc::new(SignalState {
            drain: Cell::new(false),
            config: RefCell::new(None),
            notified: Notify::new(),
        })
    }

    fn request_drain(&self) {
        self.drain.set(true);
        self.notified.notify();
    }

    fn request_reload(&self, config: Config) {
        self.config.replace(Some(config));
        self.notified.notify();
    }

    /// Waits until there is a request to take.
    pub async fn notified(&self) {
        self.notified.notified().await;
    }

    /// Takes all requests.
    pub fn take(&self) -> SignalRequests {
        SignalRequests {
            drain: self.drain.take(),
            config: self.config.take(),
        }
    }
}

/// Handles signals for as long as the server runs. Signals are handled between attempts to read a configuration: a
/// drain begins at once, and another SIGHUP has the attempts begin anew.
pub(crate) async fn handle(mut signals: Signals, started: Config, state: Rc<SignalState>) {
    let mut attempts_left = 0;
    loop {
        let signal = async { Some(signals.next().await) };
        let next_attempt = async {
            wait_for_attempt(attempts_left).await;
            None
        };
        match (future::or(signal, next_attempt).await, &started.file) {
            (Some(Some(Ok(Signal::Hup))), Some(_)) => attempts_left = READ_ATTEMPTS,
            (Some(Some(Ok(Signal::Hup))), None) => {}
            (Some(Some(Ok(_))), _) => state.request_drain(),
            (None, Some(file)) => match read_again(&started, file) {
                Some(config) => {
                    state.request_reload(config);
                    attempts_left = 0;
                }
                None => attempts_left -= 1,
            },
            (Some(_), _) | (None, None) => return,
        }
    }
}

/// Waits until the next attempt to read the configuration: the first is made at once, and none without attempts left.
async fn wait_for_attempt(attempts_left: u32) {
    match attempts_left {
        0 => future::pending().await,
        READ_ATTEMPTS => {}
        _ => drop(Timer::after(READ_RETRY_DELAY).await),
    }
}

/// Reads the configuration's file again; nothing where it can't be used by this server.
fn read_again(started: &Config, file: &Path) -> Option<Config> {
    let config = match Config::read(file).and_then(|config| started.check_own(config)) {
        Ok(config) => config,
        Err(error) => {
            warn!(%error, "the configuration stays as it was: {error}");
            return None;
        }
    };
    let fields = started.differs(&config).join(", ");
    if !fields.is_empty() {
        warn!(
            fields,
            "only the peers' addresses are taken from the new configuration; it differs in more: {fields}"
        );
    }
    Some(config)
}
