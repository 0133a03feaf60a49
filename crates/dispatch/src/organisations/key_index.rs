use std::{
    collections::hash_map::RandomState,
    fmt::{self, Debug, Formatter},
    hash::BuildHasher,
    hint::black_box,
    sync::Arc,
};

/// A key that the configuration gives to more than one organisation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyConflict {
    /// Organisation to which the key belongs: the first one in the configuration.
    pub holder: Arc<str>,
    /// Organisation to which it does not belong.
    pub other: Arc<str>,
}

struct KeyEntry {
    hash: u64,
    key: Box<str>,
    organisation: Arc<str>,
}

/// The keys of all organisations, for up to 10,000 keys.
///
/// Keys are found by a hash that is seeded at random in each index, and only a key with the same hash is compared. The
/// time of a lookup therefore does not depend on how much of a presented key is correct. Debug output shows no key.
#[derive(Default)]
pub struct KeyIndex {
    hasher: RandomState,
    /// Sorted by hash; each key once.
    entries: Vec<KeyEntry>,
}

impl KeyIndex {
    /// Creates the index of keys with their organisations, in the order of the configuration. Returns it with the keys
    /// that several organisations have; each belongs to the first of them.
    pub fn new(keys: Vec<(String, Arc<str>)>) -> (Self, Vec<KeyConflict>) {
        let hasher = RandomState::new();
        let entry = |(key, organisation): (String, Arc<str>)| KeyEntry {
            hash: hasher.hash_one(key.as_bytes()),
            key: key.into_boxed_str(),
            organisation,
        };
        let mut sorted: Vec<KeyEntry> = keys.into_iter().map(entry).collect();
        // The sort is stable: equal keys keep the order of the configuration.
        sorted.sort_by_key(|entry| entry.hash);
        let mut entries: Vec<KeyEntry> = Vec::with_capacity(sorted.len());
        let mut conflicts = Vec::new();
        for entry in sorted {
            let same_hash = entries.iter().rev();
            let mut same_hash = same_hash.take_while(|earlier| earlier.hash == entry.hash);
            match same_hash.find(|earlier| earlier.key == entry.key) {
                None => entries.push(entry),
                Some(holder) if holder.organisation != entry.organisation => {
                    conflicts.push(KeyConflict {
                        holder: Arc::clone(&holder.organisation),
                        other: entry.organisation,
                    });
                }
                Some(_) => {}
            }
        }
        (Self { hasher, entries }, conflicts)
    }

    /// Returns the organisation to which a presented key belongs.
    pub fn organisation(&self, key: &[u8]) -> Option<&Arc<str>> {
        let hash = self.hasher.hash_one(key);
        let first = self.entries.partition_point(|entry| entry.hash < hash);
        let same_hash = self.entries[first..].iter();
        let mut same_hash = same_hash.take_while(|entry| entry.hash == hash);
        let found = same_hash.find(|entry| is_equal(entry.key.as_bytes(), key));
        found.map(|entry| &entry.organisation)
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl Clone for KeyIndex {
    fn clone(&self) -> Self {
        let entry = |entry: &KeyEntry| KeyEntry {
            hash: entry.hash,
            key: entry.key.clone(),
            organisation: Arc::clone(&entry.organisation),
        };
        Self {
            hasher: self.hasher.clone(),
            entries: self.entries.iter().map(entry).collect(),
        }
    }
}

impl Debug for KeyIndex {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyIndex({} keys)", self.entries.len())
    }
}

impl PartialEq for KeyIndex {
    fn eq(&self, other: &Self) -> bool {
        let is_in_other = |entry: &KeyEntry| {
            other.organisation(entry.key.as_bytes()) == Some(&entry.organisation)
        };
        self.len() == other.len() && self.entries.iter().all(is_in_other)
    }
}

/// Compares two keys in a time that depends only on their lengths.
fn is_equal(stored: &[u8], presented: &[u8]) -> bool {
    let difference = stored
        .iter()
        .zip(presented)
        .fold(0, |difference, (a, b)| black_box(difference | (a ^ b)));
    stored.len() == presented.len() && difference == 0
}
