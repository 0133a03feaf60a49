//! Guards against two owners of one term when several processes claim at the same time, against a lost lease when
//! responses of the store are late, and against changes of the owner that are needless or too slow.

mod fakes;

use {
    bytes::Bytes,
    fakes::{Candidate, FakeStore, spawn_candidate},
    goldcreststall_core::ids::Millis,
    goldcreststall_node::election::{ElectionEvent, OwnershipRecord},
    std::{
        collections::BTreeSet,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn spawn(store: &Arc<FakeStore>, port: u16, claimant: &str) -> Candidate {
    spawn_delayed(store, port, claimant, Millis(0))
}

fn spawn_delayed(
    store: &Arc<FakeStore>,
    port: u16,
    claimant: &str,
    claim_delay: Millis,
) -> Candidate {
    spawn_candidate(Arc::clone(store) as _, port, claimant, claim_delay)
}

async fn known_token(candidate: &mut Candidate) -> u64 {
    let known = candidate.owner.wait_for(Option::is_some);
    let owner = tokio::time::timeout(TEST_TIMEOUT, known)
        .await
        .expect("an owner")
        .expect("the task runs");
    owner.as_ref().map_or(0, |owner| owner.token)
}

#[tokio::test]
async fn one_of_seven() {
    let store = Arc::new(FakeStore::default());
    let mut candidates: Vec<Candidate> = (0_u16..7)
        .map(|index| spawn(&store, 7_000 + index, &format!("entry-{index}")))
        .collect();
    let mut tokens = BTreeSet::new();
    for candidate in &mut candidates {
        tokens.insert(known_token(candidate).await);
    }
    assert_eq!(tokens.len(), 1);
    let elected = candidates
        .iter_mut()
        .filter_map(|candidate| candidate.events.try_recv().ok())
        .filter(|event| matches!(event, ElectionEvent::Elected(_)))
        .count();
    assert_eq!(elected, 1);
    for candidate in &candidates {
        candidate.stop.cancel();
    }
}

#[tokio::test]
async fn predecessor_gone() {
    let store = Arc::new(FakeStore::default());
    let mut first = spawn(&store, 7_000, "entry-0#1");
    let token = known_token(&mut first).await;
    // The process is restarted on the same address and need not wait until the claim of its predecessor expires.
    let mut second = spawn(&store, 7_000, "entry-0#2");
    let elected = tokio::time::timeout(Duration::from_millis(700), second.events.recv()).await;
    let Ok(Some(ElectionEvent::Elected(next))) = elected else {
        panic!("the restarted process did not claim");
    };
    assert!(next > token);
    first.stop.cancel();
    second.stop.cancel();
}

#[tokio::test]
async fn late_answers() {
    // Every renewal is stored, but its response is lost or late, as with a slow store.
    let store = Arc::new(FakeStore::default());
    let mut owner = spawn(&store, 7_000, "entry-0#1");
    known_token(&mut owner).await;
    store.lose_ownership_responses.store(true, Ordering::SeqCst);
    while owner.lease.is_held() && store.ownership.lock().len() < 12 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let lease_regained = async {
        while !owner.lease.is_held() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, lease_regained)
        .await
        .expect("a lease from renewals that are stored");
    owner.stop.cancel();
}

/// A host that is too small for the owner's work must not claim a released fleet before a host that is large enough.
#[tokio::test]
async fn small_host_last() {
    let store = Arc::new(FakeStore::default());
    let mut owner = spawn(&store, 7_000, "entry-0#1");
    known_token(&mut owner).await;
    let small = spawn_delayed(&store, 7_001, "entry-1#1", Millis(5_000));
    let mut large = spawn(&store, 7_002, "entry-2#1");
    known_token(&mut large).await;
    owner.stop.cancel();
    let elected = tokio::time::timeout(TEST_TIMEOUT, large.events.recv()).await;
    assert!(matches!(elected, Ok(Some(ElectionEvent::Elected(_)))));
    large.stop.cancel();
    small.stop.cancel();
}

/// After an outage of the store the owner must renew before another process claims, because a new owner would have to
/// read all state again.
#[tokio::test]
async fn owner_survives_outage() {
    let store = Arc::new(FakeStore::default());
    let mut owner = spawn(&store, 7_000, "entry-0#1");
    let token = known_token(&mut owner).await;
    let mut others: Vec<Candidate> = (1_u16..7)
        .map(|index| spawn(&store, 7_000 + index, &format!("entry-{index}")))
        .collect();
    for other in &mut others {
        assert_eq!(known_token(other).await, token);
    }
    store.refuse_ownership.store(true, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let records_before = store.ownership.lock().len();
    store.refuse_ownership.store(false, Ordering::SeqCst);
    let renewed = async {
        while store.ownership.lock().len() < records_before + 3 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, renewed)
        .await
        .expect("renewals after the outage");
    let claims: usize = others
        .iter_mut()
        .filter_map(|other| other.events.try_recv().ok())
        .count();
    assert_eq!(claims, 0, "another process has claimed");
    assert!(owner.lease.is_held());
}

/// The successor may claim as soon as the release is stored, which is before its response arrives. An owner that goes on
/// until then issues commands beside its successor.
#[tokio::test]
async fn no_lease_after_release() {
    let store = Arc::new(FakeStore::default());
    let mut owner = spawn(&store, 7_000, "entry-0#1");
    known_token(&mut owner).await;
    let lease_held = async {
        while !owner.lease.is_held() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, lease_held)
        .await
        .expect("a lease");
    store
        .delay_ownership_responses
        .store(true, Ordering::SeqCst);
    owner.stop.cancel();
    let released = async {
        while !is_released(&store) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, released)
        .await
        .expect("a release");
    assert!(
        !owner.lease.is_held(),
        "the owner may still send commands although its successor may as well"
    );
}

/// A store that refuses reads must not make a process that stops call it without a pause.
#[tokio::test]
async fn paced_release() {
    let store = Arc::new(FakeStore::default());
    let mut owner = spawn(&store, 7_000, "entry-0#1");
    known_token(&mut owner).await;
    // The topic is longer than the owner expects, and what was written cannot be read.
    store.ownership.lock().push(Bytes::from_static(b"unknown"));
    store.refuse_ownership_reads.store(true, Ordering::SeqCst);
    owner.stop.cancel();
    let before = store.ownership_appends.load(Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let appends = store.ownership_appends.load(Ordering::SeqCst) - before;
    assert!(appends <= 8, "{appends} appends within 600 ms");
}

/// The claim is stored, but its response is lost. Until its lease has ended nobody else can claim, and a repeated claim
/// would be lost in the same way.
#[tokio::test]
async fn claim_without_response() {
    let store = Arc::new(FakeStore::default());
    store.lose_ownership_responses.store(true, Ordering::SeqCst);
    let mut owner = spawn(&store, 7_000, "entry-0#1");
    let elected = tokio::time::timeout(Duration::from_millis(1_000), owner.events.recv()).await;
    assert!(matches!(elected, Ok(Some(ElectionEvent::Elected(1)))));
    let claims = store.ownership.lock().len();
    assert_eq!(claims, 1, "the same process has claimed again");
    let lease_held = async {
        while !owner.lease.is_held() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, lease_held)
        .await
        .expect("a lease");
    owner.stop.cancel();
}

/// Returns whether the last record of the ownership topic is a release.
fn is_released(store: &FakeStore) -> bool {
    let ownership = store.ownership.lock();
    let last = ownership.last().expect("a record");
    let record: OwnershipRecord = postcard::from_bytes(last).expect("an ownership record");
    record.released
}
