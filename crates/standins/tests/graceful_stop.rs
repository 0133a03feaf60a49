//! Guards against a planned stop that cuts a request in flight or loses a queued one without a response.

mod fleet;

use {
    fleet::{TestFleet, idempotent, layout, once, start, until},
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

/// Shorter than the limits after which an entry host closes silent connections or gives up its drain.
const STOP_LIMIT: Duration = Duration::from_secs(25);

fn assert_whole(request: &ClientRequest, response: &ClientResponse) {
    let ClientResponse::Whole { body, outcome, .. } = response else {
        panic!("{} was cut: {response:?}", request.work);
    };
    assert_eq!(outcome, "done", "{response:?}");
    assert_eq!(*body, request.body);
}

async fn wait_stopped(fleet: &mut TestFleet, entry: usize) {
    let mut process = fleet.entries[entry].process.take().unwrap();
    let wait = move || process.wait(STOP_LIMIT);
    let status = tokio::task::spawn_blocking(wait).await.unwrap();
    let status = status.expect("the entry host stops although a connection stays open");
    assert!(status.success(), "{status}");
}

/// Returns the index of the target that ran a request.
async fn target_of(fleet: &TestFleet, work: &str) -> usize {
    for index in 0..fleet.targets.len() {
        let counts = fleet.target_counts(index).await.unwrap();
        if counts.runs.iter().any(|(id, _)| id == work) {
            return index;
        }
    }
    panic!("{work} did not run");
}

/// Opens a keep-alive connection, uses it once and leaves it open.
async fn kept_connection(fleet: &TestFleet) -> TcpStream {
    let mut stream = TcpStream::connect(fleet.callers(0)).await.unwrap();
    let request = b"GET /health HTTP/1.1\r\nhost: entry\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut response = [0; 1];
    stream.read_exact(&mut response).await.unwrap();
    stream
}

/// SIGTERM while a response streams, a request runs, others are queued and connections are idle.
#[tokio::test(flavor = "multi_thread")]
async fn entry_stopped() {
    let mut layout = layout(1, 1);
    layout.slots = 2;
    let mut fleet = start(&layout).await;
    let kept = kept_connection(&fleet).await;
    let unused = TcpStream::connect(fleet.callers(0)).await.unwrap();
    let running = ClientRequest {
        deadline_ms: 30_000,
        run_ms: 4_000,
        ..once("running")
    };
    let run = fleet.spawn(0, &running);
    fleet.wait_runs("running").await;
    let streamed = ClientRequest {
        deadline_ms: 30_000,
        piece_ms: 800,
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
        fleet.wait_claim(request.key.as_ref().unwrap()).await;
    }
    fleet.signal(0, Signal::TERM);
    for (response, request) in queued {
        let response = response.await.unwrap();
        assert_eq!(response.reason(), "draining", "{response:?}");
        assert_eq!(response.outcome(), "not-run", "{response:?}");
        assert_eq!(fleet.runs_of(&request.work).await, 0);
    }
    assert_whole(&streamed, &stream.await.unwrap());
    assert_whole(&running, &run.await.unwrap());
    wait_stopped(&mut fleet, 0).await;
    drop((kept, unused));
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
    fleet.wait_runs("running").await;
    let target = target_of(&fleet, "running").await;
    let drain = OperatorChange::DrainHost {
        host: HostName::try_from(fleet.targets[target].name.as_str()).unwrap(),
        seen: None,
    };
    fleet.change(1, drain).await.unwrap();
    fleet.signal(0, Signal::TERM);
    let mut number = 0;
    until("work avoids the drained target", async || {
        number += 1;
        let request = idempotent(&format!("early-{number}"));
        let response = fleet.send(1, &request).await;
        assert_whole(&request, &response);
        target_of(&fleet, &request.work).await != target
    })
    .await;
    for number in 0..20 {
        let request = once(&format!("after-{number}"));
        let response = fleet.send(1, &request).await;
        assert_whole(&request, &response);
        assert_ne!(target_of(&fleet, &request.work).await, target);
    }
    assert_whole(&running, &run.await.unwrap());
    assert_eq!(fleet.runs_of("running").await, 1);
    wait_stopped(&mut fleet, 0).await;
}

/// A queued request that is refused must be able to run elsewhere, so its key is given back before the end.
#[tokio::test(flavor = "multi_thread")]
async fn keys_released() {
    let mut layout = layout(2, 1);
    layout.slots = 2;
    let mut fleet = start(&layout).await;
    let long = |number| ClientRequest {
        deadline_ms: 30_000,
        run_ms: 3_000,
        ..idempotent(&format!("long-{number}"))
    };
    let running: Vec<_> = (0..2).map(|number| fleet.spawn(0, &long(number))).collect();
    fleet.wait_runs("long-0").await;
    fleet.wait_runs("long-1").await;
    let request = ClientRequest {
        deadline_ms: 30_000,
        ..once("moved-on")
    };
    let queued = fleet.spawn(0, &request);
    fleet.wait_claim(request.key.as_ref().unwrap()).await;
    // The release cannot be appended before the last exchange has ended.
    fleet.set_log_faults("{\"down\":true}").await.unwrap();
    fleet.signal(0, Signal::TERM);
    let queued = queued.await.unwrap();
    assert_eq!(queued.outcome(), "not-run", "{queued:?}");
    for response in running {
        assert_eq!(response.await.unwrap().outcome(), "done");
    }
    fleet.set_log_faults("{}").await.unwrap();
    wait_stopped(&mut fleet, 0).await;
    until("the request runs elsewhere", async || {
        fleet.send(1, &request).await.outcome() == "done"
    })
    .await;
    assert_eq!(fleet.runs_of("moved-on").await, 1);
}
