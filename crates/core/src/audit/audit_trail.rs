use {
    super::{
        AuditChange, AuditLine, AuditSubject, AuditValue, HostSummary,
        audit_entry::{StoredEntry, StoredSubject, StoredValue},
        name_table::{NameKey, NameTable},
    },
    crate::{
        config::ConfigVersion,
        ids::{HostName, LogTime, PoolName, RecordId, WaveName},
        ledger::{Author, LogOffset, Rejection},
    },
    serde::{Deserialize, Serialize},
};

/// Most entries that are kept. At the design size of some 3,000 changes a day they cover about three weeks,
/// and their encoding has some 3 MB.
pub const AUDIT_MAX_ENTRIES: usize = 65_536;
/// Entries that are dropped at once when the trail is full, so that the names are rarely rebuilt.
const DROP_ENTRIES: usize = AUDIT_MAX_ENTRIES / 8;

/// Who made a change, and where it is in the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AuditStamp<'a> {
    pub(crate) author: &'a Author,
    pub(crate) id: RecordId,
    pub(crate) offset: LogOffset,
    pub(crate) time: LogTime,
}

/// The latest changes of membership, waves and configuration, accepted or ignored.
///
/// A record that was sent again is not listed, because its first copy is.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditTrail {
    dropped: u64,
    entries: Vec<StoredEntry>,
    names: NameTable,
}

impl AuditTrail {
    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether the trail has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of entries that were dropped because they were the oldest.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns all changes, the oldest first.
    pub fn lines(&self) -> impl DoubleEndedIterator<Item = AuditLine> {
        self.entries.iter().filter_map(|entry| self.line(entry))
    }

    /// Returns the changes of a host, the oldest first.
    pub fn by_host(&self, host: &HostName) -> impl DoubleEndedIterator<Item = AuditLine> {
        let subject = self.names.find(host.as_str()).map(StoredSubject::Host);
        self.select(move |entry| Some(entry.subject) == subject)
    }

    /// Returns the changes of a wave and the stops that it started, the oldest first.
    pub fn by_wave(&self, wave: &WaveName) -> impl DoubleEndedIterator<Item = AuditLine> {
        let key = self.names.find(wave.as_str());
        self.select(move |entry| {
            let own = key.is_some_and(|key| entry.subject == StoredSubject::Wave(key));
            own || (key.is_some() && entry.wave == key)
        })
    }

    /// Returns the accepted publication of a version and the ignored ones while it was in force.
    pub fn by_version(&self, version: ConfigVersion) -> impl DoubleEndedIterator<Item = AuditLine> {
        self.select(move |entry| entry.to == StoredValue::Config(version))
    }

    pub(crate) fn record(
        &mut self,
        stamp: AuditStamp<'_>,
        change: &AuditChange,
        from: AuditValue,
        to: AuditValue,
        result: Result<(), Rejection>,
    ) {
        if self.entries.len() >= AUDIT_MAX_ENTRIES {
            self.drop_oldest();
        }
        let entry = StoredEntry {
            action: change.action,
            author: self.names.intern(&stamp.author.0),
            from: self.store(from),
            id: stamp.id,
            offset: stamp.offset,
            rejection: result.err(),
            subject: match &change.subject {
                AuditSubject::Config => StoredSubject::Config,
                AuditSubject::Host(host) => StoredSubject::Host(self.names.intern(host.as_str())),
                AuditSubject::Wave(wave) => StoredSubject::Wave(self.names.intern(wave.as_str())),
            },
            time: stamp.time,
            to: self.store(to),
            wave: change
                .wave
                .as_ref()
                .map(|wave| self.names.intern(wave.as_str())),
        };
        self.entries.push(entry);
    }

    fn select(
        &self,
        matches: impl Fn(&StoredEntry) -> bool,
    ) -> impl DoubleEndedIterator<Item = AuditLine> {
        let entries = self.entries.iter().filter(move |entry| matches(entry));
        entries.filter_map(|entry| self.line(entry))
    }

    fn store(&mut self, value: AuditValue) -> StoredValue {
        match value {
            AuditValue::Absent => StoredValue::Absent,
            AuditValue::Config(version) => StoredValue::Config(version),
            AuditValue::Host(host) => {
                StoredValue::Host(host.condition, self.names.intern(host.pool.as_str()))
            }
            AuditValue::Wave(status) => StoredValue::Wave(status),
        }
    }

    /// Returns an entry with its names; `None` only when the trail was decoded from damaged bytes.
    fn line(&self, entry: &StoredEntry) -> Option<AuditLine> {
        Some(AuditLine {
            action: entry.action,
            author: Author(self.names.name(entry.author).to_owned()),
            from: self.value(entry.from)?,
            id: entry.id,
            offset: entry.offset,
            result: entry.rejection.map_or(Ok(()), Err),
            subject: match entry.subject {
                StoredSubject::Config => AuditSubject::Config,
                StoredSubject::Host(key) => AuditSubject::Host(self.name(key)?),
                StoredSubject::Wave(key) => AuditSubject::Wave(self.name(key)?),
            },
            time: entry.time,
            to: self.value(entry.to)?,
            wave: match entry.wave {
                Some(key) => Some(self.name(key)?),
                None => None,
            },
        })
    }

    fn value(&self, value: StoredValue) -> Option<AuditValue> {
        Some(match value {
            StoredValue::Absent => AuditValue::Absent,
            StoredValue::Config(version) => AuditValue::Config(version),
            StoredValue::Host(condition, pool) => {
                let pool: PoolName = self.name(pool)?;
                AuditValue::Host(HostSummary { condition, pool })
            }
            StoredValue::Wave(status) => AuditValue::Wave(status),
        })
    }

    fn name<'a, N: TryFrom<&'a str>>(&'a self, key: NameKey) -> Option<N> {
        N::try_from(self.names.name(key)).ok()
    }

    /// Drops the oldest entries, or the oldest ignored ones when these are more than half of the trail. A
    /// duty holder whose records are ignored again and again must not push out the accepted changes.
    fn drop_oldest(&mut self) {
        let ignored = self
            .entries
            .iter()
            .filter(|entry| entry.rejection.is_some());
        let only_ignored = ignored.count() > AUDIT_MAX_ENTRIES / 2;
        let mut left = DROP_ENTRIES;
        self.entries.retain(|entry| {
            let dropped = left > 0 && (entry.rejection.is_some() || !only_ignored);
            left -= usize::from(dropped);
            !dropped
        });
        self.dropped += DROP_ENTRIES as u64;
        let old = std::mem::take(&mut self.names);
        for entry in &mut self.entries {
            for key in entry.keys() {
                *key = self.names.intern(old.name(*key));
            }
        }
    }
}
