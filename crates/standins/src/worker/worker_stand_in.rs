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

const MAX_BODY_BYTES: usize = 64 * 1024;

/// Settings of a worker stand-in.
#[derive(Clone, Copy, Debug)]
pub struct WorkerSettings {
    /// Loopback address on which the stand-in listens; port 0 selects a free port.
    pub address: SocketAddr,
    /// Resources of the worker, as reported in its status.
    pub capacity: JobSize,
    /// Incarnation of the worker; requests that name another one are refused.
    pub incarnation: Incarnation,
    /// Run time of tasks whose payload states none.
    pub run_time: Millis,
}

/// A worker stand-in that serves HTTP. Dropping it stops the server and closes its connections.
#[derive(Debug)]
pub struct WorkerStandIn {
    address: SocketAddr,
    server: tokio::task::JoinHandle<()>,
    table: Arc<Mutex<TaskTable>>,
}

impl WorkerStandIn {
    /// Binds the address and starts the server.
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
        let server = tokio::spawn(accept_connections(listener, Arc::clone(&table)));
        Ok(Self {
            address,
            server,
            table,
        })
    }

    /// Returns the bound address, with the port selected for port 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces all active faults.
    pub fn set_faults(&self, faults: WorkerFaults) {
        self.table.lock().faults = faults;
    }

    /// Returns how often a task of the job has started.
    pub fn starts(&self, job: JobId) -> u32 {
        self.table.lock().starts(job)
    }
}

impl Drop for WorkerStandIn {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn accept_connections(listener: TcpListener, table: Arc<Mutex<TaskTable>>) {
    // Dropping the set closes the connections when the server task is aborted.
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(serve_connection(stream, Arc::clone(&table)));
        while connections.try_join_next().is_some() {}
    }
}

async fn serve_connection(stream: TcpStream, table: Arc<Mutex<TaskTable>>) {
    let service = service_fn(|request| handle_request(request, Arc::clone(&table)));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    // An error means that the client closed the connection or that a response was dropped on purpose.
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
    let outcome = execute(&mut table, &parts.method, parts.uri.path(), &body);
    if table.faults.lose_answers > 0 {
        table.faults.lose_answers -= 1;
        // An error closes the connection without a response.
        bail!("response dropped by an active fault");
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

/// Executes a request; `None` for an unknown path or method.
fn execute(
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
        "checkpoint" => handle_json(body, |request| table.checkpoint(now, &request)),
        "fence" => handle_json(body, |request| table.fence(now, &request)),
        "forget" => handle_json(body, |request| table.forget(now, &request)),
        "renew" => handle_json(body, |request| table.renew(now, &request)),
        "start" => handle_json(body, |request| table.start(now, &request)),
        "stop" => handle_json(body, |request| table.stop(now, &request)),
        "throttle" => handle_json(body, |request| table.throttle(now, &request)),
        _ => return None,
    })
}

fn handle_json<B: DeserializeOwned, R: Serialize>(
    body: &[u8],
    action: impl FnOnce(B) -> Result<R, WorkerRefusal>,
) -> Result<Vec<u8>, WorkerRefusal> {
    let request = serde_json::from_slice(body).map_err(|_| WorkerRefusal::Invalid)?;
    encode(&action(request)?)
}

fn encode<R: Serialize>(response: &R) -> Result<Vec<u8>, WorkerRefusal> {
    // Encoding to memory fails only for maps with keys that are not strings, and no response has such a map.
    Ok(serde_json::to_vec(response).expect("the response has only string keys"))
}

fn respond(status: StatusCode, body: Vec<u8>) -> Result<Response<Full<Bytes>>> {
    let response = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))?;
    Ok(response)
}
