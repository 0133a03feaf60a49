use {
    super::{Job, JobId, JobSize},
    crate::{
        config::FleetConfig,
        ids::{LogTime, OrganisationName},
        traffic::Urgency,
    },
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
    },
};

/// A queued job that fits at least one worker of the pool when that worker is empty.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedJob<'a> {
    pub id: JobId,
    pub job: &'a Job,
    pub size: JobSize,
    pub urgency: Urgency,
}

/// Index of an organisation in a [`FairQueue`]; valid after the first `pop`, which may insert organisations that are
/// no longer configured.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct OrganisationIndex(usize);

/// Sort key of an organisation: the urgency class of its next job, then the smallest used share in relation to its
/// weight, then the nearest deadline.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct OrganisationRank {
    urgency: Urgency,
    share: u64,
    deadline: LogTime,
    /// Breaks ties.
    index: usize,
}

#[derive(Debug)]
struct OrganisationRow<'a> {
    /// Share of the pool's capacity that the organisation's jobs take, in parts per million.
    used: u64,
    name: &'a OrganisationName,
    queue: VecDeque<QueuedJob<'a>>,
    weight: u64,
}

impl OrganisationRow<'_> {
    fn rank(&self, index: usize) -> Option<OrganisationRank> {
        let next = self.queue.front()?;
        Some(OrganisationRank {
            deadline: next.job.spec.deadline,
            index,
            // Weights are at most 1,000, so this scaling keeps small shares distinct after the division.
            share: self.used.saturating_mul(1_000) / self.weight,
            urgency: next.urgency,
        })
    }
}

/// The queued jobs of a pool, ordered by urgency class, then weighted fair between organisations, then by deadline
/// within an organisation.
#[derive(Debug)]
pub(super) struct FairQueue<'a> {
    heap: BinaryHeap<Reverse<OrganisationRank>>,
    pending: Vec<QueuedJob<'a>>,
    organisations: Vec<OrganisationRow<'a>>,
    pool_capacity: JobSize,
}

impl<'a> FairQueue<'a> {
    /// Creates the queue of a pool whose workers have `pool_capacity` in total.
    pub(super) fn new(config: &'a FleetConfig, pool_capacity: JobSize) -> Self {
        // The organisations of a checked configuration are sorted by name.
        let organisations = config
            .organisations
            .iter()
            .map(|organisation| OrganisationRow {
                used: 0,
                name: &organisation.name,
                queue: VecDeque::new(),
                weight: u64::from(organisation.weight.max(1)),
            });
        Self {
            heap: BinaryHeap::new(),
            pending: Vec::new(),
            organisations: organisations.collect(),
            pool_capacity,
        }
    }

    /// Adds `size` to the capacity used by `organisation`.
    pub(super) fn charge(&mut self, organisation: &OrganisationName, size: &JobSize) {
        if let Some(index) = self.find_organisation(organisation) {
            self.charge_at(OrganisationIndex(index), size);
        }
    }

    /// Adds `size` to the capacity used by the organisation of a job returned by [`pop`](Self::pop).
    pub(super) fn charge_at(&mut self, index: OrganisationIndex, size: &JobSize) {
        self.organisations[index.0].used += size.share_of(&self.pool_capacity);
    }

    pub(super) fn push(&mut self, job: QueuedJob<'a>) {
        self.pending.push(job);
    }

    /// Removes and returns the next job. The planner charges its organisation when it places the job.
    pub(super) fn pop(&mut self) -> Option<(OrganisationIndex, QueuedJob<'a>)> {
        self.sort_pending();
        while let Some(Reverse(rank)) = self.heap.pop() {
            let Some(current) = self.organisations[rank.index].rank(rank.index) else {
                continue;
            };
            // The organisation was charged after this rank was pushed, so the rank is outdated.
            if current != rank {
                self.heap.push(Reverse(current));
                continue;
            }
            let row = &mut self.organisations[rank.index];
            let job = row.queue.pop_front();
            self.heap.extend(row.rank(rank.index).map(Reverse));
            return Some((OrganisationIndex(rank.index), job?));
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
                .find_organisation(&queued.job.spec.organisation)
                .unwrap_or_else(|| self.add_organisation(queued.job));
            self.organisations[index].queue.push_back(queued);
        }
        let rows = self.organisations.iter().enumerate();
        let ranks = rows.filter_map(|(index, row)| row.rank(index));
        self.heap = ranks.map(Reverse).collect();
    }

    fn find_organisation(&self, name: &OrganisationName) -> Option<usize> {
        self.organisations
            .binary_search_by(|row| row.name.cmp(name))
            .ok()
    }

    /// Adds the organisation of `job`, which was removed from the configuration while it had jobs.
    fn add_organisation(&mut self, job: &'a Job) -> usize {
        let name = &job.spec.organisation;
        let index = self.organisations.partition_point(|row| row.name < name);
        let row = OrganisationRow {
            used: 0,
            name,
            queue: VecDeque::new(),
            weight: 1,
        };
        self.organisations.insert(index, row);
        index
    }
}
