//! Guards against a process that lives on after a panic of a task that it needs: it would answer callers and the load
//! balancer, but decide nothing, follow no configuration and never claim.

mod fakes;

use {
    async_trait::async_trait,
    fakes::{FakeHosts, FakeRunners, FakeStore, NoAdvice},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{routes::ServiceBounds, runners::RunnerReport},
    goldcreststall_node::{
        api::JobApi,
        daemon::{NodeIngress, NodeSettings, PlatformPorts, ProcessLimits, run},
        ports::{FeedBatch, OperatorRecord, RecordFeed, StoreError},
    },
    slog::{Drain, Logger, Never, OwnedKVList, Record, o},
    std::{
        net::SocketAddr,
        sync::{Arc, mpsc},
        thread,
        time::Duration,
    },
    tokio_util::sync::CancellationToken,
};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Panics when a line with this start is logged.
struct PanickingDrain(&'static str);

impl Drain for PanickingDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), Never> {
        let message = record.msg().to_string();
        assert!(!message.starts_with(self.0), "{message}");
        Ok(())
    }
}

/// A feed without records.
struct EmptyFeed;

#[async_trait]
impl<T: Send + 'static> RecordFeed<T> for EmptyFeed {
    async fn newest(&self) -> Result<FeedBatch<T>, StoreError> {
        Err(StoreError::Unknown)
    }

    async fn follow(&self, _from: u64, _wait: Millis) -> Result<FeedBatch<T>, StoreError> {
        Err(StoreError::Unknown)
    }
}

struct IdleIngress;

#[async_trait]
impl NodeIngress for IdleIngress {
    async fn serve(&self, _api: Arc<JobApi>, stop: CancellationToken) -> anyhow::Result<()> {
        stop.cancelled().await;
        Ok(())
    }
}

fn settings() -> NodeSettings {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a socket");
    let address: SocketAddr = listener.local_addr().expect("an address");
    NodeSettings {
        name: "n1".to_owned(),
        data_centre: "a".to_owned(),
        link_address: address,
        advertised_address: address,
        cpu: 1_000,
        link_mbps: 1_000,
        grace: Millis(6_000),
        maintenance: Millis(2_000),
        max_lease: Millis(10_000),
        limits: ProcessLimits::default(),
        bounds: ServiceBounds::default(),
    }
}

/// Runs an entry host whose log panics at lines with this start; returns whether its process would have ended by itself.
fn ends(prefix: &'static str) -> bool {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let ports = PlatformPorts {
            advice: Arc::new(NoAdvice),
            hosts: Arc::new(FakeHosts::default()),
            ingress: Arc::new(IdleIngress),
            operators: Arc::new(EmptyFeed) as Arc<dyn RecordFeed<OperatorRecord>>,
            runner_reports: Arc::new(EmptyFeed) as Arc<dyn RecordFeed<RunnerReport>>,
            runners: Arc::new(FakeRunners::default()),
            store: Arc::new(FakeStore::default()),
        };
        let logger = Logger::root(PanickingDrain(prefix), o!());
        sender.send(run(&settings(), ports, &logger).is_err())
    });
    receiver.recv_timeout(TEST_TIMEOUT).unwrap_or(false)
}

#[test]
fn control_actor() {
    assert!(ends("owner: "));
}

#[test]
fn election() {
    assert!(ends("election: "));
}

#[test]
fn operator_feed() {
    assert!(ends("config: "));
}

#[test]
fn runner_feed() {
    assert!(ends("runners: "));
}
