use {
    crate::organisations::{KeyIndex, OrganisationRule},
    goldcreststall_core::ids::Millis,
    serde::{Deserialize, Serialize},
};

/// A queue: which calls are routed to it and how its jobs are run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouteRule {
    /// Name of the queue.
    pub name: String,
    /// Host header of the calls that are routed to it.
    pub host: String,
    /// Path prefix of the calls that are routed to it.
    pub prefix: String,
    /// Service whose runners run the work items.
    pub service: String,
    /// Time limit for the response to a call.
    pub timeout: Millis,
    /// Added to the stretched critical path to give the latency objective of a job.
    pub target_latency: Millis,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs after which a work item, and with it its job, fails.
    pub attempts: u32,
    /// Factor on the critical path in the latency objective of a job.
    pub stretch: f64,
    /// Set when runners must be approved by the advice service. In stored submissions this position held a flag in
    /// earlier versions; an absent rule is stored like a flag that is not set.
    pub advice: Option<AdviceRule>,
}

/// Rules for the approval of a queue's runners.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct AdviceRule {
    /// Validity of an approval.
    pub valid: Millis,
}

/// A service: a pool of runners.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: String,
    /// Hosts of this pool are switched off and not paid for.
    pub spare: bool,
}

/// Limits of callers' connections and requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallLimits {
    /// Maximum size of the headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the body, in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving the complete headers.
    pub header_timeout: Millis,
    /// Time after which a connection without a request may be closed.
    pub idle_timeout: Millis,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// One version of the operator's configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetRules {
    /// Number of the version; it only increases.
    pub version: u64,
    /// Queues with their routes.
    pub routes: Vec<RouteRule>,
    /// Services with their pools.
    pub services: Vec<ServiceRule>,
    /// Limits of callers' connections and requests.
    pub limits: CallLimits,
    /// Organisations, sorted by name; `None` when the configuration has none, and calls need no key.
    pub organisations: Option<Vec<OrganisationRule>>,
    /// The keys of all organisations.
    pub keys: KeyIndex,
    /// Names of the queues whose calls need no key, sorted.
    pub public_routes: Vec<String>,
}

impl FleetRules {
    /// Returns the queue with the longest matching path prefix for a call, and the rest of the path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&RouteRule, &'a str)> {
        let matches = |route: &&RouteRule| route.host == host && path.starts_with(&route.prefix);
        let route = self
            .routes
            .iter()
            .filter(matches)
            .max_by_key(|route| route.prefix.len())?;
        Some((route, &path[route.prefix.len()..]))
    }

    /// Returns whether a call on this queue needs the key of an organisation.
    pub fn needs_key(&self, route: &RouteRule) -> bool {
        let is_public = self.public_routes.binary_search(&route.name).is_ok();
        self.organisations.is_some() && !is_public
    }

    /// Returns the organisation with this name.
    pub fn organisation(&self, name: &str) -> Option<&OrganisationRule> {
        let rules = self.organisations.as_ref()?;
        let index = rules.binary_search_by(|rule| rule.name.as_str().cmp(name));
        Some(&rules[index.ok()?])
    }

    /// Returns whether the hosts of a pool are switched off.
    pub fn is_spare(&self, pool: &str) -> bool {
        self.services
            .iter()
            .any(|service| service.spare && service.name == pool)
    }

    /// Returns the pool whose hosts are switched off.
    pub fn spare_pool(&self) -> Option<&str> {
        let spare = self.services.iter().find(|service| service.spare)?;
        Some(&spare.name)
    }
}
