use {
    super::{Invariant, InvariantViolation, RunCheck, run_check::item_names},
    crate::{load::SubmittedJob, system::CAPACITY},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::jobs::ItemName,
};

/// Time within which a work item must start that can run: users count accepted work as lost that has not started this long
/// after the end of their calls.
const START_TIMEOUT: Millis = Millis(14_000);

/// A work item that can run and does not.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingItem {
    name: ItemName,
    since: Millis,
    is_reported: bool,
}

impl RunCheck {
    /// Checks that no work item of an accepted job waits too long although it can run. To be called again and again after
    /// the end of the faults and the load, with the name and the pool of each host that takes work.
    pub fn check_waiting(&mut self, hosts: &[(String, String)], now: Millis) {
        let mut waiting = Vec::new();
        for name in self.items_that_can_run(hosts) {
            let former = self.waiting.binary_search_by_key(&name, |item| item.name);
            let mut item = former.map_or(
                WaitingItem {
                    name,
                    since: now,
                    is_reported: false,
                },
                |position| self.waiting[position],
            );
            if !item.is_reported && now.0 > item.since.0 + START_TIMEOUT.0 {
                item.is_reported = true;
                let detail = format!("{name} did not start, and could run since {}", item.since);
                self.violations
                    .push(InvariantViolation::new(Invariant::Started, now, detail));
            }
            waiting.push(item);
        }
        waiting.sort_unstable_by_key(|item| item.name);
        self.waiting = waiting;
    }

    fn items_that_can_run(&self, hosts: &[(String, String)]) -> Vec<ItemName> {
        let jobs = self.submitted_jobs.all();
        let is_wanted = |job: &&SubmittedJob| {
            job.accepted.is_some()
                && job.final_phase.is_none()
                && job.cancel_sent.is_none()
                && !self.has_used_up_attempts(job)
        };
        let mut names = Vec::new();
        for job in jobs.iter().filter(is_wanted) {
            names.extend(item_names(job).into_iter().filter(|name| {
                let item = self.find(*name).ok().map(|position| &self.items[position]);
                let is_pending = item.is_none_or(|item| !item.done && item.open.is_empty());
                let required = &job.spec.steps[name.step as usize].after;
                is_pending
                    && required
                        .iter()
                        .all(|step| self.step_is_done(*name, job, *step))
                    && hosts.iter().any(|(host, pool)| {
                        *pool == job.queue.pool && self.has_room(host, *name, job)
                    })
            }));
        }
        names
    }

    fn has_room(&self, host: &str, name: ItemName, job: &SubmittedJob) -> bool {
        let step = &job.spec.steps[name.step as usize];
        let (used_cpu, siblings) = self.use_of(host, name);
        used_cpu + step.cpu <= CAPACITY.cpu
            && (step.anti_affinity == 0 || siblings < step.anti_affinity)
    }
}
