use {
    super::{JobSize, JobSpec},
    crate::{
        collections::SortedMap,
        ids::{LogTime, Millis, OrganisationName, ServiceName},
    },
    serde::{Deserialize, Serialize},
};

/// Maximum number of estimates, one for each pair of service and organisation.
const MAX_ESTIMATES: usize = 4096;
/// Number of completed tasks before their usage replaces the declared size and run time.
const MIN_SAMPLES: u32 = 3;
/// The newest sample has a weight of one in this many.
const DECAY_DIVISOR: u64 = 8;
/// Margin that the reserved size adds to the estimate.
const MARGIN_PERCENT: u64 = 25;

/// Resources that a task used.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskUsage {
    /// Mean processor time in thousandths of a core, and peak memory in MiB.
    pub size: JobSize,
    /// How long the task ran.
    pub run_time: Millis,
}

/// Estimated resources of a task of one service and organisation.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SizeEstimate {
    /// Decaying mean of processor time in thousandths of a core.
    pub cores_milli: u32,
    /// Decaying maximum of memory in MiB. It is a maximum because a task with too little memory fails.
    pub memory_mib: u32,
    /// Decaying mean of the run time.
    pub run_time: Millis,
    /// Number of tasks in the estimate.
    pub samples: u32,
    /// Log time of the newest sample.
    pub updated: LogTime,
}

/// Estimates by service and organisation, which replace declared sizes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SizeEstimates {
    rows: SortedMap<ServiceName, SortedMap<OrganisationName, SizeEstimate>>,
}

impl SizeEstimates {
    /// Returns the estimate for the service and organisation of a job, however few samples it has.
    pub fn get(&self, spec: &JobSpec) -> Option<&SizeEstimate> {
        self.rows.get(&spec.service)?.get(&spec.organisation)
    }

    /// Returns the size to reserve for a job: the estimate with its margin, or without enough samples the declared
    /// size.
    pub fn size(&self, spec: &JobSpec) -> JobSize {
        self.get(spec)
            .map_or(spec.size, |estimate| estimate.corrected_size(&spec.size))
    }

    /// Returns the expected run time of a job: the estimate, or the declared time without enough samples.
    pub fn run_time(&self, spec: &JobSpec) -> Millis {
        match self.get(spec) {
            Some(estimate) if estimate.samples >= MIN_SAMPLES => estimate.run_time,
            _ => spec.run_time,
        }
    }

    /// Adds the usage of a completed task to its estimate.
    pub(super) fn observe(&mut self, now: LogTime, spec: &JobSpec, usage: &TaskUsage) {
        // A worker that reports usage late may end a task before it reported any.
        if usage.size.cores_milli == 0 || usage.size.memory_mib == 0 {
            return;
        }
        if let Some(estimate) = self.get_mut(&spec.service, &spec.organisation) {
            estimate.observe(now, usage);
            return;
        }
        if self.rows.values().map(SortedMap::len).sum::<usize>() >= MAX_ESTIMATES {
            self.remove_oldest();
        }
        let mut estimate = SizeEstimate::default();
        estimate.observe(now, usage);
        if !self.rows.contains(&spec.service) {
            self.rows.insert(spec.service.clone(), SortedMap::default());
        }
        if let Some(rows) = self.rows.get_mut(&spec.service) {
            rows.insert(spec.organisation.clone(), estimate);
        }
    }

    fn get_mut(
        &mut self,
        service: &ServiceName,
        organisation: &OrganisationName,
    ) -> Option<&mut SizeEstimate> {
        self.rows.get_mut(service)?.get_mut(organisation)
    }

    /// Raises the memory estimate to what a failed task used. The other values of a failed task mean little: a worker
    /// that fails every task immediately reports almost no usage.
    pub(super) fn raise_memory(&mut self, spec: &JobSpec, usage: &TaskUsage) {
        if let Some(estimate) = self.get_mut(&spec.service, &spec.organisation) {
            estimate.memory_mib = estimate.memory_mib.max(usage.size.memory_mib);
        }
    }

    fn remove_oldest(&mut self) {
        let rows = self.rows.iter();
        let rows = rows.flat_map(|(service, rows)| rows.iter().map(move |row| (service, row)));
        let oldest = rows.min_by_key(|(_, (_, row))| row.updated);
        let oldest =
            oldest.map(|(service, (organisation, _))| (service.clone(), organisation.clone()));
        if let Some((service, organisation)) = oldest
            && let Some(rows) = self.rows.get_mut(&service)
        {
            rows.remove(&organisation);
        }
        self.rows.retain(|_, rows| !rows.is_empty());
    }
}

impl SizeEstimate {
    /// Returns the size to reserve for a job that declares `declared`; accelerators are always as declared.
    pub fn corrected_size(&self, declared: &JobSize) -> JobSize {
        if self.samples < MIN_SAMPLES {
            return *declared;
        }
        JobSize {
            // Accelerators are assigned whole, so a task cannot use more than it declares.
            accelerators: declared.accelerators,
            cores_milli: with_margin(self.cores_milli),
            memory_mib: with_margin(self.memory_mib),
        }
    }

    fn observe(&mut self, now: LogTime, usage: &TaskUsage) {
        let first = self.samples == 0;
        let mean = |old: u64, new: u64| {
            if first {
                return new;
            }
            (old * (DECAY_DIVISOR - 1) + new) / DECAY_DIVISOR
        };
        let cores = mean(self.cores_milli.into(), usage.size.cores_milli.into());
        let memory = mean(self.memory_mib.into(), usage.size.memory_mib.into());
        self.cores_milli = saturate(cores);
        self.memory_mib = saturate(memory).max(usage.size.memory_mib);
        self.run_time = Millis(mean(self.run_time.0, usage.run_time.0));
        self.samples = self.samples.saturating_add(1);
        self.updated = now;
    }
}

fn with_margin(value: u32) -> u32 {
    saturate(u64::from(value) * (100 + MARGIN_PERCENT) / 100).max(1)
}

fn saturate(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
