use serde::{Deserialize, Serialize};

/// A map stored as a vector sorted by key, with lookup by binary search.
///
/// Lookup is O(log n). Insertion and removal are O(n) in the worst case and amortised O(1) when keys are
/// inserted in ascending order, as UUIDv7 keys are.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SortedMap<K, V> {
    rows: Vec<(K, V)>,
}

impl<K, V> Default for SortedMap<K, V> {
    fn default() -> Self {
        Self { rows: Vec::new() }
    }
}

impl<K: Ord, V> SortedMap<K, V> {
    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the value of `key`.
    pub fn get(&self, key: &K) -> Option<&V> {
        let index = self.search(key).ok()?;
        Some(&self.rows[index].1)
    }

    /// Returns the value of `key`, mutably.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let index = self.search(key).ok()?;
        Some(&mut self.rows[index].1)
    }

    /// Returns whether `key` is present.
    pub fn contains(&self, key: &K) -> bool {
        self.search(key).is_ok()
    }

    /// Stores `value` under `key` and returns the value it replaces.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.search(&key) {
            Ok(index) => Some(std::mem::replace(&mut self.rows[index].1, value)),
            Err(index) => {
                self.rows.insert(index, (key, value));
                None
            }
        }
    }

    /// Removes `key` and returns its value.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let index = self.search(key).ok()?;
        Some(self.rows.remove(index).1)
    }

    /// Returns the entry with the smallest key.
    pub fn first(&self) -> Option<(&K, &V)> {
        self.rows.first().map(|(key, value)| (key, value))
    }

    /// Removes the entry with the smallest key and returns it, in O(n).
    pub fn pop_first(&mut self) -> Option<(K, V)> {
        (!self.rows.is_empty()).then(|| self.rows.remove(0))
    }

    /// Iterates over the keys in ascending order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &K> + ExactSizeIterator {
        self.rows.iter().map(|(key, _)| key)
    }

    /// Removes all entries with a key below `limit` and returns how many there were.
    pub fn remove_below(&mut self, limit: &K) -> usize {
        let count = self.rows.partition_point(|(key, _)| key < limit);
        self.rows.drain(..count);
        count
    }

    /// Keeps the entries for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.rows.retain_mut(|(key, value)| keep(key, value));
    }

    /// Iterates over the entries in key order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> + ExactSizeIterator {
        self.rows.iter().map(|(key, value)| (key, value))
    }

    /// Iterates over the entries in key order with mutable values.
    pub fn iter_mut(&mut self) -> impl DoubleEndedIterator<Item = (&K, &mut V)> {
        self.rows.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// Iterates over the values in key order.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> + ExactSizeIterator {
        self.rows.iter().map(|(_, value)| value)
    }

    fn search(&self, key: &K) -> Result<usize, usize> {
        // Keys mostly arrive in ascending order; comparing with the last one saves the binary search.
        match self.rows.last() {
            Some((last, _)) if last < key => Err(self.rows.len()),
            _ => self.rows.binary_search_by(|(other, _)| other.cmp(key)),
        }
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for SortedMap<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(iter: I) -> Self {
        let mut map = Self::default();
        for (key, value) in iter {
            map.insert(key, value);
        }
        map
    }
}
