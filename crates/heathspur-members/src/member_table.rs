//! How news of a member is taken in: incarnations order it, and no peer is trusted further than that.

use crate::member::{MemberId, MemberState};
use crate::membership::{Action, ChangeCause, MemberEntry, Membership};
use crate::state_record::{self, StateRecord, UpdateEffect};
use crate::suspicion::Suspicion;
use crate::wire::{Body, Update};
use std::net::SocketAddrV4;

/// An incarnation further ahead of the known one than this is taken for garbage. A restarted member's is derived
/// from the wall clock's milliseconds, so it lies ahead by as long as the member ran: this is four years.
pub(crate) const FAR_AHEAD: u64 = 1 << 37;
/// No incarnation is taken above this, so that refutation can always count past it.
pub(crate) const HIGHEST: u64 = 1 << 48;

impl Membership {
    pub(crate) fn apply(
        &mut self,
        update: &Update,
        sender: &MemberId,
        source: SocketAddrV4,
        news: bool,
        out: &mut Vec<Action>,
    ) {
        if !update.member.well_formed() || update.incarnation > HIGHEST {
            self.rejected_input.future += update.member.well_formed() as u64;
            self.rejected_input.garbage += !update.member.well_formed() as u64;
            self.last_sender = Some(source);
            return;
        }
        if update.member.id == self.me.id {
            self.about_me(update, source, out);
            return;
        }
        let from_itself = *sender == update.member.id && source == update.member.address;
        let Some(entry) = self.table.get(&update.member.id) else {
            self.newcomer(update, news, out);
            return;
        };
        if update.incarnation > entry.incarnation.saturating_add(FAR_AHEAD) {
            self.rejected_input.future += 1;
            self.last_sender = Some(source);
            return;
        }
        if update.member.address != entry.member.address && !from_itself {
            // Another address under a known id: only the member itself, from that address, moves it.
            self.rejected_input.conflict += 1;
            self.last_sender = Some(source);
            return;
        }
        let known = entry.record();
        let id = update.member.id.clone();
        match known.effect_of(StateRecord {
            state: update.state,
            incarnation: update.incarnation,
        }) {
            UpdateEffect::Alive => {
                self.table.get_mut(&id).expect("present").member = update.member.clone();
                let cause = if known.state == MemberState::Alive {
                    ChangeCause::Gossip
                } else {
                    ChangeCause::Refuted
                };
                self.set(&id, MemberState::Alive, update.incarnation, cause, out);
                self.spread.push(update.clone());
            }
            UpdateEffect::Unchanged if from_itself => {
                // Its load and epoch, first hand; not spread further, since each member speaks for itself.
                let entry = self.table.get_mut(&id).expect("present");
                if entry.member != update.member {
                    entry.member = update.member.clone();
                    self.version += 1;
                }
            }
            UpdateEffect::Accused { declared_dead } => {
                let accuser = update.accuser.clone().unwrap_or_else(|| sender.clone());
                self.suspect(&id, update.incarnation, accuser, ChangeCause::Gossip, out);
                if declared_dead {
                    let entry = self
                        .table
                        .get_mut(&id)
                        .filter(|e| e.incarnation == update.incarnation);
                    if let Some(suspicion) = entry.and_then(|e| e.suspicion.as_mut()) {
                        suspicion.declare_dead();
                    }
                }
            }
            UpdateEffect::Left => {
                self.set(
                    &id,
                    MemberState::Left,
                    update.incarnation,
                    ChangeCause::Left,
                    out,
                );
                self.spread.push(update.clone());
            }
            UpdateEffect::Unchanged | UpdateEffect::Stale => {}
        }
    }

    fn newcomer(&mut self, update: &Update, news: bool, out: &mut Vec<Action>) {
        if !update.state.live() {
            return;
        }
        if self.table.len() + 1 >= self.settings.max_members {
            self.rejected_input.table_full += 1;
            return;
        }
        let id = update.member.id.clone();
        self.table.insert(
            id.clone(),
            MemberEntry {
                member: update.member.clone(),
                state: MemberState::Alive,
                incarnation: update.incarnation,
                since: self.now,
                suspicion: None,
                round_trip_ms: 0,
            },
        );
        self.version += 1;
        self.tally.add(&id, MemberState::Alive);
        out.push(Action::StateChanged {
            id: id.clone(),
            to: Some(MemberState::Alive),
            incarnation: update.incarnation,
            cause: ChangeCause::Joined,
        });
        if news {
            let (state, incarnation, member) = (
                MemberState::Alive,
                update.incarnation,
                update.member.clone(),
            );
            self.spread.push(Update {
                state,
                incarnation,
                accuser: None,
                member,
            });
        }
        if update.state == MemberState::Suspect {
            let accuser = update.accuser.clone().unwrap_or_else(|| id.clone());
            self.suspect(&id, update.incarnation, accuser, ChangeCause::Gossip, out);
        }
    }

    fn about_me(&mut self, update: &Update, source: SocketAddrV4, out: &mut Vec<Action>) {
        if self.leaving {
            return;
        }
        let said = StateRecord {
            state: update.state,
            incarnation: update.incarnation,
        };
        let Some(higher) = state_record::refuting_incarnation(self.incarnation, said) else {
            // Refuted already, and who says so has not heard: it is told, or it alone would take this member for dead.
            if self.settings.lifeguard && said.state != MemberState::Alive {
                self.send(source, Body::Gossip, true, out);
            }
            return;
        };
        if update.incarnation > self.incarnation.saturating_add(FAR_AHEAD) {
            self.rejected_input.future += 1;
            self.last_sender = Some(source);
            return;
        }
        self.incarnation = higher;
        self.version += 1;
        if self.settings.lifeguard {
            self.local_health = (self.local_health + 1).min(self.settings.local_health_max);
        }
        out.push(Action::IncarnationRaised(self.incarnation));
        self.spread.push(self.me_update());
        // The refutation goes out at once, to who told us and to a few more, not at the next round.
        self.send(source, Body::Gossip, true, out);
        self.gossip_now(out);
    }

    /// `accuser` suspects `id` at `incarnation`: a new suspicion, or a confirmation of one running.
    pub(crate) fn suspect(
        &mut self,
        id: &MemberId,
        incarnation: u64,
        accuser: MemberId,
        cause: ChangeCause,
        out: &mut Vec<Action>,
    ) {
        let count = self.live_count();
        let (mut least, mut most) = self.settings.suspicion_ms(count);
        let lifeguard = self.settings.lifeguard;
        // No more confirmations are waited for than there are others to give them.
        let expected = if lifeguard {
            self.settings.indirect_probes.min(count.saturating_sub(2))
        } else {
            0
        };
        let now = self.now;
        // Who is slow by its own word, or as was seen here, refutes as slowly.
        let slow = self.table.get(id).map_or(0, |entry| self.usual_wait(entry));
        (least, most) = (least + slow, most + slow);
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        let Some(suspected) = entry.record().suspect(incarnation) else {
            if lifeguard && entry.state == MemberState::Suspect && incarnation == entry.incarnation
            {
                if let Some(suspicion) = entry.suspicion.as_mut() {
                    if suspicion.confirm(accuser.clone()) {
                        // A confirmation is news too: others' timers shorten by it.
                        let (accuser, member) = (Some(accuser), entry.member.clone());
                        self.spread.push(Update {
                            state: MemberState::Suspect,
                            incarnation,
                            accuser,
                            member,
                        });
                    }
                }
            }
            return;
        };
        // Without Lifeguard a suspicion lasts its least, as SWIM has it.
        let most = if lifeguard { most } else { least };
        entry.suspicion = Some(Suspicion::new(now, least, most, expected, accuser.clone()));
        let member = entry.member.clone();
        self.set(id, suspected.state, suspected.incarnation, cause, out);
        self.spread.push(Update {
            state: MemberState::Suspect,
            incarnation,
            accuser: Some(accuser),
            member,
        });
    }

    pub(crate) fn set(
        &mut self,
        id: &MemberId,
        to: MemberState,
        incarnation: u64,
        cause: ChangeCause,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        let changed = entry.state != to;
        entry.incarnation = incarnation;
        if to != MemberState::Suspect {
            entry.suspicion = None;
        }
        if changed {
            self.tally.remove(id, entry.state);
            self.tally.add(id, to);
            entry.state = to;
            entry.since = now;
            out.push(Action::StateChanged {
                id: id.clone(),
                to: Some(to),
                incarnation,
                cause,
            });
        }
        self.version += 1;
    }
}
