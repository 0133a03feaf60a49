use {
    super::{CallId, CallResponse, OwnerState, owner_command::OwnerCommand},
    crate::{
        jobs::{JobId, JobKey, JobPhase},
        records::{JobSubmission, StoreRecord, WaveProgress},
        runners::RunnerKey,
    },
    goldcreststall_core::ids::LocalTime,
};

/// Most bytes of one append; well below the limit of one call.
const BATCH_BYTES: usize = 512 * 1024;

/// Numbers the batches of one term.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct BatchId(pub u64);

/// Records that are stored together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JournalBatch {
    /// Number of the batch.
    pub id: BatchId,
    /// Keys and values; an empty value drops the key.
    pub records: Vec<(String, Vec<u8>)>,
}

/// What follows when something is stored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum StoredEffect {
    /// The job is accepted.
    Accept(JobKey),
    /// The job's phase may be shown.
    Show(JobKey, JobPhase),
    /// Ends up to this number may be acknowledged.
    Acknowledge(RunnerKey, u64),
    /// A call about the job is answered.
    Reply(JobKey, CallId, CallResponse),
}

/// What waits for the store.
#[derive(Debug, Default)]
pub(super) struct JournalQueue {
    submissions: Vec<(JobKey, JobId, JobSubmission)>,
    dirty: Vec<JobKey>,
    waves: Vec<(u64, WaveProgress)>,
    forgotten: Vec<JobId>,
    effects: Vec<StoredEffect>,
    in_flight: Option<(BatchId, Vec<StoredEffect>)>,
    last: BatchId,
}

impl JournalQueue {
    pub(super) fn submit(&mut self, key: JobKey, id: JobId, submission: JobSubmission) {
        self.submissions.push((key, id, submission));
        self.effects.push(StoredEffect::Accept(key));
    }

    pub(super) fn mark_dirty(&mut self, key: JobKey) {
        if let Err(place) = self.dirty.binary_search(&key) {
            self.dirty.insert(place, key);
        }
    }

    pub(super) fn store_wave(&mut self, wave: u64, progress: WaveProgress) {
        self.waves.push((wave, progress));
    }

    pub(super) fn forget(&mut self, id: JobId) {
        self.forgotten.push(id);
    }

    pub(super) fn then(&mut self, effect: StoredEffect) {
        self.effects.push(effect);
    }

    pub(super) fn is_waiting(&self) -> bool {
        let records = !self.submissions.is_empty()
            || !self.dirty.is_empty()
            || !self.waves.is_empty()
            || !self.forgotten.is_empty();
        records || !self.effects.is_empty()
    }

    /// Takes back submissions that were not sent, with the calls that wait for them.
    fn take_unsent(&mut self) -> (Vec<JobKey>, Vec<CallId>) {
        let keys: Vec<JobKey> = self.submissions.drain(..).map(|(key, _, _)| key).collect();
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
    /// Returns whether something waits to be stored.
    pub fn has_batch(&self) -> bool {
        self.journal.in_flight.is_none() && self.journal.is_waiting()
    }

    /// Forms the next batch, unless one is in flight or nothing waits. The batch must be repeated until it is
    /// stored or refused because a newer owner exists.
    pub fn take_batch(&mut self) -> Option<JournalBatch> {
        if !self.has_batch() {
            return None;
        }
        let mut records = Vec::new();
        let mut bytes = 0;
        let mut push = |record: StoreRecord| {
            for (key, value) in record.encode() {
                bytes += key.len() + value.len();
                records.push((key, value));
            }
            bytes < BATCH_BYTES
        };
        let mut room = true;
        let journal = &mut self.journal;
        let mut taken = 0;
        for (_, id, submission) in &journal.submissions {
            if !room {
                break;
            }
            room = push(StoreRecord::Submission(*id, submission.clone()));
            taken += 1;
        }
        let sent: Vec<JobKey> = journal
            .submissions
            .drain(..taken)
            .map(|(key, _, _)| key)
            .collect();
        let unsent: Vec<JobKey> = journal.submissions.iter().map(|(key, _, _)| *key).collect();
        let mut later = Vec::new();
        for key in std::mem::take(&mut journal.dirty) {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            if !room || unsent.contains(&key) {
                later.push(key);
                continue;
            }
            room = push(StoreRecord::Progress(job.id, job.progress()));
        }
        for (wave, progress) in journal.waves.drain(..) {
            push(StoreRecord::Wave(wave, progress));
        }
        for id in journal.forgotten.drain(..) {
            push(StoreRecord::Forgotten(id));
        }
        // Effects other than an acceptance may rest on any record, so they wait until all are stored.
        let complete = later.is_empty() && unsent.is_empty();
        let (now, wait) = std::mem::take(&mut journal.effects)
            .into_iter()
            .partition(|effect| match effect {
                StoredEffect::Accept(key) => sent.contains(key),
                _ => complete,
            });
        journal.effects = wait;
        journal.dirty = later;
        journal.last = BatchId(journal.last.0 + 1);
        journal.in_flight = Some((journal.last, now));
        Some(JournalBatch {
            id: journal.last,
            records,
        })
    }

    /// Takes note that a batch is stored.
    pub fn batch_stored(&mut self, id: BatchId, now: LocalTime) {
        let Some((flying, effects)) = self.journal.in_flight.take() else {
            return;
        };
        if flying != id {
            self.journal.in_flight = Some((flying, effects));
            return;
        }
        for effect in effects {
            self.apply_stored(effect, now);
        }
        self.place_due = true;
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
        }
    }

    /// Refuses submissions that were not sent to the store, because it does not answer.
    pub fn refuse_unsent(&mut self) {
        let (keys, call_ids) = self.journal.take_unsent();
        for key in keys {
            if let Some(job) = self.jobs.remove(key) {
                let detail = "the store does not answer; the job was not sent to it".to_owned();
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
