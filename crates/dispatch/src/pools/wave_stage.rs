use {crate::runners::Capacity, goldcreststall_core::ids::Millis};

/// Time in which a host with long-running work is emptied, maintained and in use again: the notice of a work item that
/// starts elsewhere (5.5 s) and a maintenance with the delay of the lists (2 to 3 s).
const HOST_ROUND: Millis = Millis(8_000);
/// Longest time for which a work item is away that starts elsewhere.
const NOTICE: Millis = Millis(5_500);
/// Time in which a host moves to the pool and takes work.
const MOVE_TIME: Millis = Millis(2_500);

/// What a maintenance wave has left to do in one pool. Designed for 350 hosts and waves of half of them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WaveStage {
    /// Time until the end of the wave.
    pub time_left: Millis,
    /// Most hosts that may be maintained at the same time.
    pub cap: usize,
    /// Hosts that are being emptied or maintained; what they free is in use again soon.
    pub under_way: usize,
    /// Capacity that long-running work uses on each host that cannot be emptied because no other host has room for it.
    pub stuck: Vec<Capacity>,
    /// Most turns in which the work items of one step leave their hosts, because only `may_miss` of them may be away at a
    /// time.
    pub turns: usize,
    /// Capacity of a host that moves to the pool.
    pub host_capacity: Capacity,
}

impl WaveStage {
    /// Returns the number of additional hosts that the pool needs, so that the hosts without room for their work can be
    /// emptied in batches up to the end of the wave. Each batch uses the hosts of the one before, so that the number
    /// falls with the time that is left.
    pub fn missing_hosts(&self) -> usize {
        let mut stuck: Vec<Capacity> = self.stuck.clone();
        // Work that is larger than a host of the pool has no room on an additional one either.
        stuck.retain(|used| self.host_capacity.covers(used));
        // Each turn of a step after the first needs the time of a notice at the end of the wave.
        let later_turns = NOTICE.0 * self.turns.saturating_sub(1) as u64;
        let time = self.time_left.0.saturating_sub(MOVE_TIME.0 + later_turns);
        // On average half of the round of a host that is under way has passed.
        let half_rounds = (2 * stuck.len() + self.under_way) as u64;
        let batch = (half_rounds * HOST_ROUND.0).div_ceil(2 * time.max(HOST_ROUND.0)) as usize;
        let batch = batch.min(self.cap);
        stuck.sort_unstable_by_key(|used| (used.mem_mb, used.cpu));
        stuck.truncate(batch.saturating_sub(self.under_way));
        hosts_for(&stuck, self.host_capacity)
    }
}

/// Returns the number of hosts on which the work of these hosts fits when it is not divided: first fit, the largest first.
fn hosts_for(used: &[Capacity], host: Capacity) -> usize {
    let mut free: Vec<Capacity> = Vec::new();
    for used in used.iter().rev() {
        match free.iter_mut().find(|free| free.covers(used)) {
            Some(free) => *free = free.minus(used),
            None => free.push(host.minus(used)),
        }
    }
    free.len()
}
