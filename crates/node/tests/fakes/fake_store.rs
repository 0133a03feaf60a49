use {
    async_trait::async_trait,
    bytes::Bytes,
    goldcreststall_core::ids::Millis,
    goldcreststall_node::ports::{
        AppendCondition, AppendPosition, NewestPage, PlatformStore, ReadBatch, StoreError,
        StoreTopic,
    },
    parking_lot::Mutex,
    std::{
        sync::atomic::{AtomicBool, AtomicUsize, Ordering},
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Number of the wave, whether it is reported as completed, and the epoch and sequence number of the report.
pub type WaveReport = (u64, bool, (u64, u64));

/// A store in memory that checks the conditions of appends like the platform's store.
#[derive(Default)]
pub struct FakeStore {
    pub ownership: Mutex<Vec<Bytes>>,
    pub jobs: Mutex<Vec<(String, Vec<u8>)>>,
    /// Newest epoch, and the sequence number that its next append must have.
    fence: Mutex<(u64, u64)>,
    /// Loses the response to the next append after its records were stored.
    pub lose_next_response: AtomicBool,
    /// Loses the responses to all appends to the ownership topic after their records were stored.
    pub lose_ownership_responses: AtomicBool,
    /// Delays the responses to appends to the ownership topic after their records were stored.
    pub delay_ownership_responses: AtomicBool,
    /// Refuses all reads of the ownership topic.
    pub refuse_ownership_reads: AtomicBool,
    /// Number of appends to the ownership topic, including refused ones.
    pub ownership_appends: AtomicUsize,
    pub reports: Mutex<Vec<WaveReport>>,
    /// Loses the next wave report before it is stored.
    pub lose_next_report: AtomicBool,
    /// Refuses all reads and appends of the ownership topic.
    pub refuse_ownership: AtomicBool,
    /// Refuses all appends of job records.
    pub refuse_jobs: AtomicBool,
    /// Blocks reads of job records.
    pub block_reads: AtomicBool,
    /// Number of reads of job records, including blocked ones.
    pub job_reads: AtomicUsize,
    /// Wakes blocked reads; clear `block_reads` first.
    pub unblocked: Notify,
}

impl FakeStore {
    /// Returns whether the records are to be stored; an empty or repeated append stores none.
    fn check_fence(&self, condition: AppendCondition, records: usize) -> Result<bool, StoreError> {
        let Some((epoch, sequence)) = condition.fence else {
            return Ok(true);
        };
        let mut last = self.fence.lock();
        if epoch < last.0 {
            return Err(StoreError::Fenced);
        }
        if epoch > last.0 {
            *last = (epoch, sequence);
        }
        if records == 0 {
            return Ok(false);
        }
        if sequence + 1 == last.1 {
            return Ok(false);
        }
        if sequence != last.1 {
            return Err(StoreError::Sequence { expected: last.1 });
        }
        last.1 += 1;
        Ok(true)
    }

    fn respond(&self, end: usize) -> Result<AppendPosition, StoreError> {
        if self.lose_next_response.swap(false, Ordering::SeqCst) {
            return Err(StoreError::Unknown);
        }
        Ok(AppendPosition {
            offset: end.saturating_sub(1) as u64,
            end: end as u64,
        })
    }
}

#[async_trait]
impl PlatformStore for FakeStore {
    async fn append(
        &self,
        _topic: StoreTopic,
        records: &[Bytes],
        condition: AppendCondition,
        _timeout: Millis,
    ) -> Result<AppendPosition, StoreError> {
        self.ownership_appends.fetch_add(1, Ordering::SeqCst);
        if self.refuse_ownership.load(Ordering::SeqCst) {
            return Err(StoreError::Refused);
        }
        let end = {
            let mut ownership = self.ownership.lock();
            let end = ownership.len() as u64;
            if condition.at.is_some_and(|at| at != end) {
                return Err(StoreError::NotAtEnd { end });
            }
            ownership.extend_from_slice(records);
            ownership.len()
        };
        while self.delay_ownership_responses.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        if self.lose_ownership_responses.load(Ordering::SeqCst) {
            return Err(StoreError::Unknown);
        }
        self.respond(end)
    }

    async fn append_keyed(
        &self,
        _topic: StoreTopic,
        records: &[(String, Vec<u8>)],
        condition: AppendCondition,
        _timeout: Millis,
    ) -> Result<AppendPosition, StoreError> {
        if self.refuse_jobs.load(Ordering::SeqCst) {
            return Err(StoreError::Refused);
        }
        let fresh = self.check_fence(condition, records.len())?;
        let mut jobs = self.jobs.lock();
        if fresh {
            jobs.extend_from_slice(records);
        }
        self.respond(jobs.len())
    }

    async fn read(
        &self,
        _topic: StoreTopic,
        from: u64,
        _wait: Millis,
    ) -> Result<ReadBatch, StoreError> {
        tokio::task::yield_now().await;
        let refused = |flag: &AtomicBool| flag.load(Ordering::SeqCst);
        if refused(&self.refuse_ownership) || refused(&self.refuse_ownership_reads) {
            return Err(StoreError::Refused);
        }
        let ownership = self.ownership.lock();
        Ok(ReadBatch {
            end: ownership.len() as u64,
            records: ownership.iter().skip(from as usize).cloned().collect(),
        })
    }

    async fn newest(
        &self,
        _topic: StoreTopic,
        after: Option<&str>,
    ) -> Result<NewestPage, StoreError> {
        self.job_reads.fetch_add(1, Ordering::SeqCst);
        while self.block_reads.load(Ordering::SeqCst) {
            self.unblocked.notified().await;
        }
        let mut items: Vec<(String, Bytes)> = Vec::new();
        for (key, value) in &*self.jobs.lock() {
            items.retain(|(other, _)| other != key);
            if !value.is_empty() && after.is_none_or(|after| key.as_str() > after) {
                items.push((key.clone(), Bytes::from(value.clone())));
            }
        }
        items.sort_unstable();
        Ok(NewestPage {
            items,
            more: false,
            end: 0,
        })
    }

    async fn report_wave(
        &self,
        wave: u64,
        completed: bool,
        fence: (u64, u64),
    ) -> Result<(), StoreError> {
        if self.lose_next_report.swap(false, Ordering::SeqCst) {
            return Err(StoreError::Unknown);
        }
        self.reports.lock().push((wave, completed, fence));
        Ok(())
    }
}
