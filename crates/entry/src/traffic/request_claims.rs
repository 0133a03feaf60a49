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

/// Longest wait for a claim to be read back from the log.
const CLAIM_WAIT: Millis = Millis(3_000);
/// Longest time by which a refusal is held back for the release of its claim.
const RELEASE_WAIT: Millis = Millis(1_000);
/// Longest wait at shutdown for releases of claims to be read back from the log.
const LAST_RELEASES_WAIT: Millis = Millis(5_000);

/// Makes sure that each request key is sent at most once.
pub(super) struct RequestClaims {
    clock: BootClock,
    control: ControlHandle,
    issued: Mutex<IssuedKeys>,
    /// Releases that were not read back from the log yet.
    releases: TaskTracker,
}

/// A key that only this request may use. Dropping it before the request is sent frees the key, as when a
/// caller leaves while its request is queued; afterwards the key stays used.
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

    /// Issues a key that works without the log.
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

    /// Waits until the keys of refused requests are free again; false when some are not within the limit. A key
    /// that stays claimed makes every other entry host answer `unknown` to a request that did not run.
    pub(super) async fn finish_releases(&self) -> bool {
        self.releases.close();
        let limit = Duration::from_millis(LAST_RELEASES_WAIT.0);
        let finished = tokio::time::timeout(limit, self.releases.wait());
        finished.await.is_ok()
    }

    async fn claim_in_log(&self, key: u128, deadline: LocalTime) -> Result<(), RequestError> {
        if !self.control.log_is_up() {
            return Err(ErrorKind::StoreUnavailable.into());
        }
        // Waiting longer would leave the caller no time to go elsewhere.
        let deadline = deadline.min(self.clock.now() + CLAIM_WAIT);
        let take = ClaimRecord::Claim {
            holder: self.control.entry().clone(),
            key,
        };
        let proposed = self.control.propose(RecordBody::Claim(take), deadline);
        proposed.await.map_err(|error| claim_error(error).into())
    }

    /// Begins to free a key; returns the task that waits for the log, if the key is claimed there.
    fn free(&self, key: &RequestKey) -> Option<JoinHandle<()>> {
        match key {
            RequestKey::Issued { number, .. } => {
                self.issued.lock().release_key(self.clock.now(), *number);
                None
            }
            RequestKey::Caller(key) => Some(self.release(*key)),
        }
    }

    fn release(&self, key: u128) -> JoinHandle<()> {
        let release = ClaimRecord::Release {
            holder: self.control.entry().clone(),
            key,
        };
        let control = self.control.clone();
        let deadline = self.clock.now() + CLAIM_MAX_AGE;
        self.releases.spawn(async move {
            // A release that is lost leaves the key claimed, which is safe.
            let _ = control.propose(RecordBody::Claim(release), deadline).await;
        })
    }
}

impl ClaimedKey {
    /// Notes that the request is about to be sent.
    pub(super) fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Frees the key of a request that did not run. The caller may send its request elsewhere as soon as it is
    /// answered, so this waits a while for the release to be in the log.
    pub(super) async fn free(mut self) {
        // Freed here and not again when the guard is dropped.
        self.sent = true;
        if let Some(released) = self.claims.free(&self.key) {
            let wait = Duration::from_millis(RELEASE_WAIT.0);
            // The release goes on when the wait is over.
            let _ = tokio::time::timeout(wait, released).await;
        }
    }
}

impl Drop for ClaimedKey {
    fn drop(&mut self) {
        if !self.sent {
            self.claims.free(&self.key);
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
