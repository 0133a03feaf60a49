//! Guards against two owners at a time when the lease that an owner holds and the lease that its newest record names
//! differ: the other processes know the newest record only.

mod fakes;

use {
    async_trait::async_trait,
    bytes::Bytes,
    fakes::{Candidate, FakeStore, spawn_candidate},
    goldcreststall_core::ids::Millis,
    goldcreststall_node::{
        election::OwnershipRecord,
        ports::{
            AppendCondition, AppendPosition, NewestPage, PlatformStore, ReadBatch, StoreError,
            StoreTopic,
        },
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Longer than a lease without an outage takes to be renewed, so that the renewal after it names a longer one.
const OUTAGE: Duration = Duration::from_millis(1_800);
const FIRST_OWNER: &str = "entry-0#1";

/// One process's way to the store, which can be cut while the others reach it.
struct StorePath {
    store: Arc<FakeStore>,
    is_cut: AtomicBool,
}

impl StorePath {
    fn new(store: &Arc<FakeStore>) -> Arc<Self> {
        Arc::new(Self {
            store: Arc::clone(store),
            is_cut: AtomicBool::new(false),
        })
    }

    fn check(&self) -> Result<(), StoreError> {
        if self.is_cut.load(Ordering::SeqCst) {
            return Err(StoreError::Refused);
        }
        Ok(())
    }
}

#[async_trait]
impl PlatformStore for StorePath {
    async fn append(
        &self,
        topic: StoreTopic,
        records: &[Bytes],
        condition: AppendCondition,
        timeout: Millis,
    ) -> Result<AppendPosition, StoreError> {
        self.check()?;
        self.store.append(topic, records, condition, timeout).await
    }

    async fn append_keyed(
        &self,
        topic: StoreTopic,
        records: &[(String, Vec<u8>)],
        condition: AppendCondition,
        timeout: Millis,
    ) -> Result<AppendPosition, StoreError> {
        self.check()?;
        let appending = self.store.append_keyed(topic, records, condition, timeout);
        appending.await
    }

    async fn read(
        &self,
        topic: StoreTopic,
        from: u64,
        wait: Millis,
    ) -> Result<ReadBatch, StoreError> {
        self.check()?;
        self.store.read(topic, from, wait).await
    }

    async fn newest(
        &self,
        topic: StoreTopic,
        after: Option<&str>,
    ) -> Result<NewestPage, StoreError> {
        self.check()?;
        self.store.newest(topic, after).await
    }

    async fn report_wave(
        &self,
        wave: u64,
        completed: bool,
        fence: (u64, u64),
    ) -> Result<(), StoreError> {
        self.check()?;
        self.store.report_wave(wave, completed, fence).await
    }
}

fn spawn(path: &Arc<StorePath>, port: u16, claimant: &str) -> Candidate {
    spawn_candidate(Arc::clone(path) as _, port, claimant, Millis(0))
}

fn decode(record: &Bytes) -> OwnershipRecord {
    postcard::from_bytes(record).expect("an ownership record")
}

/// Waits until the ownership topic has `count` records more than `before`.
async fn wait_for_records(store: &FakeStore, before: usize, count: usize) {
    let stored = async {
        while store.ownership.lock().len() < before + count {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, stored)
        .await
        .expect("records of the owner");
}

/// Refuses all calls to the ownership topic for [`OUTAGE`]; returns the number of its records.
async fn pass_outage(store: &FakeStore) -> usize {
    store.refuse_ownership.store(true, Ordering::SeqCst);
    tokio::time::sleep(OUTAGE).await;
    let count = store.ownership.lock().len();
    store.refuse_ownership.store(false, Ordering::SeqCst);
    count
}

/// Guards against an owner that sends commands beside its successor: the renewal after an outage named a long lease, the
/// next one a short one, by which the successor claimed, and the owner kept the long one.
#[tokio::test]
async fn cut_after_outage() {
    let store = Arc::new(FakeStore::default());
    let first_path = StorePath::new(&store);
    let first = spawn(&first_path, 7_000, FIRST_OWNER);
    wait_for_records(&store, 0, 2).await;
    let second = spawn(&StorePath::new(&store), 7_001, "entry-1#1");
    let before = pass_outage(&store).await;
    wait_for_records(&store, before, 3).await;
    first_path.is_cut.store(true, Ordering::SeqCst);
    let claimed = async {
        loop {
            let last = store.ownership.lock().last().map(decode);
            if last.is_some_and(|record| record.claimant != FIRST_OWNER) {
                return first.lease.remaining();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let overlap = tokio::time::timeout(TEST_TIMEOUT, claimed)
        .await
        .expect("a claim of the other process");
    assert_eq!(overlap, Millis(0), "two processes may send commands");
    first.stop.cancel();
    second.stop.cancel();
}

/// Guards against a record that names less time than its owner holds, at any moment after an outage.
#[tokio::test]
async fn record_covers_lease() {
    let store = Arc::new(FakeStore::default());
    let owner = spawn(&StorePath::new(&store), 7_000, FIRST_OWNER);
    wait_for_records(&store, 0, 2).await;
    let before = pass_outage(&store).await;
    let renewed = async {
        loop {
            {
                // No record is stored while the topic is locked.
                let ownership = store.ownership.lock();
                let last = ownership.last().map(decode).expect("a record");
                let remaining = owner.lease.remaining();
                assert!(
                    remaining <= Millis(last.lease_ms),
                    "{remaining} held, {} ms named",
                    last.lease_ms
                );
                if ownership.len() >= before + 6 {
                    return;
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, renewed)
        .await
        .expect("renewals after the outage");
    owner.stop.cancel();
}
