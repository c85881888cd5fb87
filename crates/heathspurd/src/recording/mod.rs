//! The recording's thread: events in, blocks to files. What goes where is decided in `heathspur-record`.

pub(crate) mod recorded_stream;

use crate::recording::recorded_stream::{Item, RecorderHandle};
use heathspur_config::{Contents, Record};
use heathspur_record::files::{Files, Limits, Notice, Step};
use heathspur_record::recorder::{Leg, Recorder};
use heathspur_record::veil::Terms;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

/// Events on their way at most, however small they are.
const EVENTS: usize = 8192;
/// Blocks are written together up to this many bytes, or after this time.
const TOGETHER: usize = 256 * 1024;
const PAUSE: Duration = Duration::from_millis(200);

/// A recording that runs.
pub(crate) struct Recording {
    pub tap: Rc<RecorderHandle>,
    done: Receiver<()>,
}

impl Recording {
    /// Starts the thread. Nothing waits for it: a disk that hangs costs packets, not requests.
    pub fn start(name: &str, record: &Record) -> io::Result<Recording> {
        let (items, events) = sync_channel(EVENTS);
        let (finished, done) = sync_channel(1);
        let waiting = Arc::new(AtomicUsize::new(0));
        let budget = record.budget.memory.0 as usize;
        let tap = Rc::new(RecorderHandle::new(
            items,
            waiting.clone(),
            budget,
            record.links,
        ));
        let mut writer = Writer::new(name, record);
        thread::Builder::new()
            .name("record".into())
            .spawn(move || {
                writer.run(&events, &waiting);
                let _ = finished.send(());
            })?;
        Ok(Recording { tap, done })
    }

    /// Waits so long for what is on its way to be written. All other holders of the tap must be gone.
    pub fn finish(self, most: Duration) {
        drop(self.tap);
        let _ = self.done.recv_timeout(most);
    }
}

struct Writer {
    directory: PathBuf,
    recorder: Recorder,
    files: Files,
    file: Option<File>,
    /// Where that file is.
    path: PathBuf,
    /// Bytes of the file that are whole blocks.
    whole: u64,
    start: Instant,
    pending: Vec<u8>,
}

impl Writer {
    fn new(name: &str, record: &Record) -> Writer {
        let terms = Terms {
            bodies: record.contents == Contents::Headers,
            fields: record.mask.iter().map(|mask| mask.header.clone()).collect(),
        };
        let limits = Limits {
            size: record.files.size.0,
            age_ms: record.files.age.0.as_millis() as u64,
            keep: record.files.keep as usize,
        };
        // The name becomes a part of files' names.
        let name: String = name
            .chars()
            .map(|c| if c.is_ascii_alphanumeric() { c } else { '_' })
            .collect();
        let there = names(&record.directory);
        Writer {
            directory: record.directory.clone(),
            recorder: Recorder::new(terms),
            files: Files::new(&name, limits, there),
            file: None,
            path: PathBuf::new(),
            whole: 0,
            start: Instant::now(),
            pending: Vec::new(),
        }
    }

    fn run(&mut self, events: &Receiver<Item>, waiting: &AtomicUsize) {
        let mut ended = false;
        while !ended {
            let mut next = match events.recv_timeout(PAUSE) {
                Ok(item) => Some(item),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => {
                    ended = true;
                    None
                }
            };
            while let Some(Item { event, missed }) = next.take() {
                for (leg, count) in Leg::ALL.into_iter().zip(missed) {
                    self.recorder.missed(leg, count);
                }
                self.pending.extend(self.recorder.event(&event));
                waiting.fetch_sub(event.weight(), Ordering::Relaxed);
                if self.pending.len() >= TOGETHER {
                    break;
                }
                next = events.try_recv().ok();
            }
            if ended && self.file.is_some() {
                self.pending.extend(
                    self.recorder
                        .end(heathspur_capture::Stamp(unix().as_nanos() as u64)),
                );
            }
            self.put();
        }
    }

    /// Writes what is ready, or leaves it out.
    fn put(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let now = self.start.elapsed().as_millis() as u64;
        let blocks = std::mem::take(&mut self.pending);
        let done = match self.files.step(now, unix().as_millis() as u64) {
            Step::LeaveOut => return,
            Step::Write => self.write(&blocks),
            Step::Change { make, delete } => self
                .change(now, &make, &delete)
                .and_then(|()| self.write(&blocks)),
        };
        match done {
            Ok(()) => self.files.wrote(blocks.len() as u64),
            Err(e) => {
                // What was written of the last blocks may be half a block.
                if let Some(file) = self.file.take() {
                    let _ = file.set_len(self.whole);
                }
                if let Some(Notice::Stopped) = self.files.failed(now) {
                    warn!(error = %e, "recording has stopped: {}: {e}", self.directory.display());
                }
            }
        }
    }

    fn write(&mut self, blocks: &[u8]) -> io::Result<()> {
        // A file whose folder was taken away can still be written to, but nobody would find it.
        std::fs::symlink_metadata(&self.path)?;
        let file = self.file.as_mut().ok_or(io::ErrorKind::NotFound)?;
        file.write_all(blocks)?;
        self.whole += blocks.len() as u64;
        Ok(())
    }

    fn change(&mut self, now: u64, make: &str, delete: &[String]) -> io::Result<()> {
        self.file = None;
        for name in delete {
            // One that is gone already is as good; one that stays is tried again with the next change.
            match std::fs::remove_file(self.directory.join(name)) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => {}
                _ => self.files.deleted(name),
            }
        }
        self.path = self.directory.join(make);
        let mut file = OpenOptions::new()
            .write(true)
            .create_new(true)
            .open(&self.path)?;
        let start = self.recorder.start();
        file.write_all(&start)?;
        self.whole = start.len() as u64;
        self.file = Some(file);
        if let Some(Notice::GoesOn(left_out)) = self.files.made(now, make, start.len() as u64) {
            info!(
                left_out,
                "recording goes on in {make}; blocks were left out {left_out} times"
            );
        }
        Ok(())
    }
}

fn names(directory: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(directory).into_iter().flatten().flatten();
    entries
        .filter_map(|entry| entry.file_name().into_string().ok())
        .collect()
}

fn unix() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

#[cfg(test)]
#[path = "../../tests/unit/recording.rs"]
mod tests;
