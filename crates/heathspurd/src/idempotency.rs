//! What tells a repeat: the tries of each keyed request, and of reads of one thing, with kept results.
//!
//! An entry stands while a try of it is in the request table, and once kept until its time is over. Its
//! result goes with it.

use bytes::Bytes;
use heathspur::{ClassId, RequestId, Span};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, HashMap};
use std::hash::BuildHasher;

/// What a request shares with its repeats.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Key {
    pub class: ClassIndex,
    pub bytes: Box<[u8]>,
}

type ClassIndex = usize;

impl Key {
    pub fn new(class: ClassId, bytes: &[u8]) -> Key {
        Key {
            class: class.0,
            bytes: bytes.into(),
        }
    }
}

/// The run of one of the tries.
#[derive(Debug)]
enum Run {
    /// None of them ran.
    None,
    Going(RequestId),
    /// Ended, with the result where there is one.
    Ended(RequestId, Option<Bytes>),
}

impl Run {
    /// Bytes of the result that is kept.
    fn result_len(&self) -> usize {
        match self {
            Run::Ended(_, Some(result)) => result.len(),
            Run::None | Run::Going(_) | Run::Ended(_, None) => 0,
        }
    }
}

#[derive(Debug)]
struct Entry {
    /// The tries in the request table, and the Unix microseconds at which the window of each is over.
    live: Vec<(RequestId, u64)>,
    /// Of these, those that wait for the result.
    waiting: Vec<RequestId>,
    /// The try that holds the entry.
    holder: RequestId,
    /// Unix microseconds until which it is kept; 0 while nothing keeps it.
    until: u64,
    run: Run,
    /// The try that ran before this entry took the place of its entry, and until when that one was kept: what
    /// reached the machine before then and is read only now must not run.
    before: Option<(RequestId, u64)>,
    /// What its tries carry, in short, and the Unix microseconds until which that is remembered.
    body: u64,
    known: u64,
}

/// What a repeat that wants another try's result gets.
#[derive(Debug, PartialEq)]
pub(crate) enum Attached {
    /// The result will come, or its failure.
    Waits,
    /// Here it is.
    Result(Bytes),
    /// There is none.
    Failed,
}

/// Why a try can't be entered.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(crate) enum Barred {
    #[error("the idempotency store is full")]
    Full,
    #[error("its idempotency key was used with another body before")]
    OtherBody,
}

/// A try as far as its key goes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub id: RequestId,
    /// Unix microseconds at which it reached the machine.
    pub ingress: u64,
    /// Its body in short.
    pub body: u64,
    /// For how long from `ingress` on it may come again.
    pub window: Span,
}

/// The table. Bounded in entries and in bytes of results.
#[derive(Debug)]
pub(crate) struct IdempotencyStore {
    entries: HashMap<Key, Entry>,
    /// Whose entries are kept.
    holders: BTreeMap<RequestId, Key>,
    most_entries: usize,
    bytes: usize,
    most_bytes: usize,
    /// How long after its end an entry may still be asked for by what was read late.
    late: Span,
    digest: RandomState,
}

impl IdempotencyStore {
    pub fn new(most_entries: usize, most_bytes: usize, late: Span) -> IdempotencyStore {
        let (entries, holders, digest) = (HashMap::new(), BTreeMap::new(), RandomState::new());
        IdempotencyStore {
            entries,
            holders,
            most_entries,
            bytes: 0,
            most_bytes,
            late,
            digest,
        }
    }

    /// A body in short. Others can't know what comes out, nor make two bodies come out alike.
    pub fn digest(&self, body: &[u8]) -> u64 {
        self.digest.hash_one(body)
    }

    /// Enters a try; the answer is the one that it repeats.
    pub fn link(&mut self, key: &Key, this: Attempt) -> Result<Option<RequestId>, Barred> {
        let Attempt {
            id,
            ingress,
            body,
            window,
        } = this;
        let known = ingress.saturating_add(window.0);
        if let Some(entry) = self.entries.get_mut(key) {
            let stands = !entry.live.is_empty() || ingress < entry.until;
            if body != entry.body && (stands || ingress < entry.known) {
                return Err(Barred::OtherBody);
            }
            entry.known = entry.known.max(known);
            if let Some((ran, _)) = entry.before.filter(|(_, until)| ingress < *until) {
                entry.live.push((id, known));
                return Ok(Some(ran));
            }
            if stands {
                entry.live.push((id, known));
                return Ok(Some(match entry.run {
                    Run::None => entry.holder,
                    Run::Going(ran) | Run::Ended(ran, _) => ran,
                }));
            }
        }
        let before = self.remove(key).and_then(|entry| match entry.run {
            Run::None => entry.before,
            Run::Going(ran) | Run::Ended(ran, _) => Some((ran, entry.until)),
        });
        if self.entries.len() >= self.most_entries {
            // What is only remembered makes room.
            let remembered =
                |entry: &Entry| entry.live.is_empty() && entry.until == 0 && entry.before.is_none();
            self.drop_where(remembered);
        }
        if self.entries.len() >= self.most_entries {
            return Err(Barred::Full);
        }
        let (live, waiting, run) = (vec![(id, known)], Vec::new(), Run::None);
        let fresh = Entry {
            live,
            waiting,
            holder: id,
            until: 0,
            run,
            before,
            body,
            known,
        };
        self.entries.insert(key.clone(), fresh);
        Ok(None)
    }

    /// Keeps the entry, now held by this try.
    pub fn keep(&mut self, key: &Key, id: RequestId, until: u64) {
        if let Some(entry) = self.entries.get_mut(key) {
            self.holders.remove(&entry.holder);
            (entry.holder, entry.until) = (id, until);
            self.holders.insert(id, key.clone());
        }
    }

    /// Keeps the entry that this try holds no longer; the try itself may be gone.
    pub fn forget(&mut self, id: RequestId) {
        let Some(key) = self.holders.remove(&id) else {
            return;
        };
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.until = 0;
        }
    }

    /// A try of it is run. It is kept for the window from when that try reached the machine by its own stamp, the
    /// window's end included, also where our clock is behind the stamp.
    pub fn runs(&mut self, key: &Key, id: RequestId) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if let (Some((_, over)), true) = (
            entry.live.iter().find(|(try_, _)| *try_ == id),
            entry.until > 0,
        ) {
            entry.until = entry.until.max(over.saturating_add(1));
        }
        self.bytes -= entry.run.result_len();
        entry.run = Run::Going(id);
    }

    /// The run has ended: the tries that waited for it.
    pub fn ended(&mut self, key: &Key, id: RequestId, result: Option<&Bytes>) -> Vec<RequestId> {
        let Some(entry) = self.entries.get_mut(key) else {
            return Vec::new();
        };
        if !matches!(entry.run, Run::Going(ran) if ran == id) {
            return Vec::new();
        }
        // A result must outlive the buffer that it was read into.
        let kept = result.filter(|r| self.bytes + r.len() <= self.most_bytes);
        self.bytes += kept.map_or(0, |r| r.len());
        entry.run = Run::Ended(id, kept.cloned());
        std::mem::take(&mut entry.waiting)
    }

    /// A try wants the result of the one that it repeats.
    pub fn attach(&mut self, key: &Key, id: RequestId) -> Attached {
        let Some(entry) = self.entries.get_mut(key) else {
            return Attached::Failed;
        };
        match &entry.run {
            Run::Ended(_, Some(result)) => Attached::Result(result.clone()),
            Run::Ended(_, None) => Attached::Failed,
            // All others wait as well, so nobody is left to run.
            Run::None if entry.live.len() <= entry.waiting.len() + 1 => Attached::Failed,
            Run::None | Run::Going(_) => {
                entry.waiting.push(id);
                Attached::Waits
            }
        }
    }

    /// A try has left the request table. The answer is those that wait for a run which now never comes.
    pub fn leave(&mut self, key: &Key, id: RequestId) -> Vec<RequestId> {
        let Some(entry) = self.entries.get_mut(key) else {
            return Vec::new();
        };
        entry.live.retain(|&(other, _)| other != id);
        entry.waiting.retain(|&other| other != id);
        if entry.live.is_empty() && entry.until == 0 {
            // Nobody can ask for its result any more.
            self.bytes -= entry.run.result_len();
            entry.run = Run::None;
        }
        // One that is given up while its run is halted never ends.
        let given_up = matches!(entry.run, Run::Going(ran) if ran == id);
        if given_up {
            entry.run = Run::Ended(id, None);
        }
        let idle = matches!(entry.run, Run::None) && entry.live.len() == entry.waiting.len();
        if idle || given_up {
            std::mem::take(&mut entry.waiting)
        } else {
            Vec::new()
        }
    }

    /// Drops entries whose time has been over for long enough.
    pub fn prune(&mut self, now: u64) {
        let late = self.late.0;
        let over = |entry: &Entry| {
            let until = entry.until.max(entry.before.map_or(0, |(_, until)| until));
            now >= until.saturating_add(late) && now >= entry.known
        };
        self.drop_where(|entry| entry.live.is_empty() && over(entry));
    }

    fn drop_where(&mut self, over: impl Fn(&Entry) -> bool) {
        let over: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, e)| over(e))
            .map(|(key, _)| key.clone())
            .collect();
        over.iter().for_each(|key| drop(self.remove(key)));
    }

    fn remove(&mut self, key: &Key) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        self.holders.remove(&entry.holder);
        self.bytes -= entry.run.result_len();
        Some(entry)
    }
}

#[cfg(test)]
#[path = "../tests/unit/idempotency.rs"]
mod tests;
