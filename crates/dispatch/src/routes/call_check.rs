use {
    super::{FleetRules, RouteRule},
    std::sync::Arc,
};

/// On whose behalf a call is made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOrigin {
    /// The configuration has no organisations.
    Open,
    /// The call is on a public queue; its key was not looked at.
    Public,
    /// The call carries a key of this organisation.
    Organisation(Arc<str>),
}

/// Why a call is refused by what its head says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallRefusal {
    /// There is no such queue.
    NoRoute,
    /// The queue is not public, and the call has no key of an organisation.
    NoKey,
    /// The queue is not public, and the configuration may be too old to tell which keys are valid.
    Unverified,
}

/// A call that may be executed.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckedCall<'a> {
    /// Queue of the call.
    pub route: &'a RouteRule,
    /// Rest of the path after the prefix of the queue.
    pub job_path: &'a str,
    /// On whose behalf the call is made.
    pub origin: CallOrigin,
}

impl FleetRules {
    /// Decides from host, path and key whether a call may be executed. `is_stale` tells that a newer configuration may
    /// have revoked keys.
    ///
    /// # Errors
    /// When there is no such queue, or the call needs a key and has none that belongs to an organisation, or none can be
    /// verified.
    pub fn check_call<'a>(
        &'a self,
        host: &str,
        path: &'a str,
        key: Option<&[u8]>,
        is_stale: bool,
    ) -> Result<CheckedCall<'a>, CallRefusal> {
        let (route, job_path) = self.route(host, path).ok_or(CallRefusal::NoRoute)?;
        let origin = if self.organisations.is_none() {
            CallOrigin::Open
        } else if !self.needs_key(route) {
            CallOrigin::Public
        } else if is_stale {
            return Err(CallRefusal::Unverified);
        } else {
            let organisation = key.and_then(|key| self.keys.organisation(key));
            CallOrigin::Organisation(Arc::clone(organisation.ok_or(CallRefusal::NoKey)?))
        };
        Ok(CheckedCall {
            route,
            job_path,
            origin,
        })
    }
}
