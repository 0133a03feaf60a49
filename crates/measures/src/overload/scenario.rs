use {
    super::{
        deployment::{Deployment, SERVICES, SLOTS, TARGETS},
        entry_host::PolicyKind,
        fake_target::{Excess, FakeTarget},
        outcome::{End, Outcome},
        simulation::Simulation,
        workload::{Request, Stream, draw},
    },
    goldcreststall_core::traffic::Urgency,
    hdrhistogram::Histogram,
    std::thread,
};

/// Seeds of every table.
pub const SEEDS: u64 = 10;

/// Slots of one pool.
pub const POOL: f64 = (TARGETS * SLOTS) as f64;

/// What is run: requests and targets.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// What targets do with more requests than they have slots.
    pub excess: Excess,
    /// The target that fails everything.
    pub failing: Option<usize>,
    /// Slots that each target really has.
    pub slots: Vec<usize>,
    /// The requests.
    pub streams: Vec<Stream>,
}

/// One run of a scenario.
pub struct Run {
    /// Attempts that each target got.
    pub attempts: Vec<u32>,
    /// Ends of the requests, in order of arrival.
    pub outcomes: Vec<Outcome>,
    /// The requests in order of arrival.
    pub requests: Vec<Request>,
}

impl Scenario {
    /// Returns a scenario in which targets have the slots they declare.
    pub fn new(streams: Vec<Stream>) -> Self {
        Self {
            excess: Excess::Queue,
            failing: None,
            slots: vec![SLOTS; SERVICES * TARGETS],
            streams,
        }
    }

    /// Returns the same scenario without its flood.
    pub fn without_flood(&self) -> Self {
        let mut scenario = self.clone();
        for stream in &mut scenario.streams {
            if stream.flood {
                stream.end = stream.start;
            }
        }
        scenario
    }

    /// Runs the scenario with every seed, one thread for each.
    ///
    /// # Errors
    /// A deployment whose configuration is not valid.
    pub fn run(&self, deployment: &Deployment, kind: PolicyKind) -> anyhow::Result<Vec<Run>> {
        thread::scope(|scope| {
            let threads: Vec<_> = (1..=SEEDS)
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
        let requests = draw(&self.streams, seed);
        let targets = self.slots.iter().enumerate();
        let targets = targets.map(|(number, slots)| {
            FakeTarget::new(*slots, self.excess, self.failing == Some(number))
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
    /// Iterates over the requests and their ends.
    pub fn rows(&self) -> impl Iterator<Item = (&Request, &Outcome)> {
        self.requests.iter().zip(&self.outcomes)
    }

    /// Counts the requests that were answered in time.
    pub fn done(&self, keep: impl Fn(&Request) -> bool) -> usize {
        let rows = self.rows();
        rows.filter(|(request, outcome)| keep(request) && outcome.end == End::Done)
            .count()
    }

    /// Returns the answered part of the requests in percent.
    pub fn done_percent(&self, keep: impl Fn(&Request) -> bool) -> f64 {
        let all = self.requests.iter().filter(|request| keep(request)).count();
        100.0 * self.done(keep) as f64 / all.max(1) as f64
    }

    /// Returns the slot time of answered requests that ended in a span of seconds, as percentage of the
    /// time of `slots`.
    pub fn goodput(&self, service: usize, span: (f64, f64), slots: f64) -> f64 {
        let (start, end) = span;
        let inside = |time: u64| (start..end).contains(&(time as f64 / 1e6));
        let rows = self.rows().filter(|(request, outcome)| {
            request.service == service && outcome.end == End::Done && inside(outcome.ended)
        });
        let time: u64 = rows.map(|(request, _)| request.size).sum();
        100.0 * time as f64 / 1e6 / (slots * (end - start))
    }

    /// Returns a quantile of the time until urgent requests were sent, in milliseconds.
    pub fn urgent_start(&self, quantile: f64) -> f64 {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else {
            return f64::NAN;
        };
        for (request, outcome) in self.rows() {
            if let (Urgency::Urgent, Some(delay)) = (request.urgency, outcome.start_delay) {
                // The histogram grows by itself, so that recording cannot fail.
                let _ = histogram.record(delay);
            }
        }
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns a quantile of the time until urgent requests were answered, in milliseconds.
    pub fn urgent_answer(&self, quantile: f64) -> f64 {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else {
            return f64::NAN;
        };
        for (request, outcome) in self.rows() {
            if request.urgency == Urgency::Urgent && outcome.end == End::Done {
                let _ = histogram.record(outcome.ended - request.arrival);
            }
        }
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the part of the admitted overnight requests that were answered in time, in percent.
    pub fn overnight_kept(&self) -> f64 {
        let admitted = self
            .rows()
            .filter(|(request, outcome)| request.urgency == Urgency::Overnight && outcome.admitted)
            .count();
        let done = self.done(|request| request.urgency == Urgency::Overnight);
        100.0 * done as f64 / admitted.max(1) as f64
    }

    /// Returns the part of the requests that were refused only after they had been admitted, in percent.
    pub fn refused_late(&self) -> f64 {
        let late = self.outcomes.iter();
        let late = late.filter(|outcome| outcome.admitted && outcome.end == End::Refused);
        100.0 * late.count() as f64 / self.outcomes.len().max(1) as f64
    }

    /// Counts the requests without an end.
    pub fn vanished(&self) -> f64 {
        let open = self.outcomes.iter();
        open.filter(|outcome| outcome.end == End::Open).count() as f64
    }

    /// Returns the part of the requests that were sent and not answered in time, in percent.
    pub fn wasted(&self) -> f64 {
        let ends = self.outcomes.iter().map(|outcome| outcome.end);
        let wasted = ends
            .filter(|end| matches!(end, End::Unknown | End::Failed))
            .count();
        100.0 * wasted as f64 / self.outcomes.len().max(1) as f64
    }
}
