//! How views meet: gossip, push-pull, joins, the word of leaving, and datagrams put together within their bound.

use crate::member::{MemberId, MemberState};
use crate::membership::{Action, MemberEntry, Membership};
use crate::wire::{self, Body, Envelope, Update, ViewRequest, ViewResponse, ViewRow};
use rand::seq::SliceRandom;
use rand::RngExt;
use std::net::SocketAddrV4;
use std::ops::Bound;

/// Rows of a view that a datagram may hold at the most; the shortest take some 35 bytes.
const ROWS: usize = 40;

impl Membership {
    pub(crate) fn gossip(&mut self, out: &mut Vec<Action>) {
        if self.spread.is_empty() {
            return;
        }
        self.gossip_now(out);
    }

    pub(crate) fn gossip_now(&mut self, out: &mut Vec<Action>) {
        let mut targets: Vec<SocketAddrV4> = self
            .table
            .values()
            .filter(|e| e.state.live())
            .map(|e| e.member.address)
            .collect();
        targets.shuffle(&mut self.rng);
        targets.truncate(self.settings.fanout);
        for to in targets {
            self.send(to, Body::Gossip, false, out);
        }
    }

    pub(crate) fn push_pull(&mut self, out: &mut Vec<Action>) {
        let live: Vec<SocketAddrV4> = self
            .table
            .values()
            .filter(|e| e.state.live())
            .map(|e| e.member.address)
            .collect();
        // Seeds that nobody live stands at count with the dead: a half that was away for longer than the dead
        // are kept is met through them.
        let lost = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| !live.contains(seed));
        let dead = self
            .table
            .values()
            .filter(|e| e.state == MemberState::Dead)
            .map(|e| e.member.address);
        let dead: Vec<SocketAddrV4> = dead.chain(lost).collect();
        // Now and then a dead one: after a partition heals, that is how the halves find each other again.
        let pool = if !dead.is_empty() && (live.is_empty() || self.rng.random_range(0..3) == 0) {
            dead
        } else {
            live
        };
        if let Some(&to) = pool.get(self.rng.random_range(0..pool.len().max(1))) {
            self.send_view(to, true, out);
        }
    }

    pub(crate) fn join_step(&mut self, out: &mut Vec<Action>) {
        let Some(at) = self.join_at else { return };
        if self.joined || self.now < at {
            return;
        }
        for seed in self.seeds.clone() {
            self.send_view(seed, true, out);
        }
        let jitter = self.rng.random_range(0..=self.join_wait / 2);
        self.join_at = Some(self.now + self.join_wait + jitter);
        self.join_wait = (self.join_wait * 2).min(self.settings.join_backoff_max_ms);
    }

    pub(crate) fn leave(&mut self, out: &mut Vec<Action>) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.incarnation += 1;
        self.version += 1;
        out.push(Action::IncarnationRaised(self.incarnation));
        self.probes.clear();
        self.spread.push(self.me_update());
        let mut targets: Vec<SocketAddrV4> = self
            .table
            .values()
            .filter(|e| e.state.live())
            .map(|e| e.member.address)
            .collect();
        targets.shuffle(&mut self.rng);
        targets.truncate(self.settings.fanout * 2);
        for to in targets {
            self.send(to, Body::Gossip, true, out);
        }
    }

    /// Sends the whole view in parts under the largest datagram; only the first part asks for a reply.
    pub(crate) fn send_view(&mut self, to: SocketAddrV4, reply: bool, out: &mut Vec<Action>) {
        let mut updates: Vec<Update> = vec![self.me_update()];
        updates.extend(self.table.values().map(|e| {
            Update {
                state: e.state,
                incarnation: e.incarnation,
                // Who tells of an accusation known here stands for it.
                accuser: (e.state == MemberState::Suspect || e.state == MemberState::Dead)
                    .then(|| self.accuser(e)),
                member: e.member.clone(),
            }
        }));
        let mut part = Envelope {
            from: self.me.id.clone(),
            body: Body::PushPull { reply },
            updates: Vec::new(),
        };
        let mut len = wire::encoded_len(&part);
        for update in updates {
            let more = wire::update_len(&update);
            if len + more + 2 > wire::MAX_DATAGRAM_BYTES && !part.updates.is_empty() {
                self.emit(to, &part, out);
                part.body = Body::PushPull { reply: false };
                part.updates.clear();
                len = wire::encoded_len(&part);
            }
            len += more;
            part.updates.push(update);
        }
        self.emit(to, &part, out);
    }

    pub(crate) fn send(
        &mut self,
        to: SocketAddrV4,
        body: Body,
        with_me: bool,
        out: &mut Vec<Action>,
    ) {
        let first = with_me.then(|| self.me_update());
        self.send_with(to, body, first, out);
    }

    /// Sends `body` with `first` and as many pending updates as fit; this member's own news leads, since
    /// its load travels that way.
    pub(crate) fn send_with(
        &mut self,
        to: SocketAddrV4,
        body: Body,
        first: Option<Update>,
        out: &mut Vec<Action>,
    ) {
        let mut envelope = Envelope {
            from: self.me.id.clone(),
            body,
            updates: Vec::new(),
        };
        let first = first.unwrap_or_else(|| self.me_update());
        let skip = first.member.id.clone();
        envelope.updates.push(first);
        let room = wire::MAX_DATAGRAM_BYTES.saturating_sub(wire::encoded_len(&envelope) + 4);
        let limit = self.settings.retransmits(self.live_count());
        envelope
            .updates
            .extend(self.spread.take(room, limit, Some(&skip)));
        self.emit(to, &envelope, out);
    }

    fn emit(&mut self, to: SocketAddrV4, envelope: &Envelope, out: &mut Vec<Action>) {
        match wire::encode(envelope) {
            Some(bytes) => out.push(Action::Send { to, bytes }),
            None => self.rejected_input.unsent += 1,
        }
    }

    fn accuser(&self, entry: &MemberEntry) -> MemberId {
        let first = entry.suspicion.as_ref().and_then(|s| s.accuser());
        first.cloned().unwrap_or_else(|| self.me.id.clone())
    }

    /// Answers a tool's question with as many rows as fit in a datagram no longer than the question's.
    pub(crate) fn answer(
        &mut self,
        to: SocketAddrV4,
        ask: &ViewRequest,
        room: usize,
        out: &mut Vec<Action>,
    ) {
        let from = ask.after.as_ref().map_or(Bound::Unbounded, Bound::Excluded);
        let me = ask.after.as_ref().is_none_or(|id| self.me.id > *id);
        // Only what may fit is looked at: a flood of questions does not walk a whole table each.
        let mut rows: Vec<ViewRow> = self
            .table
            .range((from, Bound::Unbounded))
            .take(ROWS)
            .map(|(_, e)| ViewRow {
                member: e.member.clone(),
                state: e.state,
                incarnation: e.incarnation,
                in_state_ms: self.now.saturating_sub(e.since),
            })
            .collect();
        if me {
            let member = self.me.clone();
            rows.push(ViewRow {
                member,
                state: self.my_state(),
                incarnation: self.incarnation,
                in_state_ms: 0,
            });
            rows.sort_by(|a, b| a.member.id.cmp(&b.member.id));
            rows.truncate(ROWS);
        }
        let (version, local_health, refused) = (
            self.version,
            self.local_health,
            self.rejected_input().total(),
        );
        let members = 1 + self.table.len() as u32;
        let seen = ViewResponse {
            sequence: ask.sequence,
            version,
            members,
            local_health,
            refused,
            more: true,
            rows: Vec::new(),
        };
        let mut envelope = Envelope {
            from: self.me.id.clone(),
            body: Body::ViewResponse(seen),
            updates: Vec::new(),
        };
        // The count of rows may take a byte more than it does while there are none.
        let mut len = wire::encoded_len(&envelope) + 1;
        rows.retain(|row| {
            len += wire::row_len(row);
            len <= room.min(wire::MAX_DATAGRAM_BYTES)
        });
        if let Body::ViewResponse(seen) = &mut envelope.body {
            seen.more = match rows.last() {
                Some(row) => {
                    let last = &row.member.id;
                    self.me.id > *last
                        || self
                            .table
                            .range((Bound::Excluded(last), Bound::Unbounded))
                            .next()
                            .is_some()
                }
                None => me || self.table.range((from, Bound::Unbounded)).next().is_some(),
            };
            seen.rows = rows;
        }
        // Where not even the head fits, the question is not answered.
        if wire::encoded_len(&envelope) <= room {
            self.emit(to, &envelope, out);
        }
    }
}
