use {
    goldcreststall_core::ids::Millis,
    serde::{Deserialize, Serialize},
};

/// A queue: which calls reach it and how its jobs are run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouteRule {
    /// Name of the queue.
    pub name: String,
    /// Host header of its calls.
    pub host: String,
    /// Prefix of the path of its calls.
    pub prefix: String,
    /// Service whose runners run its work items.
    pub service: String,
    /// Longest time for a response.
    pub timeout: Millis,
    /// Added to the stretched chain of work in the objective of a job.
    pub target_latency: Millis,
    /// Rank; 0 comes first.
    pub priority: u32,
    /// Failed runs after which a work item is given up.
    pub attempts: u32,
    /// Factor on the longest chain of work in the objective of a job.
    pub stretch: f64,
    /// Runners must be approved by the advice service. Stored like the flag that stood here before.
    pub advice: Option<AdviceRule>,
}

/// How a queue's runners are approved.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct AdviceRule {
    /// How long an approval is valid.
    pub valid: Millis,
}

/// A service: a pool of runners.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: String,
    /// Its hosts are off and are not paid for.
    pub spare: bool,
}

/// Limits of callers' connections and requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallLimits {
    /// Most bytes of the headers.
    pub header_bytes: usize,
    /// Most bytes of the body.
    pub body_bytes: usize,
    /// Longest wait for complete headers.
    pub header_timeout: Millis,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            header_timeout: Millis(3_000),
        }
    }
}

/// One version of the operator's configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetRules {
    /// Number of the version; it only rises.
    pub version: u64,
    /// The queues.
    pub routes: Vec<RouteRule>,
    /// The services.
    pub services: Vec<ServiceRule>,
    /// Limits of calls.
    pub limits: CallLimits,
}

impl FleetRules {
    /// Returns the queue that a call reaches, by the longest prefix, and the rest of the path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&RouteRule, &'a str)> {
        let matches = |route: &&RouteRule| route.host == host && path.starts_with(&route.prefix);
        let route = self
            .routes
            .iter()
            .filter(matches)
            .max_by_key(|route| route.prefix.len())?;
        Some((route, &path[route.prefix.len()..]))
    }

    /// Returns whether the hosts of a pool are off.
    pub fn is_spare(&self, pool: &str) -> bool {
        self.services
            .iter()
            .any(|service| service.spare && service.name == pool)
    }

    /// Returns the pool whose hosts are off.
    pub fn spare_pool(&self) -> Option<&str> {
        let spare = self.services.iter().find(|service| service.spare)?;
        Some(&spare.name)
    }
}
