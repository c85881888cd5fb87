//! Graceful shutdown of a connection: GOAWAY in two steps (RFC 9113, section 6.8).
//!
//! The first GOAWAY carries the highest possible stream id, so that requests in transit are still
//! accepted. One round trip later, detected by a PING acknowledgement or by a timeout, the final
//! GOAWAY carries the id of the last stream that was received. Streams after that one are refused.

use crate::Time;

/// State of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DrainStage {
    /// No GOAWAY has been sent. Streams are accepted.
    Open,
    /// The first GOAWAY has been sent. Streams are accepted until the PING is acknowledged, or
    /// until this time.
    GoingAway(Time),
    /// The final GOAWAY has been sent. Later streams are refused, earlier ones are answered.
    Final,
}

/// What the connection has to send for its shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DrainStep {
    /// Nothing.
    None,
    /// A GOAWAY with the highest possible stream id, and a PING.
    SendFirstGoAway,
    /// A GOAWAY with the id of the last stream that was received. Later streams are refused.
    SendFinalGoAway,
}

/// State machine of one connection's graceful shutdown.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionDrain {
    stage: DrainStage,
    round_trip_timeout_us: u64,
}

impl ConnectionDrain {
    /// Creates the state of an open connection. In a shutdown, the PING acknowledgement is awaited
    /// for at most `round_trip_timeout_us` microseconds.
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

    /// Begins the shutdown, if it has not begun: the server drains, or the connection is idle, or
    /// its permit is needed by another connection.
    pub fn begin(&mut self, now: Time) -> DrainStep {
        match self.stage {
            DrainStage::Open => {
                self.stage = DrainStage::GoingAway(now.after(self.round_trip_timeout_us));
                DrainStep::SendFirstGoAway
            }
            DrainStage::GoingAway(_) | DrainStage::Final => DrainStep::None,
        }
    }

    /// Records that the PING was acknowledged: everything that the client sent before it received
    /// the GOAWAY has been received.
    pub fn on_ping_acknowledged(&mut self) -> DrainStep {
        match self.stage {
            DrainStage::GoingAway(_) => self.finalize(),
            DrainStage::Open | DrainStage::Final => DrainStep::None,
        }
    }

    /// Records that the server accepts no further requests: the shutdown becomes final without
    /// waiting for the round trip.
    pub fn stop_accepting(&mut self) -> DrainStep {
        match self.stage {
            DrainStage::Final => DrainStep::None,
            DrainStage::Open | DrainStage::GoingAway(_) => self.finalize(),
        }
    }

    /// Makes the shutdown final if the timeout of the round trip has passed.
    pub fn check_timeout(&mut self, now: Time) -> DrainStep {
        match self.stage {
            DrainStage::GoingAway(deadline) if deadline <= now => self.finalize(),
            _ => DrainStep::None,
        }
    }

    /// Returns whether a new stream is accepted.
    pub fn accepts_streams(&self) -> bool {
        self.stage != DrainStage::Final
    }

    /// Returns whether the connection can be closed, given the number of its open streams.
    pub fn is_complete(&self, open_streams: u32) -> bool {
        self.stage == DrainStage::Final && open_streams == 0
    }

    /// Returns when [`check_timeout`](Self::check_timeout) has to be called, if at all.
    pub fn next_deadline(&self) -> Option<Time> {
        match self.stage {
            DrainStage::GoingAway(deadline) => Some(deadline),
            DrainStage::Open | DrainStage::Final => None,
        }
    }

    fn finalize(&mut self) -> DrainStep {
        self.stage = DrainStage::Final;
        DrainStep::SendFinalGoAway
    }
}
