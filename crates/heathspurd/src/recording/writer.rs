//! The recorder's thread, which encodes queued events as capture blocks and writes them to files.

use super::handle::QueuedEvent;
use super::unix_time;
use heathspur_capture::Timestamp;
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

/// Size of the encoded blocks at which a batch is written, in bytes.
const MAX_BATCH_BYTES: usize = 256 * 1024;
/// The longest wait for an event before the pending blocks are written.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(200);

/// Owns the recorder's state, the open file and the blocks that wait to be written to it.
pub(super) struct Writer {
    directory: PathBuf,
    recorder: Recorder,
    rotation: FileRotation,
    /// The open file, if any.
    file: Option<File>,
    /// The path of `file`.
    path: PathBuf,
    /// Number of bytes at the start of `file` that consist of complete blocks.
    complete_bytes: u64,
    /// Time zero of `rotation`.
    start: Instant,
    pending_blocks: Vec<u8>,
}

impl Writer {
    /// Creates a writer without an open file. Recordings that exist in the directory take part in the rotation.
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
            rotation: FileRotation::new(&file_prefix(name), limits, existing),
            file: None,
            path: PathBuf::new(),
            complete_bytes: 0,
            start: Instant::now(),
            pending_blocks: Vec::new(),
        }
    }

    /// Records events until all senders have been dropped.
    pub fn run(&mut self, events: &Receiver<QueuedEvent>, queued_bytes: &AtomicUsize) {
        loop {
            match events.recv_timeout(MAX_BATCH_DELAY) {
                Ok(first) => self.encode_batch(first, events, queued_bytes),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    self.end_recording();
                    return;
                }
            }
            self.write_pending();
        }
    }

    /// Encodes the queued events, starting with `first`, until the queue is empty or the batch is full.
    fn encode_batch(
        &mut self,
        first: QueuedEvent,
        events: &Receiver<QueuedEvent>,
        queued_bytes: &AtomicUsize,
    ) {
        let mut next = Some(first);
        while let Some(queued) = next {
            self.encode(&queued);
            queued_bytes.fetch_sub(queued.event.weight(), Ordering::Relaxed);
            if self.pending_blocks.len() >= MAX_BATCH_BYTES {
                return;
            }
            next = events.try_recv().ok();
        }
    }

    /// Encodes an event as pending blocks.
    fn encode(&mut self, queued: &QueuedEvent) {
        for (leg, count) in Leg::ALL.into_iter().zip(queued.dropped_events) {
            self.recorder.add_dropped(leg, count);
        }
        let blocks = self.recorder.encode(&queued.event);
        self.pending_blocks.extend(blocks);
    }

    /// Writes the pending blocks and the final statistics of the open file.
    fn end_recording(&mut self) {
        if self.file.is_some() {
            let now = Timestamp(unix_time().as_nanos() as u64);
            let blocks = self.recorder.final_statistics(now);
            self.pending_blocks.extend(blocks);
        }
        self.write_pending();
    }

    /// Writes the pending blocks to the open file, after rotating files if that is due. Drops the blocks if no file can
    /// be opened at present.
    fn write_pending(&mut self) {
        if self.pending_blocks.is_empty() {
            return;
        }
        let now_ms = self.start.elapsed().as_millis() as u64;
        let blocks = std::mem::take(&mut self.pending_blocks);
        let written = match self
            .rotation
            .next_action(now_ms, unix_time().as_millis() as u64)
        {
            FileAction::Drop => return,
            FileAction::Write => self.write(&blocks),
            FileAction::Rotate { create, delete } => self
                .rotate_files(now_ms, &create, &delete)
                .and_then(|()| self.write(&blocks)),
        };
        match written {
            Ok(()) => self.rotation.bytes_written(blocks.len() as u64),
            Err(e) => self.handle_write_error(now_ms, &e),
        }
    }

    /// Writes blocks to the open file.
    fn write(&mut self, blocks: &[u8]) -> io::Result<()> {
        // After the file or its directory was removed, writes still succeed, but their content would be lost.
        std::fs::symlink_metadata(&self.path)?;
        let file = self.file.as_mut().ok_or(io::ErrorKind::NotFound)?;
        file.write_all(blocks)?;
        self.complete_bytes += blocks.len() as u64;
        Ok(())
    }

    /// Closes the file after truncating a block that may be incomplete. Logs only the first error of several in a row.
    fn handle_write_error(&mut self, now_ms: u64, error: &io::Error) {
        if let Some(file) = self.file.take() {
            let _ = file.set_len(self.complete_bytes);
        }
        if let Some(StatusChange::Stopped) = self.rotation.write_failed(now_ms) {
            let directory = self.directory.display();
            warn!(error = %error, "recording stopped: cannot write to {directory}: {error}");
        }
    }

    /// Closes the open file, deletes the files named in `delete` and creates the file `create`.
    fn rotate_files(&mut self, now_ms: u64, create: &str, delete: &[String]) -> io::Result<()> {
        self.file = None;
        self.delete_files(delete);
        self.path = self.directory.join(create);
        let mut file = OpenOptions::new()
            .write(true)
            .create_new(true)
            .open(&self.path)?;
        let header = self.recorder.file_header();
        file.write_all(&header)?;
        self.complete_bytes = header.len() as u64;
        self.file = Some(file);
        let resumed = self
            .rotation
            .file_created(now_ms, create, self.complete_bytes);
        if let Some(StatusChange::Resumed(left_out)) = resumed {
            info!(
                left_out,
                "recording resumed in {create}; {left_out} batches of blocks were dropped"
            );
        }
        Ok(())
    }

    /// Deletes files. A file that cannot be deleted remains in the rotation.
    fn delete_files(&mut self, names: &[String]) {
        for name in names {
            // A file that no longer exists counts as deleted. Deleting a file that remains is retried on the next
            // rotation.
            match std::fs::remove_file(self.directory.join(name)) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => {}
                _ => self.rotation.file_deleted(name),
            }
        }
    }
}

/// Returns the server's name with all characters that are unsafe in file names replaced by `_`.
fn file_prefix(name: &str) -> String {
    name.chars()
        .map(|c| if c.is_ascii_alphanumeric() { c } else { '_' })
        .collect()
}

/// Returns the names of the files in a directory, or nothing if it cannot be read.
fn file_names(directory: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(directory).into_iter().flatten().flatten();
    entries
        .filter_map(|entry| entry.file_name().into_string().ok())
        .collect()
}

#[cfg(test)]
#[path = "../../tests/unit/recording_writer.rs"]
mod tests;
