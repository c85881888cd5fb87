//! FIFO queues of waiting requests, and the order in which the queues are served.
//!
//! Each class has two queues: one for requests within their tenant's quota and one for requests
//! beyond it. A request that ended while queued is removed once it reaches the head of its queue.

use crate::event::RequestId;
use crate::settings::Settings;
use std::collections::VecDeque;

/// Least weight of requests beyond their tenant's quota, relative to those within it.
const MIN_OVER_QUOTA_WEIGHT: f64 = 0.01;

/// Identifies a queue by its class and by whether its requests are beyond their tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueueIndex {
    class: usize,
    over_quota: bool,
}

impl QueueIndex {
    /// Returns the queue of a class for requests within or beyond their tenant's quota.
    pub fn new(class: usize, over_quota: bool) -> QueueIndex {
        QueueIndex { class, over_quota }
    }

    /// Returns the class of the queue's requests.
    pub fn class(self) -> usize {
        self.class
    }

    /// Returns whether the queue's requests are beyond their tenant's quota.
    pub fn is_over_quota(self) -> bool {
        self.over_quota
    }

    fn position(self) -> usize {
        2 * self.class + usize::from(self.over_quota)
    }

    fn all(classes: usize) -> impl Iterator<Item = QueueIndex> {
        (0..classes).flat_map(|class| [false, true].map(|over| QueueIndex::new(class, over)))
    }
}

/// All queues of a server.
#[derive(Debug)]
pub(crate) struct ClassQueues {
    queues: Vec<VecDeque<RequestId>>,
    /// Queues by decreasing priority weight; equal weights are in the order of the settings.
    dispatch_order: Vec<QueueIndex>,
}

impl ClassQueues {
    /// Creates empty queues for the classes of the settings.
    pub fn new(settings: &Settings) -> ClassQueues {
        let weight = |queue: &QueueIndex| {
            let quota_weight = if queue.is_over_quota() {
                settings.over_quota_weight.max(MIN_OVER_QUOTA_WEIGHT)
            } else {
                1.0
            };
            settings.classes[queue.class()].priority_weight * quota_weight
        };
        let mut dispatch_order: Vec<QueueIndex> = QueueIndex::all(settings.classes.len()).collect();
        dispatch_order.sort_by(|a, b| weight(b).total_cmp(&weight(a)));
        ClassQueues {
            queues: vec![VecDeque::new(); dispatch_order.len()],
            dispatch_order,
        }
    }

    /// Returns the queues by decreasing priority weight.
    pub fn dispatch_order(&self) -> &[QueueIndex] {
        &self.dispatch_order
    }

    /// Returns the rank of a queue in the dispatch order.
    pub fn rank(&self, queue: QueueIndex) -> Option<usize> {
        self.dispatch_order.iter().position(|&other| other == queue)
    }

    /// Appends a request to a queue.
    pub fn push(&mut self, queue: QueueIndex, id: RequestId) {
        self.queues[queue.position()].push_back(id);
    }

    /// Returns the first request of a queue that still waits, and removes the entries before it.
    pub fn first_waiting(
        &mut self,
        queue: QueueIndex,
        still_waits: impl Fn(RequestId) -> bool,
    ) -> Option<RequestId> {
        let entries = &mut self.queues[queue.position()];
        while let Some(&id) = entries.front() {
            if still_waits(id) {
                return Some(id);
            }
            entries.pop_front();
        }
        None
    }

    /// Removes the first entry of a queue.
    pub fn pop_first(&mut self, queue: QueueIndex) -> Option<RequestId> {
        self.queues[queue.position()].pop_front()
    }

    /// Removes the newest entry of the non-empty queue with the lowest priority weight.
    pub fn pop_newest_of_lowest(&mut self) -> Option<RequestId> {
        let lowest = self
            .dispatch_order
            .iter()
            .rev()
            .find(|queue| !self.queues[queue.position()].is_empty())?;
        self.queues[lowest.position()].pop_back()
    }

    /// Returns the entries of a queue, oldest first.
    pub fn entries(&self, queue: QueueIndex) -> impl Iterator<Item = RequestId> + '_ {
        self.queues[queue.position()].iter().copied()
    }

    /// Returns the number of entries in all queues.
    pub fn len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Returns whether all queues are empty.
    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }
}

#[cfg(test)]
#[path = "../tests/unit/class_queues.rs"]
mod tests;
