use {
    super::{CallId, CallResponse, OwnerState, owner_command::OwnerCommand},
    crate::{
        jobs::{JobId, JobKey, JobPhase},
        records::{StoreRecord, WaveProgress},
        runners::RunnerKey,
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Size at which a batch is full on a fast link; well below the limit of one append call.
const MAX_BATCH_BYTES: usize = 512 * 1024;
/// Smallest such size.
const MIN_BATCH_BYTES: usize = 16 * 1024;
/// How long a full batch may take on the owner's link. An append must be answered within its timeout, or it would be
/// repeated for ever.
const BATCH_TIME: Millis = Millis(150);
const MILLIS_PER_SECOND: u64 = 1_000;

/// Number of a batch within a term.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct BatchId(pub u64);

/// Records that are stored in one append.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JournalBatch {
    /// Number of the batch.
    pub id: BatchId,
    /// Keys and values; an empty value deletes the key.
    pub records: Vec<(String, Vec<u8>)>,
}

/// An effect that waits until the records which it depends on are stored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum StoredEffect {
    /// The job is accepted.
    Accept(JobKey),
    /// The job's phase may be shown to callers.
    Show(JobKey, JobPhase),
    /// Ends up to this sequence number may be acknowledged to the runner.
    Acknowledge(RunnerKey, u64),
    /// The response to a call about the job may be sent.
    Reply(JobKey, CallId, CallResponse),
    /// The instance of a runner may be fenced and get work: its restart is known to later owners.
    RestartStored(RunnerKey),
}

/// Records that wait to be stored, and the effects that wait for them.
#[derive(Debug)]
pub(super) struct JournalQueue {
    /// Jobs whose submissions wait, and when these were accepted, in Unix milliseconds. The jobs have their descriptions.
    submissions: Vec<(JobKey, u64)>,
    dirty: Vec<JobKey>,
    waves: Vec<(u64, WaveProgress)>,
    forgotten: Vec<JobId>,
    /// Records of the restarts of runners.
    restarts: Vec<StoreRecord>,
    effects: Vec<StoredEffect>,
    in_flight: Option<(BatchId, Vec<StoredEffect>)>,
    last_id: BatchId,
    /// Size at which a batch is full.
    max_bytes: usize,
}

impl Default for JournalQueue {
    fn default() -> Self {
        Self {
            submissions: Vec::new(),
            dirty: Vec::new(),
            waves: Vec::new(),
            forgotten: Vec::new(),
            restarts: Vec::new(),
            effects: Vec::new(),
            in_flight: None,
            last_id: BatchId::default(),
            max_bytes: MAX_BATCH_BYTES,
        }
    }
}

impl JournalQueue {
    /// Limits the batches to what a link of this many bytes per second carries in a short time.
    pub(super) fn limit_link(&mut self, link_rate: u64) {
        let bytes = link_rate * BATCH_TIME.0 / MILLIS_PER_SECOND;
        self.max_bytes = (bytes as usize).clamp(MIN_BATCH_BYTES, MAX_BATCH_BYTES);
    }

    pub(super) fn submit(&mut self, key: JobKey, accepted_ms: u64) {
        self.submissions.push((key, accepted_ms));
        self.effects.push(StoredEffect::Accept(key));
    }

    pub(super) fn mark_dirty(&mut self, key: JobKey) {
        if let Err(index) = self.dirty.binary_search(&key) {
            self.dirty.insert(index, key);
        }
    }

    pub(super) fn store_wave(&mut self, wave: u64, progress: WaveProgress) {
        self.waves.push((wave, progress));
    }

    pub(super) fn forget(&mut self, id: JobId) {
        self.forgotten.push(id);
    }

    pub(super) fn store_restart(&mut self, record: StoreRecord) {
        self.restarts.push(record);
    }

    pub(super) fn on_stored(&mut self, effect: StoredEffect) {
        self.effects.push(effect);
    }

    pub(super) fn is_waiting(&self) -> bool {
        let records = !self.submissions.is_empty()
            || !self.dirty.is_empty()
            || !self.waves.is_empty()
            || !self.forgotten.is_empty()
            || !self.restarts.is_empty();
        records || !self.effects.is_empty()
    }

    /// Removes the submissions that were not sent; returns their jobs and the calls that wait for them.
    fn take_unsent(&mut self) -> (Vec<JobKey>, Vec<CallId>) {
        let keys: Vec<JobKey> = self.submissions.drain(..).map(|(key, _)| key).collect();
        let mut call_ids = Vec::new();
        self.effects.retain(|effect| match effect {
            StoredEffect::Accept(key) | StoredEffect::Show(key, _) => !keys.contains(key),
            StoredEffect::Reply(key, call_id, _) if keys.contains(key) => {
                call_ids.push(*call_id);
                false
            }
            _ => true,
        });
        self.dirty.retain(|key| !keys.contains(key));
        (keys, call_ids)
    }
}

impl OwnerState {
    /// Returns whether a batch can be formed: something waits to be stored and no batch is in flight.
    pub fn has_batch(&self) -> bool {
        self.journal.in_flight.is_none() && self.journal.is_waiting()
    }

    /// Forms the next batch, unless one is in flight or nothing waits. The append must be retried until the batch is
    /// stored or refused because a newer owner exists.
    pub fn take_batch(&mut self) -> Option<JournalBatch> {
        if !self.has_batch() {
            return None;
        }
        let mut records = Vec::new();
        let mut bytes = 0;
        let max_bytes = self.journal.max_bytes;
        let mut push = |record: StoreRecord| {
            for (key, value) in record.encode() {
                bytes += key.len() + value.len();
                records.push((key, value));
            }
            bytes < max_bytes
        };
        let mut has_space = true;
        let journal = &mut self.journal;
        let mut taken = 0;
        for (key, accepted_ms) in &journal.submissions {
            if !has_space {
                break;
            }
            if let Some(job) = self.jobs.get(*key) {
                has_space = push(StoreRecord::Submission(
                    job.id,
                    job.submission(*accepted_ms),
                ));
            }
            taken += 1;
        }
        let sent: Vec<JobKey> = journal
            .submissions
            .drain(..taken)
            .map(|(key, _)| key)
            .collect();
        let unsent: Vec<JobKey> = journal.submissions.iter().map(|(key, _)| *key).collect();
        let mut deferred = Vec::new();
        for key in std::mem::take(&mut journal.dirty) {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            if !has_space || unsent.contains(&key) {
                deferred.push(key);
                continue;
            }
            // A later owner counts the runs that are being stopped against the quota of the job's organisation, and so needs
            // the submission until none is left.
            let is_counted = job.organisation.is_some() && !job.has_no_runs();
            has_space = push(if job.phase.is_final() && !is_counted {
                StoreRecord::Ended(job.id, job.phase)
            } else {
                StoreRecord::Progress(job.id, job.progress())
            });
        }
        for (wave, progress) in journal.waves.drain(..) {
            push(StoreRecord::Wave(wave, progress));
        }
        for id in journal.forgotten.drain(..) {
            push(StoreRecord::Forgotten(id));
        }
        for record in journal.restarts.drain(..) {
            push(record);
        }
        // Effects other than an acceptance may depend on any record, so that they wait until all records are stored.
        let complete = deferred.is_empty() && unsent.is_empty();
        let (ready, waiting) =
            std::mem::take(&mut journal.effects)
                .into_iter()
                .partition(|effect| match effect {
                    StoredEffect::Accept(key) => sent.contains(key),
                    // Every batch takes all records of restarts.
                    StoredEffect::RestartStored(_) => true,
                    _ => complete,
                });
        journal.effects = waiting;
        journal.dirty = deferred;
        journal.last_id = BatchId(journal.last_id.0 + 1);
        journal.in_flight = Some((journal.last_id, ready));
        Some(JournalBatch {
            id: journal.last_id,
            records,
        })
    }

    /// Applies the effects that waited for a batch which is now stored.
    pub fn batch_stored(&mut self, id: BatchId, now: LocalTime) {
        let Some((id_in_flight, effects)) = self.journal.in_flight.take() else {
            return;
        };
        if id_in_flight != id {
            self.journal.in_flight = Some((id_in_flight, effects));
            return;
        }
        for effect in effects {
            self.apply_stored(effect, now);
        }
        self.placement_due = true;
    }

    fn apply_stored(&mut self, effect: StoredEffect, now: LocalTime) {
        match effect {
            StoredEffect::Accept(key) => {
                if let Some(job) = self.jobs.get_mut(key) {
                    job.accepted = true;
                }
            }
            StoredEffect::Show(key, phase) => {
                if let Some(job) = self.jobs.get_mut(key) {
                    job.stored_phase = phase;
                }
            }
            StoredEffect::Acknowledge(key, number) => {
                if let Some(runner) = self.runners.get_mut(key) {
                    runner.stored = runner.stored.max(number);
                    runner.next_hold = runner.next_hold.min(now);
                }
            }
            StoredEffect::Reply(_, call_id, response) => {
                self.commands
                    .push(OwnerCommand::Reply { call_id, response });
            }
            StoredEffect::RestartStored(key) => {
                if let Some(runner) = self.runners.get_mut(key) {
                    runner.is_restart_unstored = false;
                }
            }
        }
    }

    /// Refuses the submissions that were not sent to the store, because the store does not respond.
    pub fn refuse_unsent(&mut self) {
        let (keys, call_ids) = self.journal.take_unsent();
        for key in keys {
            self.detach_job_runs(key);
            if let Some(job) = self.jobs.remove(key) {
                let detail = "the store does not respond; the job was not sent to it".to_owned();
                self.log_event("submission refused", job.id.to_string(), detail);
            }
        }
        for call_id in call_ids {
            let response = CallResponse::Unavailable;
            self.commands
                .push(OwnerCommand::Reply { call_id, response });
        }
    }
}
