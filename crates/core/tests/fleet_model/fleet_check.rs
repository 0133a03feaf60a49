use {
    goldcreststall_core::{
        config::{ConfigVersion, FleetConfig, SurviveRule},
        ids::{LogTime, Millis},
        ledger::{FleetState, LedgerRecord, RecordBody, Rejection},
        membership::{
            HostActivity, HostState, MembershipLedger, MembershipRecord as Record, WaveStatus,
        },
    },
    std::collections::BTreeMap,
};

/// The state before an entry, against which the state after it is checked.
pub struct FleetCheck {
    assured: Vec<(String, i64)>,
    document: String,
    membership: MembershipLedger,
    version: ConfigVersion,
}

/// Counts by plain loops how many hosts of a pool stay available after the loss of its largest failure domain.
pub fn assured(config: &FleetConfig, membership: &MembershipLedger, name: &str) -> i64 {
    let pool = config.pools.iter().find(|pool| pool.name.as_str() == name);
    let mut available = 0;
    let mut domains = BTreeMap::<String, i64>::new();
    for (_, host) in membership.hosts().iter() {
        let unavailable = !matches!(host.activity, HostActivity::Serving);
        if host.pool.as_str() != name || host.down.is_some() || unavailable {
            continue;
        }
        available += 1;
        match pool.map(|pool| pool.survive) {
            Some(SurviveRule::Rack) => {
                *domains
                    .entry(format!("{}/{}", host.data_centre, host.rack))
                    .or_default() += 1;
            }
            Some(SurviveRule::DataCentre) => {
                *domains.entry(host.data_centre.to_string()).or_default() += 1;
            }
            _ => {}
        }
    }
    available - domains.values().max().copied().unwrap_or(0)
}

impl FleetCheck {
    /// Records the state before an entry.
    pub fn before(state: &FleetState) -> Self {
        let fleet = state.config.fleet();
        let pools = fleet.pools.iter();
        Self {
            assured: pools
                .map(|pool| {
                    let name = pool.name.as_str();
                    (name.to_owned(), assured(fleet, &state.membership, name))
                })
                .collect(),
            document: state.config.document().to_owned(),
            membership: state.membership.clone(),
            version: state.config.version(),
        }
    }

    /// Checks the state after an entry with `records`, which had `results`.
    ///
    /// `view` is the state that the author saw; `repeated` tells whether the records were sent before.
    pub fn check(
        &self,
        state: &FleetState,
        records: &[LedgerRecord],
        results: &[Result<(), Rejection>],
        view: Option<&FleetState>,
        repeated: bool,
    ) -> Result<(), String> {
        let accepted: Vec<&RecordBody> = records
            .iter()
            .zip(results)
            .filter(|(_, result)| result.is_ok())
            .map(|(record, _)| &record.body)
            .collect();
        self.check_ignored(state, &accepted, repeated)?;
        self.check_pools(state)?;
        self.check_moves(state, &accepted)?;
        self.check_budget(state, &accepted)?;
        self.check_config(state, &accepted)?;
        for body in &accepted {
            if let RecordBody::Membership(record) = body {
                check_list_age(state.time(), record)?;
                if let Some(view) = view.filter(|_| records.len() == 1) {
                    self.check_seen(view, record)?;
                }
            }
        }
        Ok(())
    }

    fn check_ignored(
        &self,
        state: &FleetState,
        accepted: &[&RecordBody],
        repeated: bool,
    ) -> Result<(), String> {
        if repeated && !accepted.is_empty() {
            return Err(format!(
                "a record that was sent again was applied: {accepted:?}"
            ));
        }
        if accepted.is_empty() && self.membership != state.membership {
            return Err("ignored records changed the membership".to_owned());
        }
        Ok(())
    }

    fn check_pools(&self, state: &FleetState) -> Result<(), String> {
        let fleet = state.config.fleet();
        let counts = fleet
            .pools
            .iter()
            .map(|pool| state.membership.members(&pool.name).count());
        let (members, hosts) = (counts.sum::<usize>(), state.membership.hosts().len());
        if members != hosts {
            return Err(format!(
                "the fleet has {hosts} hosts, but its pools have {members} members"
            ));
        }
        Ok(())
    }

    /// Checks that the pool of a host changes only at the end of the move that was in progress.
    fn check_moves(&self, state: &FleetState, accepted: &[&RecordBody]) -> Result<(), String> {
        for (name, after) in state.membership.hosts().iter() {
            let Some(before) = self.membership.hosts().get(name) else {
                continue;
            };
            let planned =
                matches!(&before.activity, HostActivity::Moving { to, .. } if *to == after.pool);
            let finished = accepted.iter().any(|body| {
                matches!(body, RecordBody::Membership(Record::MoveFinish { host, .. }) if host == name)
            });
            if before.pool != after.pool && !(planned && finished) {
                return Err(format!(
                    "{name} went from {} to {}",
                    before.pool, after.pool
                ));
            }
        }
        Ok(())
    }

    /// Checks that only failures and publications leave a pool with fewer hosts than its budget requires.
    fn check_budget(&self, state: &FleetState, accepted: &[&RecordBody]) -> Result<(), String> {
        let unplanned = accepted.iter().any(|body| {
            matches!(
                body,
                RecordBody::Config(_) | RecordBody::Membership(Record::HostDown { .. })
            )
        });
        let fleet = state.config.fleet();
        for (name, before) in &self.assured {
            let after = assured(fleet, &state.membership, name);
            let pool = fleet.pools.iter().find(|pool| pool.name.as_str() == name);
            let min_available = pool.map_or(0, |pool| i64::from(pool.min_available));
            if after < *before && after < min_available && !unplanned {
                return Err(format!(
                    "{name} has {after} of {min_available} hosts after {accepted:?}"
                ));
            }
        }
        Ok(())
    }

    fn check_config(&self, state: &FleetState, accepted: &[&RecordBody]) -> Result<(), String> {
        let published = accepted.iter().find_map(|body| match body {
            RecordBody::Config(record) => Some(record),
            _ => None,
        });
        let (version, document) = (state.config.version(), state.config.document());
        let expected = match published {
            Some(goldcreststall_core::config::ConfigRecord::Publish { base, document }) => {
                (ConfigVersion(base.0 + 1), document.as_str())
            }
            None => (self.version, self.document.as_str()),
        };
        if (version, document) != expected || version < self.version {
            return Err(format!(
                "configuration {:?} followed by {version:?}, expected {:?}",
                self.version, expected.0
            ));
        }
        if published.is_some() && version.0 != self.version.0 + 1 {
            return Err(format!(
                "configuration {:?} was published over {:?}",
                version, self.version
            ));
        }
        Ok(())
    }

    /// Checks that a record is applied only to the state that its author saw.
    fn check_seen(&self, view: &FleetState, record: &Record) -> Result<(), String> {
        if wave_of(&self.membership, record) != wave_of(&view.membership, record) {
            return Err(format!(
                "{record:?} was applied to a wave that its author did not see"
            ));
        }
        let current = host_of(&self.membership, record);
        let seen = host_of(&view.membership, record);
        if current != seen {
            return Err(format!(
                "{record:?} was decided on {seen:?} and applied to {current:?}"
            ));
        }
        Ok(())
    }
}

fn check_list_age(now: LogTime, record: &Record) -> Result<(), String> {
    match record {
        Record::StopStart { list_time, .. }
        | Record::MoveStart { list_time, .. }
        | Record::DrainStart { list_time, .. } => {
            let age = now.since(*list_time);
            if age > Millis(10_000) || list_time.since(now) > Millis(1_000) {
                return Err(format!(
                    "{record:?} was applied on a host list of age {age}"
                ));
            }
            Ok(())
        }
        _ => Ok(()),
    }
}

/// Returns the part of a wave that a record depends on.
fn wave_of(membership: &MembershipLedger, record: &Record) -> Option<(WaveStatus, LogTime)> {
    let name = match record {
        Record::WavePause { wave, .. }
        | Record::WaveResume { wave, .. }
        | Record::WaveCancel { wave, .. }
        | Record::WaveFinish { wave, .. } => wave,
        Record::StopStart { wave, .. } => &wave.as_ref()?.wave,
        _ => return None,
    };
    let wave = membership.waves().get(name)?;
    Some((wave.status, wave.started))
}

fn host_of<'a>(membership: &'a MembershipLedger, record: &Record) -> Option<&'a HostState> {
    match record {
        Record::HostRemove { host, .. }
        | Record::HostDown { host, .. }
        | Record::HostUp { host, .. }
        | Record::MoveStart { host, .. }
        | Record::MoveFinish { host, .. }
        | Record::MoveCancel { host, .. }
        | Record::DrainStart { host, .. }
        | Record::DrainEnd { host, .. }
        | Record::StopStart { host, .. }
        | Record::StopDrained { host, .. } => membership.hosts().get(host),
        _ => None,
    }
}
