use {
    super::{Invariant, InvariantViolation, RunCheck},
    crate::load::{JobKind, SubmittedJob},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::jobs::JobPhase,
};

/// Checks, after the end of faults and load, what callers were told and what became of their jobs.
pub fn check_callers(
    entries: &[SubmittedJob],
    runs: &RunCheck,
    now: Millis,
) -> Vec<InvariantViolation> {
    let mut violations = Vec::new();
    for entry in entries {
        for (at, detail) in &entry.contradictions {
            let detail = format!("{}: {detail}", entry.id);
            violations.push(InvariantViolation::new(Invariant::Truth, *at, detail));
        }
        violations.extend(check_shown(entry, runs));
        if entry.accepted.is_some() {
            violations.extend(check_kept(entry, runs, now));
        }
    }
    violations
}

fn check_shown(entry: &SubmittedJob, runs: &RunCheck) -> Option<InvariantViolation> {
    let (phase, at) = entry.shown?;
    let cause = match phase {
        JobPhase::Completed => runs.is_done(entry),
        JobPhase::Failed => entry.kind == JobKind::Hopeless || runs.may_have_failed(entry),
        JobPhase::Cancelled => entry.cancel_sent.is_some(),
        JobPhase::Queued | JobPhase::Running => true,
    };
    let detail = format!("{}: shown as {phase:?} without cause", entry.id);
    (!cause).then(|| InvariantViolation::new(Invariant::Truth, at, detail))
}

fn check_kept(entry: &SubmittedJob, runs: &RunCheck, now: Millis) -> Option<InvariantViolation> {
    let shown = entry.shown.map(|(phase, _)| phase);
    let kept = match entry.kind {
        JobKind::Lasting => entry.cancelled.is_some() || runs.is_at_work(entry),
        JobKind::Cancelled | JobKind::Hopeless | JobKind::Passing => shown.is_some(),
    };
    let detail = format!(
        "{} ({:?}): shown as {shown:?}, accepted at {:?}",
        entry.id, entry.kind, entry.accepted
    );
    (!kept).then(|| InvariantViolation::new(Invariant::Kept, now, detail))
}
