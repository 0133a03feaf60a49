use {
    super::{LedgerRecord, RecordBody, RecordOutcome, Rejection, recent_ids::RecentIds},
    crate::{
        audit::{AuditChange, AuditOrigin, AuditTrail, AuditValue},
        claims::ClaimLedger,
        collections::SortedMap,
        config::ConfigLedger,
        ids::{LogTime, RecordId},
        jobs::{JobContext, JobLedger},
        membership::MembershipLedger,
    },
    serde::{Deserialize, Serialize},
};

/// Position of an entry in the log, from 0.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct LogOffset(pub u64);

/// Identity of a log. Offsets of different logs cannot be compared.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct LogIdentity(pub u64);

/// One entry of the log with its decoded records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogEntry {
    /// Offset of the entry.
    pub offset: LogOffset,
    /// The records of the entry, in order.
    pub records: Vec<LedgerRecord>,
    /// Timestamp of the log service.
    pub time: LogTime,
}

/// The state of the fleet after a prefix of the log.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetState {
    /// Accepted and ignored changes of membership, waves and configuration.
    pub audit: AuditTrail,
    /// Claims of non-idempotent requests.
    pub claims: ClaimLedger,
    /// The configuration.
    pub config: ConfigLedger,
    /// Hosts, pools, moves, stops and waves.
    pub membership: MembershipLedger,
    log: LogIdentity,
    next: LogOffset,
    recent: RecentIds,
    rejected: SortedMap<Rejection, u64>,
    time: LogTime,
    /// Durable jobs.
    pub jobs: JobLedger,
}

impl FleetState {
    /// Creates the state before the first entry of a log.
    pub fn new(log: LogIdentity) -> Self {
        Self {
            log,
            ..Self::default()
        }
    }

    /// Returns the identity of the log.
    pub fn log(&self) -> LogIdentity {
        self.log
    }

    /// Returns the offset of the first entry that is not applied.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the largest timestamp of the applied entries.
    pub fn time(&self) -> LogTime {
        self.time
    }

    /// Returns the outcome of a record of the last `DEDUP_WINDOW`.
    pub fn outcome(&self, id: RecordId) -> Option<RecordOutcome> {
        self.recent.outcome(id)
    }

    /// Returns how many records were ignored, by reason.
    pub fn rejected(&self) -> &SortedMap<Rejection, u64> {
        &self.rejected
    }

    /// Applies an entry and returns the result of each record.
    ///
    /// Only the entry at [`FleetState::next`] is applied. An earlier one was already applied, and a later one would
    /// skip entries; both change nothing and yield no results.
    pub fn apply(&mut self, entry: &LogEntry) -> Vec<Result<(), Rejection>> {
        if entry.offset != self.next {
            return Vec::new();
        }
        self.next = LogOffset(entry.offset.0 + 1);
        // The clock of the log service may step back; the time of the state must not.
        self.time = self.time.max(entry.time);
        let records = entry.records.iter();
        records
            .map(|record| self.apply_record(entry.offset, record))
            .collect()
    }

    fn apply_record(&mut self, offset: LogOffset, record: &LedgerRecord) -> Result<(), Rejection> {
        let result = match self.recent.check(self.time, record.id) {
            Ok(()) => {
                let result = self.apply_audited(offset, record);
                let outcome = RecordOutcome { offset, result };
                self.recent.insert(record.id, outcome);
                result
            }
            Err(Rejection::Duplicate) => Err(Rejection::Duplicate),
            Err(rejection) => {
                self.audit_ignored(offset, record, rejection);
                Err(rejection)
            }
        };
        if let Err(rejection) = result {
            let count = self.rejected.get(&rejection).copied().unwrap_or_default();
            self.rejected.insert(rejection, count + 1);
        }
        result
    }

    fn apply_audited(&mut self, offset: LogOffset, record: &LedgerRecord) -> Result<(), Rejection> {
        let changes = AuditChange::changes_of(self, &record.body);
        let before: Vec<AuditValue> = changes.iter().map(|change| change.value(self)).collect();
        let result = self.apply_body(&record.body);
        // An ignored record has only the change that it names.
        let count = if result.is_ok() { changes.len() } else { 1 };
        for (change, from) in changes.iter().zip(before).take(count) {
            let to = change.value(self);
            let origin = self.origin(offset, record);
            self.audit.record(origin, change, from, to, result);
        }
        result
    }

    fn audit_ignored(&mut self, offset: LogOffset, record: &LedgerRecord, rejection: Rejection) {
        if let Some(change) = AuditChange::changes_of(self, &record.body).first() {
            let value = change.value(self);
            let origin = self.origin(offset, record);
            self.audit
                .record(origin, change, value.clone(), value, Err(rejection));
        }
    }

    fn origin<'a>(&self, offset: LogOffset, record: &'a LedgerRecord) -> AuditOrigin<'a> {
        AuditOrigin {
            author: &record.author,
            id: record.id,
            offset,
            time: self.time,
        }
    }

    fn apply_body(&mut self, body: &RecordBody) -> Result<(), Rejection> {
        match body {
            RecordBody::Claim(record) => self.claims.apply(self.time, record),
            RecordBody::Config(record) => self.config.apply(&self.membership, record),
            RecordBody::Membership(record) => {
                self.membership
                    .apply(self.time, self.config.fleet(), record)
            }
            RecordBody::Job(record) => {
                let context = JobContext {
                    config: self.config.fleet(),
                    now: self.time,
                    pools: &self.membership,
                };
                self.jobs.apply(&context, record)
            }
        }
    }
}
