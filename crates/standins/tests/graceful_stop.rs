//! Guards against a graceful stop that aborts a request in flight or drops a queued one without a response.

mod fleet;

use {
    fleet::{TestFleet, idempotent, layout, once, start, wait_until},
    goldcreststall_core::ids::HostName,
    goldcreststall_operators::OperatorChange,
    goldcreststall_standins::client::{ClientRequest, ClientResponse, read_response},
    rustix::process::Signal,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Shorter than the timeouts after which an entry host closes idle connections or aborts its drain.
const STOP_TIMEOUT: Duration = Duration::from_secs(25);

fn assert_complete(request: &ClientRequest, response: &ClientResponse) {
    let ClientResponse::Complete { body, outcome, .. } = response else {
        panic!("{} got no complete response: {response:?}", request.work_id);
    };
    assert_eq!(outcome, "done", "{response:?}");
    assert_eq!(*body, request.body);
}

async fn wait_until_stopped(fleet: &mut TestFleet, entry: usize) {
    let mut process = fleet.entries[entry].process.take().unwrap();
    let wait_for_exit = move || process.wait(STOP_TIMEOUT);
    let status = tokio::task::spawn_blocking(wait_for_exit).await.unwrap();
    let status = status.expect("the entry host did not stop while a connection was open");
    assert!(status.success(), "{status}");
}

/// Returns the index of the target that ran a request.
async fn target_that_ran(fleet: &TestFleet, work_id: &str) -> usize {
    for index in 0..fleet.targets.len() {
        let counts = fleet.target_counts(index).await.unwrap();
        if counts.runs.iter().any(|(id, _)| id == work_id) {
            return index;
        }
    }
    panic!("{work_id} did not run");
}

/// Opens a keep-alive connection, sends one request over it and leaves it open.
async fn open_idle_connection(fleet: &TestFleet) -> TcpStream {
    let mut stream = TcpStream::connect(fleet.callers(0)).await.unwrap();
    let request = b"GET /health HTTP/1.1\r\nhost: entry\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut response = [0; 1];
    stream.read_exact(&mut response).await.unwrap();
    stream
}

/// SIGTERM arrives while a response is streamed, a request runs, others are queued and connections are idle.
#[tokio::test(flavor = "multi_thread")]
async fn entry_stopped() {
    let mut layout = layout(1, 1);
    layout.slots = 2;
    let mut fleet = start(&layout).await;
    let idle = open_idle_connection(&fleet).await;
    let unused = TcpStream::connect(fleet.callers(0)).await.unwrap();
    let running = ClientRequest {
        deadline_ms: 30_000,
        run_ms: 4_000,
        ..once("running")
    };
    let run = fleet.spawn(0, &running);
    fleet.wait_until_running("running").await;
    let streamed = ClientRequest {
        deadline_ms: 30_000,
        chunk_delay_ms: 800,
        ..idempotent("streamed")
    };
    let head = fleet.client.open(fleet.callers(0), &streamed).await;
    let stream = tokio::spawn(read_response(head.unwrap()));
    let queued: Vec<_> = (0..6)
        .map(|number| {
            let request = ClientRequest {
                deadline_ms: 30_000,
                ..once(&format!("queued-{number}"))
            };
            (fleet.spawn(0, &request), request)
        })
        .collect();
    for (_, request) in &queued {
        fleet
            .wait_until_claimed(request.key.as_ref().unwrap())
            .await;
    }
    fleet.signal(0, Signal::TERM);
    for (response, request) in queued {
        let response = response.await.unwrap();
        assert_eq!(response.reason(), "draining", "{response:?}");
        assert_eq!(response.outcome(), "not-run", "{response:?}");
        assert_eq!(fleet.runs_of(&request.work_id).await, 0);
    }
    assert_complete(&streamed, &stream.await.unwrap());
    assert_complete(&running, &run.await.unwrap());
    wait_until_stopped(&mut fleet, 0).await;
    drop((idle, unused));
}

/// A target is drained and its entry host stopped while a request runs there.
#[tokio::test(flavor = "multi_thread")]
async fn target_drained() {
    let mut fleet = start(&layout(2, 2)).await;
    let running = ClientRequest {
        deadline_ms: 30_000,
        run_ms: 4_000,
        ..once("running")
    };
    let run = fleet.spawn(0, &running);
    fleet.wait_until_running("running").await;
    let target = target_that_ran(&fleet, "running").await;
    let drain = OperatorChange::DrainHost {
        host: HostName::try_from(fleet.targets[target].name.as_str()).unwrap(),
        seen: None,
    };
    fleet.change(1, drain).await.unwrap();
    fleet.signal(0, Signal::TERM);
    let mut number = 0;
    wait_until("new requests avoid the drained target", async || {
        number += 1;
        let request = idempotent(&format!("early-{number}"));
        let response = fleet.send(1, &request).await;
        assert_complete(&request, &response);
        target_that_ran(&fleet, &request.work_id).await != target
    })
    .await;
    for number in 0..20 {
        let request = once(&format!("after-{number}"));
        let response = fleet.send(1, &request).await;
        assert_complete(&request, &response);
        assert_ne!(target_that_ran(&fleet, &request.work_id).await, target);
    }
    assert_complete(&running, &run.await.unwrap());
    assert_eq!(fleet.runs_of("running").await, 1);
    wait_until_stopped(&mut fleet, 0).await;
}

/// A queued request that is refused must be able to run elsewhere, so its key must be released before the process
/// ends.
#[tokio::test(flavor = "multi_thread")]
async fn keys_released() {
    let mut layout = layout(2, 1);
    layout.slots = 2;
    let mut fleet = start(&layout).await;
    let long_request = |number| ClientRequest {
        deadline_ms: 30_000,
        run_ms: 3_000,
        ..idempotent(&format!("long-{number}"))
    };
    let running: Vec<_> = (0..2)
        .map(|number| fleet.spawn(0, &long_request(number)))
        .collect();
    fleet.wait_until_running("long-0").await;
    fleet.wait_until_running("long-1").await;
    let request = ClientRequest {
        deadline_ms: 30_000,
        ..once("moved-on")
    };
    let queued = fleet.spawn(0, &request);
    fleet
        .wait_until_claimed(request.key.as_ref().unwrap())
        .await;
    // With the log down, the release can only be appended after the last request has completed.
    fleet.set_log_faults("{\"down\":true}").await.unwrap();
    fleet.signal(0, Signal::TERM);
    let queued = queued.await.unwrap();
    assert_eq!(queued.outcome(), "not-run", "{queued:?}");
    for response in running {
        assert_eq!(response.await.unwrap().outcome(), "done");
    }
    fleet.set_log_faults("{}").await.unwrap();
    wait_until_stopped(&mut fleet, 0).await;
    wait_until("the request runs elsewhere", async || {
        fleet.send(1, &request).await.outcome() == "done"
    })
    .await;
    assert_eq!(fleet.runs_of("moved-on").await, 1);
}
