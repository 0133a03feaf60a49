use {
    super::EntryName,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Distinguishes the runs of a process or host that keeps its name; a later run has a larger number.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// One run of an entry host.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EntryId {
    /// Name of the entry host.
    pub name: EntryName,
    /// The run that is meant.
    pub incarnation: Incarnation,
}

impl fmt::Display for EntryId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.name, self.incarnation)
    }
}
