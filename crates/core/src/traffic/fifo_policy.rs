use {
    super::{
        Assignment, LeavingNotice, PeerDemand, Refusal, RequestHandle, RequestSpec, RoutingView,
        SendOutcome, ServiceKey, TargetKey, TrafficPolicy,
    },
    crate::{error::ErrorKind, ids::LocalTime},
    std::{collections::VecDeque, sync::Arc},
};

/// Serves requests first come, first served, each at a random target with a free slot.
#[derive(Debug, Default)]
pub struct FifoPolicy {
    in_flight: Vec<u32>,
    /// One queue per service, so that a busy service does not delay the others.
    queues: Vec<VecDeque<(RequestHandle, RequestSpec)>>,
    view: Arc<RoutingView>,
}

impl FifoPolicy {
    fn pick_target(&self, service: ServiceKey, random: u64) -> Option<TargetKey> {
        let targets = self.view.targets.iter().enumerate();
        let free: Vec<usize> = targets
            .filter(|(_, target)| target.service == service && !target.leaving)
            .filter(|(index, target)| self.in_flight[*index] < target.slots)
            .map(|(index, _)| index)
            .collect();
        let count = u64::try_from(free.len()).ok().filter(|count| *count > 0)?;
        let index = free[usize::try_from(random % count).ok()?];
        Some(TargetKey {
            generation: self.view.targets[index].generation,
            index: u32::try_from(index).ok()?,
        })
    }
}

impl TrafficPolicy for FifoPolicy {
    fn update_view(&mut self, _now: LocalTime, view: Arc<RoutingView>) {
        self.in_flight.resize(view.targets.len(), 0);
        self.queues.resize_with(view.services.len(), VecDeque::new);
        self.view = view;
    }

    fn offer(
        &mut self,
        now: LocalTime,
        handle: RequestHandle,
        spec: RequestSpec,
    ) -> Result<(), ErrorKind> {
        if spec.deadline <= now {
            return Err(ErrorKind::DeadlineUnreachable);
        }
        let queue = self.queues.get_mut(usize::from(spec.service.0));
        let queue = queue.ok_or(ErrorKind::UnknownService)?;
        queue.push_back((handle, spec));
        Ok(())
    }

    fn cancel(&mut self, _now: LocalTime, handle: RequestHandle) -> bool {
        let mut queues = self.queues.iter_mut();
        queues.any(|queue| {
            let before = queue.len();
            queue.retain(|(queued, _)| *queued != handle);
            queue.len() < before
        })
    }

    fn assign(&mut self, _now: LocalTime, random: u64) -> Vec<Assignment> {
        let mut assignments = Vec::new();
        for index in 0..self.queues.len() {
            while let Some((handle, spec)) = self.queues[index].front().copied() {
                let Some(target) = self.pick_target(spec.service, random) else {
                    break;
                };
                self.queues[index].pop_front();
                self.in_flight[target.index as usize] += 1;
                assignments.push(Assignment { target, handle });
            }
        }
        assignments
    }

    fn expire(&mut self, now: LocalTime) -> Vec<Refusal> {
        let mut refusals = Vec::new();
        for queue in &mut self.queues {
            queue.retain(|(handle, spec)| {
                let live = spec.deadline > now;
                if !live {
                    refusals.push(Refusal {
                        kind: ErrorKind::DeadlineUnreachable,
                        handle: *handle,
                    });
                }
                live
            });
        }
        refusals
    }

    fn finish(&mut self, _now: LocalTime, assignment: Assignment, _outcome: SendOutcome) {
        if let Some(count) = self.in_flight.get_mut(assignment.target.index as usize) {
            *count = count.saturating_sub(1);
        }
    }

    fn allow_retry(&mut self, _now: LocalTime, spec: &RequestSpec, attempts: u32) -> bool {
        spec.idempotent && attempts < 3
    }

    fn mark_leaving(&mut self, _now: LocalTime, _notice: &LeavingNotice) {}

    fn leaving_notices(&self) -> Vec<LeavingNotice> {
        Vec::new()
    }

    fn update_peers(&mut self, _now: LocalTime, _peers: &[PeerDemand]) {}

    fn drain(&mut self, _now: LocalTime) -> Vec<Refusal> {
        let queued = self.queues.iter_mut().flat_map(|queue| queue.drain(..));
        queued
            .map(|(handle, _)| Refusal {
                kind: ErrorKind::Draining,
                handle,
            })
            .collect()
    }

    fn demand(&self) -> Vec<u32> {
        vec![0; self.view.services.len()]
    }
}
