use {
    super::{
        AuditChange, AuditRecord, AuditSubject, AuditValue, HostSummary,
        audit_record::{CompactRecord, CompactSubject, CompactValue},
        name_table::{NameKey, NameTable},
    },
    crate::{
        config::ConfigVersion,
        ids::{HostName, LogTime, PoolName, RecordId, WaveName},
        ledger::{Author, LogOffset, Rejection},
    },
    serde::{Deserialize, Serialize},
};

/// Maximum number of audit records that are kept. At the design load of about 3,000 changes a day they cover about
/// three weeks, and their encoding takes about 3 MB.
pub const MAX_AUDIT_RECORDS: usize = 65_536;
/// Number of records that are evicted together when the trail is full, so that the name table is rarely rebuilt.
const EVICTION_BATCH: usize = MAX_AUDIT_RECORDS / 8;

/// Author, id, log offset and log time of a change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AuditOrigin<'a> {
    pub(crate) author: &'a Author,
    pub(crate) id: RecordId,
    pub(crate) offset: LogOffset,
    pub(crate) time: LogTime,
}

/// The latest changes of membership, waves and configuration, accepted or ignored.
///
/// A log record that was sent again is not listed, because its first copy is.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditTrail {
    evicted: u64,
    records: Vec<CompactRecord>,
    names: NameTable,
}

impl AuditTrail {
    /// Returns the number of audit records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the trail has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns how many records were evicted to make space for newer ones.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Returns all changes, the oldest first.
    pub fn records(&self) -> impl DoubleEndedIterator<Item = AuditRecord> {
        self.records.iter().filter_map(|record| self.expand(record))
    }

    /// Returns the changes of a host, the oldest first.
    pub fn by_host(&self, host: &HostName) -> impl DoubleEndedIterator<Item = AuditRecord> {
        let subject = self.names.find(host.as_str()).map(CompactSubject::Host);
        self.select(move |record| Some(record.subject) == subject)
    }

    /// Returns the changes of a wave and the stops that it started, the oldest first.
    pub fn by_wave(&self, wave: &WaveName) -> impl DoubleEndedIterator<Item = AuditRecord> {
        let key = self.names.find(wave.as_str());
        self.select(move |record| {
            let is_subject = key.is_some_and(|key| record.subject == CompactSubject::Wave(key));
            is_subject || (key.is_some() && record.wave == key)
        })
    }

    /// Returns the accepted publication of a version and the ignored ones while it was in force.
    pub fn by_version(
        &self,
        version: ConfigVersion,
    ) -> impl DoubleEndedIterator<Item = AuditRecord> {
        self.select(move |record| record.to == CompactValue::Config(version))
    }

    pub(crate) fn record(
        &mut self,
        origin: AuditOrigin<'_>,
        change: &AuditChange,
        from: AuditValue,
        to: AuditValue,
        result: Result<(), Rejection>,
    ) {
        if self.records.len() >= MAX_AUDIT_RECORDS {
            self.evict_oldest();
        }
        let record = CompactRecord {
            action: change.action,
            author: self.names.intern(&origin.author.0),
            from: self.compact_value(from),
            id: origin.id,
            offset: origin.offset,
            rejection: result.err(),
            subject: match &change.subject {
                AuditSubject::Config => CompactSubject::Config,
                AuditSubject::Host(host) => CompactSubject::Host(self.names.intern(host.as_str())),
                AuditSubject::Wave(wave) => CompactSubject::Wave(self.names.intern(wave.as_str())),
            },
            time: origin.time,
            to: self.compact_value(to),
            wave: change
                .wave
                .as_ref()
                .map(|wave| self.names.intern(wave.as_str())),
        };
        self.records.push(record);
    }

    fn select(
        &self,
        matches: impl Fn(&CompactRecord) -> bool,
    ) -> impl DoubleEndedIterator<Item = AuditRecord> {
        let records = self.records.iter().filter(move |record| matches(record));
        records.filter_map(|record| self.expand(record))
    }

    fn compact_value(&mut self, value: AuditValue) -> CompactValue {
        match value {
            AuditValue::Absent => CompactValue::Absent,
            AuditValue::Config(version) => CompactValue::Config(version),
            AuditValue::Host(host) => {
                CompactValue::Host(host.condition, self.names.intern(host.pool.as_str()))
            }
            AuditValue::Wave(status) => CompactValue::Wave(status),
        }
    }

    /// Returns a record with its names; `None` only when the trail was decoded from damaged bytes.
    fn expand(&self, record: &CompactRecord) -> Option<AuditRecord> {
        Some(AuditRecord {
            action: record.action,
            author: Author(self.names.name(record.author).to_owned()),
            from: self.expand_value(record.from)?,
            id: record.id,
            offset: record.offset,
            result: record.rejection.map_or(Ok(()), Err),
            subject: match record.subject {
                CompactSubject::Config => AuditSubject::Config,
                CompactSubject::Host(key) => AuditSubject::Host(self.name(key)?),
                CompactSubject::Wave(key) => AuditSubject::Wave(self.name(key)?),
            },
            time: record.time,
            to: self.expand_value(record.to)?,
            wave: match record.wave {
                Some(key) => Some(self.name(key)?),
                None => None,
            },
        })
    }

    fn expand_value(&self, value: CompactValue) -> Option<AuditValue> {
        Some(match value {
            CompactValue::Absent => AuditValue::Absent,
            CompactValue::Config(version) => AuditValue::Config(version),
            CompactValue::Host(condition, pool) => {
                let pool: PoolName = self.name(pool)?;
                AuditValue::Host(HostSummary { condition, pool })
            }
            CompactValue::Wave(status) => AuditValue::Wave(status),
        })
    }

    fn name<'a, N: TryFrom<&'a str>>(&'a self, key: NameKey) -> Option<N> {
        N::try_from(self.names.name(key)).ok()
    }

    /// Evicts the oldest records, or the oldest ignored ones when these are more than half of the trail. A duty
    /// holder whose changes are ignored again and again must not push out the accepted changes.
    fn evict_oldest(&mut self) {
        let ignored = self
            .records
            .iter()
            .filter(|record| record.rejection.is_some());
        let only_ignored = ignored.count() > MAX_AUDIT_RECORDS / 2;
        let mut remaining = EVICTION_BATCH;
        self.records.retain(|record| {
            let is_evicted = remaining > 0 && (record.rejection.is_some() || !only_ignored);
            remaining -= usize::from(is_evicted);
            !is_evicted
        });
        self.evicted += EVICTION_BATCH as u64;
        let old_names = std::mem::take(&mut self.names);
        for record in &mut self.records {
            for key in record.name_keys() {
                *key = self.names.intern(old_names.name(*key));
            }
        }
    }
}
