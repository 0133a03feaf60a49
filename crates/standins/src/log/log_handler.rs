use {
    super::LogStore,
    crate::http::{HandlerResponse, HttpHandler, json, status},
    goldcreststall_core::ledger::LogOffset,
    goldcreststall_platform::log::AppendReceipt,
    http::{Method, Request, StatusCode},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{sync::Arc, time::Duration},
};

/// Serves a [`LogStore`] over HTTP; `POST /faults` replaces its [`LogFaults`](super::LogFaults).
#[derive(Clone, Debug)]
pub struct LogHandler {
    store: Arc<LogStore>,
}

impl LogHandler {
    /// Creates a handler that serves `store`.
    pub fn new(store: Arc<LogStore>) -> Self {
        Self { store }
    }

    async fn append(&self, stream: &str, request: Request<Incoming>) -> Option<HandlerResponse> {
        let body = request.into_body().collect().await.ok()?.to_bytes();
        let offset = self.store.append(stream, body.to_vec());
        if self.store.consume_lost_response() {
            return None;
        }
        Some(json(&AppendReceipt { offset }))
    }

    async fn read(&self, stream: &str, query: &str) -> HandlerResponse {
        let from = LogOffset(query_number(query, "from").unwrap_or_default());
        let wait = Duration::from_millis(query_number(query, "wait_ms").unwrap_or_default());
        let mut appended = self.store.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let Some(entries) = self.store.read(stream, from) else {
                let bounds = serde_json::to_vec(&self.store.bounds(stream)).unwrap_or_default();
                return status(StatusCode::GONE, bounds);
            };
            let timeout = tokio::time::timeout_at(deadline, appended.changed());
            if !entries.is_empty() || timeout.await.is_err() {
                let body = postcard::to_stdvec(&entries).unwrap_or_default();
                return status(StatusCode::OK, body);
            }
        }
    }

    async fn set_faults(&self, request: Request<Incoming>) -> Option<HandlerResponse> {
        let body = request.into_body().collect().await.ok()?.to_bytes();
        match serde_json::from_slice(&body) {
            Ok(faults) => {
                self.store.set_faults(faults);
                Some(status(StatusCode::OK, ""))
            }
            Err(error) => Some(status(StatusCode::BAD_REQUEST, error.to_string())),
        }
    }
}

#[async_trait::async_trait]
impl HttpHandler for LogHandler {
    async fn handle(&self, request: Request<Incoming>) -> Option<HandlerResponse> {
        let path = request.uri().path().to_owned();
        if path == "/faults" {
            return self.set_faults(request).await;
        }
        let faults = self.store.faults();
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.down {
            return Some(status(StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        let mut parts = path.strip_prefix("/streams/")?.split('/');
        let stream = parts.next()?.to_owned();
        match (request.method(), parts.next()) {
            (&Method::POST, Some("entries")) => self.append(&stream, request).await,
            (&Method::GET, Some("entries")) => {
                let query = request.uri().query().unwrap_or_default();
                Some(self.read(&stream, query).await)
            }
            (&Method::GET, None) => Some(json(&self.store.bounds(&stream))),
            _ => Some(status(StatusCode::NOT_FOUND, "")),
        }
    }
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}
