//! SIGTERM is the notice to drain, SIGHUP that the configuration was replaced.

use crate::config::Config;
use crate::inbox::OwnerEvent;
use async_channel::Sender;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;
use std::path::Path;
use std::time::Duration;
use tracing::warn;

/// A configuration that can't be read is tried so often, and again after this.
const READ_TRIES: u32 = 10;
const READ_AGAIN: Duration = Duration::from_millis(100);

/// Listens from now on.
pub(crate) fn notices() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Hears the notices to drain and to read the configuration again.
pub(crate) async fn hear(mut notice: Signals, started: Config, inbox: Sender<OwnerEvent>) {
    while let Some(Ok(signal)) = notice.next().await {
        let item = match (signal, &started.file) {
            (Signal::Hup, Some(file)) => match read_again(file).await {
                Some(config) => {
                    if started.differs(&config) {
                        warn!("only the peers' addresses are taken from the new configuration; it differs in more");
                    }
                    OwnerEvent::Reload(Box::new(config))
                }
                None => continue,
            },
            (Signal::Hup, None) => continue,
            _ => OwnerEvent::Drain,
        };
        if inbox.send(item).await.is_err() {
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
