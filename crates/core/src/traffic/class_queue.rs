use {
    super::{OrganisationKey, RequestHandle},
    crate::collections::SortedMap,
    std::collections::VecDeque,
};

/// Units of virtual time for one millisecond of slot time at weight one.
const VIRTUAL_UNITS: f64 = 1_000.0;

/// A queued request within an organisation's queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueEntry {
    /// Tells apart two requests that were offered under the same handle.
    pub sequence: u64,
    /// The request.
    pub handle: RequestHandle,
}

#[derive(Clone, Debug, Default)]
struct OrganisationQueue {
    entries: VecDeque<QueueEntry>,
    live: u32,
    virtual_time: u64,
    weight: u32,
}

/// The queue of one class at one service, shared by weight between organisations.
///
/// This is start-time fair queueing: the backlogged organisation with the least virtual time is served
/// next, and its virtual time grows by slot time divided by weight. Removed entries stay in the
/// organisation's queue until they come to its head or outnumber the live ones.
#[derive(Clone, Debug, Default)]
pub struct ClassQueue {
    backlogged: SortedMap<(u64, OrganisationKey), ()>,
    clock: u64,
    len: u32,
    organisations: Vec<OrganisationQueue>,
    weight: u64,
}

impl ClassQueue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Returns the number of queued requests of an organisation.
    pub fn organisation_len(&self, organisation: OrganisationKey) -> u32 {
        let queue = self.organisations.get(usize::from(organisation.0));
        queue.map_or(0, |queue| queue.live)
    }

    /// Returns how many requests are served before a new one of an organisation under fair shares.
    pub fn ahead(&self, organisation: OrganisationKey, weight: u32) -> f64 {
        let own = self.organisation_len(organisation);
        let weight = u64::from(weight.max(1));
        let sharing = self.weight + if own == 0 { weight } else { 0 };
        let rounds = f64::from(own + 1) * sharing as f64 / weight as f64;
        rounds.min(f64::from(self.len))
    }

    /// Returns the weight of an organisation relative to the mean of the backlogged ones.
    pub fn relative_weight(&self, weight: u32) -> f64 {
        let count = self.backlogged.len() as f64;
        if self.weight == 0 {
            return 1.0;
        }
        f64::from(weight.max(1)) * count / self.weight as f64
    }

    /// Adds a request at the end of its organisation's queue.
    pub fn push(&mut self, organisation: OrganisationKey, weight: u32, entry: QueueEntry) {
        let index = usize::from(organisation.0);
        if self.organisations.len() <= index {
            self.organisations
                .resize_with(index + 1, OrganisationQueue::default);
        }
        let queue = &mut self.organisations[index];
        queue.entries.push_back(entry);
        queue.live += 1;
        self.len += 1;
        if queue.live == 1 {
            queue.weight = weight.max(1);
            queue.virtual_time = queue.virtual_time.max(self.clock);
            self.weight += u64::from(queue.weight);
            self.backlogged
                .insert((queue.virtual_time, organisation), ());
        }
    }

    /// Takes out the next request; `is_live` tells removed entries apart.
    pub fn pop(
        &mut self,
        slot_time: f64,
        is_live: impl Fn(QueueEntry) -> bool,
    ) -> Option<(OrganisationKey, QueueEntry)> {
        let ((virtual_time, organisation), ()) = self.backlogged.pop_first()?;
        self.clock = virtual_time;
        let queue = &mut self.organisations[usize::from(organisation.0)];
        let mut found = None;
        while let Some(entry) = queue.entries.pop_front() {
            if is_live(entry) {
                found = Some(entry);
                break;
            }
        }
        queue.live = queue.live.saturating_sub(1);
        self.len -= 1;
        let charge = slot_time * VIRTUAL_UNITS / f64::from(queue.weight);
        queue.virtual_time = virtual_time + charge as u64;
        if queue.live > 0 {
            self.backlogged
                .insert((queue.virtual_time, organisation), ());
        } else {
            self.weight -= u64::from(queue.weight);
            queue.entries.clear();
        }
        Some((organisation, found?))
    }

    /// Forgets one live request of an organisation; its entry is dropped later.
    pub fn remove(&mut self, organisation: OrganisationKey, is_live: impl Fn(QueueEntry) -> bool) {
        let queue = &mut self.organisations[usize::from(organisation.0)];
        queue.live -= 1;
        self.len -= 1;
        if queue.live == 0 {
            self.backlogged.remove(&(queue.virtual_time, organisation));
            self.weight -= u64::from(queue.weight);
            queue.entries.clear();
        } else if queue.entries.len() > 2 * queue.live as usize + 16 {
            queue.entries.retain(|entry| is_live(*entry));
        }
    }

    /// Charges an organisation for work that it did in a more urgent class, in milliseconds.
    ///
    /// Otherwise an organisation whose work is spread over classes would get a full share in each. The lead over
    /// the other organisations is bounded by `max_lead`, since this queue's clock stands while it is empty.
    pub fn charge(
        &mut self,
        organisation: OrganisationKey,
        weight: u32,
        slot_time: f64,
        max_lead: f64,
    ) {
        let index = usize::from(organisation.0);
        if self.organisations.len() <= index {
            self.organisations
                .resize_with(index + 1, OrganisationQueue::default);
        }
        let unit = VIRTUAL_UNITS / f64::from(weight.max(1));
        let queue = &mut self.organisations[index];
        let before = queue.virtual_time;
        let limit = self.clock + (max_lead * unit) as u64;
        let charged = before.max(self.clock) + (slot_time * unit) as u64;
        queue.virtual_time = charged.min(limit).max(before);
        if queue.live > 0 {
            self.backlogged.remove(&(before, organisation));
            self.backlogged
                .insert((queue.virtual_time, organisation), ());
        }
    }

    /// Corrects the charge of an organisation once the real slot time is known, in milliseconds.
    pub fn correct(&mut self, organisation: OrganisationKey, slot_time: f64) {
        let Some(queue) = self.organisations.get_mut(usize::from(organisation.0)) else {
            return;
        };
        let before = queue.virtual_time;
        let charge = slot_time * VIRTUAL_UNITS / f64::from(queue.weight.max(1));
        queue.virtual_time = if charge >= 0.0 {
            before + charge as u64
        } else {
            before.saturating_sub(-charge as u64)
        };
        if queue.live > 0 {
            self.backlogged.remove(&(before, organisation));
            self.backlogged
                .insert((queue.virtual_time, organisation), ());
        }
    }
}
