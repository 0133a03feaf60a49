//! Guards against commands that are lost, doubled or executed late on their way through a delegate.

mod fakes;

use {
    fakes::{FakeRunners, TestActor, logger, spawn_actor},
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::{
        jobs::{ItemName, JobId},
        owner::{RunName, RunStart, StartResponse},
    },
    goldcreststall_node::{
        delegates::{
            CommandLimiter, DelegateProfile, DelegateRegistry, DelegateTask, DelegatedRunners,
            MAX_COMMANDS_PER_RUNNER, MAX_ORDER_AGE, OrderAge,
        },
        election::OwnerLocation,
        links::{LinkServer, PeerDirectory},
        ports::{HoldCall, RunnerEndpoint, RunnerService},
    },
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
    },
    tokio_util::sync::CancellationToken,
};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const TOKEN: u64 = 4;

/// An owner that serves delegates, with runners that it can also call itself.
struct TestOwner {
    test: TestActor,
    address: SocketAddr,
    direct: Arc<FakeRunners>,
    service: DelegatedRunners,
}

async fn spawn_owner() -> TestOwner {
    let test = spawn_actor();
    test.lease.extend(LocalTime(u64::MAX));
    let registry = DelegateRegistry::new(test.lease.clone(), logger());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (owner, _) = watch::channel(None);
    let server = LinkServer {
        actor: test.actor.clone(),
        delegates: registry.clone(),
        peers: PeerDirectory::new(address, owner),
        logger: logger(),
    };
    tokio::spawn(server.serve(listener));
    let direct = Arc::new(FakeRunners::default());
    let service = DelegatedRunners::new(
        Arc::clone(&direct) as _,
        registry,
        CommandLimiter::new(MAX_COMMANDS_PER_RUNNER),
    );
    TestOwner {
        test,
        address,
        direct,
        service,
    }
}

/// Starts a delegate of the owner at `address`; returns its runners and the owner that it knows.
fn spawn_delegate(address: SocketAddr) -> (Arc<FakeRunners>, watch::Sender<Option<OwnerLocation>>) {
    let location = OwnerLocation {
        address,
        token: TOKEN,
        own: false,
    };
    let (owner, updates) = watch::channel(Some(location));
    let runners = Arc::new(FakeRunners::default());
    let task = DelegateTask {
        owner: updates,
        profile: DelegateProfile {
            name: "entry-2".to_owned(),
            data_centre: "a".to_owned(),
            cpu: 500,
            link_mbps: 100,
        },
        runners: Arc::clone(&runners) as _,
        limiter: CommandLimiter::new(MAX_COMMANDS_PER_RUNNER),
        stop: CancellationToken::new(),
        logger: logger(),
    };
    tokio::spawn(task.run());
    (runners, owner)
}

fn endpoint() -> RunnerEndpoint {
    RunnerEndpoint {
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        id: "r1".to_owned(),
        token: TOKEN,
        data_centre: "a".to_owned(),
    }
}

fn run_start(run: u32) -> RunStart {
    RunStart {
        name: ItemName {
            job: JobId(7),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run,
        spec: Arc::from("the text of the job"),
        deadline_ms: 5_000,
        checkpoint: "c1".to_owned(),
        ticket: String::new(),
    }
}

async fn start(owner: &TestOwner, run: u32) -> StartResponse {
    let start = run_start(run);
    let endpoint = endpoint();
    let started = owner.service.start(&endpoint, &start);
    tokio::time::timeout(TEST_TIMEOUT, started)
        .await
        .expect("in time")
}

/// Waits until commands take the way through a delegate; hold calls have no effect on the fakes.
async fn wait_for_delegate(owner: &TestOwner, delegate: &FakeRunners) {
    let call = HoldCall {
        deadline_ms: None,
        last_seen: 0,
        wait: Millis(0),
    };
    let registered = async {
        while delegate.holds.load(Ordering::SeqCst) == 0 {
            owner.service.hold(&endpoint(), call).await;
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, registered)
        .await
        .expect("a delegate");
}

#[tokio::test]
async fn through_a_delegate() {
    let owner = spawn_owner().await;
    let (delegate, _owner_watch) = spawn_delegate(owner.address);
    wait_for_delegate(&owner, &delegate).await;
    // The second start refers to the text that came with the first one.
    assert_eq!(start(&owner, 1).await, StartResponse::Begun(1));
    assert_eq!(start(&owner, 2).await, StartResponse::Begun(1));
    assert_eq!(
        *delegate.starts.lock(),
        vec![run_start(1), run_start(2)],
        "the delegate sends other commands than the owner issued"
    );
    assert!(owner.direct.starts.lock().is_empty());
    let run = RunName {
        name: run_start(1).name,
        run: 1,
    };
    assert_eq!(owner.service.stop(&endpoint(), &run).await, Some(1));
    assert!(owner.service.pace(&endpoint(), &run, 50).await);
}

#[tokio::test]
async fn without_a_delegate() {
    let owner = spawn_owner().await;
    assert_eq!(start(&owner, 1).await, StartResponse::Begun(1));
    assert_eq!(owner.direct.starts.lock().len(), 1);
}

#[tokio::test]
async fn refusal_is_passed_on() {
    let owner = spawn_owner().await;
    let (delegate, _owner_watch) = spawn_delegate(owner.address);
    wait_for_delegate(&owner, &delegate).await;
    delegate.refuse_starts.store(true, Ordering::SeqCst);
    assert_eq!(start(&owner, 1).await, StartResponse::NoRoom);
    assert!(owner.direct.starts.lock().is_empty());
}

/// The delegate took the command and was lost. The owner sends it again itself, and may believe only an acceptance: a
/// refusal does not tell whether the delegate's command has yet to arrive.
#[tokio::test]
async fn lost_delegate() {
    let owner = spawn_owner().await;
    let (delegate, owner_watch) = spawn_delegate(owner.address);
    wait_for_delegate(&owner, &delegate).await;
    delegate.block_starts.store(true, Ordering::SeqCst);
    owner.direct.refuse_starts.store(true, Ordering::SeqCst);
    let first = start(&owner, 1);
    let lose = async {
        while delegate.starts.lock().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        owner_watch.send_replace(None);
    };
    let (response, ()) = tokio::join!(first, lose);
    assert_eq!(response, StartResponse::Unknown);
    owner.direct.refuse_starts.store(false, Ordering::SeqCst);
    assert_eq!(start(&owner, 1).await, StartResponse::Begun(1));
}

#[tokio::test]
async fn none_after_the_lease() {
    let owner = spawn_owner().await;
    let (delegate, _owner_watch) = spawn_delegate(owner.address);
    wait_for_delegate(&owner, &delegate).await;
    owner.test.lease.end();
    let response = start(&owner, 1).await;
    assert!(matches!(
        response,
        StartResponse::NotSent | StartResponse::Unknown
    ));
    assert!(delegate.starts.lock().is_empty());
    assert!(owner.direct.starts.lock().is_empty());
}

/// The delegate has lost its way to the runner, which the owner can reach. The work of the runner must not be given up.
#[tokio::test]
async fn delegate_is_cut_off() {
    let owner = spawn_owner().await;
    let (delegate, _owner_watch) = spawn_delegate(owner.address);
    wait_for_delegate(&owner, &delegate).await;
    delegate.unreachable.store(true, Ordering::SeqCst);
    let call = HoldCall {
        deadline_ms: Some(5_000),
        last_seen: 0,
        wait: Millis(0),
    };
    // The silence is reported at once; the next calls take the other way, so that one of them extends the lease.
    assert_eq!(owner.service.hold(&endpoint(), call).await, None);
    for _ in 0..3 {
        assert!(owner.service.hold(&endpoint(), call).await.is_some());
    }
    let run = RunName {
        name: run_start(1).name,
        run: 1,
    };
    assert_eq!(owner.service.stop(&endpoint(), &run).await, Some(1));
    assert_eq!(start(&owner, 1).await, StartResponse::Begun(1));
    // When the owner cannot reach the runner either, the delegate is tried again.
    owner.direct.unreachable.store(true, Ordering::SeqCst);
    delegate.unreachable.store(false, Ordering::SeqCst);
    assert_eq!(owner.service.hold(&endpoint(), call).await, None);
    assert!(owner.service.hold(&endpoint(), call).await.is_some());
}

/// An owner whose lease has ended may have a successor, beside which it must not act by any command.
#[tokio::test]
async fn no_command_after_the_lease() {
    let owner = spawn_owner().await;
    let (delegate, _owner_watch) = spawn_delegate(owner.address);
    wait_for_delegate(&owner, &delegate).await;
    let holds_before = owner.direct.holds.load(Ordering::SeqCst);
    owner.test.lease.end();
    let run = RunName {
        name: run_start(1).name,
        run: 1,
    };
    let call = HoldCall {
        deadline_ms: Some(5_000),
        last_seen: 0,
        wait: Millis(0),
    };
    assert_eq!(owner.service.stop(&endpoint(), &run).await, None);
    assert!(!owner.service.pace(&endpoint(), &run, 50).await);
    assert_eq!(owner.service.hold(&endpoint(), call).await, None);
    for runners in [&delegate, &owner.direct] {
        assert_eq!(runners.other_commands.load(Ordering::SeqCst), 0);
    }
    assert_eq!(owner.direct.holds.load(Ordering::SeqCst), holds_before);
}

/// A delegate that knows a newer owner executes nothing for an older one.
#[tokio::test]
async fn newer_owner_known() {
    let owner = spawn_owner().await;
    let (delegate, owner_watch) = spawn_delegate(owner.address);
    wait_for_delegate(&owner, &delegate).await;
    owner_watch.send_modify(|location| {
        if let Some(location) = location {
            location.token = TOKEN + 1;
        }
    });
    // Sent by the owner itself, whose runners refuse it once the newer owner has called them.
    assert_eq!(start(&owner, 1).await, StartResponse::Begun(1));
    assert!(delegate.starts.lock().is_empty());
}

/// Passes bytes from the owner on only while `open`, and those of the delegate always.
async fn spawn_relay(target: SocketAddr, open: watch::Receiver<bool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((inbound, _)) = listener.accept().await {
            let Ok(outbound) = TcpStream::connect(target).await else {
                continue;
            };
            let (mut from_delegate, mut to_delegate) = inbound.into_split();
            let (mut from_owner, mut to_owner) = outbound.into_split();
            tokio::spawn(async move {
                // Ends with the connection.
                let _ = tokio::io::copy(&mut from_delegate, &mut to_owner).await;
            });
            let mut open = open.clone();
            tokio::spawn(async move {
                let mut buffer = [0; 4_096];
                while let Ok(count @ 1..) = from_owner.read(&mut buffer).await {
                    if open.wait_for(|open| *open).await.is_err() {
                        return;
                    }
                    if to_delegate.write_all(&buffer[..count]).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A command waits in the network for longer than it may be old. Another process may own the fleet by then.
#[tokio::test]
async fn late_command_is_dropped() {
    let owner = spawn_owner().await;
    let (open, opened) = watch::channel(true);
    let relay = spawn_relay(owner.address, opened).await;
    let (delegate, _owner_watch) = spawn_delegate(relay);
    wait_for_delegate(&owner, &delegate).await;
    open.send_replace(false);
    let waiting = start(&owner, 1);
    let release = async {
        tokio::time::sleep(Duration::from_millis(MAX_ORDER_AGE.0 + 400)).await;
        open.send_replace(true);
    };
    let (response, ()) = tokio::join!(waiting, release);
    assert_eq!(response, StartResponse::Unknown);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(
        delegate.starts.lock().is_empty(),
        "a command was executed although it was too old"
    );
}

#[test]
fn order_age() {
    let age = OrderAge {
        echoed: LocalTime(10_000),
    };
    assert!(age.is_current(LocalTime(10_000)));
    assert!(age.is_current(LocalTime(10_000) + MAX_ORDER_AGE));
    assert!(!age.is_current(LocalTime(10_001) + MAX_ORDER_AGE));
    // Before the first frame of the delegate has arrived at the owner.
    let unknown = OrderAge {
        echoed: LocalTime(0),
    };
    assert!(!unknown.is_current(LocalTime(10_000)));
}

/// A connection that sends nonsense ends alone: the delegates of other connections go on.
#[tokio::test]
async fn malformed_frames() {
    let owner = spawn_owner().await;
    let (delegate, _owner_watch) = spawn_delegate(owner.address);
    wait_for_delegate(&owner, &delegate).await;
    for bytes in [
        &[0, 0, 0, 3, 255, 255, 255][..],
        &[255, 255, 255, 255, 1][..],
        // A registration, then a frame that holds no outcomes.
        &[0, 0, 0, 2, 26, 0, 0, 0, 0, 4, 18, 2, 255, 255][..],
    ] {
        let mut stream = TcpStream::connect(owner.address).await.expect("connected");
        stream.write_all(bytes).await.expect("written");
        let mut end = Vec::new();
        let closed = stream.read_to_end(&mut end);
        tokio::time::timeout(TEST_TIMEOUT, closed)
            .await
            .expect("the connection is closed")
            .expect("no error");
    }
    assert_eq!(start(&owner, 1).await, StartResponse::Begun(1));
    assert_eq!(delegate.starts.lock().len(), 1);
}

fn hold_call() -> HoldCall {
    HoldCall {
        deadline_ms: None,
        last_seen: 0,
        wait: Millis(0),
    }
}

/// Guards against a runner that is given up because its delegate cannot reach it, although the owner can.
#[tokio::test]
async fn delegate_out_of_reach() {
    let owner = spawn_owner().await;
    let (delegate, _owner_watch) = spawn_delegate(owner.address);
    wait_for_delegate(&owner, &delegate).await;
    delegate.unreachable.store(true, Ordering::SeqCst);
    assert!(owner.service.hold(&endpoint(), hold_call()).await.is_none());
    assert!(
        owner.service.hold(&endpoint(), hold_call()).await.is_some(),
        "the second hold call took the path that had failed"
    );
    let run = RunName {
        name: run_start(1).name,
        run: 1,
    };
    assert_eq!(owner.service.stop(&endpoint(), &run).await, Some(1));
}

/// Guards against a stop that is repeated on a path that does not lead to the runner.
#[tokio::test]
async fn stop_takes_the_other_path() {
    let owner = spawn_owner().await;
    let (delegate, _owner_watch) = spawn_delegate(owner.address);
    wait_for_delegate(&owner, &delegate).await;
    delegate.unreachable.store(true, Ordering::SeqCst);
    let run = RunName {
        name: run_start(1).name,
        run: 1,
    };
    assert_eq!(owner.service.stop(&endpoint(), &run).await, None);
    assert_eq!(owner.service.stop(&endpoint(), &run).await, Some(1));
    // The owner cannot reach it either: back to the delegate.
    owner.direct.unreachable.store(true, Ordering::SeqCst);
    delegate.unreachable.store(false, Ordering::SeqCst);
    assert_eq!(owner.service.stop(&endpoint(), &run).await, None);
    assert_eq!(owner.service.stop(&endpoint(), &run).await, Some(1));
}

/// Guards against an owner without a lease that extends the lease of a runner's work itself.
#[tokio::test]
async fn no_hold_after_the_lease() {
    let owner = spawn_owner().await;
    owner.test.lease.end();
    let holds = owner.direct.holds.load(Ordering::SeqCst);
    let stops = owner.direct.stops.load(Ordering::SeqCst);
    let run = RunName {
        name: run_start(1).name,
        run: 1,
    };
    assert!(owner.service.hold(&endpoint(), hold_call()).await.is_none());
    assert_eq!(owner.service.stop(&endpoint(), &run).await, None);
    assert!(!owner.service.pace(&endpoint(), &run, 50).await);
    assert_eq!(owner.direct.holds.load(Ordering::SeqCst), holds);
    assert_eq!(owner.direct.stops.load(Ordering::SeqCst), stops);
}

/// Sends `count` stops at once; waits until they have ended.
async fn stop_at_once(owner: &TestOwner, count: u32) {
    let run_name = |run| RunName {
        name: run_start(1).name,
        run,
    };
    let endpoint = endpoint();
    let names: Vec<RunName> = (1..=count).map(run_name).collect();
    let stops = names.iter().map(|name| owner.service.stop(&endpoint, name));
    let ended = futures_util::future::join_all(stops);
    tokio::time::timeout(TEST_TIMEOUT, ended)
        .await
        .expect("in time");
}

/// Guards against a cancelled job that opens a connection to a runner for each of its work items there.
#[tokio::test]
async fn few_stops_at_once() {
    let owner = spawn_owner().await;
    stop_at_once(&owner, 12).await;
    assert_eq!(owner.direct.stops.load(Ordering::SeqCst), 12);
    assert_eq!(owner.direct.most_stops.load(Ordering::SeqCst), 4);
    let (delegate, _owner_watch) = spawn_delegate(owner.address);
    wait_for_delegate(&owner, &delegate).await;
    stop_at_once(&owner, 12).await;
    assert_eq!(delegate.most_stops.load(Ordering::SeqCst), 4);
}

/// Guards against a runner that is given up because its delegate, which is in contact, never has the outcome in time: it
/// waits 600 ms for a runner that it cannot reach, and the owner waits 750 ms for it.
#[tokio::test]
async fn late_delegate() {
    let owner = spawn_owner().await;
    let (delegate, _owner_watch) = spawn_delegate(owner.address);
    wait_for_delegate(&owner, &delegate).await;
    delegate.block_holds.store(true, Ordering::SeqCst);
    assert!(owner.service.hold(&endpoint(), hold_call()).await.is_none());
    assert!(
        owner.service.hold(&endpoint(), hold_call()).await.is_some(),
        "the second hold call went to the delegate that was late"
    );
}

/// Passes bytes on in both directions. While `silent` names a number of connections, that many of the first ones pass
/// nothing on, neither bytes nor their end, and stay open.
async fn spawn_silent_relay(target: SocketAddr, silent: watch::Receiver<usize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        for number in 0.. {
            let Ok((inbound, _)) = listener.accept().await else {
                return;
            };
            let Ok(outbound) = TcpStream::connect(target).await else {
                continue;
            };
            let (from_delegate, to_delegate) = inbound.into_split();
            let (from_owner, to_owner) = outbound.into_split();
            for (mut from, mut to) in [(from_delegate, to_owner), (from_owner, to_delegate)] {
                let silent = silent.clone();
                tokio::spawn(async move {
                    let mut buffer = [0; 4_096];
                    loop {
                        let read = from.read(&mut buffer).await;
                        if *silent.borrow() > number {
                            std::future::pending::<()>().await;
                        }
                        let Ok(count @ 1..) = read else {
                            return;
                        };
                        if to.write_all(&buffer[..count]).await.is_err() {
                            return;
                        }
                    }
                });
            }
        }
    });
    address
}

/// Guards against delegates that are lost for the rest of a term: their connection to the owner goes silent without a
/// reset, and they wait on it although a new one would work.
#[tokio::test]
async fn silent_delegate_link() {
    let owner = spawn_owner().await;
    let (silence, silent) = watch::channel(0);
    let relay = spawn_silent_relay(owner.address, silent).await;
    let (delegate, _owner_watch) = spawn_delegate(relay);
    wait_for_delegate(&owner, &delegate).await;
    silence.send_replace(1);
    // The owner gives the connection up after 2 s.
    tokio::time::sleep(Duration::from_secs(3)).await;
    delegate.holds.store(0, Ordering::SeqCst);
    let again = async {
        while delegate.holds.load(Ordering::SeqCst) == 0 {
            owner.service.hold(&endpoint(), hold_call()).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    assert!(
        tokio::time::timeout(Duration::from_secs(7), again)
            .await
            .is_ok(),
        "the delegate has not registered again 10 s after its connection went silent"
    );
}

/// Guards against a job that never starts because the one entry host that its starts go through cannot reach the
/// runner, although the owner can.
#[tokio::test]
async fn start_takes_the_other_path() {
    let owner = spawn_owner().await;
    let (delegate, _owner_watch) = spawn_delegate(owner.address);
    wait_for_delegate(&owner, &delegate).await;
    delegate.lose_starts.store(true, Ordering::SeqCst);
    assert_eq!(start(&owner, 1).await, StartResponse::Unknown);
    assert_eq!(
        start(&owner, 2).await,
        StartResponse::Begun(1),
        "the second start of the job took the path that had failed"
    );
}

/// Guards against stops that wait for other runners, which are out of reach, because they share their limit.
#[tokio::test]
async fn limits_are_separate() {
    let owner = spawn_owner().await;
    let with_id = |number: u32| RunnerEndpoint {
        id: format!("runner-{number}"),
        ..endpoint()
    };
    let run = RunName {
        name: run_start(1).name,
        run: 1,
    };
    let (out_of_reach, reachable) = ((0..100).map(with_id), (100..350).map(with_id));
    owner
        .direct
        .hanging
        .lock()
        .extend(out_of_reach.clone().map(|runner| runner.id));
    let service = Arc::new(owner.service);
    for runner in out_of_reach {
        for _ in 0..4 {
            let (service, runner) = (Arc::clone(&service), runner.clone());
            tokio::spawn(async move { service.stop(&runner, &run).await });
        }
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut late = Vec::new();
    for runner in reachable {
        let stop = service.stop(&runner, &run);
        if tokio::time::timeout(Duration::from_millis(200), stop)
            .await
            .is_err()
        {
            late.push(runner.id);
        }
    }
    assert!(
        late.is_empty(),
        "{} of 250 runners that answer wait for others that do not: {late:?}",
        late.len()
    );
}
