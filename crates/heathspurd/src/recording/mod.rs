//! The traffic recorder: streams report what they send and receive, and a thread writes it to capture files.
//!
//! Nothing waits for the recorder: past its memory budget events are dropped and counted. What goes into which file,
//! and what is redacted, is decided by `heathspur-record`.

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

/// Events queued for the recorder's thread at most, whatever their size.
const MAX_QUEUED_EVENTS: usize = 8192;

/// A running recording. Owns its thread.
pub(crate) struct Recording {
    pub handle: Rc<RecorderHandle>,
    finished: Receiver<()>,
}

impl Recording {
    /// Starts the thread for the server `name`.
    pub fn start(name: &str, settings: &Record) -> io::Result<Recording> {
        let (events, queue) = sync_channel(MAX_QUEUED_EVENTS);
        let (finish, finished) = sync_channel(1);
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let budget_bytes = settings.budget.memory.0 as usize;
        let handle =
            RecorderHandle::new(events, queued_bytes.clone(), budget_bytes, settings.links);
        let mut writer = Writer::new(name, settings);
        thread::Builder::new()
            .name("record".into())
            .spawn(move || {
                writer.run(&queue, &queued_bytes);
                let _ = finish.send(());
            })?;
        Ok(Recording {
            handle: Rc::new(handle),
            finished,
        })
    }

    /// Waits until the queued events are written, at most for `timeout`. All other references to the handle must have
    /// been dropped.
    pub fn finish(self, timeout: Duration) {
        drop(self.handle);
        let _ = self.finished.recv_timeout(timeout);
    }
}

/// The system's time since the Unix epoch.
fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
