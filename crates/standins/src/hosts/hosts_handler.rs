use {
    crate::{
        http::{HttpHandler, Reply, json, status},
        log::LogFaults,
    },
    goldcreststall_core::ids::{LogTime, Millis},
    goldcreststall_platform::hosts::{HostListing, HostRow},
    http::{HeaderValue, Method, Request, StatusCode, header},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    parking_lot::Mutex,
    std::time::Duration,
};

/// How long a reboot takes.
const REBOOT_TIME: Millis = Millis(500);

/// A state of the list and when it began.
#[derive(Debug)]
struct ListVersion {
    hosts: Vec<HostRow>,
    since: LogTime,
}

/// Serves the list as it was `lag` ago. `POST /hosts` adds or replaces a row, `DELETE /hosts/NAME`
/// removes one, `POST /hosts/faults` sets outages.
#[derive(Debug)]
pub struct HostsHandler {
    faults: Mutex<LogFaults>,
    lag: Millis,
    versions: Mutex<Vec<ListVersion>>,
}

impl HostsHandler {
    /// Creates an empty list that lags by `lag`.
    pub fn new(lag: Millis) -> Self {
        Self {
            faults: Mutex::default(),
            lag,
            versions: Mutex::default(),
        }
    }

    fn change(&self, change: impl FnOnce(&mut Vec<HostRow>)) {
        let mut versions = self.versions.lock();
        let mut hosts = versions
            .last()
            .map_or(Vec::new(), |last| last.hosts.clone());
        change(&mut hosts);
        versions.push(ListVersion {
            hosts,
            since: crate::log::platform_time(),
        });
    }

    fn list(&self) -> HostListing {
        let observed = crate::log::platform_time() - self.lag;
        let versions = self.versions.lock();
        let shown = versions
            .iter()
            .rev()
            .find(|version| version.since <= observed);
        HostListing {
            hosts: shown.map_or(Vec::new(), |version| version.hosts.clone()),
            observed,
        }
    }

    fn put(&self, body: &[u8]) -> Reply {
        let Ok(row) = serde_json::from_slice::<HostRow>(body) else {
            return status(StatusCode::BAD_REQUEST, "not a host row");
        };
        self.change(|hosts| {
            hosts.retain(|host| host.name != row.name);
            hosts.push(row);
        });
        status(StatusCode::OK, "")
    }

    /// Takes a host out of the list and puts it back later as a newer run.
    fn reboot(&self, path: &str) -> Reply {
        let mut parts = path.split('/').skip(2);
        let (name, incarnation) = (parts.next(), parts.nth(1));
        let incarnation: u64 = incarnation
            .and_then(|text| text.parse().ok())
            .unwrap_or_default();
        let mut versions = self.versions.lock();
        let mut hosts = versions
            .last()
            .map_or(Vec::new(), |last| last.hosts.clone());
        let matches =
            |host: &HostRow| Some(host.name.as_str()) == name && host.incarnation.0 == incarnation;
        let Some(index) = hosts.iter().position(matches) else {
            return status(StatusCode::OK, "another run");
        };
        let mut row = hosts.remove(index);
        row.incarnation.0 += 1;
        let now = crate::log::platform_time();
        versions.push(ListVersion {
            hosts: hosts.clone(),
            since: now,
        });
        hosts.push(row);
        versions.push(ListVersion {
            hosts,
            since: now + REBOOT_TIME,
        });
        status(StatusCode::OK, "")
    }

    fn set_faults(&self, body: &[u8]) -> Reply {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                *self.faults.lock() = faults;
                status(StatusCode::OK, "")
            }
            Err(error) => status(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    /// Returns the list, or only its time when the caller has this version.
    async fn get(&self, etag: Option<&HeaderValue>) -> Reply {
        let faults = *self.faults.lock();
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.down {
            return status(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        let list = self.list();
        let version = self.version(list.observed);
        let tag = HeaderValue::from_str(&format!("\"{version}\"")).ok();
        let mut reply = if tag.is_some() && etag == tag.as_ref() {
            status(StatusCode::NOT_MODIFIED, "")
        } else {
            json(&list)
        };
        let headers = reply.headers_mut();
        if let Some(tag) = tag {
            headers.insert(header::ETAG, tag);
        }
        headers.insert("gcs-list-time", HeaderValue::from(list.observed.0));
        reply
    }

    /// Names the version that is shown, also across restarts of the stand-in.
    fn version(&self, observed: LogTime) -> String {
        let versions = self.versions.lock();
        let shown = versions.iter().filter(|version| version.since <= observed);
        let since = shown
            .clone()
            .next_back()
            .map_or(0, |version| version.since.0);
        format!("{since}-{}", shown.count())
    }
}

#[async_trait::async_trait]
impl HttpHandler for HostsHandler {
    async fn handle(&self, request: Request<Incoming>) -> Option<Reply> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let path = head.uri.path();
        Some(match (&head.method, path) {
            (&Method::GET, "/hosts") => self.get(head.headers.get(header::IF_NONE_MATCH)).await,
            (&Method::POST, "/hosts") => self.put(&body),
            (&Method::POST, "/hosts/faults") => self.set_faults(&body),
            (&Method::POST, _) => self.reboot(path),
            (&Method::DELETE, _) => {
                let name = path.rsplit('/').next().unwrap_or_default();
                self.change(|hosts| hosts.retain(|host| host.name.as_str() != name));
                status(StatusCode::OK, "")
            }
            _ => status(StatusCode::NOT_FOUND, ""),
        })
    }
}
