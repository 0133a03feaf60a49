use {
    super::{
        deployment::{Deployment, ENTRY_HOSTS},
        entry_host::{EntryHost, PolicyKind},
        fake_target::FakeTarget,
        outcome::{Outcome, RequestEnd},
        workload::Request,
    },
    goldcreststall_core::{
        ids::{LocalTime, Millis},
        traffic::{
            Assignment, OrganisationKey, PeerDemand, RequestHandle, RequestSpec, SendOutcome,
            ServiceKey,
        },
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{cmp::Reverse, collections::BinaryHeap},
};

/// Interval at which an entry host sends digests.
const DIGEST_INTERVAL_US: u64 = 200_000;
/// Interval at which an entry host checks for expired requests.
const EXPIRE_INTERVAL_US: u64 = 10_000;
/// Time after the last arrival at which the run stops; requests that have not ended by then stay open.
const GRACE_US: u64 = 90_000_000;
/// Local time at the start of a run; above zero so that time differences never become negative.
const START: LocalTime = LocalTime(1_000_000);

/// `entry`, `request`, `attempt` and `digest` are indexes into the lists of [`Simulation`].
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Response { attempt: usize },
    Arrive { request: usize },
    Deadline { attempt: usize },
    SendDigest { entry: usize },
    FinishAtTarget { attempt: usize },
    Expire { entry: usize },
    ReceiveDigest { digest: usize, entry: usize },
    ReceiveAttempt { attempt: usize },
}

struct Attempt {
    assignment: Assignment,
    entry: usize,
    /// Number of this attempt among those of its request, from 1.
    number: u32,
    open: bool,
    request: usize,
    sent: u64,
}

/// Discrete-event simulation of entry hosts, targets and requests in virtual time, in microseconds.
pub struct Simulation<'a> {
    attempts: Vec<Attempt>,
    deployment: &'a Deployment,
    digests: Vec<PeerDemand>,
    entries: Vec<EntryHost>,
    /// Time, sequence number and event; the sequence number keeps events of the same time in order.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    now: u64,
    open_requests: usize,
    outcomes: Vec<Outcome>,
    random: StdRng,
    requests: &'a [Request],
    sequence: u64,
    targets: Vec<FakeTarget>,
    /// Request and number of earlier attempts of each handle.
    handles: Vec<(usize, u32)>,
}

impl<'a> Simulation<'a> {
    /// Prepares a run; `requests` are in order of arrival.
    ///
    /// # Errors
    /// The configuration of the deployment is invalid.
    pub fn new(
        deployment: &'a Deployment,
        kind: PolicyKind,
        targets: Vec<FakeTarget>,
        requests: &'a [Request],
        seed: u64,
    ) -> anyhow::Result<Self> {
        let entries = (0..ENTRY_HOSTS)
            .map(|number| EntryHost::new(deployment, kind, number, START))
            .collect::<anyhow::Result<Vec<EntryHost>>>()?;
        let mut simulation = Self {
            attempts: Vec::new(),
            deployment,
            digests: Vec::new(),
            entries,
            events: BinaryHeap::new(),
            now: 0,
            open_requests: requests.len(),
            outcomes: vec![Outcome::default(); requests.len()],
            random: StdRng::seed_from_u64(seed),
            requests,
            sequence: 0,
            targets,
            handles: Vec::new(),
        };
        simulation.schedule_initial_events();
        Ok(simulation)
    }

    /// Runs until all requests have ended, or for [`GRACE_US`] after the last arrival, and returns the outcome of each
    /// request and the number of attempts sent to each target.
    pub fn run(mut self) -> (Vec<Outcome>, Vec<u32>) {
        let last_arrival = self.requests.last().map_or(0, |request| request.arrival);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            if self.open_requests == 0 || time > last_arrival + GRACE_US {
                break;
            }
            self.handle(event);
        }
        let mut counts = vec![0; self.targets.len()];
        for attempt in &self.attempts {
            counts[attempt.assignment.target.index as usize] += 1;
        }
        (self.outcomes, counts)
    }

    fn schedule_initial_events(&mut self) {
        for entry in 0..ENTRY_HOSTS {
            let phase = self.random.random_range(0..DIGEST_INTERVAL_US);
            self.schedule(phase, Event::SendDigest { entry });
            self.schedule(phase % EXPIRE_INTERVAL_US, Event::Expire { entry });
        }
        if let Some(first) = self.requests.first() {
            self.schedule(first.arrival, Event::Arrive { request: 0 });
        }
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn local_time(&self) -> LocalTime {
        START + Millis(self.now / 1_000)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { request } => self.handle_arrival(request),
            Event::ReceiveAttempt { attempt } => self.receive_attempt(attempt),
            Event::FinishAtTarget { attempt } => self.finish_at_target(attempt),
            Event::Response { attempt } => self.handle_response(attempt),
            Event::Deadline { attempt } => self.handle_deadline(attempt),
            Event::Expire { entry } => {
                self.expire(entry);
                self.assign(entry);
                self.schedule(self.now + EXPIRE_INTERVAL_US, Event::Expire { entry });
            }
            Event::SendDigest { entry } => self.send_digest(entry),
            Event::ReceiveDigest { digest, entry } => {
                let mut digest = self.digests[digest].clone();
                digest.last_contact = self.local_time();
                self.entries[entry].receive(digest);
            }
        }
    }

    fn handle_arrival(&mut self, request: usize) {
        if let Some(next) = self.requests.get(request + 1) {
            let request = request + 1;
            self.schedule(next.arrival, Event::Arrive { request });
        }
        self.offer(request, 0);
    }

    fn spec(&self, request: usize) -> RequestSpec {
        let request = &self.requests[request];
        RequestSpec {
            deadline: START + Millis(request.deadline() / 1_000),
            idempotent: true,
            service: ServiceKey(request.service as u16),
            organisation: OrganisationKey(request.organisation as u16),
            urgency: request.urgency,
        }
    }

    fn offer(&mut self, request: usize, attempts: u32) {
        let handle = RequestHandle(self.handles.len() as u64);
        self.handles.push((request, attempts));
        let spec = self.spec(request);
        let now = self.local_time();
        let entry = self.requests[request].entry;
        match self.entries[entry].policy.offer(now, handle, spec) {
            Ok(()) => {
                self.outcomes[request].admitted = true;
                self.assign(entry);
            }
            Err(_) => self.close_request(request, RequestEnd::Refused),
        }
    }

    fn close_request(&mut self, request: usize, end: RequestEnd) {
        self.outcomes[request].end = end;
        self.open_requests -= 1;
    }

    fn assign(&mut self, entry: usize) {
        let now = self.local_time();
        let random = self.random.random();
        for assignment in self.entries[entry].policy.assign(now, random) {
            let (request, number) = self.handles[assignment.handle.0 as usize];
            let delay = self.now - self.requests[request].arrival;
            self.outcomes[request].start_delay.get_or_insert(delay);
            let attempt = self.attempts.len();
            self.attempts.push(Attempt {
                assignment,
                entry,
                number: number + 1,
                open: true,
                request,
                sent: self.now,
            });
            let latency = self.latency(attempt);
            self.schedule(self.now + latency, Event::ReceiveAttempt { attempt });
            let deadline = self.requests[request].deadline();
            self.schedule(deadline, Event::Deadline { attempt });
        }
    }

    fn latency(&self, attempt: usize) -> u64 {
        let attempt = &self.attempts[attempt];
        let target = attempt.assignment.target.index as usize;
        self.deployment.latency(attempt.entry, target)
    }

    fn size(&self, attempt: usize) -> u64 {
        self.requests[self.attempts[attempt].request].size
    }

    fn receive_attempt(&mut self, attempt: usize) {
        let target = self.attempts[attempt].assignment.target.index as usize;
        if self.targets[target].failing {
            let time = self.now + 1_000 + self.latency(attempt);
            self.schedule(time, Event::Response { attempt });
        } else if self.targets[target].receive(attempt) {
            let time = self.now + self.targets[target].duration(self.size(attempt));
            self.schedule(time, Event::FinishAtTarget { attempt });
        }
    }

    fn finish_at_target(&mut self, attempt: usize) {
        let target = self.attempts[attempt].assignment.target.index as usize;
        self.outcomes[self.attempts[attempt].request].ended = self.now;
        let latency = self.latency(attempt);
        self.schedule(self.now + latency, Event::Response { attempt });
        if let Some(next) = self.targets[target].end() {
            let time = self.now + self.targets[target].duration(self.size(next));
            self.schedule(time, Event::FinishAtTarget { attempt: next });
        }
    }

    fn handle_response(&mut self, attempt: usize) {
        let target = self.attempts[attempt].assignment.target.index as usize;
        let elapsed = Millis((self.now - self.attempts[attempt].sent) / 1_000);
        if self.targets[target].failing {
            self.finish(attempt, SendOutcome::Failed { elapsed }, RequestEnd::Failed);
        } else {
            self.finish(attempt, SendOutcome::Answered { elapsed }, RequestEnd::Done);
        }
    }

    fn handle_deadline(&mut self, attempt: usize) {
        self.finish(attempt, SendOutcome::Unknown, RequestEnd::Unknown);
    }

    fn finish(&mut self, attempt: usize, outcome: SendOutcome, end: RequestEnd) {
        if !self.attempts[attempt].open {
            return;
        }
        self.attempts[attempt].open = false;
        let now = self.local_time();
        let Attempt {
            assignment,
            entry,
            number,
            request,
            ..
        } = self.attempts[attempt];
        let spec = self.spec(request);
        let policy = &mut self.entries[entry].policy;
        policy.finish(now, assignment, outcome);
        let late = spec.deadline <= now;
        if end != RequestEnd::Done && !late && policy.allow_retry(now, &spec, number) {
            self.offer(request, number);
        } else {
            self.close_request(request, end);
        }
        self.assign(entry);
    }

    fn expire(&mut self, entry: usize) {
        let now = self.local_time();
        for refusal in self.entries[entry].policy.expire(now) {
            let (request, _) = self.handles[refusal.handle.0 as usize];
            self.close_request(request, RequestEnd::Refused);
        }
    }

    fn send_digest(&mut self, entry: usize) {
        let now = self.local_time();
        let digest = self.entries[entry].digest(now);
        self.entries[entry].receive(digest.clone());
        let host = &mut self.entries[entry];
        host.policy.update_peers(now, &host.digests);
        let number = self.digests.len();
        self.digests.push(digest);
        for peer in (0..ENTRY_HOSTS).filter(|peer| *peer != entry) {
            let latency = self.deployment.peer_latency(entry, peer);
            let event = Event::ReceiveDigest {
                digest: number,
                entry: peer,
            };
            self.schedule(self.now + latency, event);
        }
        self.schedule(self.now + DIGEST_INTERVAL_US, Event::SendDigest { entry });
        self.assign(entry);
    }
}
