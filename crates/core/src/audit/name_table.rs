use {
    crate::collections::SortedMap,
    serde::{Deserialize, Serialize},
};

/// Key of a name in a [`NameTable`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub(super) struct NameKey(pub(super) u32);

/// The names in a trail, each stored once.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct NameTable {
    keys: SortedMap<Box<str>, NameKey>,
    names: Vec<Box<str>>,
}

impl NameTable {
    /// Returns the key of a name, adding the name if it is new.
    pub(super) fn intern(&mut self, name: &str) -> NameKey {
        let name: Box<str> = name.into();
        if let Some(key) = self.keys.get(&name) {
            return *key;
        }
        let key = NameKey(self.names.len() as u32);
        self.names.push(name.clone());
        self.keys.insert(name, key);
        key
    }

    /// Returns the key of a name; `None` when the name is not in the table.
    pub(super) fn find(&self, name: &str) -> Option<NameKey> {
        self.keys.get(&name.into()).copied()
    }

    /// Returns the name of a key; empty for a key of another table.
    pub(super) fn name(&self, key: NameKey) -> &str {
        self.names.get(key.0 as usize).map_or("", |name| name)
    }
}
