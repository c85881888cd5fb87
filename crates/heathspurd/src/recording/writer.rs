//! The recorder's thread: takes events from the queue and writes capture blocks to files.

use super::handle::QueuedEvent;
use super::unix_time;
use heathspur_capture::Stamp;
use heathspur_config::{Contents, Record};
use heathspur_record::recorder::{Leg, Recorder};
use heathspur_record::redaction::RedactionPolicy;
use heathspur_record::rotation::{FileAction, FileRotation, Limits, StatusChange};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Blocks are written together, up to this many bytes.
const MAX_BATCH_BYTES: usize = 256 * 1024;
/// The longest wait for an event before the blocks at hand are written.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(200);

/// Owns the recorder's state, the open file and the blocks that wait to be written to it.
pub(super) struct Writer {
    directory: PathBuf,
    recorder: Recorder,
    files: FileRotation,
    file: Option<File>,
    /// The path of `file`.
    path: PathBuf,
    /// Bytes of `file` that are complete blocks.
    complete_bytes: u64,
    /// The origin of the files' time.
    start: Instant,
    pending_blocks: Vec<u8>,
}

impl Writer {
    pub fn new(name: &str, settings: &Record) -> Writer {
        let redaction = RedactionPolicy {
            bodies: settings.contents == Contents::Headers,
            fields: settings
                .mask
                .iter()
                .map(|mask| mask.header.clone())
                .collect(),
        };
        let limits = Limits {
            size: settings.files.size.0,
            age_ms: settings.files.age.0.as_millis() as u64,
            keep: settings.files.keep as usize,
        };
        let existing = file_names(&settings.directory);
        Writer {
            directory: settings.directory.clone(),
            recorder: Recorder::new(redaction),
            files: FileRotation::new(&file_prefix(name), limits, existing),
            file: None,
            path: PathBuf::new(),
            complete_bytes: 0,
            start: Instant::now(),
            pending_blocks: Vec::new(),
        }
    }

    /// Records events until all their senders are gone.
    pub fn run(&mut self, events: &Receiver<QueuedEvent>, queued_bytes: &AtomicUsize) {
        loop {
            match events.recv_timeout(MAX_BATCH_DELAY) {
                Ok(first) => self.take_batch(first, events, queued_bytes),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    self.end_recording();
                    return;
                }
            }
            self.write_pending();
        }
    }

    /// Makes blocks of the events that are queued, up to the size of a batch.
    fn take_batch(
        &mut self,
        first: QueuedEvent,
        events: &Receiver<QueuedEvent>,
        queued_bytes: &AtomicUsize,
    ) {
        let mut next = Some(first);
        while let Some(queued) = next {
            self.take(&queued);
            queued_bytes.fetch_sub(queued.event.weight(), Ordering::Relaxed);
            if self.pending_blocks.len() >= MAX_BATCH_BYTES {
                return;
            }
            next = events.try_recv().ok();
        }
    }

    fn take(&mut self, queued: &QueuedEvent) {
        for (leg, count) in Leg::ALL.into_iter().zip(queued.dropped_events) {
            self.recorder.add_dropped(leg, count);
        }
        let blocks = self.recorder.encode(&queued.event);
        self.pending_blocks.extend(blocks);
    }

    /// Writes the blocks at hand and those that end the open file.
    fn end_recording(&mut self) {
        if self.file.is_some() {
            let now = Stamp(unix_time().as_nanos() as u64);
            let blocks = self.recorder.final_statistics(now);
            self.pending_blocks.extend(blocks);
        }
        self.write_pending();
    }

    /// Writes the pending blocks to the file that is due, or drops them where there is none.
    fn write_pending(&mut self) {
        if self.pending_blocks.is_empty() {
            return;
        }
        let now_ms = self.start.elapsed().as_millis() as u64;
        let blocks = std::mem::take(&mut self.pending_blocks);
        let written = match self
            .files
            .next_action(now_ms, unix_time().as_millis() as u64)
        {
            FileAction::Drop => return,
            FileAction::Write => self.write(&blocks),
            FileAction::Rotate { create, delete } => self
                .change_file(now_ms, &create, &delete)
                .and_then(|()| self.write(&blocks)),
        };
        match written {
            Ok(()) => self.files.bytes_written(blocks.len() as u64),
            Err(e) => self.write_failed(now_ms, &e),
        }
    }

    fn write(&mut self, blocks: &[u8]) -> io::Result<()> {
        // A file whose directory was removed can still be written to, but nobody would find it.
        std::fs::symlink_metadata(&self.path)?;
        let file = self.file.as_mut().ok_or(io::ErrorKind::NotFound)?;
        file.write_all(blocks)?;
        self.complete_bytes += blocks.len() as u64;
        Ok(())
    }

    /// Closes the file, without a block that may have been written in part.
    fn write_failed(&mut self, now_ms: u64, error: &io::Error) {
        if let Some(file) = self.file.take() {
            let _ = file.set_len(self.complete_bytes);
        }
        if let Some(StatusChange::Stopped) = self.files.write_failed(now_ms) {
            let directory = self.directory.display();
            warn!(error = %error, "recording has stopped: {directory}: {error}");
        }
    }

    /// Closes the open file, deletes the oldest files and makes a new one.
    fn change_file(&mut self, now_ms: u64, make: &str, delete: &[String]) -> io::Result<()> {
        self.file = None;
        self.delete_files(delete);
        self.path = self.directory.join(make);
        let mut file = OpenOptions::new()
            .write(true)
            .create_new(true)
            .open(&self.path)?;
        let start = self.recorder.file_header();
        file.write_all(&start)?;
        self.complete_bytes = start.len() as u64;
        self.file = Some(file);
        let resumed = self.files.file_created(now_ms, make, self.complete_bytes);
        if let Some(StatusChange::Resumed(left_out)) = resumed {
            info!(
                left_out,
                "recording goes on in {make}; blocks were left out {left_out} times"
            );
        }
        Ok(())
    }

    fn delete_files(&mut self, names: &[String]) {
        for name in names {
            // A file that is gone already counts as deleted; deleting one that remains is tried again with the next
            // change of files.
            match std::fs::remove_file(self.directory.join(name)) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => {}
                _ => self.files.file_deleted(name),
            }
        }
    }
}

/// The server's name in a form that is safe in file names.
fn file_prefix(name: &str) -> String {
    name.chars()
        .map(|c| if c.is_ascii_alphanumeric() { c } else { '_' })
        .collect()
}

/// The names of the files in a directory; none where it cannot be read.
fn file_names(directory: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(directory).into_iter().flatten().flatten();
    entries
        .filter_map(|entry| entry.file_name().into_string().ok())
        .collect()
}

#[cfg(test)]
#[path = "../../tests/unit/recording_writer.rs"]
mod tests;
