use {
    crate::http::{HttpHandler, Reply, json, status},
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

/// Pieces in which a streamed answer is sent.
const STREAM_PIECES: u64 = 4;

/// The faults of a target that are in force.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// Run the next requests and close their connections without a response.
    pub lose_answers: u32,
    /// Refuse requests as not run and say that the target is leaving.
    pub leaving: bool,
    /// Hold this many of the next requests for `run-ms` and then refuse them as not run.
    pub refuse: u32,
    /// Cut this many of the next answers in the middle of the body.
    pub truncate: u32,
}

/// How often each request ran.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunCounts {
    /// Requests that were refused as not run.
    #[serde(default)]
    pub refused: u32,
    /// Identity of the request, from its `work-id` header, and number of runs.
    pub runs: Vec<(String, u32)>,
}

/// Answers requests after `run-ms` milliseconds, in at most `slots` at a time. The response repeats the
/// `work-id` header and the body of the request, with a pause of `piece-ms` before each piece. `GET /runs` returns the counts, `POST /faults` sets
/// the faults.
#[derive(Debug)]
pub struct TargetHandler {
    faults: Mutex<TargetFaults>,
    name: HostName,
    refused: AtomicU32,
    runs: Mutex<Vec<(String, u32)>>,
    slots: Arc<Semaphore>,
}

impl TargetHandler {
    /// Creates a target with `slots` slots.
    pub fn new(name: HostName, slots: usize) -> Self {
        Self {
            faults: Mutex::default(),
            name,
            refused: AtomicU32::new(0),
            runs: Mutex::default(),
            slots: Arc::new(Semaphore::new(slots)),
        }
    }

    fn count(&self, work: &str) {
        let mut runs = self.runs.lock();
        match runs.binary_search_by(|(id, _)| id.as_str().cmp(work)) {
            Ok(index) => runs[index].1 += 1,
            Err(index) => runs.insert(index, (work.to_owned(), 1)),
        }
    }

    async fn run(&self, request: Request<Incoming>) -> Option<Reply> {
        if self.faults.lock().leaving {
            return Some(self.refuse());
        }
        let header = |name: &str| {
            let value = request.headers().get(name)?;
            Some(value.to_str().ok()?.to_owned())
        };
        let work = header("work-id").unwrap_or_default();
        let run_ms: u64 = header("run-ms")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        if use_up(&mut self.faults.lock().refuse) {
            let mut refusal = self.refuse();
            refusal.headers_mut().remove("gcs-leaving");
            tokio::time::sleep(Duration::from_millis(run_ms)).await;
            return Some(refusal);
        }
        let piece_ms: u64 = header("piece-ms")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        let body = request.into_body().collect().await.ok()?.to_bytes();
        let _slot = self.slots.acquire().await.ok()?;
        self.count(&work);
        tokio::time::sleep(Duration::from_millis(run_ms)).await;
        if use_up(&mut self.faults.lock().lose_answers) {
            return None;
        }
        let truncated = use_up(&mut self.faults.lock().truncate);
        let pause = Duration::from_millis(piece_ms);
        Some(self.respond(&work, body, truncated, pause))
    }

    fn refuse(&self) -> Reply {
        self.refused.fetch_add(1, Ordering::Relaxed);
        let mut reply = status(StatusCode::SERVICE_UNAVAILABLE, "leaving");
        let headers = reply.headers_mut();
        headers.insert("gcs-not-run", http::HeaderValue::from_static("true"));
        headers.insert("gcs-leaving", http::HeaderValue::from_static("true"));
        reply
    }

    fn respond(&self, work: &str, body: Bytes, truncated: bool, pause: Duration) -> Reply {
        let stream = StreamBody::new(PieceStream {
            body,
            fail_at: truncated.then_some(STREAM_PIECES / 2),
            pause: Box::pin(tokio::time::sleep(pause)),
            piece: 0,
            piece_pause: pause,
        });
        let mut reply = Response::new(stream.boxed());
        let headers = reply.headers_mut();
        if let Ok(value) = work.parse() {
            headers.insert("work-id", value);
        }
        if let Ok(value) = self.name.as_str().parse() {
            headers.insert("served-by", value);
        }
        reply
    }
}

fn use_up(count: &mut u32) -> bool {
    let left = *count > 0;
    *count = count.saturating_sub(1);
    left
}

#[async_trait::async_trait]
impl HttpHandler for TargetHandler {
    async fn handle(&self, request: Request<Incoming>) -> Option<Reply> {
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

/// Sends a body in pieces, and fails in the middle when told to.
struct PieceStream {
    body: Bytes,
    fail_at: Option<u64>,
    pause: std::pin::Pin<Box<tokio::time::Sleep>>,
    piece: u64,
    piece_pause: Duration,
}

impl futures_util::Stream for PieceStream {
    type Item = Result<Frame<Bytes>, io::Error>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        if !self.piece_pause.is_zero() {
            std::task::ready!(self.pause.as_mut().poll(context));
            let next = tokio::time::Instant::now() + self.piece_pause;
            self.pause.as_mut().reset(next);
        }
        let piece = self.piece;
        self.piece += 1;
        if self.fail_at == Some(piece) {
            let error = io::Error::other("truncated on request");
            return std::task::Poll::Ready(Some(Err(error)));
        }
        if piece >= STREAM_PIECES {
            return std::task::Poll::Ready(None);
        }
        let left = STREAM_PIECES - piece;
        let size = (self.body.len() as u64).div_ceil(left) as usize;
        let data = self.body.split_to(size);
        std::task::Poll::Ready(Some(Ok(Frame::data(data))))
    }
}
