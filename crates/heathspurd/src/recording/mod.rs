//! The traffic recorder: streams queue events for the bytes that they send and receive, and a thread writes them to
//! capture files.
//!
//! No stream ever waits for the recorder: events beyond its memory budget are dropped and counted. The
//! `heathspur-record` package decides when to rotate files and what to redact.

mod handle;
pub(crate) mod recorded_stream;
mod writer;

pub(crate) use handle::RecorderHandle;

use heathspur_config::Record;
use std::io;
use std::rc::Rc;
use std::sync::atomic::AtomicUsize;
use std::sync::mpsc::{sync_channel, Receiver};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use writer::Writer;

/// Maximum number of events that are queued for the recorder's thread, in addition to the memory budget.
const MAX_QUEUED_EVENTS: usize = 8192;

/// A running recording.
pub(crate) struct Recording {
    pub handle: Rc<RecorderHandle>,
    /// Receives a message once the thread has written all events.
    finished: Receiver<()>,
}

impl Recording {
    /// Starts the recorder's thread. The names of the capture files begin with the server's `name`.
    pub fn start(name: &str, settings: &Record) -> io::Result<Recording> {
        let (events, queue) = sync_channel(MAX_QUEUED_EVENTS);
        let (notify_finished, finished) = sync_channel(1);
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let budget_bytes = settings.budget.memory.0 as usize;
        let handle =
            RecorderHandle::new(events, queued_bytes.clone(), budget_bytes, settings.links);
        let mut writer = Writer::new(name, settings);
        thread::Builder::new()
            .name("record".into())
            .spawn(move || {
                writer.run(&queue, &queued_bytes);
                let _ = notify_finished.send(());
            })?;
        Ok(Recording {
            handle: Rc::new(handle),
            finished,
        })
    }

    /// Waits until the queued events are written, for at most `timeout`. All other references to the handle must have
    /// been dropped, because the thread runs until then.
    pub fn finish(self, timeout: Duration) {
        drop(self.handle);
        let _ = self.finished.recv_timeout(timeout);
    }
}

/// Returns the wall clock's time since the Unix epoch.
fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
