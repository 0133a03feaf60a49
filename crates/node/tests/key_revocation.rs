//! Guards against a revoked key that becomes valid again, or stays valid for longer than the deployment allows: while the
//! store is slow, down or has lost its records, after a restart, and with an older configuration.

mod fakes;

use {
    async_trait::async_trait,
    fakes::{logger, spawn_actor},
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::{
        organisations::KeyIndex,
        routes::{FleetRules, RouteRule},
    },
    goldcreststall_node::{
        api::{ApiHead, ApiResponse, JobApi, OwnerClient, PresentedKey},
        feeds::{OperatorFeed, StoreContact},
        links::{OwnerLink, PeerDirectory},
        metrics::NodeMetrics,
        ports::{FeedBatch, OperatorRecord, RecordFeed, StoreError},
    },
    parking_lot::Mutex,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::watch,
};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const REVOKE: Millis = Millis(1_000);
const REVOKED: &str = "secret-1";
const VALID: &str = "secret-2";

/// A store of one configuration.
#[derive(Default)]
struct ConfigStore {
    /// Newest configuration; `None` when the records are gone.
    newest: Mutex<Option<FleetRules>>,
    is_down: Mutex<bool>,
    /// The next read of further records finds that they have expired.
    has_expired: Mutex<bool>,
}

#[async_trait]
impl RecordFeed<OperatorRecord> for ConfigStore {
    async fn newest(&self) -> Result<FeedBatch<OperatorRecord>, StoreError> {
        if *self.is_down.lock() {
            return Err(StoreError::Unknown);
        }
        let record = self.newest.lock().clone().map(OperatorRecord::Rules);
        let records = record.map(|rules| ("config".to_owned(), Some(rules)));
        Ok(FeedBatch {
            records: records.into_iter().collect(),
            next: 1,
        })
    }

    async fn follow(
        &self,
        _from: u64,
        _wait: Millis,
    ) -> Result<FeedBatch<OperatorRecord>, StoreError> {
        tokio::time::sleep(Duration::from_millis(20)).await;
        if std::mem::take(&mut *self.has_expired.lock()) {
            return Err(StoreError::Expired { first: 0 });
        }
        self.newest().await
    }
}

impl ConfigStore {
    fn publish(&self, version: u64, keys: &[&str]) {
        let route = |name: &str| RouteRule {
            name: name.to_owned(),
            host: "press".to_owned(),
            prefix: format!("/{name}/"),
            ..RouteRule::default()
        };
        let keys = keys.iter().map(|key| ((*key).to_owned(), Arc::from("a")));
        let rules = FleetRules {
            version,
            routes: vec![route("open"), route("proofs")],
            organisations: Some(Vec::new()),
            keys: KeyIndex::new(keys.collect()).0,
            public_routes: vec!["open".to_owned()],
            ..FleetRules::default()
        };
        *self.newest.lock() = Some(rules);
    }

    fn set_down(&self, is_down: bool) {
        *self.is_down.lock() = is_down;
    }
}

/// Starts the parts of an entry host that follow the configuration and check keys.
fn start_entry_host(store: &Arc<ConfigStore>, fail_closed: bool) -> JobApi {
    let (rules, updates) = watch::channel(None);
    let actor = spawn_actor().actor;
    let contact = StoreContact::default();
    let feed = OperatorFeed {
        feed: Arc::clone(store) as _,
        actor: actor.clone(),
        rules,
        contact: contact.clone(),
        logger: logger(),
    };
    tokio::spawn(feed.run());
    let (owner, owner_updates) = watch::channel(None);
    let peers = PeerDirectory::new(SocketAddr::from(([127, 0, 0, 1], 1)), owner);
    let client = OwnerClient::new(actor, OwnerLink::new(peers, logger()), owner_updates);
    let metrics = Arc::new(NodeMetrics::new().expect("metrics"));
    let api = JobApi::new(client, updates, false, metrics, logger());
    if fail_closed {
        return api.with_silence_limit(contact, REVOKE);
    }
    api
}

fn check(api: &JobApi, path: &str, key: &str) -> Option<ApiResponse> {
    api.refuse_early(&ApiHead {
        host: "press".to_owned(),
        path: path.to_owned(),
        key: Some(PresentedKey::new(key.as_bytes().to_vec())),
    })
}

/// Waits until a call with the key is refused for the named reason, or not refused.
async fn wait_for(api: &JobApi, key: &str, name: Option<&str>) {
    let outcome = || check(api, "/proofs/7", key).map(|response| response.name());
    let changed = async {
        while outcome() != name {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(TEST_TIMEOUT, changed).await;
    assert!(waited.is_ok(), "{:?} instead of {name:?}", outcome());
}

/// Guards against a key that is accepted for longer than the bound while the store is down.
#[tokio::test]
async fn fails_closed() {
    let store = Arc::new(ConfigStore::default());
    store.publish(1, &[REVOKED, VALID]);
    let api = start_entry_host(&store, true);
    wait_for(&api, REVOKED, None).await;
    store.set_down(true);
    store.publish(2, &[VALID]);
    for key in [REVOKED, VALID, "unknown"] {
        wait_for(&api, key, Some("unverified")).await;
    }
    assert_eq!(check(&api, "/open/7", REVOKED), None);
    assert_eq!(check(&api, "/none/7", VALID), Some(ApiResponse::NoRoute));
    store.set_down(false);
    wait_for(&api, VALID, None).await;
    assert_eq!(
        check(&api, "/proofs/7", REVOKED),
        Some(ApiResponse::Unauthorized)
    );
}

/// Guards against an entry host that refuses calls in an outage of the store although the deployment wants it to serve.
#[tokio::test]
async fn serves_on() {
    let store = Arc::new(ConfigStore::default());
    store.publish(1, &[REVOKED, VALID]);
    let api = start_entry_host(&store, false);
    wait_for(&api, REVOKED, None).await;
    store.set_down(true);
    store.publish(2, &[VALID]);
    tokio::time::sleep(Duration::from_millis(2 * REVOKE.0)).await;
    assert_eq!(check(&api, "/proofs/7", REVOKED), None);
    store.set_down(false);
    wait_for(&api, REVOKED, Some("unauthorized")).await;
    assert_eq!(check(&api, "/proofs/7", VALID), None);
}

/// Guards against a store whose records are gone that makes the entry host forget its configuration, or miss the next one.
#[tokio::test]
async fn records_gone() {
    let store = Arc::new(ConfigStore::default());
    store.publish(1, &[REVOKED, VALID]);
    let api = start_entry_host(&store, true);
    wait_for(&api, REVOKED, None).await;
    *store.newest.lock() = None;
    *store.has_expired.lock() = true;
    tokio::time::sleep(Duration::from_millis(2 * REVOKE.0)).await;
    assert_eq!(check(&api, "/proofs/7", VALID), None);
    store.publish(2, &[VALID]);
    wait_for(&api, REVOKED, Some("unauthorized")).await;
}

/// Guards against a restarted process that accepts a key before it knows the newest configuration.
#[tokio::test]
async fn restart_in_outage() {
    for fail_closed in [false, true] {
        let store = Arc::new(ConfigStore::default());
        store.publish(2, &[VALID]);
        store.set_down(true);
        let api = start_entry_host(&store, fail_closed);
        tokio::time::sleep(Duration::from_millis(REVOKE.0)).await;
        for path in ["/proofs/7", "/open/7", "/none/7"] {
            let refusal = check(&api, path, VALID).map(|response| response.name());
            assert_eq!(refusal, Some("unavailable"), "{path}");
        }
        store.set_down(false);
        wait_for(&api, VALID, None).await;
        assert_eq!(
            check(&api, "/proofs/7", REVOKED),
            Some(ApiResponse::Unauthorized)
        );
    }
}

/// Guards against an older configuration that makes a revoked key valid again.
#[tokio::test]
async fn lower_version() {
    let store = Arc::new(ConfigStore::default());
    store.publish(2, &[VALID]);
    let api = start_entry_host(&store, false);
    wait_for(&api, VALID, None).await;
    store.publish(1, &[REVOKED, VALID]);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(
        check(&api, "/proofs/7", REVOKED),
        Some(ApiResponse::Unauthorized)
    );
}

/// Guards against a clock that steps back, and a silence that is counted from an older read.
#[test]
fn contact_times() {
    let contact = StoreContact::default();
    contact.record(LocalTime(5_000));
    contact.record(LocalTime(4_000));
    assert!(!contact.is_silent(Millis(100), LocalTime(5_100)));
    assert!(contact.is_silent(Millis(100), LocalTime(5_101)));
    assert!(!contact.is_silent(Millis(100), LocalTime(1)));
}
