use {
    super::{OrganisationReport, ResourceCap, ResourceUse, SubmissionRate},
    crate::routes::FleetRules,
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Most organisations that are reported one by one; bounds the number of metrics.
const MAX_REPORTED: usize = 32;

/// Factor on shares before they are divided by a weight, so that small shares stay distinct with weights up to a billion.
const WEIGHT_SCALE: u64 = 1_000_000;

/// Index of an organisation in the [`OrganisationTable`].
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct OrganisationKey(u32);

impl OrganisationKey {
    /// Stands for all work without an organisation.
    pub const NONE: Self = Self(0);

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// Weight, quota and use of one organisation, which a pass of placement reads.
#[derive(Clone, Copy, Debug)]
struct OrganisationRow {
    weight: u64,
    cap: ResourceCap,
    /// Use of the recorded runs.
    used: ResourceUse,
    /// Use that runs of an earlier owner may have on runners that have not answered this owner.
    assumed: ResourceUse,
    /// Use of waiting work that may start but found no runner in this pass, and has one reserved.
    claimed: ResourceUse,
    /// Use of the work that arrived after the last decision on pool sizes.
    arrived: ResourceUse,
    /// Whether its quota does not allow all of its waiting work to run.
    at_quota: bool,
    /// Weighted share as of [`OrganisationTable::weighted_share`] in the pass of placement with this number.
    share: (u64, u64),
    /// Work items that the quota kept from starting in the last pass of placement.
    over_quota: u32,
}

impl OrganisationRow {
    fn new(name: &str, rules: &FleetRules) -> Self {
        let mut row = Self {
            weight: 1,
            cap: ResourceCap::default(),
            used: ResourceUse::default(),
            assumed: ResourceUse::default(),
            claimed: ResourceUse::default(),
            arrived: ResourceUse::default(),
            at_quota: false,
            share: (0, 0),
            over_quota: 0,
        };
        row.set_rule(name, rules);
        row
    }

    /// An organisation that is not in the configuration has no quota and weight 1.
    fn set_rule(&mut self, name: &str, rules: &FleetRules) {
        let rule = rules.organisation(name);
        self.weight = rule.map_or(1, |rule| rule.weight.max(1));
        self.cap = rule.map(|rule| rule.cap).unwrap_or_default();
    }

    fn total(&self) -> ResourceUse {
        self.used.plus(&self.assumed)
    }
}

/// What admission and reports need of one organisation.
#[derive(Clone, Copy, Debug, Default)]
struct OrganisationFigures {
    rate: SubmissionRate,
    /// Jobs of which no work item has started.
    waiting_jobs: u32,
    /// When the oldest of them was submitted.
    oldest: Option<LocalTime>,
    /// Work of unfinished jobs while the organisation is at its quota, in thousandths of a core times milliseconds.
    backlog: u64,
    refused_over_rate: u64,
    refused_pool_full: u64,
}

/// The organisations that have had jobs in this term, with what they use. Designed for 10,000 organisations and thousands
/// of checks in a pass of placement: a check and an update take constant time.
#[derive(Clone, Debug)]
pub struct OrganisationTable {
    by_name: Vec<(String, OrganisationKey)>,
    /// The first row stands for work without an organisation.
    rows: Vec<OrganisationRow>,
    /// Kept apart from the rows, which a pass of placement reads.
    figures: Vec<OrganisationFigures>,
    /// Organisations that the quota kept from starting work in the last pass of placement, and in the one before.
    over_quota: Vec<OrganisationKey>,
    over_quota_before: Vec<OrganisationKey>,
    /// Organisations with `claimed` use.
    claimants: Vec<OrganisationKey>,
    /// Organisations with `arrived` use.
    arrivals: Vec<OrganisationKey>,
    /// Organisations at their quota.
    at_quota: Vec<OrganisationKey>,
    /// Number of the present pass of placement, from 1, and the capacity that shares are parts of.
    pass: u64,
    capacity: ResourceUse,
}

impl OrganisationTable {
    /// Creates a table without organisations.
    pub fn new(rules: &FleetRules) -> Self {
        let mut table = Self {
            by_name: Vec::new(),
            rows: vec![OrganisationRow::new("", &FleetRules::default())],
            figures: vec![OrganisationFigures::default()],
            over_quota: Vec::new(),
            over_quota_before: Vec::new(),
            claimants: Vec::new(),
            arrivals: Vec::new(),
            at_quota: Vec::new(),
            pass: 0,
            capacity: ResourceUse::default(),
        };
        table.set_rules(rules);
        table
    }

    /// Returns the key of an organisation, which is added at its first use.
    pub fn intern(&mut self, name: Option<&str>, rules: &FleetRules) -> OrganisationKey {
        let Some(name) = name else {
            return OrganisationKey::NONE;
        };
        let found = self
            .by_name
            .binary_search_by(|(other, _)| other.as_str().cmp(name));
        match found {
            Ok(index) => self.by_name[index].1,
            Err(index) => {
                let key = OrganisationKey(self.rows.len() as u32);
                self.rows.push(OrganisationRow::new(name, rules));
                self.figures.push(OrganisationFigures::default());
                self.by_name.insert(index, (name.to_owned(), key));
                key
            }
        }
    }

    /// Applies the quotas and weights of a configuration. Work without an organisation has no quota and the mean weight of
    /// the configured organisations: it shares capacity like one more organisation, so that calls without a key cannot take
    /// that of the others.
    pub fn set_rules(&mut self, rules: &FleetRules) {
        for (name, key) in &self.by_name {
            self.rows[key.index()].set_rule(name, rules);
        }
        let configured = rules.organisations.as_deref().unwrap_or_default();
        let weights = configured.iter().map(|rule| rule.weight);
        let total = weights.fold(0, u64::saturating_add);
        self.rows[0].weight = total
            .checked_div(configured.len() as u64)
            .unwrap_or(1)
            .max(1);
    }

    /// Adds the use of a run that may have started.
    pub fn add_use(&mut self, key: OrganisationKey, demand: &ResourceUse) {
        let row = &mut self.rows[key.index()];
        row.used = row.used.plus(demand);
        row.share = (0, 0);
    }

    /// Removes the use of a run that has certainly ended.
    pub fn remove_use(&mut self, key: OrganisationKey, demand: &ResourceUse) {
        let row = &mut self.rows[key.index()];
        row.used = row.used.minus(demand);
    }

    /// Replaces the use that runs of an earlier owner may have.
    pub fn set_assumed(
        &mut self,
        assumed: impl IntoIterator<Item = (OrganisationKey, ResourceUse)>,
    ) {
        for row in &mut self.rows {
            row.assumed = ResourceUse::default();
        }
        for (key, assumed_use) in assumed {
            let row = &mut self.rows[key.index()];
            row.assumed = row.assumed.plus(&assumed_use);
        }
    }

    /// Returns whether the quota of an organisation has room for `demand`. Work that uses nothing of a limited part may
    /// start when the use of that part is above its limit.
    pub fn allows(&self, key: OrganisationKey, demand: &ResourceUse) -> bool {
        let row = &self.rows[key.index()];
        let ResourceCap { cpu, mem_mb, gpu } = row.cap;
        let limit = |demand: u64, cap: u64| if demand == 0 { 0 } else { cap };
        let cap = ResourceCap {
            cpu: limit(demand.cpu, cpu),
            mem_mb: limit(demand.mem_mb, mem_mb),
            gpu: limit(demand.gpu, gpu),
        };
        let total = row.total().plus(&row.claimed);
        total.plus(demand).is_within(&cap)
    }

    /// Counts waiting work against the quota until the next pass of placement: a quota for a few work items must not keep
    /// runners reserved, or request hosts, for hundreds.
    pub fn claim(&mut self, key: OrganisationKey, demand: &ResourceUse) {
        let row = &mut self.rows[key.index()];
        row.claimed = row.claimed.plus(demand);
        self.claimants.push(key);
    }

    /// Returns whether an organisation has a quota.
    pub fn is_limited(&self, key: OrganisationKey) -> bool {
        self.rows[key.index()].cap != ResourceCap::default()
    }

    /// Returns how much of `waiting` may run beside what an organisation uses, in percent.
    pub fn allowed_percent(&self, key: OrganisationKey, waiting: &ResourceUse) -> u64 {
        let row = &self.rows[key.index()];
        let used = row.total().plus(&row.arrived);
        let percent = |cap: u64, used: u64, waiting: u64| {
            let free = cap.saturating_sub(used);
            if cap == 0 || waiting <= free {
                return 100;
            }
            free.saturating_mul(100).div_ceil(waiting)
        };
        percent(row.cap.cpu, used.cpu, waiting.cpu)
            .min(percent(row.cap.mem_mb, used.mem_mb, waiting.mem_mb))
            .min(percent(row.cap.gpu, used.gpu, waiting.gpu))
    }

    /// Records work that arrives; returns how much of it the quota may allow to run, in percent.
    pub fn record_arrival(&mut self, key: OrganisationKey, arriving: &ResourceUse) -> u64 {
        if self.is_at_quota(key) {
            return 0;
        }
        let percent = self.allowed_percent(key, arriving);
        let row = &mut self.rows[key.index()];
        row.arrived = row.arrived.plus(arriving);
        self.arrivals.push(key);
        percent
    }

    /// Begins a decision on pool sizes: what has arrived is waiting work now.
    pub fn clear_arrivals(&mut self) {
        for key in self.arrivals.drain(..) {
            self.rows[key.index()].arrived = ResourceUse::default();
        }
    }

    /// Replaces the organisations whose quota does not allow all of their waiting work to run.
    pub fn set_at_quota(&mut self, organisations: Vec<OrganisationKey>) {
        for key in std::mem::replace(&mut self.at_quota, organisations) {
            self.rows[key.index()].at_quota = false;
        }
        for key in &self.at_quota {
            self.rows[key.index()].at_quota = true;
        }
    }

    /// Returns whether the quota of an organisation does not allow all of its waiting work to run.
    pub fn is_at_quota(&self, key: OrganisationKey) -> bool {
        self.rows[key.index()].at_quota
    }

    /// Returns the dominant share that an organisation uses of the capacity, scaled and divided by its weight. It is
    /// computed once a pass, and again after a start: the order of work asks for it for each work item.
    pub fn weighted_share(&mut self, key: OrganisationKey) -> u64 {
        let row = &mut self.rows[key.index()];
        if row.share.0 != self.pass {
            let share = row.total().dominant_share(&self.capacity);
            let share = share.saturating_mul(WEIGHT_SCALE) / row.weight;
            row.share = (self.pass, share);
        }
        row.share.1
    }

    /// Returns the use of an organisation, with that of runs of an earlier owner that may still run.
    pub fn total_use(&self, key: OrganisationKey) -> ResourceUse {
        self.rows[key.index()].total()
    }

    /// Returns the quota of an organisation.
    pub fn cap(&self, key: OrganisationKey) -> ResourceCap {
        self.rows[key.index()].cap
    }

    /// Returns whether one more job of an organisation is within its rate over the window.
    pub fn is_within_rate(&mut self, key: OrganisationKey, window: Millis, now: LocalTime) -> bool {
        let weight = self.weight(key);
        let rate = &mut self.figures[key.index()].rate;
        rate.allows(weight, window, now)
    }

    /// Counts an accepted job in the rate of its organisation.
    pub fn record_submission(&mut self, key: OrganisationKey, window: Millis, now: LocalTime) {
        self.figures[key.index()].rate.record(window, now);
    }

    /// Counts a refused job; `over_rate` tells the reason from a full pool.
    pub fn count_refused(&mut self, key: OrganisationKey, over_rate: bool) {
        let figures = &mut self.figures[key.index()];
        if over_rate {
            figures.refused_over_rate += 1;
        } else {
            figures.refused_pool_full += 1;
        }
    }

    /// Begins a new count of waiting jobs.
    pub fn clear_waiting(&mut self) {
        for figures in &mut self.figures {
            figures.waiting_jobs = 0;
            figures.oldest = None;
            figures.backlog = 0;
        }
    }

    /// Counts a job of which no work item has started.
    pub fn add_waiting(&mut self, key: OrganisationKey, first_seen: LocalTime) {
        let figures = &mut self.figures[key.index()];
        figures.waiting_jobs += 1;
        let oldest = figures.oldest.unwrap_or(first_seen);
        figures.oldest = Some(oldest.min(first_seen));
    }

    /// Adds work that only the quota keeps waiting, in thousandths of a core times milliseconds.
    pub fn add_backlog(&mut self, key: OrganisationKey, work: u64) {
        let backlog = &mut self.figures[key.index()].backlog;
        *backlog = backlog.saturating_add(work);
    }

    /// Returns how long the work that only the quota keeps waiting needs within the quota; 0 without a quota of processor
    /// time.
    pub fn backlog_time(&self, key: OrganisationKey) -> Millis {
        let backlog = self.figures[key.index()].backlog;
        Millis(backlog.checked_div(self.cap(key).cpu).unwrap_or(0))
    }

    /// Returns the number of jobs of an organisation that have not started, as of the last count.
    pub fn waiting_jobs(&self, key: OrganisationKey) -> u32 {
        self.figures[key.index()].waiting_jobs
    }

    /// Returns the weight of an organisation, at least 1.
    pub fn weight(&self, key: OrganisationKey) -> u64 {
        self.rows[key.index()].weight
    }

    /// Returns the figures of the 32 organisations with the most processor time in use, then the most waiting jobs, and the
    /// sum of the others.
    pub fn reports(&self, now: LocalTime) -> Vec<OrganisationReport> {
        let mut names = vec![""; self.rows.len()];
        for (name, key) in &self.by_name {
            names[key.index()] = name;
        }
        let rows = self.rows.iter().zip(&self.figures).zip(names);
        let report = |((row, figures), name): ((&OrganisationRow, &OrganisationFigures), &str)| {
            OrganisationReport {
                name: Some(name.to_owned()),
                running_cpu: row.used.cpu,
                waiting_jobs: u64::from(figures.waiting_jobs),
                over_quota: u64::from(row.over_quota),
                refused_over_rate: figures.refused_over_rate,
                refused_pool_full: figures.refused_pool_full,
                oldest_wait: figures.oldest.map_or(Millis(0), |oldest| now.since(oldest)),
            }
        };
        let mut reports: Vec<OrganisationReport> = rows.map(report).collect();
        reports.sort_by(|left, right| {
            let size = |it: &OrganisationReport| (it.running_cpu, it.waiting_jobs);
            size(right).cmp(&size(left))
        });
        let others = reports.split_off(reports.len().min(MAX_REPORTED));
        if !others.is_empty() {
            let mut sum = OrganisationReport::default();
            others.iter().for_each(|report| sum.add(report));
            reports.push(sum);
        }
        reports
    }

    /// Begins a pass of placement over runners with this capacity.
    pub fn begin_pass(&mut self, capacity: ResourceUse) {
        for key in self.claimants.drain(..) {
            self.rows[key.index()].claimed = ResourceUse::default();
        }
        self.pass += 1;
        self.capacity = capacity;
        for key in &self.over_quota {
            self.rows[key.index()].over_quota = 0;
        }
        std::mem::swap(&mut self.over_quota, &mut self.over_quota_before);
        self.over_quota.clear();
        self.over_quota_before.sort_unstable();
    }

    /// Counts work items that the quota keeps from starting in this pass. Returns whether the quota has kept none from
    /// starting in this pass and the one before.
    pub fn record_over_quota(&mut self, key: OrganisationKey, items: u32) -> bool {
        let row = &mut self.rows[key.index()];
        let is_first = row.over_quota == 0;
        row.over_quota += items;
        if is_first {
            self.over_quota.push(key);
        }
        is_first && self.over_quota_before.binary_search(&key).is_err()
    }
}
