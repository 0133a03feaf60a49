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

/// A queued job that some worker could hold.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedJob<'a> {
    pub id: JobId,
    pub job: &'a Job,
    pub size: JobSize,
    pub urgency: Urgency,
}

/// Key of an organisation in a [`FairQueue`]; valid once the first job was taken.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueueKey(usize);

/// Place of an organisation in the queue: the urgency class of its next job first, then the smallest held
/// share for its weight, then the nearest deadline.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct OrganisationRank {
    urgency: Urgency,
    share: u64,
    deadline: LogTime,
    /// Index of the organisation, which decides between equals.
    index: usize,
}

/// One organisation in the queue.
#[derive(Debug)]
struct OrganisationRow<'a> {
    /// Share of the pool that the organisation holds, in parts per million.
    held: u64,
    name: &'a OrganisationName,
    queue: VecDeque<QueuedJob<'a>>,
    weight: u64,
}

impl OrganisationRow<'_> {
    fn rank(&self, index: usize) -> Option<OrganisationRank> {
        let head = self.queue.front()?;
        Some(OrganisationRank {
            deadline: head.job.spec.deadline,
            index,
            // Weights are at most 1,000, so the scaling keeps small shares apart.
            share: self.held.saturating_mul(1_000) / self.weight,
            urgency: head.urgency,
        })
    }
}

/// The queued jobs of a pool: the urgency class first, then weighted fair between organisations, then the
/// deadline within an organisation.
#[derive(Debug)]
pub(super) struct FairQueue<'a> {
    heap: BinaryHeap<Reverse<OrganisationRank>>,
    pending: Vec<QueuedJob<'a>>,
    organisations: Vec<OrganisationRow<'a>>,
    whole: JobSize,
}

impl<'a> FairQueue<'a> {
    /// Creates the queue of a pool that holds `whole`.
    pub(super) fn new(config: &'a FleetConfig, whole: JobSize) -> Self {
        // The organisations of a checked configuration are sorted by name.
        let organisations = config
            .organisations
            .iter()
            .map(|organisation| OrganisationRow {
                held: 0,
                name: &organisation.name,
                queue: VecDeque::new(),
                weight: u64::from(organisation.weight.max(1)),
            });
        Self {
            heap: BinaryHeap::new(),
            pending: Vec::new(),
            organisations: organisations.collect(),
            whole,
        }
    }

    /// Counts `size` as held by `organisation`.
    pub(super) fn charge(&mut self, organisation: &OrganisationName, size: &JobSize) {
        if let Some(index) = self.organisation(organisation) {
            self.charge_key(QueueKey(index), size);
        }
    }

    /// Counts `size` as held by the organisation of a job that was taken.
    pub(super) fn charge_key(&mut self, key: QueueKey, size: &JobSize) {
        self.organisations[key.0].held += size.share_of(&self.whole);
    }

    pub(super) fn push(&mut self, job: QueuedJob<'a>) {
        self.pending.push(job);
    }

    /// Takes the next job. The caller charges its organisation when it places the job.
    pub(super) fn pop(&mut self) -> Option<(QueueKey, QueuedJob<'a>)> {
        self.sort_pending();
        while let Some(Reverse(rank)) = self.heap.pop() {
            let Some(current) = self.organisations[rank.index].rank(rank.index) else {
                continue;
            };
            // The organisation was charged after its rank was pushed, so it moves back.
            if current != rank {
                self.heap.push(Reverse(current));
                continue;
            }
            let row = &mut self.organisations[rank.index];
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
                .organisation(&queued.job.spec.organisation)
                .unwrap_or_else(|| self.add(queued.job));
            self.organisations[index].queue.push_back(queued);
        }
        let rows = self.organisations.iter().enumerate();
        let ranks = rows.filter_map(|(index, row)| row.rank(index));
        self.heap = ranks.map(Reverse).collect();
    }

    fn organisation(&self, name: &OrganisationName) -> Option<usize> {
        self.organisations
            .binary_search_by(|row| row.name.cmp(name))
            .ok()
    }

    /// Adds an organisation that was removed from the configuration while it had jobs.
    fn add(&mut self, job: &'a Job) -> usize {
        let name = &job.spec.organisation;
        let place = self.organisations.partition_point(|row| row.name < name);
        let row = OrganisationRow {
            held: 0,
            name,
            queue: VecDeque::new(),
            weight: 1,
        };
        self.organisations.insert(place, row);
        place
    }
}
