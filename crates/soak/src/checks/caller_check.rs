use {
    super::{Invariant, InvariantViolation, RunCheck},
    crate::load::{JobKind, SubmittedJob},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::jobs::JobPhase,
};

/// Checks the responses to callers and the outcome of their jobs, after faults and load have ended.
pub fn check_callers(
    jobs: &[SubmittedJob],
    runs: &RunCheck,
    now: Millis,
) -> Vec<InvariantViolation> {
    let mut violations = Vec::new();
    for job in jobs {
        for (at, detail) in &job.contradictions {
            let detail = format!("{}: {detail}", job.id);
            violations.push(InvariantViolation::new(Invariant::Truth, *at, detail));
        }
        violations.extend(check_final_phase(job, runs));
        if job.accepted.is_some() {
            violations.extend(check_kept(job, runs, now));
        }
    }
    violations
}

fn check_final_phase(job: &SubmittedJob, runs: &RunCheck) -> Option<InvariantViolation> {
    let (phase, at) = job.final_phase?;
    let is_justified = match phase {
        JobPhase::Completed => runs.is_done(job),
        JobPhase::Failed => job.kind == JobKind::Hopeless || runs.has_used_up_attempts(job),
        JobPhase::Cancelled => job.cancel_sent.is_some(),
        JobPhase::Queued | JobPhase::Running => true,
    };
    let detail = format!("{}: reported as {phase:?} without cause", job.id);
    (!is_justified).then(|| InvariantViolation::new(Invariant::Truth, at, detail))
}

fn check_kept(job: &SubmittedJob, runs: &RunCheck, now: Millis) -> Option<InvariantViolation> {
    let phase = job.final_phase.map(|(phase, _)| phase);
    let is_kept = match job.kind {
        JobKind::Lasting => job.cancelled.is_some() || runs.is_at_work(job),
        JobKind::Cancelled | JobKind::Hopeless | JobKind::Passing => phase.is_some(),
    };
    let detail = format!(
        "{} ({:?}): reported as {phase:?}, accepted at {:?}",
        job.id, job.kind, job.accepted
    );
    (!is_kept).then(|| InvariantViolation::new(Invariant::Kept, now, detail))
}
