use {
    super::{
        deployment::{Deployment, ENTRY_HOSTS},
        entry_host::{EntryHost, PolicyKind},
        fake_target::FakeTarget,
        outcome::{End, Outcome},
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

/// Time between two digests in microseconds.
const DIGEST_PERIOD: u64 = 200_000;
/// Time between two looks for requests that are too late, in microseconds.
const EXPIRE_PERIOD: u64 = 10_000;
/// Time after the last arrival at which requests without an end count as vanished, in microseconds.
const GRACE: u64 = 90_000_000;
/// Local time of the start, so that differences never reach below zero.
const START: LocalTime = LocalTime(1_000_000);

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Answer { attempt: usize },
    Arrive { request: usize },
    Deadline { attempt: usize },
    Digest { entry: usize },
    End { attempt: usize },
    Expire { entry: usize },
    Hear { digest: usize, entry: usize },
    Receive { attempt: usize },
}

struct Attempt {
    assignment: Assignment,
    entry: usize,
    number: u32,
    open: bool,
    request: usize,
    sent: u64,
}

/// Entry hosts, targets and requests in virtual time.
pub struct Simulation<'a> {
    attempts: Vec<Attempt>,
    deployment: &'a Deployment,
    digests: Vec<PeerDemand>,
    entries: Vec<EntryHost>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    now: u64,
    open: usize,
    outcomes: Vec<Outcome>,
    random: StdRng,
    requests: &'a [Request],
    sequence: u64,
    targets: Vec<FakeTarget>,
    /// Request and number of attempts of each handle.
    handles: Vec<(usize, u32)>,
}

impl<'a> Simulation<'a> {
    /// Prepares a run.
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
            open: requests.len(),
            outcomes: vec![Outcome::default(); requests.len()],
            random: StdRng::seed_from_u64(seed),
            requests,
            sequence: 0,
            targets,
            handles: Vec::new(),
        };
        simulation.schedule_first();
        Ok(simulation)
    }

    /// Runs until all requests have ended and returns the ends, one for each request, and the number
    /// of attempts that each target got.
    pub fn run(mut self) -> (Vec<Outcome>, Vec<u32>) {
        let last = self.requests.last().map_or(0, |request| request.arrival);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            if self.open == 0 || time > last + GRACE {
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

    fn schedule_first(&mut self) {
        for entry in 0..ENTRY_HOSTS {
            let phase = self.random.random_range(0..DIGEST_PERIOD);
            self.schedule(phase, Event::Digest { entry });
            self.schedule(phase % EXPIRE_PERIOD, Event::Expire { entry });
        }
        if let Some(first) = self.requests.first() {
            self.schedule(first.arrival, Event::Arrive { request: 0 });
        }
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn local(&self) -> LocalTime {
        START + Millis(self.now / 1_000)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { request } => self.arrive(request),
            Event::Receive { attempt } => self.receive(attempt),
            Event::End { attempt } => self.end_at_target(attempt),
            Event::Answer { attempt } => self.handle_response(attempt),
            Event::Deadline { attempt } => self.pass_deadline(attempt),
            Event::Expire { entry } => {
                self.expire(entry);
                self.assign(entry);
                self.schedule(self.now + EXPIRE_PERIOD, Event::Expire { entry });
            }
            Event::Digest { entry } => self.send_digest(entry),
            Event::Hear { digest, entry } => {
                let mut digest = self.digests[digest].clone();
                digest.last_contact = self.local();
                self.entries[entry].receive(digest);
            }
        }
    }

    fn arrive(&mut self, request: usize) {
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
        let now = self.local();
        let entry = self.requests[request].entry;
        match self.entries[entry].policy.offer(now, handle, spec) {
            Ok(()) => {
                self.outcomes[request].admitted = true;
                self.assign(entry);
            }
            Err(_) => self.close(request, End::Refused),
        }
    }

    fn close(&mut self, request: usize, end: End) {
        self.outcomes[request].end = end;
        self.open -= 1;
    }

    fn assign(&mut self, entry: usize) {
        let now = self.local();
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
            self.schedule(self.now + latency, Event::Receive { attempt });
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

    fn receive(&mut self, attempt: usize) {
        let target = self.attempts[attempt].assignment.target.index as usize;
        if self.targets[target].failing {
            let time = self.now + 1_000 + self.latency(attempt);
            self.schedule(time, Event::Answer { attempt });
        } else if self.targets[target].receive(attempt) {
            let time = self.now + self.targets[target].duration(self.size(attempt));
            self.schedule(time, Event::End { attempt });
        }
    }

    fn end_at_target(&mut self, attempt: usize) {
        let target = self.attempts[attempt].assignment.target.index as usize;
        self.outcomes[self.attempts[attempt].request].ended = self.now;
        let latency = self.latency(attempt);
        self.schedule(self.now + latency, Event::Answer { attempt });
        if let Some(next) = self.targets[target].end() {
            let time = self.now + self.targets[target].duration(self.size(next));
            self.schedule(time, Event::End { attempt: next });
        }
    }

    fn handle_response(&mut self, attempt: usize) {
        let target = self.attempts[attempt].assignment.target.index as usize;
        let elapsed = Millis((self.now - self.attempts[attempt].sent) / 1_000);
        if self.targets[target].failing {
            self.finish(attempt, SendOutcome::Failed { elapsed }, End::Failed);
        } else {
            self.finish(attempt, SendOutcome::Answered { elapsed }, End::Done);
        }
    }

    fn pass_deadline(&mut self, attempt: usize) {
        self.finish(attempt, SendOutcome::Unknown, End::Unknown);
    }

    fn finish(&mut self, attempt: usize, outcome: SendOutcome, end: End) {
        if !self.attempts[attempt].open {
            return;
        }
        self.attempts[attempt].open = false;
        let now = self.local();
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
        if end != End::Done && !late && policy.allow_retry(now, &spec, number) {
            self.offer(request, number);
        } else {
            self.close(request, end);
        }
        self.assign(entry);
    }

    fn expire(&mut self, entry: usize) {
        let now = self.local();
        for refusal in self.entries[entry].policy.expire(now) {
            let (request, _) = self.handles[refusal.handle.0 as usize];
            self.close(request, End::Refused);
        }
    }

    fn send_digest(&mut self, entry: usize) {
        let now = self.local();
        let digest = self.entries[entry].digest(now);
        self.entries[entry].receive(digest.clone());
        let host = &mut self.entries[entry];
        host.policy.update_peers(now, &host.digests);
        let number = self.digests.len();
        self.digests.push(digest);
        for peer in (0..ENTRY_HOSTS).filter(|peer| *peer != entry) {
            let latency = self.deployment.peer_latency(entry, peer);
            let hear = Event::Hear {
                digest: number,
                entry: peer,
            };
            self.schedule(self.now + latency, hear);
        }
        self.schedule(self.now + DIGEST_PERIOD, Event::Digest { entry });
        self.assign(entry);
    }
}
