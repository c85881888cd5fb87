//! The `Retry-After` advice of rejections.

use crate::ewma::{Ewma, FAST_WEIGHT};
use crate::settings::Settings;
use crate::time::Span;

/// Least `Retry-After` of a rejection for lack of capacity, as a fraction of the longest value that
/// callers honour. Rejections are fast, so callers that prefer fast servers would otherwise send
/// more requests at once.
const MIN_RETRY_AFTER_FRACTION: f64 = 0.5;
/// Largest `Retry-After` of a rejection of a request beyond its tenant's quota, as a fraction of
/// the longest value that callers honour, for each server of the fleet. In a small fleet, a longer
/// value would also delay requests within the quota.
const MAX_OVER_QUOTA_FRACTION_PER_SERVER: f64 = 0.01;

/// The reason for a rejection, as far as the advice depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RejectionCause {
    /// The server has stalled or is draining and accepts no requests.
    Unavailable,
    /// There is no capacity for a request within its tenant's quota.
    Capacity,
    /// There is no capacity for a request beyond its tenant's quota.
    OverQuota,
}

/// Derives `Retry-After` from the recent rejection rate.
#[derive(Debug)]
pub(crate) struct RejectionAdvice {
    /// Fraction of recent requests that were rejected.
    rejection_rate: Ewma,
    max_retry_after: Option<Span>,
    servers: f64,
}

impl RejectionAdvice {
    /// Creates the advice of a server that has not rejected any request.
    pub fn new(settings: &Settings) -> RejectionAdvice {
        RejectionAdvice {
            rejection_rate: Ewma::default(),
            max_retry_after: settings.max_retry_after,
            servers: settings.servers as f64,
        }
    }

    /// Returns the fraction of recent requests that were rejected.
    pub fn rejection_rate(&self) -> f64 {
        self.rejection_rate.value()
    }

    /// Records a request that was served.
    pub fn record_served(&mut self) {
        self.rejection_rate.add(0.0, FAST_WEIGHT);
    }

    /// Records a rejection.
    pub fn record_rejected(&mut self) {
        self.rejection_rate.add(1.0, FAST_WEIGHT);
    }

    /// Returns how long a rejected caller should wait before it sends more requests; `None` if
    /// callers do not honour `Retry-After`.
    pub fn retry_after(&self, cause: RejectionCause) -> Option<Span> {
        let for_capacity = MIN_RETRY_AFTER_FRACTION.max(self.rejection_rate.value());
        let fraction = match cause {
            RejectionCause::Unavailable => 1.0,
            RejectionCause::Capacity => for_capacity,
            RejectionCause::OverQuota => {
                for_capacity.min(MAX_OVER_QUOTA_FRACTION_PER_SERVER * self.servers)
            }
        };
        self.max_retry_after
            .map(|longest| Span::from_secs(longest.secs() * fraction))
    }
}
