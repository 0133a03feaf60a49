use {
    super::{OrganisationKey, RequestHandle},
    crate::collections::SortedMap,
    std::collections::VecDeque,
};

/// Units of virtual time per millisecond of slot time at weight one.
const VIRTUAL_UNITS_PER_MS: f64 = 1_000.0;

/// A queued request within an organisation's queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueEntry {
    /// Distinguishes two requests that were offered under the same handle.
    pub sequence: u64,
    pub handle: RequestHandle,
}

#[derive(Clone, Debug, Default)]
struct OrganisationQueue {
    entries: VecDeque<QueueEntry>,
    live_len: u32,
    virtual_time: u64,
    weight: u32,
}

/// The queue of one urgency class at one service, shared between organisations by weight.
///
/// It uses start-time fair queueing: the backlogged organisation with the lowest virtual time is served
/// next, and its virtual time grows by slot time divided by weight. Removed entries stay in the
/// organisation's queue until they reach its head or outnumber the live ones.
#[derive(Clone, Debug, Default)]
pub struct ClassQueue {
    backlogged: SortedMap<(u64, OrganisationKey), ()>,
    virtual_clock: u64,
    len: u32,
    organisations: Vec<OrganisationQueue>,
    backlogged_weight: u64,
}

impl ClassQueue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Returns the number of queued requests of an organisation.
    pub fn organisation_len(&self, organisation: OrganisationKey) -> u32 {
        let queue = self.organisations.get(usize::from(organisation.0));
        queue.map_or(0, |queue| queue.live_len)
    }

    /// Returns how many requests fair queueing serves before a new one of an organisation.
    pub fn requests_ahead(&self, organisation: OrganisationKey, weight: u32) -> f64 {
        let queued = self.organisation_len(organisation);
        let weight = u64::from(weight.max(1));
        let sharing_weight = self.backlogged_weight + if queued == 0 { weight } else { 0 };
        let served_first = f64::from(queued + 1) * sharing_weight as f64 / weight as f64;
        served_first.min(f64::from(self.len))
    }

    /// Returns the weight of an organisation relative to the mean weight of the backlogged organisations.
    pub fn relative_weight(&self, weight: u32) -> f64 {
        let count = self.backlogged.len() as f64;
        if self.backlogged_weight == 0 {
            return 1.0;
        }
        f64::from(weight.max(1)) * count / self.backlogged_weight as f64
    }

    /// Sets the weight of an organisation; its queued requests are served with it from now on.
    pub fn set_weight(&mut self, organisation: OrganisationKey, weight: u32) {
        let Some(queue) = self.organisations.get_mut(usize::from(organisation.0)) else {
            return;
        };
        let before = queue.weight;
        queue.weight = weight.max(1);
        if queue.live_len > 0 {
            self.backlogged_weight -= u64::from(before);
            self.backlogged_weight += u64::from(queue.weight);
        }
    }

    /// Appends a request to the queue of its organisation.
    pub fn push(&mut self, organisation: OrganisationKey, weight: u32, entry: QueueEntry) {
        let index = usize::from(organisation.0);
        if self.organisations.len() <= index {
            self.organisations
                .resize_with(index + 1, OrganisationQueue::default);
        }
        let queue = &mut self.organisations[index];
        queue.entries.push_back(entry);
        queue.live_len += 1;
        self.len += 1;
        if queue.live_len == 1 {
            queue.weight = weight.max(1);
            queue.virtual_time = queue.virtual_time.max(self.virtual_clock);
            self.backlogged_weight += u64::from(queue.weight);
            self.backlogged
                .insert((queue.virtual_time, organisation), ());
        }
    }

    /// Removes and returns the next request. `is_live` is false for entries of removed requests.
    pub fn pop(
        &mut self,
        slot_time: f64,
        is_live: impl Fn(QueueEntry) -> bool,
    ) -> Option<(OrganisationKey, QueueEntry)> {
        let ((virtual_time, organisation), ()) = self.backlogged.pop_first()?;
        self.virtual_clock = virtual_time;
        let queue = &mut self.organisations[usize::from(organisation.0)];
        let mut found = None;
        while let Some(entry) = queue.entries.pop_front() {
            if is_live(entry) {
                found = Some(entry);
                break;
            }
        }
        queue.live_len = queue.live_len.saturating_sub(1);
        self.len -= 1;
        let charge = slot_time * VIRTUAL_UNITS_PER_MS / f64::from(queue.weight);
        queue.virtual_time = virtual_time + charge as u64;
        if queue.live_len > 0 {
            self.backlogged
                .insert((queue.virtual_time, organisation), ());
        } else {
            self.backlogged_weight -= u64::from(queue.weight);
            queue.entries.clear();
        }
        Some((organisation, found?))
    }

    /// Removes one live request of an organisation from the count; its entry is discarded later.
    pub fn remove(&mut self, organisation: OrganisationKey, is_live: impl Fn(QueueEntry) -> bool) {
        let queue = &mut self.organisations[usize::from(organisation.0)];
        queue.live_len -= 1;
        self.len -= 1;
        if queue.live_len == 0 {
            self.backlogged.remove(&(queue.virtual_time, organisation));
            self.backlogged_weight -= u64::from(queue.weight);
            queue.entries.clear();
        } else if queue.entries.len() > 2 * queue.live_len as usize + 16 {
            queue.entries.retain(|entry| is_live(*entry));
        }
    }

    /// Charges an organisation for slot time that it used in a more urgent class, in milliseconds.
    ///
    /// Without this, an organisation whose work is spread over several classes would get a full share in each. Its
    /// virtual time runs ahead of the other organisations by at most `max_lead` milliseconds of slot time, since the
    /// virtual clock of this queue stands still while the queue is empty.
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
        let units_per_ms = VIRTUAL_UNITS_PER_MS / f64::from(weight.max(1));
        let queue = &mut self.organisations[index];
        let before = queue.virtual_time;
        let limit = self.virtual_clock + (max_lead * units_per_ms) as u64;
        let charged = before.max(self.virtual_clock) + (slot_time * units_per_ms) as u64;
        queue.virtual_time = charged.min(limit).max(before);
        if queue.live_len > 0 {
            self.backlogged.remove(&(before, organisation));
            self.backlogged
                .insert((queue.virtual_time, organisation), ());
        }
    }

    /// Corrects the charge of an organisation once the actual slot time of a request is known. `slot_time` is the
    /// difference from the charged one in milliseconds and may be negative.
    pub fn correct_charge(&mut self, organisation: OrganisationKey, slot_time: f64) {
        let Some(queue) = self.organisations.get_mut(usize::from(organisation.0)) else {
            return;
        };
        let before = queue.virtual_time;
        let charge = slot_time * VIRTUAL_UNITS_PER_MS / f64::from(queue.weight.max(1));
        queue.virtual_time = if charge >= 0.0 {
            before + charge as u64
        } else {
            before.saturating_sub(-charge as u64)
        };
        if queue.live_len > 0 {
            self.backlogged.remove(&(before, organisation));
            self.backlogged
                .insert((queue.virtual_time, organisation), ());
        }
    }
}
