use {
    super::{
        OrganisationKey, OrganisationView, RequestSpec, Urgency,
        class_queue::{ClassQueue, QueueEntry},
        organisation_usage::{OrganisationUsage, USAGE_TIME_CONSTANT_MS},
        retry_budget::RetryBudget,
        service_times::ServiceTimes,
    },
    crate::{
        error::ErrorKind,
        ids::{LocalTime, Millis},
    },
};

/// Minimum fraction of the assignments that a class gets while it and a more urgent one are backlogged.
const MIN_CLASS_FRACTION: [f64; 3] = [1.0, 0.10, 0.05];
/// Fraction of the service's queue that each class may fill. The fractions sum up to one, so that a
/// flood of one class leaves space for the others.
const QUEUE_FRACTION: [f64; 3] = [0.5, 0.25, 0.25];
/// A sole active organisation leaves one in this many queue positions of a class free for the next organisation.
const SOLE_ORGANISATION_FREE_DIVISOR: u32 = 8;
/// Number of requests by which an organisation may exceed its quota before its work is demoted.
const QUOTA_BURST_REQUESTS: f64 = 6.0;
/// Maximum number of requests by which work in more urgent classes can put an organisation behind the others.
const MAX_VIRTUAL_LEAD: f64 = 16.0;
/// Urgent work starts within this time or is refused. The goal is 1.6 s; the difference covers the
/// rounding of times to milliseconds and the interval between two checks of the queue.
const MAX_URGENT_START_DELAY: Millis = Millis(1_580);
/// Maximum predicted wait of admitted urgent work; the rest of `MAX_URGENT_START_DELAY` absorbs the
/// error of the prediction.
const MAX_URGENT_WAIT_MS: f64 = 1_200.0;
/// Factor applied to the predicted wait to allow for the error of the prediction.
const WAIT_MARGIN_FACTOR: f64 = 1.2;
/// Time without requests after which an organisation no longer counts in the shares of the service.
const IDLE_TIMEOUT: Millis = Millis(5_000);
/// Weight of the newest assignment in the moving average of the share of more urgent classes.
const HIGHER_CLASS_WEIGHT: f64 = 1.0 / 64.0;

/// The urgency classes, most urgent first.
pub const CLASSES: [Urgency; 3] = [Urgency::Urgent, Urgency::Normal, Urgency::Overnight];

/// Queues, shares and learned service times of one service.
#[derive(Debug, Default)]
pub struct ServiceQueue {
    pub retry_budget: RetryBudget,
    /// Number of requests of this entry host in flight at the service.
    pub in_flight: u32,
    /// Maximum number of queued requests.
    pub max_queue: u32,
    /// Whether the service is no longer configured.
    pub retired: bool,
    pub times: ServiceTimes,
    active_weight: u64,
    classes: [ClassQueue; 3],
    /// Fraction of an assignment that each class has earned while it and a more urgent one were backlogged; a class
    /// with a whole assignment is served before the more urgent ones.
    credits: [f64; 3],
    higher_class_share: [f64; 3],
    organisations: Vec<OrganisationActivity>,
}

/// Activity of an organisation at a service; usage is kept per class in which the work was queued.
#[derive(Clone, Debug, Default)]
struct OrganisationActivity {
    active: bool,
    unfinished: u32,
    last_request: LocalTime,
    usage: [OrganisationUsage; 3],
    weight: u32,
}

impl OrganisationActivity {
    /// Sets the weight. `active_weight` is the total of the active organisations.
    fn set_weight(&mut self, weight: u32, active_weight: &mut u64) {
        let before = self.weight;
        self.weight = weight.max(1);
        if self.active {
            *active_weight -= u64::from(before);
            *active_weight += u64::from(self.weight);
        }
    }
}

/// Class and latest start of an admitted request.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// Class in which the request is queued, which is less urgent than the urgency of the request if it was demoted.
    pub class: Urgency,
    /// Latest time at which the request has to start.
    pub latest_start: LocalTime,
}

impl ServiceQueue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> u32 {
        self.classes.iter().map(ClassQueue::len).sum()
    }

    /// Decides whether to admit a request. `capacity` is the number of requests that may be in flight;
    /// `has_open_target` is true if another request can be sent immediately.
    ///
    /// # Errors
    /// `QueueFull`, `QuotaExceeded` or `DeadlineUnreachable`.
    pub fn admit(
        &mut self,
        now: LocalTime,
        spec: &RequestSpec,
        weight: u32,
        capacity: u32,
        has_open_target: bool,
    ) -> Result<Admission, ErrorKind> {
        self.mark_active(now, spec.organisation, weight);
        let class = self.queue_class(now, spec, weight, capacity);
        self.check_queue_space(class, spec.organisation, weight)?;
        // Without requests in flight or queued the learned times may be outdated; this request updates them.
        let idle = self.in_flight == 0 && self.len() == 0;
        let min_time = if idle {
            0.0
        } else {
            self.times.class_mean(spec.urgency)
        };
        if !idle {
            let wait =
                self.predicted_wait(class, spec.organisation, weight, capacity, has_open_target);
            self.check_deadline(now, spec, wait)?;
        }
        let mut latest_start = spec.deadline - Millis(min_time as u64 + 1);
        if spec.urgency == Urgency::Urgent {
            latest_start = latest_start.min(now + MAX_URGENT_START_DELAY);
        }
        Ok(Admission {
            class,
            latest_start,
        })
    }

    /// Queues an admitted request.
    pub fn push(
        &mut self,
        class: Urgency,
        organisation: OrganisationKey,
        weight: u32,
        entry: QueueEntry,
    ) {
        self.classes[class as usize].push(organisation, weight, entry);
        self.organisations[usize::from(organisation.0)].unfinished += 1;
    }

    /// Removes a queued request; `is_live` is false for entries of removed requests.
    pub fn remove(
        &mut self,
        class: Urgency,
        organisation: OrganisationKey,
        is_live: impl Fn(QueueEntry) -> bool,
    ) {
        self.classes[class as usize].remove(organisation, is_live);
        self.organisations[usize::from(organisation.0)].unfinished -= 1;
    }

    /// Removes and returns the next request and charges its organisation the expected slot time.
    pub fn pop(
        &mut self,
        now: LocalTime,
        is_live: impl Fn(QueueEntry) -> bool,
    ) -> Option<QueueEntry> {
        let class = self.next_class()?;
        let slot_time = self.expected_slot_time();
        let (organisation, entry) = self.classes[class as usize].pop(slot_time, is_live)?;
        let weight = self.organisations[usize::from(organisation.0)].weight;
        for lower in &mut self.classes[class as usize + 1..] {
            lower.charge(
                organisation,
                weight,
                slot_time,
                MAX_VIRTUAL_LEAD * slot_time,
            );
        }
        let organisation = &mut self.organisations[usize::from(organisation.0)];
        organisation.usage[class as usize].add(now, slot_time);
        self.in_flight += 1;
        for other in CLASSES {
            let share = &mut self.higher_class_share[other as usize];
            let sample = f64::from(u8::from(class < other));
            *share += HIGHER_CLASS_WEIGHT * (sample - *share);
        }
        Some(entry)
    }

    /// Returns the slot time that is charged for a request when it is sent, in milliseconds.
    pub fn expected_slot_time(&self) -> f64 {
        self.times.mean().max(1.0)
    }

    /// Ends a request. `charged` is the slot time charged for it, `slot_time` the actual one, in milliseconds.
    pub fn finish(
        &mut self,
        now: LocalTime,
        class: Urgency,
        organisation: OrganisationKey,
        charged: f64,
        slot_time: f64,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.classes[class as usize].correct_charge(organisation, slot_time - charged);
        let organisation = &mut self.organisations[usize::from(organisation.0)];
        organisation.unfinished = organisation.unfinished.saturating_sub(1);
        organisation.usage[class as usize].add(now, slot_time - charged);
    }

    /// Takes over the weights of the organisations, given by key. Waiting until an organisation is idle would keep an
    /// earlier configuration in force as long as it has requests.
    pub fn set_weights(&mut self, organisations: &[OrganisationView]) {
        for (index, view) in organisations.iter().enumerate() {
            let key = OrganisationKey(index as u16);
            for class in &mut self.classes {
                class.set_weight(key, view.weight);
            }
            if let Some(organisation) = self.organisations.get_mut(index) {
                organisation.set_weight(view.weight, &mut self.active_weight);
            }
        }
    }

    /// Marks organisations without recent requests as inactive, so that the others get their share.
    pub fn expire_inactive(&mut self, now: LocalTime) {
        for organisation in &mut self.organisations {
            let idle =
                organisation.unfinished == 0 && now.since(organisation.last_request) > IDLE_TIMEOUT;
            if organisation.active && idle {
                organisation.active = false;
                self.active_weight -= u64::from(organisation.weight);
            }
        }
    }

    fn mark_active(&mut self, now: LocalTime, organisation: OrganisationKey, weight: u32) {
        let index = usize::from(organisation.0);
        if self.organisations.len() <= index {
            self.organisations
                .resize_with(index + 1, OrganisationActivity::default);
        }
        let organisation = &mut self.organisations[index];
        organisation.last_request = now;
        if !organisation.active {
            organisation.active = true;
            organisation.weight = weight.max(1);
            self.active_weight += u64::from(organisation.weight);
        }
    }

    /// Returns the class in which a request is queued. Work beyond the quota of its organisation is demoted
    /// by one class, so that one organisation's urgent work cannot displace the normal work of the others.
    /// Only work of the same or a more urgent class counts against the quota.
    fn queue_class(
        &self,
        now: LocalTime,
        spec: &RequestSpec,
        weight: u32,
        capacity: u32,
    ) -> Urgency {
        let weight = u64::from(weight.max(1));
        if self.active_weight <= weight {
            return spec.urgency;
        }
        let share = weight as f64 / self.active_weight as f64;
        let burst = QUOTA_BURST_REQUESTS * self.times.mean() / USAGE_TIME_CONSTANT_MS;
        let quota = share * f64::from(capacity) + burst;
        let usage = &self.organisations[usize::from(spec.organisation.0)].usage;
        let classes = ..=spec.urgency as usize;
        let used: f64 = usage[classes]
            .iter()
            .map(|usage| usage.slots_used(now))
            .sum();
        // Queued work counts too; otherwise a whole burst would be admitted before any of it is charged.
        let queues = self.classes[classes].iter();
        let queued: u32 = queues
            .map(|queue| queue.organisation_len(spec.organisation))
            .sum();
        let used = used + f64::from(queued) * self.times.mean() / USAGE_TIME_CONSTANT_MS;
        match spec.urgency {
            Urgency::Urgent if used > quota => Urgency::Normal,
            Urgency::Normal if used > quota => Urgency::Overnight,
            class => class,
        }
    }

    fn check_queue_space(
        &self,
        class: Urgency,
        organisation: OrganisationKey,
        weight: u32,
    ) -> Result<(), ErrorKind> {
        let queue = &self.classes[class as usize];
        let max_queued = f64::from(self.max_queue) * QUEUE_FRACTION[class as usize];
        let class_limit = (max_queued as u32).max(1);
        if self.len() >= self.max_queue || queue.len() >= class_limit {
            return Err(ErrorKind::QueueFull);
        }
        let organisation_limit = if self.active_weight <= u64::from(weight.max(1)) {
            f64::from(class_limit - class_limit / SOLE_ORGANISATION_FREE_DIVISOR)
        } else {
            // An organisation of mean weight may hold as many positions as are free, so that one organisation leaves
            // half of the queue to the others, and n organisations leave a fraction of 1 / (n + 1).
            let free = f64::from(class_limit - queue.len());
            (free * queue.relative_weight(weight)).max(1.0)
        };
        if f64::from(queue.organisation_len(organisation)) >= organisation_limit {
            return Err(ErrorKind::QuotaExceeded);
        }
        Ok(())
    }

    /// Predicts the wait of a new request in milliseconds.
    fn predicted_wait(
        &self,
        class: Urgency,
        organisation: OrganisationKey,
        weight: u32,
        capacity: u32,
        has_open_target: bool,
    ) -> f64 {
        if has_open_target && self.len() == 0 {
            return 0.0;
        }
        let index = class as usize;
        let higher_queued: u32 = self.classes[..index].iter().map(ClassQueue::len).sum();
        let requests_ahead = self.classes[index].requests_ahead(organisation, weight) + 1.0;
        let share = (1.0 - self.higher_class_share[index]).max(MIN_CLASS_FRACTION[index]);
        let assignment_interval = self.times.mean() / f64::from(capacity.max(1));
        (f64::from(higher_queued) + requests_ahead / share) * assignment_interval
    }

    fn check_deadline(
        &self,
        now: LocalTime,
        spec: &RequestSpec,
        wait: f64,
    ) -> Result<(), ErrorKind> {
        let service_time = if wait > 0.0 {
            self.times.class_bound(spec.urgency)
        } else {
            self.times.class_mean(spec.urgency)
        };
        let remaining = spec.deadline.since(now).0 as f64;
        let is_late = wait * WAIT_MARGIN_FACTOR + service_time > remaining;
        let is_urgent_late = spec.urgency == Urgency::Urgent && wait > MAX_URGENT_WAIT_MS;
        if is_late || is_urgent_late {
            return Err(ErrorKind::DeadlineUnreachable);
        }
        Ok(())
    }

    fn next_class(&mut self) -> Option<Urgency> {
        let mut backlogged = CLASSES
            .into_iter()
            .filter(|class| self.classes[*class as usize].len() > 0);
        let most_urgent = backlogged.next()?;
        for class in backlogged {
            let index = class as usize;
            self.credits[index] += MIN_CLASS_FRACTION[index];
            if self.credits[index] >= 1.0 {
                self.credits[index] -= 1.0;
                return Some(class);
            }
        }
        Some(most_urgent)
    }
}
