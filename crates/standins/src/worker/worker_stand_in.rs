use {
    super::{TaskTable, WorkerFaults, boot_time},
    anyhow::{Result, bail},
    bytes::Bytes,
    goldcreststall_core::{
        ids::{Incarnation, Millis},
        jobs::{JobId, JobSize},
    },
    goldcreststall_platform::worker_service::{RefusalBody, WorkerRefusal},
    http::{Method, Request, Response, StatusCode, header},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    parking_lot::Mutex,
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, sync::Arc},
    tokio::{
        net::{TcpListener, TcpStream},
        task::JoinSet,
    },
};

/// Largest request body that is read, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Settings of a stand-in.
#[derive(Clone, Copy, Debug)]
pub struct WorkerSettings {
    /// Where the stand-in listens; a loopback address. Port 0 takes a free one.
    pub address: SocketAddr,
    /// What the worker holds.
    pub capacity: JobSize,
    /// The run of the worker.
    pub incarnation: Incarnation,
    /// Run time of tasks whose payload states none.
    pub run_time: Millis,
}

/// A running stand-in. It ends when it is dropped.
#[derive(Debug)]
pub struct WorkerStandIn {
    address: SocketAddr,
    server: tokio::task::JoinHandle<()>,
    table: Arc<Mutex<TaskTable>>,
}

impl WorkerStandIn {
    /// Starts the stand-in.
    ///
    /// # Errors
    /// When the address is not a loopback address or cannot be bound.
    pub async fn start(settings: WorkerSettings) -> Result<Self> {
        if !settings.address.ip().is_loopback() {
            bail!("{} is not a loopback address", settings.address);
        }
        let listener = TcpListener::bind(settings.address).await?;
        let address = listener.local_addr()?;
        let table = TaskTable::new(settings.incarnation, settings.capacity, settings.run_time);
        let table = Arc::new(Mutex::new(table));
        let server = tokio::spawn(accept_all(listener, Arc::clone(&table)));
        Ok(Self {
            address,
            server,
            table,
        })
    }

    /// Returns the address on which the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what goes wrong from now on.
    pub fn set_faults(&self, faults: WorkerFaults) {
        self.table.lock().faults = faults;
    }

    /// Returns how often the tasks of a job began.
    pub fn starts(&self, job: JobId) -> u32 {
        self.table.lock().starts(job)
    }
}

impl Drop for WorkerStandIn {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn accept_all(listener: TcpListener, table: Arc<Mutex<TaskTable>>) {
    // Connections end with the set, and the set with the server.
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(serve(stream, Arc::clone(&table)));
        while connections.try_join_next().is_some() {}
    }
}

async fn serve(stream: TcpStream, table: Arc<Mutex<TaskTable>>) {
    let service = service_fn(|request| handle_request(request, Arc::clone(&table)));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    // An error means that the peer went away or that a response was lost on purpose.
    let _ = connection.await;
}

async fn handle_request(
    request: Request<Incoming>,
    table: Arc<Mutex<TaskTable>>,
) -> Result<Response<Full<Bytes>>> {
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let Ok(body) = body else {
        return respond(StatusCode::PAYLOAD_TOO_LARGE, Vec::new());
    };
    let body = body.to_bytes();
    let mut table = table.lock();
    let outcome = act(&mut table, &parts.method, parts.uri.path(), &body);
    if table.faults.lose_answers > 0 {
        table.faults.lose_answers -= 1;
        // An error ends the connection without a response.
        bail!("answer lost");
    }
    match outcome {
        Some(Ok(body)) => respond(StatusCode::OK, body),
        Some(Err(refusal)) => {
            let body = serde_json::to_vec(&RefusalBody { refusal })?;
            respond(StatusCode::CONFLICT, body)
        }
        None => respond(StatusCode::NOT_FOUND, Vec::new()),
    }
}

/// Carries a request out; none when there is no such path.
fn act(
    table: &mut TaskTable,
    method: &Method,
    path: &str,
    body: &[u8],
) -> Option<Result<Vec<u8>, WorkerRefusal>> {
    let now = boot_time();
    if *method == Method::GET && path == "/v1/tasks" {
        return Some(encode(&table.status(now)));
    }
    let action = path
        .strip_prefix("/v1/tasks/")
        .filter(|_| *method == Method::POST)?;
    Some(match action {
        "checkpoint" => run(body, |request| table.checkpoint(now, &request)),
        "fence" => run(body, |request| table.fence(now, &request)),
        "forget" => run(body, |request| table.forget(now, &request)),
        "renew" => run(body, |request| table.renew(now, &request)),
        "start" => run(body, |request| table.start(now, &request)),
        "stop" => run(body, |request| table.stop(now, &request)),
        "throttle" => run(body, |request| table.throttle(now, &request)),
        _ => return None,
    })
}

fn run<B: DeserializeOwned, A: Serialize>(
    body: &[u8],
    act: impl FnOnce(B) -> Result<A, WorkerRefusal>,
) -> Result<Vec<u8>, WorkerRefusal> {
    let request = serde_json::from_slice(body).map_err(|_| WorkerRefusal::Invalid)?;
    encode(&act(request)?)
}

fn encode<A: Serialize>(response: &A) -> Result<Vec<u8>, WorkerRefusal> {
    // Encoding to memory fails only for maps with keys that are no text, which none of ours has.
    Ok(serde_json::to_vec(response).expect("the answer has text keys"))
}

fn respond(status: StatusCode, body: Vec<u8>) -> Result<Response<Full<Bytes>>> {
    let response = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))?;
    Ok(response)
}
