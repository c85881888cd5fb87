//! Which file blocks go to, which files are kept, and what happens when the disk fails.
//!
//! Time is a monotonic number of milliseconds; names carry the wall clock, so that they sort by age.

use std::collections::BTreeSet;

/// After a fault the next try waits this long, doubled up to the longest.
const FIRST_WAIT_MS: u64 = 500;
const LONGEST_WAIT_MS: u64 = 30_000;

/// Bounds on the files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a file, the block that reaches it included.
    pub size: u64,
    /// Its age, in milliseconds.
    pub age_ms: u64,
    /// How many are kept, the one that is written included.
    pub keep: usize,
}

/// What is to be done before blocks can be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write to the file that is open.
    Write,
    /// Close what is open, delete these, and make this one; then say how that went.
    Change {
        /// Its name.
        make: String,
        /// Names of files that are to go, the oldest first.
        delete: Vec<String>,
    },
    /// There is no file for now: leave the blocks out.
    LeaveOut,
}

/// What a fault or the end of one means to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Recording stops.
    Stopped,
    /// It goes on, after so many blocks were left out.
    GoesOn(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed,
    Open {
        since_ms: u64,
        bytes: u64,
    },
    Failed {
        until_ms: u64,
        wait_ms: u64,
        left_out: u64,
    },
}

/// The files of a recording.
#[derive(Debug)]
pub struct Files {
    prefix: String,
    limits: Limits,
    state: State,
    names: BTreeSet<String>,
    number: u64,
    /// The latest time in a name: names sort by age even where the wall clock goes back.
    latest_ms: u64,
}

impl Files {
    /// `prefix` tells this server's files from others'; `there` are the names in the folder.
    pub fn new(prefix: &str, limits: Limits, there: impl IntoIterator<Item = String>) -> Files {
        let prefix = format!("{prefix}-");
        let ours = |name: &String| {
            let rest = name
                .strip_prefix(&prefix)
                .and_then(|rest| rest.strip_suffix(".pcapng"));
            rest.is_some_and(|rest| {
                rest.len() == 20 && rest.bytes().all(|b| b.is_ascii_digit() || b == b'-')
            })
        };
        let names: BTreeSet<String> = there.into_iter().filter(ours).collect();
        let time = |name: &String| {
            name[prefix.len()..]
                .split('-')
                .next()
                .and_then(|ms| ms.parse().ok())
        };
        let latest_ms = names.iter().filter_map(time).max().unwrap_or(0);
        let limits = Limits {
            keep: limits.keep.max(1),
            ..limits
        };
        Files {
            prefix,
            limits,
            state: State::Closed,
            names,
            number: 0,
            latest_ms,
        }
    }

    /// What is to be done with blocks that are ready now. `unix_ms` goes into names.
    pub fn step(&mut self, now_ms: u64, unix_ms: u64) -> Step {
        match &mut self.state {
            State::Open { since_ms, bytes }
                if *bytes < self.limits.size
                    && now_ms.saturating_sub(*since_ms) < self.limits.age_ms =>
            {
                Step::Write
            }
            State::Failed {
                until_ms, left_out, ..
            } if now_ms < *until_ms => {
                *left_out += 1;
                Step::LeaveOut
            }
            State::Closed | State::Open { .. } | State::Failed { .. } => self.change(unix_ms),
        }
    }

    fn change(&mut self, unix_ms: u64) -> Step {
        self.latest_ms = self.latest_ms.max(unix_ms);
        let unix_ms = self.latest_ms;
        // Thirteen digits until the year 2286, and a number for files of one millisecond.
        let make = format!(
            "{}{unix_ms:013}-{:06}.pcapng",
            self.prefix,
            self.number % 1_000_000
        );
        self.number += 1;
        let most = self.limits.keep - 1;
        let over = self.names.len().saturating_sub(most);
        let delete: Vec<String> = self.names.iter().take(over).cloned().collect();
        Step::Change { make, delete }
    }

    /// The file of the last [`Step::Change`] was made, and so many bytes written to it.
    pub fn made(&mut self, now_ms: u64, name: &str, bytes: u64) -> Option<Notice> {
        let before = std::mem::replace(
            &mut self.state,
            State::Open {
                since_ms: now_ms,
                bytes,
            },
        );
        self.names.insert(name.to_string());
        match before {
            State::Failed { left_out, .. } => Some(Notice::GoesOn(left_out)),
            _ => None,
        }
    }

    /// A file is gone, whoever deleted it.
    pub fn deleted(&mut self, name: &str) {
        self.names.remove(name);
    }

    /// So many bytes were written.
    pub fn wrote(&mut self, count: u64) {
        if let State::Open { bytes, .. } = &mut self.state {
            *bytes += count;
        }
    }

    /// Making or writing a file failed. What was written of the last block is no whole one, so the file is
    /// not gone on with.
    pub fn failed(&mut self, now_ms: u64) -> Option<Notice> {
        let (wait_ms, left_out, first) = match self.state {
            State::Failed {
                wait_ms, left_out, ..
            } => ((2 * wait_ms).min(LONGEST_WAIT_MS), left_out, false),
            _ => (FIRST_WAIT_MS, 0, true),
        };
        self.state = State::Failed {
            until_ms: now_ms + wait_ms,
            wait_ms,
            left_out: left_out + 1,
        };
        first.then_some(Notice::Stopped)
    }
}
