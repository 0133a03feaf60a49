use {
    super::{HostState, pool_counts::PoolCounts},
    crate::{
        collections::SortedMap,
        config::{PoolConfig, SurviveRule},
        ids::{DataCentre, LogTime, Millis, RackName},
        ledger::Rejection,
    },
};

/// Oldest host list on which a host may be taken out of its pool.
pub const HOST_LIST_MAX_AGE: Millis = Millis(10 * 1000);
/// How far the time of a host list may run ahead of the log. Authors extrapolate the clock of the log
/// between entries, and a larger lead would hide an old list.
pub const HOST_LIST_MAX_CLOCK_SKEW: Millis = Millis(1000);

/// Returns whether a host may be taken out of its pool on a list of `list_time`.
pub(super) fn check_host_list_age(now: LogTime, list_time: LogTime) -> Result<(), Rejection> {
    if now.since(list_time) > HOST_LIST_MAX_AGE || list_time.since(now) > HOST_LIST_MAX_CLOCK_SKEW {
        return Err(Rejection::StaleView);
    }
    Ok(())
}

/// Hosts that fail together: a data centre, or a rack of it.
type Domain<'a> = (&'a DataCentre, Option<&'a RackName>);

/// The availability budget of one pool and what is left of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolBudget<'a> {
    available: u32,
    domains: SortedMap<Domain<'a>, u32>,
    min_available: u32,
    survive: SurviveRule,
}

impl<'a> PoolBudget<'a> {
    /// Counts the available hosts among `members`, which are the hosts of the pool.
    pub fn new(pool: &PoolConfig, members: impl Iterator<Item = &'a HostState>) -> Self {
        let mut budget = Self {
            available: 0,
            domains: SortedMap::default(),
            min_available: pool.min_available,
            survive: pool.survive,
        };
        for host in members.filter(|host| host.available()) {
            budget.add(host);
        }
        budget
    }

    /// Makes the budget from the counts of the pool; `None` when it has no available host.
    pub(super) fn counted(pool: &PoolConfig, counts: Option<&'a PoolCounts>) -> Self {
        let mut budget = Self::new(pool, std::iter::empty());
        let Some(counts) = counts else {
            return budget;
        };
        budget.available = counts.available();
        for (data_centre, rack, count) in counts.racks() {
            if let Some(domain) = domain(pool.survive, data_centre, rack) {
                budget.add_domain(domain, count);
            }
        }
        budget
    }

    /// Returns the number of available hosts.
    pub fn available(&self) -> u32 {
        self.available
    }

    /// Returns the fewest hosts that must be available.
    pub fn min_available(&self) -> u32 {
        self.min_available
    }

    /// Returns the number of hosts that stay available when the largest failure domain is lost. Without a
    /// survive rule nothing is lost.
    pub fn assured(&self) -> u32 {
        let largest = self.domains.values().max();
        self.available - largest.copied().unwrap_or_default()
    }

    /// Tells whether the budget is kept.
    pub fn kept(&self) -> bool {
        self.assured() >= self.min_available
    }

    /// Returns how many of the available hosts exceed the budget; any so many of them can be taken.
    pub fn slack(&self) -> u32 {
        self.assured().saturating_sub(self.min_available)
    }

    /// Takes an available host out, or leaves the budget unchanged when it would not be kept.
    ///
    /// # Errors
    /// `BudgetSpent`.
    pub fn take(&mut self, host: &'a HostState) -> Result<(), Rejection> {
        self.remove(host);
        if self.kept() {
            return Ok(());
        }
        self.add(host);
        Err(Rejection::BudgetSpent)
    }

    fn add(&mut self, host: &'a HostState) {
        self.available += 1;
        if let Some(domain) = self.domain(host) {
            self.add_domain(domain, 1);
        }
    }

    fn add_domain(&mut self, domain: Domain<'a>, hosts: u32) {
        match self.domains.get_mut(&domain) {
            Some(count) => *count += hosts,
            None => {
                self.domains.insert(domain, hosts);
            }
        }
    }

    fn remove(&mut self, host: &'a HostState) {
        self.available = self.available.saturating_sub(1);
        if let Some(domain) = self.domain(host)
            && let Some(count) = self.domains.get_mut(&domain)
        {
            *count = count.saturating_sub(1);
        }
    }

    fn domain(&self, host: &'a HostState) -> Option<Domain<'a>> {
        domain(self.survive, &host.data_centre, &host.rack)
    }
}

/// Returns the domain that a survive rule names.
fn domain<'a>(
    survive: SurviveRule,
    data_centre: &'a DataCentre,
    rack: &'a RackName,
) -> Option<Domain<'a>> {
    match survive {
        SurviveRule::Nothing => None,
        SurviveRule::Rack => Some((data_centre, Some(rack))),
        SurviveRule::DataCentre => Some((data_centre, None)),
    }
}
