use {
    super::{JobSize, WorkerView},
    crate::{
        collections::SortedMap,
        ids::{DataCentre, RackName},
    },
    std::cmp::Reverse,
};

/// Overnight jobs leave one in this many cores of a worker free, so that an urgent job can start there without waiting
/// for a checkpoint.
const HEADROOM_DIVISOR: u32 = 8;

/// At most one in this many workers is kept free for jobs that wait for a whole worker; in a smaller pool, one.
const KEPT_FREE_DIVISOR: usize = 8;

/// Index of a worker in the rows of a [`PlacementIndex`].
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct WorkerKey(pub usize);

/// A worker that can get jobs.
#[derive(Debug)]
pub(super) struct PlacementRow<'a> {
    /// Capacity taken by leases and reported usage.
    pub demand: JobSize,
    /// Index of the worker in the input of the plan.
    pub input_index: usize,
    pub view: &'a WorkerView,
    rack: usize,
}

impl PlacementRow<'_> {
    pub(super) fn free_capacity(&self) -> JobSize {
        self.view.capacity.minus(&self.demand)
    }

    fn load(&self) -> u64 {
        self.demand.share_of(&self.view.capacity)
    }
}

#[derive(Debug)]
struct RackRow {
    load: u64,
    /// Field by field, the largest free capacity of a worker of the rack. No single worker need have all of it.
    max_free: JobSize,
    workers: Vec<usize>,
}

impl RackRow {
    fn mean_load(&self) -> u64 {
        self.load / self.workers.len().max(1) as u64
    }
}

/// The workers of a pool that can get jobs, with their free capacity, ordered by the load of their racks.
#[derive(Debug)]
pub(super) struct PlacementIndex<'a> {
    /// Number of workers kept free in this plan.
    kept_free: usize,
    /// Keys by the index of the worker in the input of the plan.
    keys: Vec<Option<WorkerKey>>,
    /// Mean load and index of each rack.
    racks_by_load: SortedMap<(u64, usize), ()>,
    racks: Vec<RackRow>,
    rows: Vec<PlacementRow<'a>>,
    /// Sizes that did not fit any worker. Free capacity only shrinks during a plan, so larger sizes do not fit either.
    rejected_sizes: Vec<JobSize>,
}

/// Constraints on the worker for one job.
pub(super) struct PlacementRequest {
    /// Workers on which the job failed, lapsed or did not start.
    pub avoid: Vec<WorkerKey>,
    /// Whether the job goes to the most loaded worker of a rack instead of the least loaded.
    pub is_packed: bool,
    /// Whether the job leaves capacity for urgent jobs.
    pub keeps_headroom: bool,
    pub size: JobSize,
}

impl<'a> PlacementIndex<'a> {
    /// Builds the index from workers with their demand and their indexes in the input, in ascending order.
    pub(super) fn new(workers: impl Iterator<Item = (usize, &'a WorkerView, JobSize)>) -> Self {
        let mut placement = Self {
            kept_free: 0,
            keys: Vec::new(),
            racks_by_load: SortedMap::default(),
            racks: Vec::new(),
            rows: Vec::new(),
            rejected_sizes: Vec::new(),
        };
        let mut rack_indexes: SortedMap<(&DataCentre, &RackName), usize> = SortedMap::default();
        for (input_index, view, demand) in workers {
            let next = placement.racks.len();
            let key = (&view.data_centre, &view.rack);
            let rack = rack_indexes.get(&key).copied().unwrap_or(next);
            if rack == next {
                rack_indexes.insert(key, rack);
                placement.racks.push(RackRow {
                    load: 0,
                    max_free: JobSize::default(),
                    workers: Vec::new(),
                });
            }
            let row = PlacementRow {
                demand,
                input_index,
                rack,
                view,
            };
            let rack_row = &mut placement.racks[rack];
            rack_row.load += row.load();
            rack_row.max_free = rack_row.max_free.max(&row.free_capacity());
            rack_row.workers.push(placement.rows.len());
            placement.keys.resize(input_index + 1, None);
            placement.keys[input_index] = Some(WorkerKey(placement.rows.len()));
            placement.rows.push(row);
        }
        let racks = placement.racks.iter().enumerate();
        placement.racks_by_load = racks
            .map(|(index, rack)| ((rack.mean_load(), index), ()))
            .collect();
        placement
    }

    pub(super) fn rows(&self) -> &[PlacementRow<'a>] {
        &self.rows
    }

    /// Returns the key of a worker by its index in the input; `None` when it gets no jobs.
    pub(super) fn key(&self, input_index: usize) -> Option<WorkerKey> {
        self.keys.get(input_index).copied().flatten()
    }

    /// Tells whether `size` fits the total capacity of a worker that is not in `avoid`.
    pub(super) fn has_alternative(&self, avoid: &[WorkerKey], size: &JobSize) -> bool {
        let rows = self.rows.iter().enumerate();
        let mut others = rows.filter(|(index, _)| !avoid.contains(&WorkerKey(*index)));
        others.any(|(_, row)| size.fits(&row.view.capacity))
    }

    /// Chooses a worker and reserves the size there; `None` when no worker has enough free capacity.
    pub(super) fn place(&mut self, request: &PlacementRequest) -> Option<WorkerKey> {
        if self
            .rejected_sizes
            .iter()
            .any(|rejected| rejected.fits(&request.size))
        {
            return None;
        }
        let found = self.find(request);
        match found {
            Some(key) => self.reserve(key, &request.size),
            None if request.avoid.is_empty() => self.rejected_sizes.push(request.size),
            None => {}
        }
        found
    }

    /// Keeps a worker free for a job that fits no worker now: the least loaded of those with enough total capacity.
    /// Nothing else is placed there, so it is the least loaded one in the next plan too.
    pub(super) fn keep_free(&mut self, request: &PlacementRequest) {
        if self.kept_free >= (self.rows.len() / KEPT_FREE_DIVISOR).max(1) {
            return;
        }
        let rows = self.rows.iter().enumerate().filter(|(index, row)| {
            let allowed = !request.avoid.contains(&WorkerKey(*index));
            allowed
                && request.size.fits(&row.view.capacity)
                && row.free_capacity() != JobSize::default()
        });
        let best = rows.min_by_key(|(index, row)| (row.load(), *index));
        if let Some(key) = best.map(|(index, _)| WorkerKey(index)) {
            let free = self.rows[key.0].free_capacity();
            self.reserve(key, &free);
            self.kept_free += 1;
        }
    }

    fn find(&self, request: &PlacementRequest) -> Option<WorkerKey> {
        // A retry prefers another rack, because failures are correlated within a rack.
        let avoided = self.avoided_racks(request);
        let preferred = self.find_outside_racks(request, &avoided);
        if avoided.is_empty() {
            return preferred;
        }
        preferred.or_else(|| self.find_outside_racks(request, &[]))
    }

    fn find_outside_racks(
        &self,
        request: &PlacementRequest,
        avoided: &[usize],
    ) -> Option<WorkerKey> {
        let racks = self.racks_by_load.keys().map(|(_, rack)| *rack);
        let mut racks = racks.filter(|rack| !avoided.contains(rack));
        racks.find_map(|rack| self.find_in_rack(&self.racks[rack], request))
    }

    /// Chooses a worker of a rack: the most loaded one, so that the others keep capacity for large jobs, or the least
    /// loaded one, where other tasks slow the job down least.
    fn find_in_rack(&self, rack: &RackRow, request: &PlacementRequest) -> Option<WorkerKey> {
        if !request.size.fits(&rack.max_free) {
            return None;
        }
        let candidates = rack.workers.iter().filter(|index| {
            let row = &self.rows[**index];
            has_capacity(row, request) && !request.avoid.contains(&WorkerKey(**index))
        });
        let load = |index: &&usize| self.rows[**index].load();
        let best = match request.is_packed {
            true => candidates.min_by_key(|index| Reverse(load(index))),
            false => candidates.min_by_key(load),
        };
        best.map(|index| WorkerKey(*index))
    }

    fn avoided_racks(&self, request: &PlacementRequest) -> Vec<usize> {
        let avoided = request.avoid.iter();
        avoided.map(|key| self.rows[key.0].rack).collect()
    }

    fn reserve(&mut self, key: WorkerKey, size: &JobSize) {
        let row = &mut self.rows[key.0];
        let before = row.load();
        row.demand = row.demand.plus(size);
        let rack = &mut self.racks[row.rack];
        self.racks_by_load.remove(&(rack.mean_load(), row.rack));
        rack.load = rack.load - before + row.load();
        self.racks_by_load.insert((rack.mean_load(), row.rack), ());
        let rows = &self.rows;
        let free = rack
            .workers
            .iter()
            .map(|index| rows[*index].free_capacity());
        rack.max_free = free.fold(JobSize::default(), |largest, other| largest.max(&other));
    }
}

fn has_capacity(row: &PlacementRow, request: &PlacementRequest) -> bool {
    let free = row.free_capacity();
    if !request.size.fits(&free) {
        return false;
    }
    // A job that needs most of a worker gets an empty one and leaves no headroom there.
    let is_empty = row.demand == JobSize::default();
    let headroom = row.view.capacity.cores_milli / HEADROOM_DIVISOR;
    !request.keeps_headroom || is_empty || free.cores_milli - request.size.cores_milli >= headroom
}
