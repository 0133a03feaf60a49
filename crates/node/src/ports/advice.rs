use {async_trait::async_trait, goldcreststall_dispatch::jobs::StepName};

/// The platform's service that knows which runners may run a step.
#[async_trait]
pub trait AdviceService: Send + Sync {
    /// Returns whether there is such a service.
    fn is_known(&self) -> bool;

    /// Asks about runners by their ids; returns the approved ones with their tickets, or none without a response.
    async fn advise(&self, step: StepName, runners: &[String]) -> Option<Vec<(String, String)>>;
}
