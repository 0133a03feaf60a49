use {
    super::deployment::Deployment,
    goldcreststall_core::{
        ids::{EntryName, LocalTime},
        traffic::{FairPolicy, FifoPolicy, PeerDemand, RoutingView, ServiceDemand, TrafficPolicy},
    },
    std::sync::Arc,
};

/// The traffic policy under test.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PolicyKind {
    /// Requests go to a random target, first come, first served.
    Baseline,
    /// The policy that the daemon runs.
    Fair,
}

/// An entry host with its policy and the digests it received.
pub struct EntryHost {
    /// Latest digest of each entry host, its own included.
    pub digests: Vec<PeerDemand>,
    /// The policy under test.
    pub policy: Box<dyn TrafficPolicy>,
    name: EntryName,
    view: Arc<RoutingView>,
}

impl EntryHost {
    /// Creates entry host `number` and gives its policy the first view.
    ///
    /// # Errors
    /// The configuration of the deployment is invalid.
    pub fn new(
        deployment: &Deployment,
        kind: PolicyKind,
        number: usize,
        now: LocalTime,
    ) -> anyhow::Result<Self> {
        let name = EntryName::try_from(format!("entry-{number}"))?;
        let view = Arc::new(deployment.view(number)?);
        let mut policy: Box<dyn TrafficPolicy> = match kind {
            PolicyKind::Baseline => Box::new(FifoPolicy::default()),
            PolicyKind::Fair => Box::new(FairPolicy::new(name.clone())),
        };
        policy.update_view(now, Arc::clone(&view));
        Ok(Self {
            digests: Vec::new(),
            name,
            policy,
            view,
        })
    }

    /// Returns the digest that the entry host sends to its peers.
    pub fn digest(&self, now: LocalTime) -> PeerDemand {
        let demands = self.policy.demand();
        let services = self.view.services.iter().zip(demands);
        PeerDemand {
            entry: self.name.clone(),
            last_contact: now,
            services: services
                .map(|(service, requests)| ServiceDemand {
                    requests,
                    service: service.name.clone(),
                })
                .collect(),
        }
    }

    /// Replaces the stored digest of the sender.
    pub fn receive(&mut self, digest: PeerDemand) {
        self.digests.retain(|known| known.entry != digest.entry);
        self.digests.push(digest);
    }
}
