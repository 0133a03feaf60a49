use {
    crate::{
        http::{HandlerResponse, HttpHandler, json, status},
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

/// Time for which a rebooting host is missing from the list.
const REBOOT_DURATION: Millis = Millis(500);

/// Content of the host list from the time `since` on.
#[derive(Debug)]
struct ListVersion {
    hosts: Vec<HostRow>,
    since: LogTime,
}

/// Serves the host list as it was `lag` ago. `POST /hosts` adds or replaces a row, `DELETE /hosts/NAME` removes one,
/// and `POST /hosts/faults` replaces the faults, of which `delay_ms` and `down` apply. A `POST` to
/// `/hosts/NAME/reboot/INCARNATION` reboots a host.
#[derive(Debug)]
pub struct HostsHandler {
    faults: Mutex<LogFaults>,
    lag: Millis,
    versions: Mutex<Vec<ListVersion>>,
}

impl HostsHandler {
    /// Creates an empty host list that is served with a lag of `lag`.
    pub fn new(lag: Millis) -> Self {
        Self {
            faults: Mutex::default(),
            lag,
            versions: Mutex::default(),
        }
    }

    /// Changes the list from now on.
    fn update_hosts(&self, update: impl Fn(&mut Vec<HostRow>)) {
        let now = crate::log::platform_time();
        update_from(&mut self.versions.lock(), now, update);
    }

    fn current_listing(&self) -> HostListing {
        let observed = crate::log::platform_time() - self.lag;
        let versions = self.versions.lock();
        HostListing {
            hosts: hosts_at(&versions, observed).to_vec(),
            observed,
        }
    }

    fn insert_host(&self, body: &[u8]) -> HandlerResponse {
        let Ok(row) = serde_json::from_slice::<HostRow>(body) else {
            return status(
                StatusCode::BAD_REQUEST,
                "the body is not a row of the host list",
            );
        };
        self.update_hosts(|hosts| {
            hosts.retain(|host| host.name != row.name);
            hosts.push(row.clone());
        });
        status(StatusCode::OK, "")
    }

    /// Removes a host from the list and adds it again after [`REBOOT_DURATION`] with the next incarnation. A request
    /// for another incarnation has no effect.
    fn reboot(&self, path: &str) -> HandlerResponse {
        let mut parts = path.split('/').skip(2);
        let (name, incarnation) = (parts.next(), parts.nth(1));
        let incarnation: u64 = incarnation
            .and_then(|text| text.parse().ok())
            .unwrap_or_default();
        let now = crate::log::platform_time();
        let mut versions = self.versions.lock();
        let is_rebooted =
            |host: &&HostRow| Some(host.name.as_str()) == name && host.incarnation.0 == incarnation;
        let hosts = hosts_at(&versions, now);
        let Some(mut row) = hosts.iter().find(is_rebooted).cloned() else {
            return status(StatusCode::OK, "another incarnation");
        };
        let remove = |hosts: &mut Vec<HostRow>| hosts.retain(|host| host.name != row.name);
        update_from(&mut versions, now, remove);
        row.incarnation.0 += 1;
        update_from(&mut versions, now + REBOOT_DURATION, |hosts| {
            hosts.push(row.clone());
        });
        status(StatusCode::OK, "")
    }

    fn set_faults(&self, body: &[u8]) -> HandlerResponse {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                *self.faults.lock() = faults;
                status(StatusCode::OK, "")
            }
            Err(error) => status(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    /// Returns the host list, or only its time when `etag` names the current version.
    async fn get(&self, etag: Option<&HeaderValue>) -> HandlerResponse {
        let faults = *self.faults.lock();
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.down {
            return status(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        let listing = self.current_listing();
        let version = self.version_tag(listing.observed);
        let tag = HeaderValue::from_str(&format!("\"{version}\"")).ok();
        let mut response = if tag.is_some() && etag == tag.as_ref() {
            status(StatusCode::NOT_MODIFIED, "")
        } else {
            json(&listing)
        };
        let headers = response.headers_mut();
        if let Some(tag) = tag {
            headers.insert(header::ETAG, tag);
        }
        headers.insert("gcs-list-time", HeaderValue::from(listing.observed.0));
        response
    }

    /// Returns the tag of the visible version. It includes the time of the version, so that a restarted stand-in does
    /// not repeat the tag of another list.
    fn version_tag(&self, observed: LogTime) -> String {
        let versions = self.versions.lock();
        let visible = versions.iter().filter(|version| version.since <= observed);
        let since = visible
            .clone()
            .next_back()
            .map_or(0, |version| version.since.0);
        format!("{since}-{}", visible.count())
    }
}

/// Returns the hosts that are listed at `time`.
fn hosts_at(versions: &[ListVersion], time: LogTime) -> &[HostRow] {
    let visible = versions.partition_point(|version| version.since <= time);
    versions[..visible]
        .last()
        .map_or(&[], |version| &version.hosts)
}

/// Changes the list from `since` on. Later versions exist while hosts reboot; they get the change as well, so that a
/// host stays missing until the end of its reboot.
fn update_from(
    versions: &mut Vec<ListVersion>,
    since: LogTime,
    update: impl Fn(&mut Vec<HostRow>),
) {
    let index = versions.partition_point(|version| version.since <= since);
    let hosts = hosts_at(versions, since).to_vec();
    versions.insert(index, ListVersion { hosts, since });
    for version in &mut versions[index..] {
        update(&mut version.hosts);
    }
}

#[async_trait::async_trait]
impl HttpHandler for HostsHandler {
    async fn handle(&self, request: Request<Incoming>) -> Option<HandlerResponse> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let path = head.uri.path();
        Some(match (&head.method, path) {
            (&Method::GET, "/hosts") => self.get(head.headers.get(header::IF_NONE_MATCH)).await,
            (&Method::POST, "/hosts") => self.insert_host(&body),
            (&Method::POST, "/hosts/faults") => self.set_faults(&body),
            (&Method::POST, _) => self.reboot(path),
            (&Method::DELETE, _) => {
                let name = path.rsplit('/').next().unwrap_or_default();
                self.update_hosts(|hosts| hosts.retain(|host| host.name.as_str() != name));
                status(StatusCode::OK, "")
            }
            _ => status(StatusCode::NOT_FOUND, ""),
        })
    }
}
