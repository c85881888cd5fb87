//! Decisions of a front with many streams a connection (HTTP/2, RFC 9113), without I/O and clocks: events in,
//! actions out. Who carries them out moves bytes and nothing else.
//!
//! [`life`] is the life of one stream, [`drain`] that of a connection that is to end. [`share`] says how many
//! streams there may be and how much may be received, [`ledger`] who gives way when answers that nobody reads
//! take up the room, and [`meter`] what a connection's frames have cost and when it is too much.
//!
//! What is let in, in what order it runs and what is turned away is not decided here but by `heathspur`; all that
//! is refused here never reached it.
#![forbid(unsafe_code)]

pub mod drain;
pub mod ledger;
pub mod life;
pub mod meter;
pub mod share;

/// Monotonic time in microseconds, from any point.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// So many microseconds later.
    pub fn after(self, micros: u64) -> Time {
        Time(self.0.saturating_add(micros))
    }

    /// Microseconds since an earlier point; 0 if that one is the later.
    pub fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
