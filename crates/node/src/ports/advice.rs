use {async_trait::async_trait, goldcreststall_dispatch::jobs::StepName};

/// The platform's service that approves runners for a step of a job.
#[async_trait]
pub trait AdviceService: Send + Sync {
    /// Returns whether the platform has such a service.
    fn is_configured(&self) -> bool;

    /// Requests approval for runners by their ids. Returns the approved ones with their tickets, or `None` without a
    /// response.
    async fn advise(&self, step: StepName, runners: &[String]) -> Option<Vec<(String, String)>>;
}
