//! Guards against a runner that has left, or a configuration that was replaced, coming back into use: after the store has
//! forgotten records that were not read, or with a new term of this process.

mod fakes;

use {
    async_trait::async_trait,
    fakes::{TestActor, logger, report, send_event, spawn_actor, submit_call},
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::{routes::FleetRules, runners::RunnerReport},
    goldcreststall_node::{
        control::ControlEvent,
        election::OwnerLocation,
        feeds::{OperatorFeed, RunnerFeed, StoreContact},
        ports::{FeedBatch, OperatorRecord, RecordFeed, StoreError},
    },
    parking_lot::Mutex,
    std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::{oneshot, watch},
};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

type FeedResult<T> = Result<FeedBatch<T>, StoreError>;

/// A feed whose reads of all records and of further records return what is scripted; then there are no changes.
struct ScriptedFeed<T> {
    newest: Mutex<VecDeque<FeedResult<T>>>,
    further: Mutex<VecDeque<FeedResult<T>>>,
}

#[async_trait]
impl<T: Send + Sync> RecordFeed<T> for ScriptedFeed<T> {
    async fn newest(&self) -> FeedResult<T> {
        let scripted = self.newest.lock().pop_front();
        scripted.unwrap_or(Err(StoreError::Refused))
    }

    async fn follow(&self, from: u64, _wait: Millis) -> FeedResult<T> {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let unchanged = FeedBatch {
            records: Vec::new(),
            next: from,
        };
        let scripted = self.further.lock().pop_front();
        scripted.unwrap_or(Ok(unchanged))
    }
}

fn scripted<T>(newest: Vec<FeedResult<T>>, further: Vec<FeedResult<T>>) -> Arc<ScriptedFeed<T>> {
    Arc::new(ScriptedFeed {
        newest: Mutex::new(newest.into()),
        further: Mutex::new(further.into()),
    })
}

fn runners(ids: &[&str]) -> FeedResult<RunnerReport> {
    let records = ids.iter().map(|id| ((*id).to_owned(), Some(report(id))));
    Ok(FeedBatch {
        records: records.collect(),
        next: 10,
    })
}

fn version(version: u64) -> FeedResult<OperatorRecord> {
    let rules = FleetRules {
        version,
        ..FleetRules::default()
    };
    let record = ("config".to_owned(), Some(OperatorRecord::Rules(rules)));
    Ok(FeedBatch {
        records: vec![record],
        next: 10,
    })
}

fn own_location(token: u64) -> Option<OwnerLocation> {
    Some(OwnerLocation {
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        token,
        own: true,
    })
}

/// Starts a term of the actor and a feed of runners.
async fn follow_runners(
    feed: Arc<ScriptedFeed<RunnerReport>>,
) -> (TestActor, watch::Sender<Option<OwnerLocation>>) {
    let test = spawn_actor();
    test.lease.extend(LocalTime(u64::MAX));
    send_event(&test, ControlEvent::Elected(1)).await;
    let (owner, updates) = watch::channel(own_location(1));
    let runner_feed = RunnerFeed {
        feed,
        actor: test.actor.clone(),
        owner: updates,
        logger: logger(),
    };
    tokio::spawn(runner_feed.run());
    (test, owner)
}

/// Submits a job and returns the runner of its first start.
async fn first_start(test: &TestActor) -> String {
    let (reply, _response) = oneshot::channel();
    let call = submit_call(7, 1, 1_000);
    send_event(test, ControlEvent::Call { call, reply }).await;
    let started = async {
        loop {
            send_event(test, ControlEvent::Tick).await;
            if let Some(id) = test.runners.started_on.lock().first() {
                return id.clone();
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, started)
        .await
        .expect("a start")
}

#[tokio::test]
async fn runner_left_unseen() {
    // The removal of r1 has expired before it was read.
    let newest = vec![runners(&["r1", "r2"]), runners(&["r2"])];
    let feed = scripted(newest, vec![Err(StoreError::Expired { first: 5 })]);
    let (test, _owner) = follow_runners(Arc::clone(&feed)).await;
    let read = async {
        while !feed.newest.lock().is_empty() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, read)
        .await
        .expect("a second read");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(first_start(&test).await, "r2");
}

/// The next term of the same process begins between two reads of the feed. It knows no runner before it gets the list.
#[tokio::test]
async fn next_term_gets_list() {
    let newest = vec![runners(&["r1"]), runners(&["r1"])];
    let (test, owner) = follow_runners(scripted(newest, Vec::new())).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    send_event(&test, ControlEvent::TermEnded).await;
    send_event(&test, ControlEvent::Elected(5)).await;
    owner.send_replace(own_location(5));
    assert_eq!(first_start(&test).await, "r1");
}

#[tokio::test]
async fn version_goes_back() {
    let newest = vec![version(5), version(3)];
    let further = vec![version(4), Err(StoreError::Expired { first: 5 })];
    let feed = scripted(newest, further);
    let (rules, updates) = watch::channel(None);
    let operator_feed = OperatorFeed {
        feed: Arc::clone(&feed) as _,
        actor: spawn_actor().actor,
        rules,
        contact: StoreContact::default(),
        logger: logger(),
    };
    tokio::spawn(operator_feed.run());
    let current = || {
        updates
            .borrow()
            .as_ref()
            .map(|rules: &Arc<FleetRules>| rules.version)
    };
    let read = async {
        while !feed.newest.lock().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
            assert!(current().is_none_or(|current| current == 5));
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, read)
        .await
        .expect("a second read");
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(current(), Some(5));
    feed.further.lock().push_back(version(6));
    let mut updates = updates.clone();
    let newer = updates.wait_for(|rules| rules.as_ref().is_some_and(|rules| rules.version == 6));
    assert!(tokio::time::timeout(TEST_TIMEOUT, newer).await.is_ok());
}
