//! Graceful shutdown of a connection: GOAWAY in two steps (RFC 9113, section 6.8).
//!
//! The first GOAWAY names the highest stream id, so that requests in transit are not lost. One round
//! trip later, measured by PING or bounded by a timeout, the second names the last stream that was
//! read. Streams after it are refused.

use crate::Time;

/// State of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DrainStage {
    /// Streams are accepted; no GOAWAY was sent.
    Open,
    /// The first GOAWAY was sent. Streams are accepted until its round trip ends, or until this time.
    GoingAway(Time),
    /// The last stream is fixed. Streams after it are refused, earlier ones are answered.
    Final,
}

/// What the connection has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DrainStep {
    /// Nothing.
    None,
    /// Send a GOAWAY with the highest stream id, and a PING.
    AnnounceGoAway,
    /// Send a GOAWAY with the last stream that was read, and refuse later ones.
    FixLastStream,
}

/// The shutdown of one connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionDrain {
    stage: DrainStage,
    round_trip_timeout_us: u64,
}

impl ConnectionDrain {
    /// Creates the state of an open connection, whose round trip is awaited for at most
    /// `round_trip_timeout_us` microseconds.
    pub fn new(round_trip_timeout_us: u64) -> ConnectionDrain {
        ConnectionDrain {
            stage: DrainStage::Open,
            round_trip_timeout_us,
        }
    }

    /// Returns the state of the shutdown.
    pub fn stage(&self) -> DrainStage {
        self.stage
    }

    /// Begins the shutdown: the server drains, or the connection is idle, or its permit is needed.
    pub fn begin(&mut self, now: Time) -> DrainStep {
        match self.stage {
            DrainStage::Open => {
                self.stage = DrainStage::GoingAway(now.after(self.round_trip_timeout_us));
                DrainStep::AnnounceGoAway
            }
            DrainStage::GoingAway(_) | DrainStage::Final => DrainStep::None,
        }
    }

    /// Records that the PING was acknowledged: everything that the client sent before it knew of the
    /// GOAWAY has been read.
    pub fn on_ping_acknowledged(&mut self) -> DrainStep {
        match self.stage {
            DrainStage::GoingAway(_) => self.fix_last_stream(),
            DrainStage::Open | DrainStage::Final => DrainStep::None,
        }
    }

    /// Records that the server accepts no further requests.
    pub fn stop_accepting(&mut self) -> DrainStep {
        match self.stage {
            DrainStage::Final => DrainStep::None,
            DrainStage::Open | DrainStage::GoingAway(_) => self.fix_last_stream(),
        }
    }

    /// Checks the timeout of the round trip.
    pub fn on_time(&mut self, now: Time) -> DrainStep {
        match self.stage {
            DrainStage::GoingAway(deadline) if deadline <= now => self.fix_last_stream(),
            _ => DrainStep::None,
        }
    }

    /// Returns whether a stream that begins now is accepted.
    pub fn accepts_streams(&self) -> bool {
        self.stage != DrainStage::Final
    }

    /// Returns whether the connection can be closed, given the number of its open streams.
    pub fn is_complete(&self, open_streams: u32) -> bool {
        self.stage == DrainStage::Final && open_streams == 0
    }

    /// Returns when [`on_time`](Self::on_time) has to be called, if at all.
    pub fn next_deadline(&self) -> Option<Time> {
        match self.stage {
            DrainStage::GoingAway(deadline) => Some(deadline),
            DrainStage::Open | DrainStage::Final => None,
        }
    }

    fn fix_last_stream(&mut self) -> DrainStep {
        self.stage = DrainStage::Final;
        DrainStep::FixLastStream
    }
}
