use {
    super::{JobSize, WorkerView},
    crate::{
        collections::SortedMap,
        ids::{DataCentre, RackName},
    },
    std::cmp::Reverse,
};

/// Part of a worker that overnight jobs leave free, as one in so many. An urgent job then starts
/// without waiting for a checkpoint.
const HEADROOM_DIVISOR: u32 = 8;

/// At most this part of the workers is held free for jobs that wait for a whole worker, as one in so
/// many.
const KEPT_FREE_DIVISOR: usize = 8;

/// Key of a worker in a [`PlacementIndex`].
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct WorkerKey(pub usize);

/// A worker that may get jobs.
#[derive(Debug)]
pub(super) struct PlacementRow<'a> {
    /// What leases and reported usage take.
    pub demand: JobSize,
    /// Index of the worker in the input of the plan.
    pub index: usize,
    /// The worker.
    pub view: &'a WorkerView,
    rack: usize,
}

impl PlacementRow<'_> {
    pub(super) fn room(&self) -> JobSize {
        self.view.capacity.minus(&self.demand)
    }

    fn load(&self) -> u64 {
        self.demand.share_of(&self.view.capacity)
    }
}

#[derive(Debug)]
struct RackRow {
    load: u64,
    /// At least the room of each worker of the rack, field by field.
    room: JobSize,
    workers: Vec<usize>,
}

impl RackRow {
    fn mean_load(&self) -> u64 {
        self.load / self.workers.len().max(1) as u64
    }
}

/// The workers of a pool that may get jobs, with what is free, ordered by the load of their racks.
#[derive(Debug)]
pub(super) struct PlacementIndex<'a> {
    kept_free: usize,
    /// Keys by the index of the worker in the input of the plan.
    keys: Vec<Option<WorkerKey>>,
    order: SortedMap<(u64, usize), ()>,
    racks: Vec<RackRow>,
    rows: Vec<PlacementRow<'a>>,
    /// Sizes that fitted nowhere. Room only shrinks during a plan, so larger ones do not fit either.
    unfit: Vec<JobSize>,
}

/// What a job needs of the index.
pub(super) struct PlacementRequest {
    /// Workers on which the job failed.
    pub avoid: Vec<WorkerKey>,
    /// Whether the job goes to the fullest worker of a rack instead of the emptiest.
    pub is_packed: bool,
    /// Whether the job leaves room for urgent jobs.
    pub keeps_headroom: bool,
    /// What the job needs.
    pub size: JobSize,
}

impl<'a> PlacementIndex<'a> {
    /// Builds the index from workers with their rising indexes and the demand on each.
    pub(super) fn new(workers: impl Iterator<Item = (usize, &'a WorkerView, JobSize)>) -> Self {
        let mut placement = Self {
            kept_free: 0,
            keys: Vec::new(),
            order: SortedMap::default(),
            racks: Vec::new(),
            rows: Vec::new(),
            unfit: Vec::new(),
        };
        let mut keys: SortedMap<(&DataCentre, &RackName), usize> = SortedMap::default();
        for (index, view, demand) in workers {
            let next = placement.racks.len();
            let key = (&view.data_centre, &view.rack);
            let rack = keys.get(&key).copied().unwrap_or(next);
            if rack == next {
                keys.insert(key, rack);
                placement.racks.push(RackRow {
                    load: 0,
                    room: JobSize::default(),
                    workers: Vec::new(),
                });
            }
            let row = PlacementRow {
                demand,
                index,
                rack,
                view,
            };
            let place = &mut placement.racks[rack];
            place.load += row.load();
            place.room = place.room.max(&row.room());
            place.workers.push(placement.rows.len());
            placement.keys.resize(index + 1, None);
            placement.keys[index] = Some(WorkerKey(placement.rows.len()));
            placement.rows.push(row);
        }
        let racks = placement.racks.iter().enumerate();
        placement.order = racks
            .map(|(index, rack)| ((rack.mean_load(), index), ()))
            .collect();
        placement
    }

    pub(super) fn rows(&self) -> &[PlacementRow<'a>] {
        &self.rows
    }

    /// Returns the key of a worker by its index in the input; none when it gets no jobs.
    pub(super) fn key(&self, index: usize) -> Option<WorkerKey> {
        self.keys.get(index).copied().flatten()
    }

    /// Tells whether a worker outside of `avoid` could hold `size` if it were empty.
    pub(super) fn has_other(&self, avoid: &[WorkerKey], size: &JobSize) -> bool {
        let rows = self.rows.iter().enumerate();
        let mut others = rows.filter(|(index, _)| !avoid.contains(&WorkerKey(*index)));
        others.any(|(_, row)| size.fits(&row.view.capacity))
    }

    /// Chooses a worker and takes the room; none when no worker has room.
    pub(super) fn take(&mut self, request: &PlacementRequest) -> Option<WorkerKey> {
        if self.unfit.iter().any(|unfit| unfit.fits(&request.size)) {
            return None;
        }
        let found = self.find(request);
        match found {
            Some(key) => self.reserve(key, &request.size),
            None if request.avoid.is_empty() => self.unfit.push(request.size),
            None => {}
        }
        found
    }

    /// Keeps a worker free for a job that found no room: the one with the most room of those that could
    /// hold it. Nothing else is placed there, so it is the one with the most room in the next plan too.
    pub(super) fn keep_free(&mut self, request: &PlacementRequest) {
        if self.kept_free >= (self.rows.len() / KEPT_FREE_DIVISOR).max(1) {
            return;
        }
        let rows = self.rows.iter().enumerate().filter(|(index, row)| {
            let usable = !request.avoid.contains(&WorkerKey(*index));
            usable && request.size.fits(&row.view.capacity) && row.room() != JobSize::default()
        });
        let best = rows.min_by_key(|(index, row)| (row.load(), *index));
        if let Some(key) = best.map(|(index, _)| WorkerKey(index)) {
            let room = self.rows[key.0].room();
            self.reserve(key, &room);
            self.kept_free += 1;
        }
    }

    fn find(&self, request: &PlacementRequest) -> Option<WorkerKey> {
        // A retry goes to another rack first, because failures are correlated within a rack.
        let failed = self.failed_racks(request);
        let away = self.find_outside(request, &failed);
        if failed.is_empty() {
            return away;
        }
        away.or_else(|| self.find_outside(request, &[]))
    }

    fn find_outside(&self, request: &PlacementRequest, racks: &[usize]) -> Option<WorkerKey> {
        let order = self.order.keys().map(|(_, rack)| *rack);
        let mut order = order.filter(|rack| !racks.contains(rack));
        order.find_map(|rack| self.find_in(&self.racks[rack], request))
    }

    /// Chooses a worker of a rack: the fullest, so that large jobs find room on the others, or the
    /// emptiest, where neighbours slow the job down least.
    fn find_in(&self, rack: &RackRow, request: &PlacementRequest) -> Option<WorkerKey> {
        if !request.size.fits(&rack.room) {
            return None;
        }
        let fits = rack.workers.iter().filter(|index| {
            let row = &self.rows[**index];
            has_room(row, request) && !request.avoid.contains(&WorkerKey(**index))
        });
        let load = |index: &&usize| self.rows[**index].load();
        let best = match request.is_packed {
            true => fits.min_by_key(|index| Reverse(load(index))),
            false => fits.min_by_key(load),
        };
        best.map(|index| WorkerKey(*index))
    }

    fn failed_racks(&self, request: &PlacementRequest) -> Vec<usize> {
        let failed = request.avoid.iter();
        failed.map(|key| self.rows[key.0].rack).collect()
    }

    fn reserve(&mut self, key: WorkerKey, size: &JobSize) {
        let row = &mut self.rows[key.0];
        let before = row.load();
        row.demand = row.demand.plus(size);
        let rack = &mut self.racks[row.rack];
        self.order.remove(&(rack.mean_load(), row.rack));
        rack.load = rack.load - before + row.load();
        self.order.insert((rack.mean_load(), row.rack), ());
        let rows = &self.rows;
        let rooms = rack.workers.iter().map(|index| rows[*index].room());
        rack.room = rooms.fold(JobSize::default(), |room, other| room.max(&other));
    }
}

fn has_room(row: &PlacementRow, request: &PlacementRequest) -> bool {
    let room = row.room();
    if !request.size.fits(&room) {
        return false;
    }
    // A job that needs most of a worker takes an empty one without headroom.
    let whole = row.demand == JobSize::default();
    let headroom = row.view.capacity.cores_milli / HEADROOM_DIVISOR;
    !request.keeps_headroom || whole || room.cores_milli - request.size.cores_milli >= headroom
}
