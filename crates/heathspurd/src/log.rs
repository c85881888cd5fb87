//! The program's log: lines on standard error, at most so many a second.

use std::cell::Cell;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::{Duration, Instant};

/// Lines a second; the rest are counted and the count is told.
const LINES: u32 = 20;

thread_local! {
    static SECOND: Cell<(Option<Instant>, u32, u32)> = const { Cell::new((None, 0, 0)) };
}

/// Whether another line may be written now, and how many were left out before it.
pub(crate) fn admits() -> Option<u32> {
    SECOND.with(|cell| {
        let (start, lines, left_out) = cell.get();
        let now = Instant::now();
        match start {
            Some(start) if now - start < Duration::from_secs(1) && lines >= LINES => {
                cell.set((Some(start), lines, left_out + 1));
                None
            }
            Some(start) if now - start < Duration::from_secs(1) => {
                cell.set((Some(start), lines + 1, 0));
                Some(left_out)
            }
            _ => {
                cell.set((Some(now), 1, 0));
                Some(left_out)
            }
        }
    })
}

/// Writes a line, and before it how many were left out. A reader that has closed standard error makes
/// `eprintln` panic; a log that nobody reads must not end the server.
pub(crate) fn line(left_out: u32, text: std::fmt::Arguments<'_>) {
    let written = catch_unwind(AssertUnwindSafe(|| {
        if left_out > 0 {
            eprintln!("heathspurd: {left_out} lines left out");
        }
        eprintln!("heathspurd: {text}");
    }));
    drop(written);
}

/// Writes a line to standard error, unless there were too many in this second.
macro_rules! log {
    ($($part:tt)*) => {
        if let Some(left_out) = crate::log::admits() {
            crate::log::line(left_out, format_args!($($part)*));
        }
    };
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_of_lines_is_cut_and_counted() {
        let admitted = (0..10 * LINES).filter(|_| admits().is_some()).count() as u32;
        assert!((LINES..10 * LINES).contains(&admitted), "{admitted}");
    }
}
