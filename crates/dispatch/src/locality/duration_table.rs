use goldcreststall_core::ids::Millis;

/// Measured durations that a summary keeps; older ones are replaced.
const WINDOW: usize = 32;
/// Number of measured durations from which on the caller's estimate no longer counts.
const PRIOR_WEIGHT: u64 = 5;
/// Maximum number of summaries: each takes about 250 bytes, all of them 1 MB of the 160 that a small entry host has.
const MAX_SUMMARIES: usize = 4_096;
/// Number of summaries that are removed together, because the search for them visits all.
const EVICTED: usize = 64;
/// Duration that stands for an estimate of 0 in the ratio of a measured duration to its estimate.
const NOMINAL_MS: u64 = 1_000;
/// Ratios are kept in thousandths, and limited so that one of them cannot overflow a duration.
const MAX_RATIO: u64 = 1_000_000;

/// What has equal ratios of duration and estimate: a step of the jobs of one organisation on one queue, with estimates of
/// one power of two. An organisation cannot change what is learned for another one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StepKind<'a> {
    /// Name of the queue.
    pub queue: &'a str,
    /// Organisation of the job.
    pub organisation: Option<&'a str>,
    /// Number of the step in its job.
    pub step: u32,
    /// The caller's estimate, in milliseconds.
    pub estimate_ms: u32,
}

impl StepKind<'_> {
    fn nominal_ms(&self) -> u64 {
        match self.estimate_ms {
            0 => NOMINAL_MS,
            estimate_ms => u64::from(estimate_ms),
        }
    }
}

/// What is expected of a run near its data.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LearnedDuration {
    /// Median of the measured durations, or the estimate.
    pub median: Millis,
    /// Duration that one of about twenty exceeds.
    pub high: Millis,
}

#[derive(Debug)]
struct DurationSummary {
    queue: Box<str>,
    organisation: Option<Box<str>>,
    step: u32,
    estimate_class: u32,
    /// Number of durations recorded so far.
    recorded: u64,
    /// Number of the record that was last added to the table, as a measure of age.
    used: u64,
    /// The newest ratios of duration and estimate, in thousandths; a ring.
    ratios: Vec<u32>,
    median: u32,
    high: u32,
}

impl DurationSummary {
    fn record(&mut self, ratio: u32) {
        let slot = (self.recorded % WINDOW as u64) as usize;
        if slot < self.ratios.len() {
            self.ratios[slot] = ratio;
        } else {
            self.ratios.push(ratio);
        }
        self.recorded += 1;
        let mut sorted = self.ratios.clone();
        sorted.sort_unstable();
        self.median = sorted[(sorted.len() - 1) / 2];
        self.high = sorted[(sorted.len() - 1) * 19 / 20];
    }

    fn owner(&self) -> (&str, Option<&str>) {
        (&self.queue, self.organisation.as_deref())
    }
}

/// Durations of work items by kind, learned from those measured on healthy runners, with the caller's estimate as the
/// prior. A new owner begins with the estimates: some hundred ends a second teach it the kinds in use within seconds.
#[derive(Debug, Default)]
pub struct DurationTable {
    /// Sorted by queue, organisation, step and class of the estimate.
    summaries: Vec<DurationSummary>,
    records: u64,
}

impl DurationTable {
    /// Records a measured duration, as it is near the data.
    pub fn record(&mut self, kind: &StepKind<'_>, duration: Millis) {
        self.records += 1;
        let ratio = duration.0.saturating_mul(1_000) / kind.nominal_ms();
        let ratio = ratio.clamp(1, MAX_RATIO) as u32;
        let index = match self.index_of(kind) {
            Ok(index) => index,
            Err(index) => {
                let summary = DurationSummary {
                    queue: kind.queue.into(),
                    organisation: kind.organisation.map(Into::into),
                    step: kind.step,
                    estimate_class: estimate_class(kind),
                    recorded: 0,
                    used: self.records,
                    ratios: Vec::new(),
                    median: 0,
                    high: 0,
                };
                self.summaries.insert(index, summary);
                index
            }
        };
        self.summaries[index].used = self.records;
        self.summaries[index].record(ratio);
        if self.summaries.len() > MAX_SUMMARIES {
            self.evict();
        }
    }

    /// Returns what is expected of a run of this kind near its data.
    pub fn expected(&self, kind: &StepKind<'_>) -> LearnedDuration {
        let estimate_ms = u64::from(kind.estimate_ms);
        let Ok(index) = self.index_of(kind) else {
            return LearnedDuration {
                median: Millis(estimate_ms),
                high: Millis(estimate_ms),
            };
        };
        let summary = &self.summaries[index];
        let scaled = |ratio: u32| kind.nominal_ms().saturating_mul(u64::from(ratio)) / 1_000;
        let weight = summary.recorded.min(PRIOR_WEIGHT);
        let blended = |learned_ms: u64| {
            let sum = learned_ms * weight + estimate_ms * (PRIOR_WEIGHT - weight);
            Millis(sum / PRIOR_WEIGHT)
        };
        LearnedDuration {
            median: blended(scaled(summary.median)),
            high: blended(scaled(summary.high)),
        }
    }

    /// Returns the number of kinds with a summary.
    pub fn len(&self) -> usize {
        self.summaries.len()
    }

    /// Returns whether nothing has been learned.
    pub fn is_empty(&self) -> bool {
        self.summaries.is_empty()
    }

    /// Removes the summaries that were unused for longest, of the organisation and queue that has the most: a caller with
    /// many kinds displaces its own.
    fn evict(&mut self) {
        let mut largest = 0..0;
        let mut start = 0;
        for group in self
            .summaries
            .chunk_by(|left, right| left.owner() == right.owner())
        {
            let end = start + group.len();
            if end - start > largest.len() {
                largest = start..end;
            }
            start = end;
        }
        let mut used: Vec<u64> = self.summaries[largest.clone()]
            .iter()
            .map(|summary| summary.used)
            .collect();
        used.sort_unstable();
        let evicted = EVICTED.min(used.len());
        let Some(newest_evicted) = evicted.checked_sub(1).map(|last| used[last]) else {
            return;
        };
        let mut index = 0;
        self.summaries.retain(|summary| {
            let is_evicted = largest.contains(&index) && summary.used <= newest_evicted;
            index += 1;
            !is_evicted
        });
    }

    fn index_of(&self, kind: &StepKind<'_>) -> Result<usize, usize> {
        let wanted = (
            (kind.queue, kind.organisation),
            kind.step,
            estimate_class(kind),
        );
        self.summaries.binary_search_by(|summary| {
            (summary.owner(), summary.step, summary.estimate_class).cmp(&wanted)
        })
    }
}

/// Returns the power of two of an estimate.
fn estimate_class(kind: &StepKind<'_>) -> u32 {
    kind.estimate_ms.checked_ilog2().map_or(0, |log| log + 1)
}
