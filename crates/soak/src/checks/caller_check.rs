use {
    super::{BrokenPromise, Promise, RunCheck},
    crate::load::{JobEntry, JobKind},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::jobs::JobPhase,
};

/// Checks, after the end of faults and load, what callers were told and what became of their jobs.
pub fn check_callers(entries: &[JobEntry], runs: &RunCheck, now: Millis) -> Vec<BrokenPromise> {
    let mut broken = Vec::new();
    for entry in entries {
        for (at, detail) in &entry.contradictions {
            let detail = format!("{}: {detail}", entry.id);
            broken.push(BrokenPromise::new(Promise::Truth, *at, detail));
        }
        broken.extend(check_shown(entry, runs));
        if entry.accepted.is_some() {
            broken.extend(check_kept(entry, runs, now));
        }
    }
    broken
}

fn check_shown(entry: &JobEntry, runs: &RunCheck) -> Option<BrokenPromise> {
    let (phase, at) = entry.shown?;
    let cause = match phase {
        JobPhase::Completed => runs.is_done(entry),
        JobPhase::Failed => entry.kind == JobKind::Hopeless || runs.may_have_failed(entry),
        JobPhase::Cancelled => entry.cancel_sent.is_some(),
        JobPhase::Queued | JobPhase::Running => true,
    };
    let detail = format!("{}: shown as {phase:?} without cause", entry.id);
    (!cause).then(|| BrokenPromise::new(Promise::Truth, at, detail))
}

fn check_kept(entry: &JobEntry, runs: &RunCheck, now: Millis) -> Option<BrokenPromise> {
    let shown = entry.shown.map(|(phase, _)| phase);
    let kept = match entry.kind {
        JobKind::Lasting => entry.cancelled.is_some() || runs.is_at_work(entry),
        JobKind::Cancelled | JobKind::Hopeless | JobKind::Passing => shown.is_some(),
    };
    let detail = format!(
        "{} ({:?}): shown as {shown:?}, accepted at {:?}",
        entry.id, entry.kind, entry.accepted
    );
    (!kept).then(|| BrokenPromise::new(Promise::Kept, now, detail))
}
