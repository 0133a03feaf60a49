use crate::{
    collections::SortedMap,
    ids::{EntryId, LocalTime, Millis, RequestKey},
};

/// How long an issued key can be used.
const ISSUED_KEY_LIFETIME: Millis = Millis(15 * 60 * 1000);

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

/// A key that can still be used or was used lately.
#[derive(Clone, Copy, Debug)]
struct IssuedKey {
    issued: LocalTime,
    used: bool,
}

/// The request keys issued by this run of an entry host.
///
/// They need no log, so that non-idempotent requests are served in a partition. Their use is known only here.
#[derive(Debug)]
pub struct IssuedKeys {
    issuer: EntryId,
    /// Keys that have not expired, by number. Their times of issue ascend with the number.
    keys: SortedMap<u64, IssuedKey>,
    next: u64,
}

impl IssuedKeys {
    /// Creates the register of one run of an entry host.
    pub fn new(issuer: EntryId) -> Self {
        Self {
            issuer,
            keys: SortedMap::default(),
            next: 0,
        }
    }

    /// Issues a new key.
    pub fn issue(&mut self, now: LocalTime) -> RequestKey {
        self.expire(now);
        let number = self.next;
        self.next += 1;
        let key = IssuedKey {
            issued: now,
            used: false,
        };
        self.keys.insert(number, key);
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
        match self.keys.get_mut(&number) {
            None => KeyUse::Expired,
            Some(key) if key.used => KeyUse::Repeated,
            Some(key) => {
                key.used = true;
                KeyUse::First
            }
        }
    }

    /// Makes a key usable again after its request was refused as not run. It expires as if it had not been
    /// used.
    pub fn give_back(&mut self, now: LocalTime, number: u64) {
        self.expire(now);
        if let Some(key) = self.keys.get_mut(&number) {
            key.used = false;
        }
    }

    fn expire(&mut self, now: LocalTime) {
        let is_fresh = |key: &IssuedKey| now.since(key.issued) <= ISSUED_KEY_LIFETIME;
        let fresh = self.keys.iter().find(|(_, key)| is_fresh(key));
        let oldest = fresh.map_or(self.next, |(number, _)| *number);
        self.keys.remove_below(&oldest);
    }
}
