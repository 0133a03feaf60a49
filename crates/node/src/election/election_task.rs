use {
    super::{
        OwnerLease, OwnershipRecord,
        renewal_schedule::{APPEND_TIMEOUT, MAX_LEASE, MIN_LEASE, RETRY_DELAY, RenewalSchedule},
    },
    crate::{
        links::PeerDirectory,
        ports::{AppendCondition, PlatformStore, StoreError, StoreTopic},
    },
    bytes::Bytes,
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_entry::clock::BootClock,
    slog::{Logger, info, warn},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::{mpsc, watch},
    tokio_util::sync::CancellationToken,
};

/// Time that other entry hosts wait beyond the owner's lease before they claim.
const CLAIM_MARGIN: Millis = Millis(200);
/// How long the topic must be silent after an outage of the store before another process claims. The owner could not
/// renew during the outage; it knows all runners, while a new owner would have to read the jobs and query each runner
/// again.
const OUTAGE_GRACE: Millis = Millis(700);
/// Longest wait of a read for the next record.
const LONG_POLL_TIMEOUT: Millis = Millis(600);

/// Where the owner of the fleet is, as far as this entry host knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerLocation {
    /// Where the owner serves other entry hosts.
    pub address: SocketAddr,
    /// Fencing token of its term.
    pub token: u64,
    /// Whether this process is the owner.
    pub own: bool,
}

impl OwnerLocation {
    /// Returns whether the owner is known to be this process.
    pub fn is_own(location: &Option<Self>) -> bool {
        location.as_ref().is_some_and(|location| location.own)
    }
}

/// A change of this process's role.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ElectionEvent {
    /// This process owns the fleet, with this fencing token.
    Elected(u64),
    /// The term of this process has ended.
    TermEnded,
}

/// Follows the ownership topic, claims the fleet when the owner is silent, and renews this process's claim.
pub struct ElectionTask {
    /// Name of this process: name of the entry host and start time.
    pub claimant: String,
    /// Where this process serves other entry hosts.
    pub address: SocketAddr,
    /// The store that holds the ownership topic.
    pub store: Arc<dyn PlatformStore>,
    /// Receives the changes of this process's role.
    pub events: mpsc::UnboundedSender<ElectionEvent>,
    /// Holds the present owner.
    pub owner: watch::Sender<Option<OwnerLocation>>,
    /// Receives the addresses of claimants.
    pub peers: PeerDirectory,
    /// Extended by stored claims and renewals.
    pub lease: OwnerLease,
    /// How much later than others this host claims: hosts that are too small for the owner's work claim last.
    pub claim_delay: Millis,
    /// Cancelled when this process stops: the claim is released and none is made.
    pub stop: CancellationToken,
    /// Log of decisions.
    pub logger: Logger,
}

/// State of the owner as read from the topic.
struct OwnerWatch {
    next_offset: u64,
    last_record: LocalTime,
    lease: Millis,
    released: bool,
    /// Whether the last read failed.
    failed: bool,
    /// Token of a claim of this process that has no response, and when it was first sent.
    claim: Option<(u64, LocalTime)>,
}

impl OwnerWatch {
    /// Records a successful read; the first one after an outage gives the owner [`OUTAGE_GRACE`] to renew.
    fn record_read(&mut self, silence_timeout: Millis) {
        if std::mem::take(&mut self.failed) {
            let now = BootClock.now();
            self.last_record = self.last_record.max(now + OUTAGE_GRACE - silence_timeout);
        }
    }

    /// Records that a claim is sent now, and returns when its token was first claimed: the store may have executed an
    /// earlier attempt.
    fn record_claim(&mut self, token: u64) -> LocalTime {
        let earlier = self.claim.filter(|(claimed, _)| *claimed == token);
        let sent = earlier.map_or_else(|| BootClock.now(), |(_, sent)| sent);
        self.claim = Some((token, sent));
        sent
    }
}

impl ElectionTask {
    /// Runs until this process stops.
    pub async fn run(self) {
        tokio::time::sleep(Duration::from_millis(self.claim_delay.0)).await;
        let mut watch = OwnerWatch {
            next_offset: 0,
            last_record: BootClock.now(),
            lease: MIN_LEASE,
            released: false,
            failed: false,
            claim: None,
        };
        while !self.stop.is_cancelled() {
            if let Some(token) = self.poll_topic(&mut watch).await {
                self.run_term(token).await;
                watch.last_record = BootClock.now();
                watch.released = false;
                watch.claim = None;
            }
        }
    }

    /// Reads the topic once, and claims if nobody owns the fleet. Returns the token of a claim that succeeded.
    async fn poll_topic(&self, watch: &mut OwnerWatch) -> Option<u64> {
        let silence_timeout = watch.lease + CLAIM_MARGIN + self.claim_delay;
        let silent_too_long = BootClock.now().since(watch.last_record) >= silence_timeout;
        let wait = if silent_too_long {
            Millis(0)
        } else if watch.released {
            self.claim_delay
        } else {
            LONG_POLL_TIMEOUT
        };
        match self
            .store
            .read(StoreTopic::Ownership, watch.next_offset, wait)
            .await
        {
            Ok(batch) => {
                watch.record_read(silence_timeout);
                let is_new_topic = watch.next_offset == 0 && batch.end == 0;
                let empty = batch.records.is_empty();
                for record in &batch.records {
                    self.handle_record(watch, record);
                }
                watch.next_offset += batch.records.len() as u64;
                let caught_up = watch.next_offset >= batch.end;
                let silent = BootClock.now().since(watch.last_record) >= silence_timeout;
                if caught_up && let Some(token) = self.stored_claim(watch, &batch.records) {
                    return Some(token);
                }
                if empty && caught_up && silent {
                    // Only after a successful read: during an outage of the store the last owner stays known, and
                    // refuses calls itself when its lease ends.
                    self.owner.send_if_modified(|owner| owner.take().is_some());
                }
                let released =
                    watch.released && BootClock.now().since(watch.last_record) >= self.claim_delay;
                if empty && caught_up && (is_new_topic || silent || released) {
                    return self.claim(watch, batch.end).await;
                }
            }
            Err(StoreError::Expired { first }) => watch.next_offset = first,
            Err(error) => {
                watch.failed = true;
                warn!(self.logger, "election: reading the ownership topic failed";
                    "failure" => %error, "next" => watch.next_offset);
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY.0)).await;
            }
        }
        None
    }

    fn handle_record(&self, watch: &mut OwnerWatch, bytes: &Bytes) {
        watch.last_record = BootClock.now();
        let record: OwnershipRecord = match postcard::from_bytes(bytes) {
            Ok(record) => record,
            Err(error) => {
                warn!(self.logger, "election: a record cannot be decoded"; "error" => %error);
                return;
            }
        };
        // An earlier process of this host must have ended, because this one listens on its address. A host that is too
        // small for the owner's work still lets others claim first.
        let is_large_enough = self.claim_delay == Millis(0);
        let is_predecessor =
            record.address == self.address && record.claimant != self.claimant && is_large_enough;
        watch.released = record.released || is_predecessor;
        // No owner takes a longer lease, and a record that names one would keep everyone from claiming.
        watch.lease = Millis(record.lease_ms).min(MAX_LEASE);
        self.peers.add(record.address);
        let location = (!watch.released).then_some(OwnerLocation {
            address: record.address,
            token: record.token,
            own: false,
        });
        let changed = self.owner.send_if_modified(|owner| {
            let changed = *owner != location;
            owner.clone_from(&location);
            changed
        });
        if changed {
            info!(self.logger, "election: the owner has changed"; "claimant" => record.claimant,
                "token" => record.token, "released" => record.released);
        }
    }

    /// Returns the token of a claim of this process whose response was lost, if it is the last record of the topic.
    fn stored_claim(&self, watch: &OwnerWatch, records: &[Bytes]) -> Option<u64> {
        let (token, sent) = watch.claim?;
        let last: OwnershipRecord = postcard::from_bytes(records.last()?).ok()?;
        if last.token != token || last.claimant != self.claimant || last.released {
            return None;
        }
        info!(self.logger, "election: a claim without a response is stored"; "token" => token);
        self.lease.extend(sent + MIN_LEASE);
        Some(token)
    }

    async fn claim(&self, watch: &mut OwnerWatch, end: u64) -> Option<u64> {
        if self.stop.is_cancelled() {
            return None;
        }
        let token = end + 1;
        let sent = watch.record_claim(token);
        let claimed = self
            .append((token, end), MIN_LEASE, false, APPEND_TIMEOUT)
            .await;
        info!(self.logger, "election: claim"; "token" => token, "outcome" => ?claimed);
        match claimed {
            Ok(()) => {
                self.lease.extend(sent + MIN_LEASE);
                Some(token)
            }
            Err(StoreError::Unknown | StoreError::Refused) => {
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY.0)).await;
                None
            }
            Err(_) => None,
        }
    }

    /// Appends a record at the offset `at`. Every append is conditional on its offset, so at most one claim succeeds at
    /// an offset, and renewals of an older owner fail after it. An epoch and sequence number would not do: the store
    /// answers a second process that uses the same ones as if it repeated the append of the first.
    async fn append(
        &self,
        (token, at): (u64, u64),
        lease: Millis,
        released: bool,
        timeout: Millis,
    ) -> Result<(), StoreError> {
        let condition = AppendCondition {
            at: Some(at),
            fence: None,
        };
        let record = OwnershipRecord {
            claimant: self.claimant.clone(),
            address: self.address,
            token,
            lease_ms: lease.0,
            released,
        };
        // The record holds only plain fields, so serialization cannot fail.
        let bytes = postcard::to_stdvec(&record).expect("an ownership record is serializable");
        let records = [Bytes::from(bytes)];
        self.store
            .append(StoreTopic::Ownership, &records, condition, timeout)
            .await
            .map(|_| ())
    }

    /// Renews the claim until a newer owner exists, the control actor has given it up, or the process stops.
    async fn run_term(&self, token: u64) {
        let location = OwnerLocation {
            address: self.address,
            token,
            own: true,
        };
        self.owner.send_replace(Some(location));
        self.lease.record_token(token, token);
        self.send_event(ElectionEvent::Elected(token));
        // The token is one above the offset of the claim.
        let mut end = token;
        let mut schedule = RenewalSchedule::default();
        loop {
            let stopped = tokio::select! {
                () = self.stop.cancelled() => true,
                () = tokio::time::sleep(Duration::from_millis(schedule.delay().0)) => {
                    self.lease.is_resigned(token)
                }
            };
            if stopped {
                // The successor may act as soon as the release is stored, which is before the response arrives.
                self.lease.end();
            }
            let lease = schedule.lease(self.lease.remaining());
            let timeout = schedule.timeout();
            schedule.record_send();
            match self.append((token, end), lease, stopped, timeout).await {
                Ok(()) => {
                    end += 1;
                    if stopped {
                        info!(self.logger, "election: the claim is released"; "token" => token);
                        break;
                    }
                    self.lease.record_token(token, end);
                    self.lease.extend(schedule.record_stored() + lease);
                }
                Err(StoreError::NotAtEnd { .. }) => match self.count_records(token, end).await {
                    // The store executed an earlier attempt, whose response was lost or late, after it was sent.
                    Some(count) if count > 0 => {
                        end += count;
                        self.lease.record_token(token, end);
                        let first_sent = schedule.record_stored();
                        if !stopped {
                            self.lease.extend(first_sent + lease.min(MIN_LEASE));
                        }
                    }
                    Some(_) => break,
                    // A process that does not stop waits before each renewal.
                    None if stopped => {
                        tokio::time::sleep(Duration::from_millis(RETRY_DELAY.0)).await;
                    }
                    None => {}
                },
                Err(error) => {
                    warn!(self.logger, "election: a renewal has failed"; "token" => token,
                        "failure" => %error, "lease_holds" => self.lease.is_held());
                    if stopped {
                        break;
                    }
                }
            }
        }
        self.lease.end();
        self.owner.send_replace(None);
        info!(self.logger, "election: the term has ended"; "token" => token);
        self.send_event(ElectionEvent::TermEnded);
    }

    /// Counts the records of this term from the offset `from` on. Returns `None` when they cannot be read, and 0 when
    /// another process has written there.
    async fn count_records(&self, token: u64, from: u64) -> Option<u64> {
        let batch = match self
            .store
            .read(StoreTopic::Ownership, from, Millis(0))
            .await
        {
            Ok(batch) => batch,
            Err(error) => {
                warn!(self.logger, "election: reading this term's records failed";
                    "failure" => %error, "from" => from);
                return None;
            }
        };
        let is_own = |bytes: &Bytes| {
            postcard::from_bytes::<OwnershipRecord>(bytes)
                .is_ok_and(|record| record.token == token && record.claimant == self.claimant)
        };
        if !batch.records.iter().all(is_own) {
            return Some(0);
        }
        Some(batch.records.len() as u64)
    }

    fn send_event(&self, event: ElectionEvent) {
        if self.events.send(event).is_err() {
            warn!(self.logger, "election: an event has no receiver any more"; "event" => ?event);
        }
    }
}
