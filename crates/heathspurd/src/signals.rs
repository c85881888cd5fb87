//! The signals that operators send: SIGTERM and SIGINT start a drain, SIGHUP reloads the configuration.

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

/// The number of attempts to read an invalid configuration before the reload is abandoned.
const READ_ATTEMPTS: u32 = 10;
/// The delay between two of these attempts.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Subscribes to the signals. From then on they no longer end the process.
pub(crate) fn subscribe() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// What signals have requested since the last [`SignalState::take`].
#[derive(Debug, Default)]
pub(crate) struct SignalRequests {
    /// Whether SIGTERM or SIGINT has requested a drain.
    pub drain: bool,
    /// The configuration that was reloaded.
    pub config: Option<Config>,
}

/// What signals have requested and the event loop has not taken yet. Requests are stored here rather than in the event
/// loop's inbox, so that they do not queue behind messages from peers. Repeated drain requests are merged into one, and
/// a reloaded configuration replaces an earlier one.
pub(crate) struct SignalState {
    drain: Cell<bool>,
    config: RefCell<Option<Config>>,
    notified: Notify,
}

impl SignalState {
    /// Creates a state without requests.
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

    /// Waits for the next request. Requests that arrived since the last wait complete it at once.
    pub async fn notified(&self) {
        self.notified.notified().await;
    }

    /// Returns all requests and clears them.
    pub fn take(&self) -> SignalRequests {
        SignalRequests {
            drain: self.drain.take(),
            config: self.config.take(),
        }
    }
}

/// Handles signals for as long as the server runs. Signals are also handled between attempts to read a configuration: a
/// drain starts immediately, and another SIGHUP restarts the attempts. SIGHUP has no effect without a configuration
/// file.
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
            (None, Some(file)) => match reload(&started, file) {
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

/// Waits until the next attempt to read the configuration is due: the first one immediately, later ones after a delay,
/// and none if no attempts are left.
async fn wait_for_attempt(attempts_left: u32) {
    match attempts_left {
        0 => future::pending().await,
        READ_ATTEMPTS => {}
        _ => drop(Timer::after(READ_RETRY_DELAY).await),
    }
}

/// Reads the configuration file again. Returns `None` if it is invalid or belongs to another server.
fn reload(started: &Config, file: &Path) -> Option<Config> {
    let config = match Config::read(file).and_then(|config| started.check_identity(config)) {
        Ok(config) => config,
        Err(error) => {
            warn!(%error, "configuration reload failed, keeping the current configuration: {error}");
            return None;
        }
    };
    let fields = started.restart_required_fields(&config).join(", ");
    if !fields.is_empty() {
        warn!(
            fields,
            "configuration reload applies only the peer addresses; other changed fields require a restart: {fields}"
        );
    }
    Some(config)
}
