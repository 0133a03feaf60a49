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
    /// The key has expired, so it is not known whether it was used.
    Expired,
    /// The key was issued by another entry host or another incarnation of this one.
    Foreign,
}

/// A key that has not expired.
#[derive(Clone, Copy, Debug)]
struct IssuedKey {
    issued_at: LocalTime,
    used: bool,
}

/// The request keys issued by this incarnation of an entry host.
///
/// They do not depend on the log, so non-idempotent requests can be served during a network partition. Only this
/// entry host knows which of them were used.
#[derive(Debug)]
pub struct IssuedKeys {
    issuer: EntryId,
    /// Keys that have not expired, by number. A key with a larger number was not issued earlier.
    keys: SortedMap<u64, IssuedKey>,
    next_number: u64,
}

impl IssuedKeys {
    /// Creates the empty register of one incarnation of an entry host.
    pub fn new(issuer: EntryId) -> Self {
        Self {
            issuer,
            keys: SortedMap::default(),
            next_number: 0,
        }
    }

    /// Issues a new key, which can be used for 15 minutes.
    pub fn issue(&mut self, now: LocalTime) -> RequestKey {
        self.expire(now);
        let number = self.next_number;
        self.next_number += 1;
        let key = IssuedKey {
            issued_at: now,
            used: false,
        };
        self.keys.insert(number, key);
        RequestKey::Issued {
            issuer: self.issuer.clone(),
            number,
        }
    }

    /// Marks a key as used. The request may be sent only after [`KeyUse::First`].
    pub fn use_key(&mut self, now: LocalTime, issuer: &EntryId, number: u64) -> KeyUse {
        self.expire(now);
        if *issuer != self.issuer || number >= self.next_number {
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

    /// Makes a key usable again because its request did not run. The time at which the key expires stays the same.
    pub fn release_key(&mut self, now: LocalTime, number: u64) {
        self.expire(now);
        if let Some(key) = self.keys.get_mut(&number) {
            key.used = false;
        }
    }

    fn expire(&mut self, now: LocalTime) {
        let is_fresh = |key: &IssuedKey| now.since(key.issued_at) <= ISSUED_KEY_LIFETIME;
        let fresh = self.keys.iter().find(|(_, key)| is_fresh(key));
        let oldest = fresh.map_or(self.next_number, |(number, _)| *number);
        self.keys.remove_below(&oldest);
    }
}
