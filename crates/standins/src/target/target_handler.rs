use {
    crate::http::{HandlerResponse, HttpHandler, json, status},
    bytes::Bytes,
    goldcreststall_core::ids::HostName,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, StreamBody},
    hyper::body::{Frame, Incoming},
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::sync::Semaphore,
};

/// Number of chunks of each response body.
const STREAM_CHUNKS: u64 = 4;

/// Active faults of a target, as set over HTTP in JSON.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// Number of next requests that run and whose connections are then closed without a response.
    pub lose_answers: u32,
    /// Refuses all requests as not run and reports that the target is leaving.
    pub leaving: bool,
    /// Number of next requests that wait for `run-ms` milliseconds and are then refused as not run.
    pub refuse: u32,
    /// Number of next responses whose connection is closed in the middle of the body.
    pub truncate: u32,
}

/// Numbers of runs and refusals, as `GET /runs` returns them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunCounts {
    /// Number of requests that were refused as not run.
    #[serde(default)]
    pub refused: u32,
    /// Work ID of each request, from its `work-id` header, and its number of runs; sorted by ID.
    pub runs: Vec<(String, u32)>,
}

/// Runs each request for `run-ms` milliseconds, at most `slots` requests at a time. The response repeats the
/// `work-id` header and the body of the request, with a delay of `piece-ms` milliseconds before each chunk of the
/// body. `GET /runs` returns the [`RunCounts`], `POST /faults` replaces the [`TargetFaults`].
#[derive(Debug)]
pub struct TargetHandler {
    faults: Mutex<TargetFaults>,
    name: HostName,
    refused: AtomicU32,
    runs: Mutex<Vec<(String, u32)>>,
    slots: Arc<Semaphore>,
}

impl TargetHandler {
    /// Creates a target that runs at most `slots` requests at a time.
    pub fn new(name: HostName, slots: usize) -> Self {
        Self {
            faults: Mutex::default(),
            name,
            refused: AtomicU32::new(0),
            runs: Mutex::default(),
            slots: Arc::new(Semaphore::new(slots)),
        }
    }

    fn count_run(&self, work_id: &str) {
        let mut runs = self.runs.lock();
        match runs.binary_search_by(|(id, _)| id.as_str().cmp(work_id)) {
            Ok(index) => runs[index].1 += 1,
            Err(index) => runs.insert(index, (work_id.to_owned(), 1)),
        }
    }

    async fn run(&self, request: Request<Incoming>) -> Option<HandlerResponse> {
        if self.faults.lock().leaving {
            return Some(self.refuse());
        }
        let header = |name: &str| {
            let value = request.headers().get(name)?;
            Some(value.to_str().ok()?.to_owned())
        };
        let work_id = header("work-id").unwrap_or_default();
        let run_ms: u64 = header("run-ms")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        if consume(&mut self.faults.lock().refuse) {
            let mut refusal = self.refuse();
            refusal.headers_mut().remove("gcs-leaving");
            tokio::time::sleep(Duration::from_millis(run_ms)).await;
            return Some(refusal);
        }
        let chunk_delay_ms: u64 = header("piece-ms")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        let body = request.into_body().collect().await.ok()?.to_bytes();
        let _slot = self.slots.acquire().await.ok()?;
        self.count_run(&work_id);
        tokio::time::sleep(Duration::from_millis(run_ms)).await;
        if consume(&mut self.faults.lock().lose_answers) {
            return None;
        }
        let truncated = consume(&mut self.faults.lock().truncate);
        let delay = Duration::from_millis(chunk_delay_ms);
        Some(self.respond(&work_id, body, truncated, delay))
    }

    fn refuse(&self) -> HandlerResponse {
        self.refused.fetch_add(1, Ordering::Relaxed);
        let mut response = status(StatusCode::SERVICE_UNAVAILABLE, "leaving");
        let headers = response.headers_mut();
        headers.insert("gcs-not-run", http::HeaderValue::from_static("true"));
        headers.insert("gcs-leaving", http::HeaderValue::from_static("true"));
        response
    }

    fn respond(
        &self,
        work_id: &str,
        body: Bytes,
        truncated: bool,
        delay: Duration,
    ) -> HandlerResponse {
        let stream = StreamBody::new(ChunkStream {
            body,
            fail_at: truncated.then_some(STREAM_CHUNKS / 2),
            timer: Box::pin(tokio::time::sleep(delay)),
            next_chunk: 0,
            chunk_delay: delay,
        });
        let mut response = Response::new(stream.boxed());
        let headers = response.headers_mut();
        if let Ok(value) = work_id.parse() {
            headers.insert("work-id", value);
        }
        if let Ok(value) = self.name.as_str().parse() {
            headers.insert("served-by", value);
        }
        response
    }
}

fn consume(count: &mut u32) -> bool {
    let is_left = *count > 0;
    *count = count.saturating_sub(1);
    is_left
}

#[async_trait::async_trait]
impl HttpHandler for TargetHandler {
    async fn handle(&self, request: Request<Incoming>) -> Option<HandlerResponse> {
        match request.uri().path() {
            "/runs" => Some(json(&RunCounts {
                refused: self.refused.load(Ordering::Relaxed),
                runs: self.runs.lock().clone(),
            })),
            "/faults" => {
                let body = request.into_body().collect().await.ok()?.to_bytes();
                let faults = serde_json::from_slice(&body).ok()?;
                *self.faults.lock() = faults;
                Some(status(StatusCode::OK, ""))
            }
            _ => self.run(request).await,
        }
    }
}

/// Sends a body in [`STREAM_CHUNKS`] chunks; a truncated body fails before chunk `fail_at`.
struct ChunkStream {
    body: Bytes,
    fail_at: Option<u64>,
    timer: std::pin::Pin<Box<tokio::time::Sleep>>,
    next_chunk: u64,
    chunk_delay: Duration,
}

impl futures_util::Stream for ChunkStream {
    type Item = Result<Frame<Bytes>, io::Error>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        if !self.chunk_delay.is_zero() {
            std::task::ready!(self.timer.as_mut().poll(context));
            let deadline = tokio::time::Instant::now() + self.chunk_delay;
            self.timer.as_mut().reset(deadline);
        }
        let chunk = self.next_chunk;
        self.next_chunk += 1;
        if self.fail_at == Some(chunk) {
            let error = io::Error::other("body truncated by an active fault");
            return std::task::Poll::Ready(Some(Err(error)));
        }
        if chunk >= STREAM_CHUNKS {
            return std::task::Poll::Ready(None);
        }
        let remaining = STREAM_CHUNKS - chunk;
        let size = (self.body.len() as u64).div_ceil(remaining) as usize;
        let data = self.body.split_to(size);
        std::task::Poll::Ready(Some(Ok(Frame::data(data))))
    }
}
