//! Rate limits of incoming datagrams, and the counts of rejected input.

use crate::rejected_input::{RejectedInput, RejectionReason, RejectionReport};
use crate::settings::Settings;
use std::collections::HashMap;
use std::net::SocketAddrV4;

/// The window in which datagrams and push-pull replies are limited, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// The maximum number of push-pull requests that are answered in one window. Above it, the view in a request is still
/// merged, but not answered.
const MAX_PUSH_PULL_REPLIES: u32 = 8;
/// The maximum number of source addresses that are counted in one window, as a multiple of the maximum number of
/// members.
const MAX_SOURCES_PER_MEMBER: usize = 2;
/// The minimum interval between two reports of rejected input, in milliseconds.
const MIN_REPORT_INTERVAL_MS: u64 = 1_000;

/// Admits or rejects input, and reports rejections at a bounded rate.
#[derive(Default)]
pub(crate) struct InputLimits {
    window_started_at: u64,
    datagrams_by_source: HashMap<SocketAddrV4, u32>,
    push_pull_replies: u32,
    rejected: RejectedInput,
    last_sender: Option<SocketAddrV4>,
    reported_total: u64,
    next_report_at: u64,
}

impl InputLimits {
    /// Starts a new window once the current one is over.
    pub(crate) fn advance_window(&mut self, now: u64) {
        if now >= self.window_started_at + WINDOW_MS {
            self.datagrams_by_source.clear();
            self.window_started_at = now;
            self.push_pull_replies = 0;
        }
    }

    /// Returns whether a datagram from this address is within the limits of the window, and counts it as admitted or
    /// rejected.
    pub(crate) fn admit(&mut self, from: SocketAddrV4, settings: &Settings) -> bool {
        let received = self.datagrams_by_source.get(&from).copied();
        let max_sources = settings.max_members * MAX_SOURCES_PER_MEMBER;
        // A new source is rejected once the map is full, so that spoofed source addresses can't grow it.
        let map_full = received.is_none() && self.datagrams_by_source.len() >= max_sources;
        let max_datagrams = settings.max_datagrams_per_source_per_second;
        if map_full || received.is_some_and(|count| count >= max_datagrams) {
            self.reject(RejectionReason::RateLimited, from);
            return false;
        }
        *self.datagrams_by_source.entry(from).or_insert(0) += 1;
        true
    }

    /// Returns whether another push-pull request may be answered in this window, and counts the reply if so.
    pub(crate) fn admit_push_pull_reply(&mut self) -> bool {
        let admitted = self.push_pull_replies < MAX_PUSH_PULL_REPLIES;
        self.push_pull_replies += u32::from(admitted);
        admitted
    }

    pub(crate) fn reject(&mut self, reason: RejectionReason, from: SocketAddrV4) {
        self.rejected.count(reason);
        self.last_sender = Some(from);
    }

    /// Counts a new member that was dropped because the member table was full.
    pub(crate) fn count_table_full(&mut self) {
        self.rejected.table_full += 1;
    }

    /// Counts an outgoing datagram that exceeded the maximum size once encoded.
    pub(crate) fn count_unsent(&mut self) {
        self.rejected.unsent += 1;
    }

    /// Returns the number of source addresses that are counted in the current window.
    pub(crate) fn counted_addresses(&self) -> usize {
        self.datagrams_by_source.len()
    }

    /// Returns the counts since the start, with `gossip_queue_full` updates evicted by the gossip queue.
    pub(crate) fn rejected(&self, gossip_queue_full: u64) -> RejectedInput {
        RejectedInput {
            gossip_queue_full,
            ..self.rejected
        }
    }

    /// Returns a report of new rejections, if there are any and the minimum interval since the last report has passed.
    pub(crate) fn take_report(
        &mut self,
        now: u64,
        settings: &Settings,
        gossip_queue_full: u64,
    ) -> Option<RejectionReport> {
        if now < self.next_report_at {
            return None;
        }
        self.next_report_at = now + settings.protocol_period_ms.max(MIN_REPORT_INTERVAL_MS);
        let totals = self.rejected(gossip_queue_full);
        let total = totals.total();
        if total <= self.reported_total {
            return None;
        }
        let new_rejections = total - self.reported_total;
        self.reported_total = total;
        Some(RejectionReport {
            totals,
            new_rejections,
            last_sender: self.last_sender,
        })
    }
}
