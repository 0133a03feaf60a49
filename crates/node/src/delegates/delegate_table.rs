use {
    super::DelegateProfile,
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::jobs::JobId,
    std::cmp::Reverse,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Time without a frame after which a delegate gets no further commands, and those that it has not answered take
/// another way. It sends a frame at least every 300 ms.
pub(super) const CONTACT_TIMEOUT: Millis = Millis(500);
/// Most delegates that send starts. Each may open several connections to a runner.
const MAX_START_DELEGATES: usize = 12;

/// Key of a registered delegate; a key is not used again.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DelegateKey(pub u32);

#[derive(Debug)]
struct DelegateRow {
    profile: DelegateProfile,
    last_contact: LocalTime,
    /// It still answers, but is shutting down.
    leaving: bool,
}

/// The registered delegates, sorted by key, and the assignment of runners to them.
#[derive(Debug, Default)]
pub struct DelegateTable {
    rows: Vec<(DelegateKey, DelegateRow)>,
    last_key: u32,
}

impl DelegateTable {
    /// Adds a delegate.
    pub fn insert(&mut self, profile: DelegateProfile, now: LocalTime) -> DelegateKey {
        self.last_key += 1;
        let key = DelegateKey(self.last_key);
        let row = DelegateRow {
            profile,
            last_contact: now,
            leaving: false,
        };
        // Keys rise, so the vector stays sorted.
        self.rows.push((key, row));
        key
    }

    /// Removes a delegate.
    pub fn remove(&mut self, key: DelegateKey) {
        self.rows.retain(|(other, _)| *other != key);
    }

    /// Records a frame of a delegate; `leaving` tells whether it is shutting down.
    pub fn record_contact(&mut self, key: DelegateKey, leaving: bool, now: LocalTime) {
        let index = self.rows.binary_search_by_key(&key, |(other, _)| *other);
        if let Ok(index) = index {
            let row = &mut self.rows[index].1;
            row.last_contact = now;
            row.leaving |= leaving;
        }
    }

    /// Returns the delegate that the hold calls, stops and paces of a runner go to: one in the runner's data centre, or
    /// else any; `None` when none is in contact.
    ///
    /// The choice is a weighted rendezvous hash, so that each delegate gets runners in proportion to its size, and a
    /// delegate that leaves changes the assignment of its own runners only.
    pub fn for_runner(
        &self,
        runner: &str,
        data_centre: &str,
        now: LocalTime,
    ) -> Option<DelegateKey> {
        let seed = xxh3_64(runner.as_bytes());
        let ranked = self.usable(now).map(|(key, row)| {
            let local = row.profile.data_centre == data_centre;
            (local, rendezvous_score(&row.profile, seed), *key)
        });
        ranked
            .max_by(|left, right| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)))
            .map(|(_, _, key)| key)
    }

    /// Returns the delegate that the starts of a job go to; `None` when none is in contact.
    ///
    /// The work items of a job have the same text, which is sent once when they take the same way. Only the largest
    /// delegates send starts, because a runner accepts a limited number of connections.
    pub fn for_job(&self, job: JobId, now: LocalTime) -> Option<DelegateKey> {
        let mut rows: Vec<_> = self.usable(now).collect();
        rows.sort_unstable_by_key(|(key, row)| (Reverse(row.profile.weight()), *key));
        rows.truncate(MAX_START_DELEGATES);
        let ranked = rows
            .into_iter()
            .map(|(key, row)| (rendezvous_score(&row.profile, job.0), *key));
        ranked
            .max_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, key)| key)
    }

    fn usable(&self, now: LocalTime) -> impl Iterator<Item = &(DelegateKey, DelegateRow)> {
        let in_contact =
            move |row: &DelegateRow| !row.leaving && now.since(row.last_contact) <= CONTACT_TIMEOUT;
        self.rows.iter().filter(move |(_, row)| in_contact(row))
    }
}

/// Returns the weighted rendezvous score of a delegate for the runner or job whose hash is `seed`.
fn rendezvous_score(profile: &DelegateProfile, seed: u64) -> f64 {
    let hash = xxh3_64_with_seed(profile.name.as_bytes(), seed);
    // Between 0 and 1, and never either of them.
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    f64::from(profile.weight()) / -uniform.ln()
}
