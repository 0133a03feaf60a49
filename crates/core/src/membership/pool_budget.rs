use {
    super::{HostState, pool_counts::PoolCounts},
    crate::{
        collections::SortedMap,
        config::{PoolConfig, SurviveRule},
        ids::{DataCentre, LogTime, Millis, RackName},
        ledger::Rejection,
    },
};

/// Maximum age of a host list on which a host may be removed from the available ones.
pub const HOST_LIST_MAX_AGE: Millis = Millis(10 * 1000);
/// Maximum time by which the time of a host list may be ahead of the log. Authors extrapolate the time of the log
/// between entries; if a larger lead were allowed, it could hide an old list.
pub const HOST_LIST_MAX_CLOCK_SKEW: Millis = Millis(1000);

/// Checks whether a host may be removed from the available ones on a host list of `list_time`.
pub(super) fn check_host_list_age(now: LogTime, list_time: LogTime) -> Result<(), Rejection> {
    if now.since(list_time) > HOST_LIST_MAX_AGE || list_time.since(now) > HOST_LIST_MAX_CLOCK_SKEW {
        return Err(Rejection::StaleView);
    }
    Ok(())
}

/// A failure domain: a data centre, or one of its racks.
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
    /// Creates the budget from a scan of `members`, which are the hosts of the pool.
    pub fn new(pool: &PoolConfig, members: impl Iterator<Item = &'a HostState>) -> Self {
        let mut budget = Self {
            available: 0,
            domains: SortedMap::default(),
            min_available: pool.min_available,
            survive: pool.survive,
        };
        for host in members.filter(|host| host.is_available()) {
            budget.add(host);
        }
        budget
    }

    /// Creates the budget from the counts of the pool, which are `None` when it has no available host.
    pub(super) fn from_counts(pool: &PoolConfig, counts: Option<&'a PoolCounts>) -> Self {
        let mut budget = Self::new(pool, std::iter::empty());
        let Some(counts) = counts else {
            return budget;
        };
        budget.available = counts.available();
        for (data_centre, rack, count) in counts.racks() {
            if let Some(domain) = domain_of(pool.survive, data_centre, rack) {
                budget.add_to_domain(domain, count);
            }
        }
        budget
    }

    /// Returns the number of available hosts.
    pub fn available(&self) -> u32 {
        self.available
    }

    /// Returns the minimum number of hosts that must be available.
    pub fn min_available(&self) -> u32 {
        self.min_available
    }

    /// Returns the number of hosts that stay available when the largest failure domain is lost. Without a survive rule
    /// no domain is lost.
    pub fn assured(&self) -> u32 {
        let largest = self.domains.values().max();
        self.available - largest.copied().unwrap_or_default()
    }

    /// Returns whether the assured hosts reach the minimum.
    pub fn is_kept(&self) -> bool {
        self.assured() >= self.min_available
    }

    /// Returns how many available hosts can be removed, whichever they are, without breaking the budget.
    pub fn slack(&self) -> u32 {
        self.assured().saturating_sub(self.min_available)
    }

    /// Removes an available host, or leaves the budget unchanged when it would not be kept.
    ///
    /// # Errors
    /// `BudgetSpent` when the budget would not be kept.
    pub fn try_remove(&mut self, host: &'a HostState) -> Result<(), Rejection> {
        self.subtract(host);
        if self.is_kept() {
            return Ok(());
        }
        self.add(host);
        Err(Rejection::BudgetSpent)
    }

    fn add(&mut self, host: &'a HostState) {
        self.available += 1;
        if let Some(domain) = self.domain(host) {
            self.add_to_domain(domain, 1);
        }
    }

    fn add_to_domain(&mut self, domain: Domain<'a>, hosts: u32) {
        match self.domains.get_mut(&domain) {
            Some(count) => *count += hosts,
            None => {
                self.domains.insert(domain, hosts);
            }
        }
    }

    fn subtract(&mut self, host: &'a HostState) {
        self.available = self.available.saturating_sub(1);
        if let Some(domain) = self.domain(host)
            && let Some(count) = self.domains.get_mut(&domain)
        {
            *count = count.saturating_sub(1);
        }
    }

    fn domain(&self, host: &'a HostState) -> Option<Domain<'a>> {
        domain_of(self.survive, &host.data_centre, &host.rack)
    }
}

/// Returns the failure domain of a rack under a survive rule; `None` when the rule names none.
fn domain_of<'a>(
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
