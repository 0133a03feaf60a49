use {
    super::{
        OrganisationKey, RequestSpec, Urgency,
        class_queue::{ClassQueue, QueueEntry},
        organisation_usage::{OrganisationUsage, USAGE_TIME_MS},
        retry_budget::RetryBudget,
        service_times::ServiceTimes,
    },
    crate::{
        error::ErrorKind,
        ids::{LocalTime, Millis},
    },
};

/// Part of the assignments that a class gets at least while it and a more urgent one are backlogged.
const MIN_SHARE: [f64; 3] = [1.0, 0.10, 0.05];
/// Parts of the service's queue that each class may fill; their sum is one, so that a flood of one
/// class leaves room for the others.
const QUEUE_PART: [f64; 3] = [0.5, 0.25, 0.25];
/// An organisation that is alone leaves one in this many places free for the next organisation to arrive.
const ALONE_LEAVES: u32 = 8;
/// Requests beyond its quota that an organisation may use before its work is demoted.
const QUOTA_BURST: f64 = 6.0;
/// Requests by which the work of an organisation in more urgent classes can put it behind the others.
const MAX_LEAD: f64 = 16.0;
/// Urgent work starts within this time or is refused. The goal is 1.6 s; the difference covers the
/// rounding of times to milliseconds and the time between two looks at the queue.
const URGENT_START: Millis = Millis(1_580);
/// Longest predicted wait of admitted urgent work; the rest of `URGENT_START` absorbs the error of
/// the prediction.
const URGENT_WAIT_MS: f64 = 1_200.0;
/// Factor on the predicted wait for the error of the prediction.
const WAIT_MARGIN: f64 = 1.2;
/// An organisation without requests for this long no longer shares the service.
const IDLE_TIME: Millis = Millis(5_000);
/// Weight of the newest assignment in the part of the assignments that go to more urgent classes.
const HIGHER_GAIN: f64 = 1.0 / 64.0;

/// The classes, the most urgent first.
pub const CLASSES: [Urgency; 3] = [Urgency::Urgent, Urgency::Normal, Urgency::Overnight];

/// Queues, shares and learned times of one service.
#[derive(Debug, Default)]
pub struct ServiceQueue {
    /// Budget of retries.
    pub budget: RetryBudget,
    /// Requests of this entry host in flight at the service.
    pub in_flight: u32,
    /// Most requests that are queued.
    pub max_queue: u32,
    /// Whether the configuration no longer has the service.
    pub retired: bool,
    /// Learned service times.
    pub times: ServiceTimes,
    active_weight: u64,
    classes: [ClassQueue; 3],
    credits: [f64; 3],
    higher: [f64; 3],
    organisations: Vec<OrganisationUse>,
}

/// Use of a service by an organisation, for each class in which the work was queued.
#[derive(Clone, Debug, Default)]
struct OrganisationUse {
    active: bool,
    open: u32,
    seen: LocalTime,
    usage: [OrganisationUsage; 3],
    weight: u32,
}

/// What admission decided for a request.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// The class in which the request is queued.
    pub class: Urgency,
    /// When the request has to start at the latest.
    pub latest_start: LocalTime,
}

impl ServiceQueue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> u32 {
        self.classes.iter().map(ClassQueue::len).sum()
    }

    /// Decides on a request. `capacity` is the number of requests that may be in flight, `open` tells
    /// whether one more can be sent at once.
    ///
    /// # Errors
    /// `QueueFull`, `QuotaExceeded` or `DeadlineUnreachable`.
    pub fn admit(
        &mut self,
        now: LocalTime,
        spec: &RequestSpec,
        weight: u32,
        capacity: u32,
        open: bool,
    ) -> Result<Admission, ErrorKind> {
        self.touch_organisation(now, spec.organisation, weight);
        let class = self.queue_class(now, spec, weight, capacity);
        self.check_room(class, spec.organisation, weight)?;
        // With nothing under way the learned times may be out of date, and this request renews them.
        let idle = self.in_flight == 0 && self.len() == 0;
        let least_time = if idle {
            0.0
        } else {
            self.times.class_mean(spec.urgency)
        };
        if !idle {
            let wait = self.wait(class, spec.organisation, weight, capacity, open);
            self.check_deadline(now, spec, wait)?;
        }
        let mut latest_start = spec.deadline - Millis(least_time as u64 + 1);
        if spec.urgency == Urgency::Urgent {
            latest_start = latest_start.min(now + URGENT_START);
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
        self.organisations[usize::from(organisation.0)].open += 1;
    }

    /// Takes a queued request out; `is_live` tells removed entries apart.
    pub fn remove(
        &mut self,
        class: Urgency,
        organisation: OrganisationKey,
        is_live: impl Fn(QueueEntry) -> bool,
    ) {
        self.classes[class as usize].remove(organisation, is_live);
        self.organisations[usize::from(organisation.0)].open -= 1;
    }

    /// Takes out the next request and charges its organisation with the expected slot time.
    pub fn pop(
        &mut self,
        now: LocalTime,
        is_live: impl Fn(QueueEntry) -> bool,
    ) -> Option<QueueEntry> {
        let class = self.next_class()?;
        let time = self.charge();
        let (organisation, entry) = self.classes[class as usize].pop(time, is_live)?;
        let weight = self.organisations[usize::from(organisation.0)].weight;
        for lower in &mut self.classes[class as usize + 1..] {
            lower.charge(organisation, weight, time, MAX_LEAD * time);
        }
        let organisation = &mut self.organisations[usize::from(organisation.0)];
        organisation.usage[class as usize].add(now, time);
        self.in_flight += 1;
        for lower in CLASSES {
            let higher = &mut self.higher[lower as usize];
            let sample = f64::from(u8::from(class < lower));
            *higher += HIGHER_GAIN * (sample - *higher);
        }
        Some(entry)
    }

    /// Returns the slot time that a request is charged with when it is sent, in milliseconds.
    pub fn charge(&self) -> f64 {
        self.times.mean().max(1.0)
    }

    /// Ends a request that was charged with `charged` and took `took`, both in milliseconds.
    pub fn finish(
        &mut self,
        now: LocalTime,
        class: Urgency,
        organisation: OrganisationKey,
        charged: f64,
        took: f64,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.classes[class as usize].correct(organisation, took - charged);
        let organisation = &mut self.organisations[usize::from(organisation.0)];
        organisation.open = organisation.open.saturating_sub(1);
        organisation.usage[class as usize].add(now, took - charged);
    }

    /// Forgets organisations that no longer ask, so that the others share what they leave.
    pub fn sweep_organisations(&mut self, now: LocalTime) {
        for organisation in &mut self.organisations {
            let idle = organisation.open == 0 && now.since(organisation.seen) > IDLE_TIME;
            if organisation.active && idle {
                organisation.active = false;
                self.active_weight -= u64::from(organisation.weight);
            }
        }
    }

    fn touch_organisation(&mut self, now: LocalTime, organisation: OrganisationKey, weight: u32) {
        let index = usize::from(organisation.0);
        if self.organisations.len() <= index {
            self.organisations
                .resize_with(index + 1, OrganisationUse::default);
        }
        let organisation = &mut self.organisations[index];
        organisation.seen = now;
        if !organisation.active {
            organisation.active = true;
            organisation.weight = weight.max(1);
            self.active_weight += u64::from(organisation.weight);
        }
    }

    /// Returns the class to queue in. Work beyond the quota of its organisation loses the precedence of
    /// its class, so that one organisation's urgent work cannot displace the normal work of the others.
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
        let part = weight as f64 / self.active_weight as f64;
        let burst = QUOTA_BURST * self.times.mean() / USAGE_TIME_MS;
        let quota = part * f64::from(capacity) + burst;
        let usage = &self.organisations[usize::from(spec.organisation.0)].usage;
        let classes = ..=spec.urgency as usize;
        let used: f64 = usage[classes]
            .iter()
            .map(|usage| usage.slots_used(now))
            .sum();
        // Queued work is counted too; otherwise a burst is admitted before any of it is charged.
        let queues = self.classes[classes].iter();
        let queued: u32 = queues
            .map(|queue| queue.organisation_len(spec.organisation))
            .sum();
        let used = used + f64::from(queued) * self.times.mean() / USAGE_TIME_MS;
        match spec.urgency {
            Urgency::Urgent if used > quota => Urgency::Normal,
            Urgency::Normal if used > quota => Urgency::Overnight,
            class => class,
        }
    }

    fn check_room(
        &self,
        class: Urgency,
        organisation: OrganisationKey,
        weight: u32,
    ) -> Result<(), ErrorKind> {
        let queue = &self.classes[class as usize];
        let part = f64::from(self.max_queue) * QUEUE_PART[class as usize];
        let room = (part as u32).max(1);
        if self.len() >= self.max_queue || queue.len() >= room {
            return Err(ErrorKind::QueueFull);
        }
        let places = if self.active_weight <= u64::from(weight.max(1)) {
            f64::from(room - room / ALONE_LEAVES)
        } else {
            // An organisation of mean weight may hold as many places as are free, so that one organisation leaves
            // half of the queue to the others and n organisations leave a part of 1 in n + 1.
            let free = f64::from(room - queue.len());
            (free * queue.relative_weight(weight)).max(1.0)
        };
        if f64::from(queue.organisation_len(organisation)) >= places {
            return Err(ErrorKind::QuotaExceeded);
        }
        Ok(())
    }

    /// Predicts the wait of a new request in milliseconds.
    fn wait(
        &self,
        class: Urgency,
        organisation: OrganisationKey,
        weight: u32,
        capacity: u32,
        open: bool,
    ) -> f64 {
        if open && self.len() == 0 {
            return 0.0;
        }
        let index = class as usize;
        let higher: u32 = self.classes[..index].iter().map(ClassQueue::len).sum();
        let ahead = self.classes[index].ahead(organisation, weight) + 1.0;
        let part = (1.0 - self.higher[index]).max(MIN_SHARE[index]);
        let round = self.times.mean() / f64::from(capacity.max(1));
        (f64::from(higher) + ahead / part) * round
    }

    fn check_deadline(
        &self,
        now: LocalTime,
        spec: &RequestSpec,
        wait: f64,
    ) -> Result<(), ErrorKind> {
        let time = if wait > 0.0 {
            self.times.class_bound(spec.urgency)
        } else {
            self.times.class_mean(spec.urgency)
        };
        let left = spec.deadline.since(now).0 as f64;
        let late = wait * WAIT_MARGIN + time > left;
        let urgent_late = spec.urgency == Urgency::Urgent && wait > URGENT_WAIT_MS;
        if late || urgent_late {
            return Err(ErrorKind::DeadlineUnreachable);
        }
        Ok(())
    }

    fn next_class(&mut self) -> Option<Urgency> {
        let mut backlogged = CLASSES
            .into_iter()
            .filter(|class| self.classes[*class as usize].len() > 0);
        let top = backlogged.next()?;
        for class in backlogged {
            let index = class as usize;
            self.credits[index] += MIN_SHARE[index];
            if self.credits[index] >= 1.0 {
                self.credits[index] -= 1.0;
                return Some(class);
            }
        }
        Some(top)
    }
}
