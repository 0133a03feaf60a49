use crate::{
    collections::SortedMap,
    ids::{EntryId, LocalTime, Millis, RequestKey},
};

/// How long an issued key can be used.
const ISSUED_KEY_LIFE: Millis = Millis(15 * 60 * 1000);

/// Result of using an issued key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyUse {
    /// The first use: the request may be sent.
    First,
    /// The key was used before.
    Repeated,
    /// The key is too old, so that its use is no longer remembered.
    Expired,
    /// The key was issued by another entry host or another run of this one.
    Foreign,
}

/// The request keys issued by this run of an entry host.
///
/// They need no log, so that non-idempotent requests are served in a cut. Their use is known only here.
#[derive(Debug)]
pub struct IssuedKeys {
    issuer: EntryId,
    next: u64,
    /// Keys that can still be used, with the time of issue.
    unused: SortedMap<u64, LocalTime>,
    /// Number of the oldest key that has not expired.
    oldest: u64,
}

impl IssuedKeys {
    /// Creates the register of one run of an entry host.
    pub fn new(issuer: EntryId) -> Self {
        Self {
            issuer,
            next: 0,
            oldest: 0,
            unused: SortedMap::default(),
        }
    }

    /// Issues a new key.
    pub fn issue(&mut self, now: LocalTime) -> RequestKey {
        self.expire(now);
        let number = self.next;
        self.next += 1;
        self.unused.insert(number, now);
        RequestKey::Issued {
            issuer: self.issuer.clone(),
            number,
        }
    }

    /// Uses a key. Only the first use may send the request.
    pub fn take(&mut self, now: LocalTime, issuer: &EntryId, number: u64) -> KeyUse {
        self.expire(now);
        if *issuer != self.issuer || number >= self.next {
            return KeyUse::Foreign;
        }
        if self.unused.remove(&number).is_some() {
            return KeyUse::First;
        }
        if number < self.oldest {
            return KeyUse::Expired;
        }
        KeyUse::Repeated
    }

    /// Makes a key usable again after its request was refused as not run.
    pub fn give_back(&mut self, now: LocalTime, number: u64) {
        if number >= self.oldest && number < self.next {
            self.unused.insert(number, now);
        }
    }

    fn expire(&mut self, now: LocalTime) {
        let limit = now - ISSUED_KEY_LIFE;
        let fresh = self.unused.iter().find(|(_, issued)| **issued >= limit);
        let oldest = fresh.map_or(self.next, |(number, _)| *number);
        if now.0 >= ISSUED_KEY_LIFE.0 {
            self.oldest = self.oldest.max(oldest);
            self.unused.remove_below(&self.oldest);
        }
    }
}
