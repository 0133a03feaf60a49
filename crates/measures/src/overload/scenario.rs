use {
    super::{
        deployment::{Deployment, POOL_TARGETS, SERVICES, TARGET_SLOTS},
        entry_host::PolicyKind,
        fake_target::{FakeTarget, OverloadBehaviour},
        outcome::{Outcome, RequestEnd},
        simulation::Simulation,
        workload::{Request, Stream, draw_requests},
    },
    goldcreststall_core::traffic::Urgency,
    hdrhistogram::Histogram,
    std::thread,
};

/// Number of seeds of every table.
pub const SEED_COUNT: u64 = 10;

/// Number of slots in one pool.
pub const POOL_SLOTS: f64 = (POOL_TARGETS * TARGET_SLOTS) as f64;

/// The requests and targets of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// How targets handle more requests than they have slots.
    pub on_overload: OverloadBehaviour,
    /// Number of the target that fails every request.
    pub failing: Option<usize>,
    /// Number of slots that each target really has.
    pub slots: Vec<usize>,
    /// The streams from which the requests are drawn.
    pub streams: Vec<Stream>,
}

/// Result of a scenario with one seed.
pub struct Run {
    /// Number of attempts sent to each target.
    pub attempts: Vec<u32>,
    /// Outcomes of the requests, in order of arrival.
    pub outcomes: Vec<Outcome>,
    /// Requests in order of arrival.
    pub requests: Vec<Request>,
}

impl Scenario {
    /// Creates a scenario in which all targets have the slots they declare.
    pub fn new(streams: Vec<Stream>) -> Self {
        Self {
            on_overload: OverloadBehaviour::Queue,
            failing: None,
            slots: vec![TARGET_SLOTS; SERVICES * POOL_TARGETS],
            streams,
        }
    }

    /// Returns the scenario without its flood; the number of streams, and so the seed of each, stays the same.
    pub fn without_flood(&self) -> Self {
        let mut scenario = self.clone();
        for stream in &mut scenario.streams {
            if stream.flood {
                stream.end = stream.start;
            }
        }
        scenario
    }

    /// Runs the scenario with every seed, each in its own thread.
    ///
    /// # Errors
    /// The configuration of the deployment is invalid, or a run panicked.
    pub fn run(&self, deployment: &Deployment, kind: PolicyKind) -> anyhow::Result<Vec<Run>> {
        thread::scope(|scope| {
            let threads: Vec<_> = (1..=SEED_COUNT)
                .map(|seed| scope.spawn(move || self.run_seed(deployment, kind, seed)))
                .collect();
            let joined = threads.into_iter().map(|thread| thread.join());
            joined
                .map(|run| run.map_err(|_| anyhow::anyhow!("a run panicked"))?)
                .collect()
        })
    }

    fn run_seed(
        &self,
        deployment: &Deployment,
        kind: PolicyKind,
        seed: u64,
    ) -> anyhow::Result<Run> {
        let requests = draw_requests(&self.streams, seed);
        let targets = self.slots.iter().enumerate();
        let targets = targets.map(|(number, slots)| {
            FakeTarget::new(*slots, self.on_overload, self.failing == Some(number))
        });
        let simulation = Simulation::new(deployment, kind, targets.collect(), &requests, seed)?;
        let (outcomes, attempts) = simulation.run();
        Ok(Run {
            attempts,
            outcomes,
            requests,
        })
    }
}

impl Run {
    /// Iterates over the requests and their outcomes.
    pub fn rows(&self) -> impl Iterator<Item = (&Request, &Outcome)> {
        self.requests.iter().zip(&self.outcomes)
    }

    /// Counts the requests selected by `keep` that were answered in time.
    pub fn count_done(&self, keep: impl Fn(&Request) -> bool) -> usize {
        let rows = self.rows();
        rows.filter(|(request, outcome)| keep(request) && outcome.end == RequestEnd::Done)
            .count()
    }

    /// Returns the percentage of the requests selected by `keep` that were answered in time.
    pub fn done_percent(&self, keep: impl Fn(&Request) -> bool) -> f64 {
        let all = self.requests.iter().filter(|request| keep(request)).count();
        100.0 * self.count_done(keep) as f64 / all.max(1) as f64
    }

    /// Returns the slot time of the requests that were answered in time and finished within `span`, as a percentage of
    /// the time of `slots` slots; `span` is the start and end in seconds.
    pub fn goodput(&self, service: usize, span: (f64, f64), slots: f64) -> f64 {
        let (start, end) = span;
        let inside = |time: u64| (start..end).contains(&(time as f64 / 1e6));
        let rows = self.rows().filter(|(request, outcome)| {
            request.service == service && outcome.end == RequestEnd::Done && inside(outcome.ended)
        });
        let time: u64 = rows.map(|(request, _)| request.size).sum();
        100.0 * time as f64 / 1e6 / (slots * (end - start))
    }

    /// Returns a quantile of the time from arrival until urgent requests were first sent, in milliseconds.
    pub fn urgent_start(&self, quantile: f64) -> f64 {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else {
            return f64::NAN;
        };
        for (request, outcome) in self.rows() {
            if let (Urgency::Urgent, Some(delay)) = (request.urgency, outcome.start_delay) {
                // The histogram resizes itself, so recording cannot fail.
                let _ = histogram.record(delay);
            }
        }
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns a quantile of the time from arrival until targets finished urgent requests that were answered in time,
    /// in milliseconds.
    pub fn urgent_response(&self, quantile: f64) -> f64 {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else {
            return f64::NAN;
        };
        for (request, outcome) in self.rows() {
            if request.urgency == Urgency::Urgent && outcome.end == RequestEnd::Done {
                let _ = histogram.record(outcome.ended - request.arrival);
            }
        }
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the percentage of the admitted overnight requests that were answered in time.
    pub fn overnight_done_percent(&self) -> f64 {
        let admitted = self
            .rows()
            .filter(|(request, outcome)| request.urgency == Urgency::Overnight && outcome.admitted)
            .count();
        let done = self.count_done(|request| request.urgency == Urgency::Overnight);
        100.0 * done as f64 / admitted.max(1) as f64
    }

    /// Returns the percentage of the requests that were refused after admission.
    pub fn refused_late(&self) -> f64 {
        let late = self.outcomes.iter();
        let late = late.filter(|outcome| outcome.admitted && outcome.end == RequestEnd::Refused);
        100.0 * late.count() as f64 / self.outcomes.len().max(1) as f64
    }

    /// Counts the requests that had not ended when the run stopped.
    pub fn open_count(&self) -> f64 {
        let open = self.outcomes.iter();
        open.filter(|outcome| outcome.end == RequestEnd::Open)
            .count() as f64
    }

    /// Returns the percentage of the requests that were sent but failed or were not answered in time.
    pub fn wasted(&self) -> f64 {
        let ends = self.outcomes.iter().map(|outcome| outcome.end);
        let wasted = ends
            .filter(|end| matches!(end, RequestEnd::Unknown | RequestEnd::Failed))
            .count();
        100.0 * wasted as f64 / self.outcomes.len().max(1) as f64
    }
}
