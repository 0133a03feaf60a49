use {
    crate::{
        clock::BootClock,
        control::{ControlHandle, ProposeError},
    },
    goldcreststall_callers::request::RequestError,
    goldcreststall_core::{
        claims::{CLAIM_MAX_AGE, ClaimRecord, IssuedKeys, KeyUse},
        error::ErrorKind,
        ids::{LocalTime, Millis, RequestKey},
        ledger::{RecordBody, Rejection},
    },
    parking_lot::Mutex,
    std::{sync::Arc, time::Duration},
    tokio::task::JoinHandle,
    tokio_util::task::TaskTracker,
};

/// How long to wait for a claim to be read back from the log.
const CLAIM_TIMEOUT: Millis = Millis(3_000);
/// How long the response to a refused request is delayed until the release of its claim is in the log.
const RELEASE_TIMEOUT: Millis = Millis(1_000);
/// How long to wait at shutdown for releases of claims to be read back from the log.
const SHUTDOWN_RELEASE_TIMEOUT: Millis = Millis(5_000);

/// Ensures that for each request key at most one request is sent.
pub(super) struct RequestClaims {
    clock: BootClock,
    control: ControlHandle,
    issued: Mutex<IssuedKeys>,
    /// Releases that have not been read back from the log yet.
    releases: TaskTracker,
}

/// A key that only this request may use. Dropping it before the request is sent releases the key, as when a caller
/// disconnects while its request is queued; once the request is sent, the key stays used.
pub(super) struct ClaimedKey {
    claims: Arc<RequestClaims>,
    key: RequestKey,
    sent: bool,
}

impl RequestClaims {
    pub(super) fn new(control: ControlHandle) -> Arc<Self> {
        let issued = IssuedKeys::new(control.entry().clone());
        Arc::new(Self {
            clock: BootClock,
            control,
            issued: Mutex::new(issued),
            releases: TaskTracker::new(),
        })
    }

    /// Issues a key that can be claimed without the log service.
    pub(super) fn issue(&self) -> RequestKey {
        self.issued.lock().issue(self.clock.now())
    }

    /// Claims the key of a non-idempotent request.
    ///
    /// # Errors
    /// `KeyMissing`, `KeyClaimed`, `KeyExpired`, `KeyForeign`, `InvalidRequest` or `StoreUnavailable`.
    pub(super) async fn claim(
        self: &Arc<Self>,
        key: Option<&RequestKey>,
        deadline: LocalTime,
    ) -> Result<ClaimedKey, RequestError> {
        let key = key.ok_or(ErrorKind::KeyMissing)?;
        match key {
            RequestKey::Issued { issuer, number } => {
                let used = self
                    .issued
                    .lock()
                    .use_key(self.clock.now(), issuer, *number);
                check_use(used)?;
            }
            RequestKey::Caller(key) => self.claim_in_log(*key, deadline).await?,
        }
        Ok(ClaimedKey {
            claims: Arc::clone(self),
            key: key.clone(),
            sent: false,
        })
    }

    /// Waits until the keys of refused requests are released; false if some are not within the timeout. While a key
    /// stays claimed, every other entry host reports the outcome of its request as `unknown`, although the request did
    /// not run.
    pub(super) async fn finish_releases(&self) -> bool {
        self.releases.close();
        let timeout = Duration::from_millis(SHUTDOWN_RELEASE_TIMEOUT.0);
        let finished = tokio::time::timeout(timeout, self.releases.wait());
        finished.await.is_ok()
    }

    async fn claim_in_log(&self, key: u128, deadline: LocalTime) -> Result<(), RequestError> {
        if !self.control.is_log_available() {
            return Err(ErrorKind::StoreUnavailable.into());
        }
        // Waiting longer would leave the caller no time to try another entry host.
        let deadline = deadline.min(self.clock.now() + CLAIM_TIMEOUT);
        let claim = ClaimRecord::Claim {
            holder: self.control.entry().clone(),
            key,
        };
        let proposed = self.control.propose(RecordBody::Claim(claim), deadline);
        proposed.await.map_err(|error| claim_error(error).into())
    }

    /// Starts to release a key; if it is claimed in the log, returns the task that waits for the log.
    fn release_key(&self, key: &RequestKey) -> Option<JoinHandle<()>> {
        match key {
            RequestKey::Issued { number, .. } => {
                self.issued.lock().release_key(self.clock.now(), *number);
                None
            }
            RequestKey::Caller(key) => Some(self.release_in_log(*key)),
        }
    }

    fn release_in_log(&self, key: u128) -> JoinHandle<()> {
        let release = ClaimRecord::Release {
            holder: self.control.entry().clone(),
            key,
        };
        let control = self.control.clone();
        let deadline = self.clock.now() + CLAIM_MAX_AGE;
        self.releases.spawn(async move {
            // If the release is lost, the key stays claimed, which is safe.
            let _ = control.propose(RecordBody::Claim(release), deadline).await;
        })
    }
}

impl ClaimedKey {
    /// Records that the request is about to be sent; from now on the key stays used.
    pub(super) fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Releases the key of a request that did not run. The caller may send its request to another entry host as soon as
    /// it gets the response, so this waits up to [`RELEASE_TIMEOUT`] for the release to be in the log.
    pub(super) async fn release(mut self) {
        // Keeps `drop` from releasing the key a second time.
        self.sent = true;
        if let Some(released) = self.claims.release_key(&self.key) {
            let timeout = Duration::from_millis(RELEASE_TIMEOUT.0);
            // The release continues in the background after the timeout.
            let _ = tokio::time::timeout(timeout, released).await;
        }
    }
}

impl Drop for ClaimedKey {
    fn drop(&mut self) {
        if !self.sent {
            self.claims.release_key(&self.key);
        }
    }
}

fn check_use(used: KeyUse) -> Result<(), RequestError> {
    match used {
        KeyUse::First => Ok(()),
        KeyUse::Repeated => Err(ErrorKind::KeyClaimed.into()),
        KeyUse::Expired => Err(ErrorKind::KeyExpired.into()),
        KeyUse::Foreign => Err(ErrorKind::KeyForeign.into()),
    }
}

fn claim_error(error: ProposeError) -> ErrorKind {
    match error {
        ProposeError::Rejected(Rejection::KeyClaimed) => ErrorKind::KeyClaimed,
        ProposeError::Rejected(Rejection::KeyTooOld) => ErrorKind::KeyExpired,
        ProposeError::Rejected(Rejection::KeyTooNew) => ErrorKind::InvalidRequest,
        ProposeError::Rejected(_) | ProposeError::Unconfirmed => ErrorKind::StoreUnavailable,
    }
}
