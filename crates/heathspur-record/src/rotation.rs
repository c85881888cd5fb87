//! Rotation of recording files: which file is written, which files are deleted, and the backoff after a disk error.
//!
//! Times are milliseconds of a monotonic clock. File names contain the wall clock time, so that they sort by age.

use std::collections::BTreeSet;

/// The delay before the first retry after a disk error. It doubles with each further error.
const INITIAL_BACKOFF_MS: u64 = 500;
/// The upper bound on the delay between retries.
const MAX_BACKOFF_MS: u64 = 30_000;
/// The extension of recording files.
const EXTENSION: &str = ".pcapng";
/// The length of the part of a file name between prefix and extension: 13 digits, a dash and 6 digits.
const TIME_AND_NUMBER_LEN: usize = 20;
/// File numbers start again at 0 after this many files, because names have six digits for them.
const FILE_NUMBER_COUNT: u64 = 1_000_000;

/// Bounds on the size, age and number of files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The size after which a file is closed, in bytes. The block that reaches this size is still written to it.
    pub size: u64,
    /// The age after which a file is closed, in milliseconds.
    pub age_ms: u64,
    /// The number of files that are retained, including the open one.
    pub keep: usize,
}

/// The action that the caller must take with the blocks that are ready to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileAction {
    /// Write the blocks to the open file.
    Write,
    /// Close the open file, delete the listed files, create a new one and report the outcome with
    /// [`FileRotation::file_created`] or [`FileRotation::write_failed`].
    Rotate {
        /// The name of the file to create.
        create: String,
        /// The names of the files to delete, the oldest first.
        delete: Vec<String>,
    },
    /// Drop the blocks: no file is open until the next retry.
    Drop,
}

/// A change of the recording's status that the caller should log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusChange {
    /// Recording has stopped because of a disk error.
    Stopped,
    /// Recording has resumed. The number counts how many times blocks were dropped meanwhile.
    Resumed(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed,
    Open {
        since_ms: u64,
        bytes: u64,
    },
    Failed {
        retry_at_ms: u64,
        backoff_ms: u64,
        dropped: u64,
    },
}

/// The state of a recording's files.
#[derive(Debug)]
pub struct FileRotation {
    prefix: String,
    limits: Limits,
    state: State,
    /// The names of the recording's files in the directory. They sort by age.
    names: BTreeSet<String>,
    next_number: u64,
    /// The latest wall clock time in a name. No new name has an earlier one, so that names sort by age even if the
    /// clock is set back.
    latest_unix_ms: u64,
}

impl FileRotation {
    /// Creates the state without an open file. File names begin with `prefix` and a dash, which distinguishes the files
    /// of this server from those of others. `existing` are the names of all files in the directory.
    pub fn new(
        prefix: &str,
        limits: Limits,
        existing: impl IntoIterator<Item = String>,
    ) -> FileRotation {
        let prefix = format!("{prefix}-");
        let names: BTreeSet<String> = existing
            .into_iter()
            .filter(|name| is_recording(&prefix, name))
            .collect();
        let latest_unix_ms = names
            .iter()
            .filter_map(|name| unix_ms_in_name(&prefix, name))
            .max()
            .unwrap_or(0);
        let limits = Limits {
            keep: limits.keep.max(1),
            ..limits
        };
        FileRotation {
            prefix,
            limits,
            state: State::Closed,
            names,
            next_number: 0,
            latest_unix_ms,
        }
    }

    /// Decides what to do with blocks that are ready at `now_ms`. `unix_ms` is the wall clock time for the name of a
    /// new file.
    pub fn next_action(&mut self, now_ms: u64, unix_ms: u64) -> FileAction {
        match &mut self.state {
            State::Open { since_ms, bytes }
                if *bytes < self.limits.size
                    && now_ms.saturating_sub(*since_ms) < self.limits.age_ms =>
            {
                FileAction::Write
            }
            State::Failed {
                retry_at_ms,
                dropped,
                ..
            } if now_ms < *retry_at_ms => {
                *dropped += 1;
                FileAction::Drop
            }
            State::Closed | State::Open { .. } | State::Failed { .. } => self.rotate(unix_ms),
        }
    }

    fn rotate(&mut self, unix_ms: u64) -> FileAction {
        self.latest_unix_ms = self.latest_unix_ms.max(unix_ms);
        let create = self.next_name();
        let retained = self.limits.keep - 1;
        let excess = self.names.len().saturating_sub(retained);
        let delete: Vec<String> = self.names.iter().take(excess).cloned().collect();
        FileAction::Rotate { create, delete }
    }

    /// Returns the name of the next file. The time has thirteen digits until the year 2286; the number distinguishes
    /// files of the same millisecond.
    fn next_name(&mut self) -> String {
        let unix_ms = self.latest_unix_ms;
        let number = self.next_number % FILE_NUMBER_COUNT;
        self.next_number += 1;
        format!("{}{unix_ms:013}-{number:06}{EXTENSION}", self.prefix)
    }

    /// Reports that the file of the last [`FileAction::Rotate`] was created and `bytes` were written to it.
    pub fn file_created(&mut self, now_ms: u64, name: &str, bytes: u64) -> Option<StatusChange> {
        let opened = State::Open {
            since_ms: now_ms,
            bytes,
        };
        let previous = std::mem::replace(&mut self.state, opened);
        self.names.insert(name.to_string());
        match previous {
            State::Failed { dropped, .. } => Some(StatusChange::Resumed(dropped)),
            State::Closed | State::Open { .. } => None,
        }
    }

    /// Reports that a file no longer exists, whether or not this process deleted it.
    pub fn file_deleted(&mut self, name: &str) {
        self.names.remove(name);
    }

    /// Reports that `count` bytes were written to the open file.
    pub fn bytes_written(&mut self, count: u64) {
        if let State::Open { bytes, .. } = &mut self.state {
            *bytes += count;
        }
    }

    /// Reports that creating or writing a file failed. The file is not written to again, because its last block may be
    /// incomplete.
    pub fn write_failed(&mut self, now_ms: u64) -> Option<StatusChange> {
        let (backoff_ms, dropped, is_first) = match self.state {
            State::Failed {
                backoff_ms,
                dropped,
                ..
            } => ((2 * backoff_ms).min(MAX_BACKOFF_MS), dropped, false),
            State::Closed | State::Open { .. } => (INITIAL_BACKOFF_MS, 0, true),
        };
        self.state = State::Failed {
            retry_at_ms: now_ms + backoff_ms,
            backoff_ms,
            dropped: dropped + 1,
        };
        is_first.then_some(StatusChange::Stopped)
    }
}

/// Returns whether a file name consists of the prefix, a time, a number and the extension, as [`FileRotation`] forms
/// them.
fn is_recording(prefix: &str, name: &str) -> bool {
    let time_and_number = name
        .strip_prefix(prefix)
        .and_then(|rest| rest.strip_suffix(EXTENSION));
    time_and_number.is_some_and(|text| {
        text.len() == TIME_AND_NUMBER_LEN && text.bytes().all(|b| b.is_ascii_digit() || b == b'-')
    })
}

fn unix_ms_in_name(prefix: &str, name: &str) -> Option<u64> {
    let (unix_ms, _) = name.strip_prefix(prefix)?.split_once('-')?;
    unix_ms.parse().ok()
}
