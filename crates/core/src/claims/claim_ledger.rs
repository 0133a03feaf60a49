use {
    crate::{
        collections::SortedMap,
        ids::{EntryId, LogTime, Millis, RequestKey},
        ledger::Rejection,
    },
    serde::{Deserialize, Serialize},
};

/// Maximum age of a request key that can be claimed. Claims are kept this long, which bounds their memory.
pub const CLAIM_MAX_AGE: Millis = Millis(15 * 60 * 1000);
/// Maximum time by which the clock of a caller may run ahead of the log.
pub const CLAIM_MAX_CLOCK_SKEW: Millis = Millis(60 * 1000);

/// A change of the claims.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimRecord {
    /// Claims a key for one incarnation of an entry host.
    Claim {
        /// The incarnation that is about to send the request.
        holder: EntryId,
        /// The request key, a UUIDv7.
        key: u128,
    },
    /// Releases a key that was not used. The holder has abandoned the request and never sends it.
    Release {
        /// The incarnation that holds the claim.
        holder: EntryId,
        /// The request key, a UUIDv7.
        key: u128,
    },
}

/// State of a request key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStatus {
    /// The key can be claimed.
    Free,
    /// The key is claimed by this incarnation of an entry host.
    Held(EntryId),
}

/// The claims whose keys are not older than [`CLAIM_MAX_AGE`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimLedger {
    claims: SortedMap<u128, EntryId>,
}

impl ClaimLedger {
    /// Returns the state of `key`.
    pub fn status(&self, key: u128) -> ClaimStatus {
        self.claims.get(&key).map_or(ClaimStatus::Free, |holder| {
            ClaimStatus::Held(holder.clone())
        })
    }

    /// Returns the number of claims that are kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Applies a change at log time `now`.
    ///
    /// # Errors
    /// `KeyClaimed`, `KeyTooOld` or `KeyTooNew` for a claim, `NotHolder` for a release.
    pub fn apply(&mut self, now: LogTime, record: &ClaimRecord) -> Result<(), Rejection> {
        self.forget_expired(now);
        match record {
            ClaimRecord::Claim { holder, key } => self.claim(now, *key, holder),
            ClaimRecord::Release { holder, key } => self.release(*key, holder),
        }
    }

    fn claim(&mut self, now: LogTime, key: u128, holder: &EntryId) -> Result<(), Rejection> {
        let key_time = RequestKey::Caller(key).time().unwrap_or_default();
        if key_time < oldest_key_time(now) {
            return Err(Rejection::KeyTooOld);
        }
        if key_time > now + CLAIM_MAX_CLOCK_SKEW {
            return Err(Rejection::KeyTooNew);
        }
        if self.claims.contains(&key) {
            return Err(Rejection::KeyClaimed);
        }
        self.claims.insert(key, holder.clone());
        Ok(())
    }

    fn release(&mut self, key: u128, holder: &EntryId) -> Result<(), Rejection> {
        if self.claims.get(&key) != Some(holder) {
            return Err(Rejection::NotHolder);
        }
        self.claims.remove(&key);
        Ok(())
    }

    /// Removes the claims whose keys are too old to be accepted again.
    fn forget_expired(&mut self, now: LogTime) {
        let limit = u128::from(oldest_key_time(now).0) << 80;
        self.claims.remove_below(&limit);
    }
}

/// Returns the time of the oldest key that can be claimed at `now`.
fn oldest_key_time(now: LogTime) -> LogTime {
    now - CLAIM_MAX_AGE
}
