use {
    super::{Job, JobId, JobSize},
    crate::{
        config::FleetConfig,
        ids::{LogTime, TenantName},
        traffic::Urgency,
    },
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
    },
};

/// A queued job that some worker could hold.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedJob<'a> {
    pub id: JobId,
    pub job: &'a Job,
    pub size: JobSize,
    pub urgency: Urgency,
}

/// Key of a tenant in a [`FairQueue`]; valid once the first job was taken.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueueKey(usize);

/// Place of a tenant in the queue: the urgency class of its next job first, then the smallest held
/// share for its weight, then the nearest deadline.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct TenantRank {
    urgency: Urgency,
    share: u64,
    deadline: LogTime,
    /// Index of the tenant, which decides between equals.
    index: usize,
}

/// One tenant in the queue.
#[derive(Debug)]
struct TenantRow<'a> {
    /// Share of the pool that the tenant holds, in parts per million.
    held: u64,
    name: &'a TenantName,
    queue: VecDeque<QueuedJob<'a>>,
    weight: u64,
}

impl TenantRow<'_> {
    fn rank(&self, index: usize) -> Option<TenantRank> {
        let head = self.queue.front()?;
        Some(TenantRank {
            deadline: head.job.spec.deadline,
            index,
            // Weights are at most 1,000, so the scaling keeps small shares apart.
            share: self.held.saturating_mul(1_000) / self.weight,
            urgency: head.urgency,
        })
    }
}

/// The queued jobs of a pool: the urgency class first, then weighted fair between tenants, then the
/// deadline within a tenant.
#[derive(Debug)]
pub(super) struct FairQueue<'a> {
    heap: BinaryHeap<Reverse<TenantRank>>,
    pending: Vec<QueuedJob<'a>>,
    tenants: Vec<TenantRow<'a>>,
    whole: JobSize,
}

impl<'a> FairQueue<'a> {
    /// Creates the queue of a pool that holds `whole`.
    pub(super) fn new(config: &'a FleetConfig, whole: JobSize) -> Self {
        // The tenants of a checked configuration are sorted by name.
        let tenants = config.tenants.iter().map(|tenant| TenantRow {
            held: 0,
            name: &tenant.name,
            queue: VecDeque::new(),
            weight: u64::from(tenant.weight.max(1)),
        });
        Self {
            heap: BinaryHeap::new(),
            pending: Vec::new(),
            tenants: tenants.collect(),
            whole,
        }
    }

    /// Counts `size` as held by `tenant`.
    pub(super) fn charge(&mut self, tenant: &TenantName, size: &JobSize) {
        if let Some(index) = self.tenant(tenant) {
            self.charge_key(QueueKey(index), size);
        }
    }

    /// Counts `size` as held by the tenant of a job that was taken.
    pub(super) fn charge_key(&mut self, key: QueueKey, size: &JobSize) {
        self.tenants[key.0].held += size.share_of(&self.whole);
    }

    pub(super) fn push(&mut self, job: QueuedJob<'a>) {
        self.pending.push(job);
    }

    /// Takes the next job. The caller charges its tenant when it places the job.
    pub(super) fn pop(&mut self) -> Option<(QueueKey, QueuedJob<'a>)> {
        self.sort_pending();
        while let Some(Reverse(rank)) = self.heap.pop() {
            let Some(current) = self.tenants[rank.index].rank(rank.index) else {
                continue;
            };
            // The tenant was charged after its rank was pushed, so it moves back.
            if current != rank {
                self.heap.push(Reverse(current));
                continue;
            }
            let row = &mut self.tenants[rank.index];
            let job = row.queue.pop_front();
            self.heap.extend(row.rank(rank.index).map(Reverse));
            return Some((QueueKey(rank.index), job?));
        }
        None
    }

    fn sort_pending(&mut self) {
        let mut pending = std::mem::take(&mut self.pending);
        if pending.is_empty() {
            return;
        }
        pending
            .sort_unstable_by_key(|queued| (queued.urgency, queued.job.spec.deadline, queued.id));
        for queued in pending {
            let index = self
                .tenant(&queued.job.spec.tenant)
                .unwrap_or_else(|| self.add(queued.job));
            self.tenants[index].queue.push_back(queued);
        }
        let rows = self.tenants.iter().enumerate();
        let ranks = rows.filter_map(|(index, row)| row.rank(index));
        self.heap = ranks.map(Reverse).collect();
    }

    fn tenant(&self, name: &TenantName) -> Option<usize> {
        self.tenants.binary_search_by(|row| row.name.cmp(name)).ok()
    }

    /// Adds a tenant that was removed from the configuration while it had jobs.
    fn add(&mut self, job: &'a Job) -> usize {
        let name = &job.spec.tenant;
        let place = self.tenants.partition_point(|row| row.name < name);
        let row = TenantRow {
            held: 0,
            name,
            queue: VecDeque::new(),
            weight: 1,
        };
        self.tenants.insert(place, row);
        place
    }
}
