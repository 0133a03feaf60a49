use {
    super::HumanText, goldcreststall_core::config::ConfigMistake,
    goldcreststall_operators::ChangeOutcome, serde::Serialize,
};

/// The printed outcome of a change.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ChangeResult {
    /// Mistakes in a rejected configuration, one line each.
    mistakes: Vec<String>,
    /// Log offset of an accepted change.
    offset: Option<u64>,
    /// Why the change was rejected or not confirmed.
    reason: Option<String>,
    /// Id of the change; also the id of a new wave or job.
    request: String,
    /// `accepted`, `rejected` or `not-confirmed`.
    verdict: &'static str,
}

impl ChangeResult {
    /// `request` is the id of the change.
    pub(crate) fn new(outcome: ChangeOutcome, request: String) -> Self {
        let result = |verdict, reason, offset, mistakes: Vec<ConfigMistake>| Self {
            mistakes: mistakes.iter().map(ToString::to_string).collect(),
            offset,
            reason,
            request: request.clone(),
            verdict,
        };
        match outcome {
            ChangeOutcome::Accepted { offset } => {
                result("accepted", None, Some(offset.0), Vec::new())
            }
            ChangeOutcome::Rejected { mistakes, reason } => {
                result("rejected", Some(reason), None, mistakes)
            }
            ChangeOutcome::NotConfirmed { reason } => {
                result("not-confirmed", Some(reason), None, Vec::new())
            }
        }
    }
}

impl HumanText for ChangeResult {
    fn human_text(&self) -> String {
        let reason = self.reason.as_deref().unwrap_or_default();
        let offset = self.offset.unwrap_or_default();
        let request = &self.request;
        let line = match self.verdict {
            "accepted" => format!("accepted at log offset {offset}, id {request}"),
            "rejected" => format!("rejected: {reason}"),
            _ => format!(
                "not confirmed: {reason}\nthe change may come into force; run the command again with --request-id {request} to find out"
            ),
        };
        let mut lines = vec![line];
        lines.extend(self.mistakes.iter().cloned());
        lines.join("\n")
    }
}
