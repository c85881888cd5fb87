//! The local member's view of the fleet: snapshots for its own process, and the parts that tools request.

use crate::local_member::LocalMember;
use crate::member::{Member, MemberState};
use crate::member_table::MemberTable;
use crate::wire::{self, Envelope, Message, ViewRequest, ViewResponse, ViewRow};

/// The maximum number of view rows in a datagram. The shortest rows take about 35 bytes.
const MAX_ROWS: usize = 40;
/// The maximum growth of the length prefix of a response's rows, in bytes.
const LENGTH_PREFIX_GROWTH_BYTES: usize = 1;

/// A snapshot of the view. Readers detect changes by comparing versions.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The version, which rises with every change.
    pub version: u64,
    /// The local member's own incarnation.
    pub incarnation: u64,
    /// All members in the table and the local member, in the order of ids.
    pub members: Vec<MemberSnapshot>,
}

/// One member in a [`View`].
#[derive(Clone, Debug)]
pub struct MemberSnapshot {
    /// The record that the member publishes about itself.
    pub member: Member,
    /// Its state in the local view.
    pub state: MemberState,
    /// Its incarnation in the local view.
    pub incarnation: u64,
}

/// Returns the version of the view, which covers the local member and the table.
pub(crate) fn view_version(local: &LocalMember, table: &MemberTable) -> u64 {
    local.version() + table.version()
}

/// Returns a snapshot of the local member and the table.
pub(crate) fn snapshot(local: &LocalMember, table: &MemberTable) -> View {
    let mut members = vec![MemberSnapshot {
        member: local.member().clone(),
        state: local.state(),
        incarnation: local.incarnation(),
    }];
    members.extend(table.iter().map(|entry| MemberSnapshot {
        member: entry.member.clone(),
        state: entry.state,
        incarnation: entry.incarnation,
    }));
    members.sort_by(|a, b| a.member.id.cmp(&b.member.id));
    View {
        version: view_version(local, table),
        incarnation: local.incarnation(),
        members,
    }
}

/// The data from which view requests are answered.
pub(crate) struct ViewResponder<'a> {
    pub(crate) local: &'a LocalMember,
    pub(crate) table: &'a MemberTable,
    pub(crate) now: u64,
    pub(crate) local_health: u32,
    pub(crate) rejected: u64,
}

impl ViewResponder<'_> {
    /// Returns a response with as many rows as fit in `capacity_bytes`, the length of the request; `None` if not even a
    /// response without rows fits.
    pub(crate) fn respond(&self, request: &ViewRequest, capacity_bytes: usize) -> Option<Envelope> {
        let mut response = self.response_without_rows(request.sequence);
        let max_bytes = capacity_bytes.min(wire::MAX_DATAGRAM_BYTES);
        let mut len = self.encoded_len(&response) + LENGTH_PREFIX_GROWTH_BYTES;
        let mut rows = self.rows_after(request);
        rows.retain(|row| {
            len += wire::row_len(row);
            len <= max_bytes
        });
        response.more = match rows.last() {
            Some(last) => {
                let id = &last.member.id;
                self.local.id() > id || self.table.after(Some(id)).next().is_some()
            }
            None => {
                let after = request.after.as_ref();
                self.local_follows(request) || self.table.after(after).next().is_some()
            }
        };
        response.rows = rows;
        let envelope = self.envelope(response);
        (wire::encoded_len(&envelope) <= capacity_bytes).then_some(envelope)
    }

    fn local_follows(&self, request: &ViewRequest) -> bool {
        let after = request.after.as_ref();
        after.is_none_or(|after| self.local.id() > after)
    }

    /// Returns the rows that may fit in one datagram. The limit prevents a flood of requests from reading the complete
    /// table each time.
    fn rows_after(&self, request: &ViewRequest) -> Vec<ViewRow> {
        let others = self.table.after(request.after.as_ref()).take(MAX_ROWS);
        let mut rows: Vec<ViewRow> = others
            .map(|entry| ViewRow {
                member: entry.member.clone(),
                state: entry.state,
                incarnation: entry.incarnation,
                in_state_ms: self.now.saturating_sub(entry.state_since),
            })
            .collect();
        if self.local_follows(request) {
            rows.push(ViewRow {
                member: self.local.member().clone(),
                state: self.local.state(),
                incarnation: self.local.incarnation(),
                in_state_ms: 0,
            });
            rows.sort_by(|a, b| a.member.id.cmp(&b.member.id));
            rows.truncate(MAX_ROWS);
        }
        rows
    }

    fn response_without_rows(&self, sequence: u32) -> ViewResponse {
        ViewResponse {
            sequence,
            version: view_version(self.local, self.table),
            members: 1 + self.table.len() as u32,
            local_health: self.local_health,
            rejected: self.rejected,
            more: true,
            rows: Vec::new(),
        }
    }

    fn envelope(&self, response: ViewResponse) -> Envelope {
        Envelope {
            from: self.local.id().clone(),
            body: Message::ViewResponse(response),
            updates: Vec::new(),
        }
    }

    fn encoded_len(&self, response: &ViewResponse) -> usize {
        wire::encoded_len(&self.envelope(response.clone()))
    }
}
