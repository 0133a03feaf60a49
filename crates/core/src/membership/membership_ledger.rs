use {
    super::{
        DEFAULT_REBOOT_LIMIT, HostActivity, HostState, HostVersion, MembershipRecord, PlannedStop,
        PoolBudget, SeenWave, WaveState, WaveStatus, WaveVersion, pool_budget::check_host_list_age,
        pool_counts::CountTable,
    },
    crate::{
        collections::SortedMap,
        config::{FleetConfig, PoolConfig},
        ids::{HostName, Incarnation, LogTime, Millis, PoolName, WaveName},
        ledger::Rejection,
    },
    serde::{Deserialize, Serialize},
};

/// Maximum number of closed waves that are kept, apart from those with stops in progress.
pub const MAX_CLOSED_WAVES: usize = 64;
/// Period over which moves are counted.
pub const MOVE_RATE_WINDOW: Millis = Millis(60 * 60 * 1000);

/// All hosts and waves of the fleet.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "SavedLedger")]
pub struct MembershipLedger {
    changes: u64,
    /// Derived from `hosts`; recomputed after decoding.
    #[serde(skip)]
    counts: CountTable,
    hosts: SortedMap<HostName, HostState>,
    /// Start times of the moves within [`MOVE_RATE_WINDOW`]. They are part of the ledger so that the limit on moves
    /// also holds when another entry host takes over the duty.
    moves: Vec<LogTime>,
    waves: SortedMap<WaveName, WaveState>,
}

/// The encoded fields of a [`MembershipLedger`], in the same order.
#[derive(Deserialize)]
struct SavedLedger {
    changes: u64,
    hosts: SortedMap<HostName, HostState>,
    moves: Vec<LogTime>,
    waves: SortedMap<WaveName, WaveState>,
}

impl From<SavedLedger> for MembershipLedger {
    fn from(saved: SavedLedger) -> Self {
        Self {
            changes: saved.changes,
            counts: CountTable::new(saved.hosts.values()),
            hosts: saved.hosts,
            moves: saved.moves,
            waves: saved.waves,
        }
    }
}

impl MembershipLedger {
    /// Returns all hosts in order of name.
    pub fn hosts(&self) -> &SortedMap<HostName, HostState> {
        &self.hosts
    }

    /// Returns the open waves and the latest closed ones, in order of name.
    pub fn waves(&self) -> &SortedMap<WaveName, WaveState> {
        &self.waves
    }

    /// Returns the hosts of a pool in order of name.
    pub fn members<'a>(
        &'a self,
        pool: &'a PoolName,
    ) -> impl Iterator<Item = (&'a HostName, &'a HostState)> {
        self.hosts
            .iter()
            .filter(move |(_, host)| host.pool == *pool)
    }

    /// Returns the budget of a pool with its present number of available hosts.
    pub fn budget(&self, pool: &PoolConfig) -> PoolBudget<'_> {
        PoolBudget::from_counts(pool, self.counts.for_pool(&pool.name))
    }

    /// Returns the hosts that a wave still has to maintain, including those it is stopping.
    pub fn pending<'a>(
        &'a self,
        wave: &'a WaveState,
    ) -> impl Iterator<Item = (&'a HostName, &'a HostState)> {
        self.members(&wave.pool)
            .filter(|(name, _)| !wave.done.contains(name))
    }

    /// Returns how many moves started in the [`MOVE_RATE_WINDOW`] before `now`.
    pub fn recent_moves(&self, now: LogTime) -> usize {
        let recent = self.moves.iter();
        recent
            .filter(|started| now.since(**started) < MOVE_RATE_WINDOW)
            .count()
    }

    /// Returns the pools that hosts, moves, lent hosts or open waves refer to. A pool may occur more than once.
    pub fn pools_in_use(&self) -> impl Iterator<Item = &PoolName> {
        let hosts = self.hosts.values().flat_map(|host| {
            let destination = match &host.activity {
                HostActivity::Moving { to, .. } => Some(to),
                _ => None,
            };
            [Some(&host.pool), destination, host.lent_from.as_ref()]
        });
        let waves = self.waves.values().filter(|wave| wave.is_open());
        hosts.flatten().chain(waves.map(|wave| &wave.pool))
    }

    /// Applies a change at log time `now` under the configuration in force. An ignored change leaves the
    /// ledger as it was.
    ///
    /// # Errors
    /// The reason why the change is ignored.
    pub fn apply(
        &mut self,
        now: LogTime,
        config: &FleetConfig,
        record: &MembershipRecord,
    ) -> Result<(), Rejection> {
        use MembershipRecord as Record;
        match record {
            Record::HostAdd { .. } => self.add(config, record),
            Record::HostRemove { host, seen } => self.remove(host, *seen),
            Record::HostDown { host, seen } => self.set_host_down(now, host, *seen),
            Record::HostUp {
                host,
                incarnation,
                seen,
            } => self.set_host_up(now, host, *seen, *incarnation),
            Record::MoveStart { .. } => self.start_move(now, config, record),
            Record::MoveFinish { host, seen } => self.finish_move(config, host, *seen),
            Record::MoveCancel { host, seen } => self.cancel_move(host, *seen),
            Record::DrainStart {
                host,
                list_time,
                seen,
            } => self.start_drain(now, config, host, *seen, *list_time),
            Record::DrainEnd { host, seen } => self.end_drain(host, *seen),
            Record::StopStart {
                host,
                list_time,
                seen,
                wave,
            } => self.start_stop(now, config, host, *seen, *list_time, wave.as_ref()),
            Record::StopDrained { host, seen } => self.set_stop_drained(now, host, *seen),
            Record::WaveStart {
                pool,
                reboot_limit,
                wave,
            } => self.start_wave(now, config, wave, pool, *reboot_limit),
            Record::WavePause { seen, wave } => {
                self.set_status(wave, *seen, &[WaveStatus::Running], WaveStatus::Paused)
            }
            Record::WaveResume { seen, wave } => {
                self.set_status(wave, *seen, &[WaveStatus::Paused], WaveStatus::Running)
            }
            Record::WaveCancel { seen, wave } => self.cancel_wave(wave, *seen),
            Record::WaveFinish { seen, wave } => self.finish_wave(wave, *seen),
        }
    }

    fn add(&mut self, config: &FleetConfig, record: &MembershipRecord) -> Result<(), Rejection> {
        let MembershipRecord::HostAdd {
            data_centre,
            host: name,
            incarnation,
            pool,
            rack,
        } = record
        else {
            return Err(Rejection::WrongState);
        };
        if config.pool(pool).is_none() {
            return Err(Rejection::UnknownPool);
        }
        if self.hosts.contains(name) {
            return Err(Rejection::HostExists);
        }
        let version = HostVersion {
            change: self.next_change(),
            incarnation: *incarnation,
        };
        let host = HostState {
            activity: HostActivity::Serving,
            data_centre: data_centre.clone(),
            down: None,
            lent_from: None,
            maintained: LogTime(0),
            pool: pool.clone(),
            rack: rack.clone(),
            version,
        };
        self.counts.add(&host);
        self.hosts.insert(name.clone(), host);
        Ok(())
    }

    fn remove(&mut self, name: &HostName, seen: HostVersion) -> Result<(), Rejection> {
        // An available host may have requests in flight, and its loss is not checked against the budget.
        if self.host(name, seen)?.is_available() {
            return Err(Rejection::HostAvailable);
        }
        self.next_change();
        // The counts include only available hosts, so they do not change.
        self.hosts.remove(name);
        // A new host under the same name has not been maintained.
        for (_, wave) in self.waves.iter_mut() {
            wave.done.remove(name);
        }
        Ok(())
    }

    fn set_host_down(
        &mut self,
        now: LogTime,
        name: &HostName,
        seen: HostVersion,
    ) -> Result<(), Rejection> {
        let host = self.host(name, seen)?;
        // The host list shows a rebooting host as gone, which is not a failure before the reboot limit.
        let is_rebooting = host
            .stop()
            .is_some_and(|stop| stop.drained.is_some() && !stop.is_overdue(now));
        if host.down.is_some() || is_rebooting {
            return Err(Rejection::WrongState);
        }
        self.update_host(name, |host| host.down = Some(now));
        Ok(())
    }

    fn set_host_up(
        &mut self,
        now: LogTime,
        name: &HostName,
        seen: HostVersion,
        incarnation: Incarnation,
    ) -> Result<(), Rejection> {
        let host = self.host(name, seen)?;
        if incarnation < host.version.incarnation {
            return Err(Rejection::StaleVersion);
        }
        if incarnation > host.version.incarnation {
            self.replace_incarnation(now, name, incarnation);
            return Ok(());
        }
        // A drained host is going to reboot, so its old incarnation cannot end the stop.
        let awaits_reboot = host.stop().is_some_and(|stop| stop.drained.is_some());
        if host.down.is_none() || awaits_reboot {
            return Err(Rejection::WrongState);
        }
        self.update_host(name, |host| host.down = None);
        Ok(())
    }

    /// Replaces the incarnation of a host, which ends a planned stop.
    fn replace_incarnation(&mut self, now: LogTime, name: &HostName, incarnation: Incarnation) {
        let stop = self.hosts.get(name).and_then(|host| host.stop().cloned());
        self.update_host(name, |host| {
            host.down = None;
            host.version.incarnation = incarnation;
        });
        let Some(stop) = stop else {
            return;
        };
        // A host that restarts while it still drains has failed; its maintenance has not started.
        let maintained = stop.drained.is_some();
        self.update_host(name, |host| {
            host.activity = HostActivity::Serving;
            if maintained {
                host.maintained = now;
            }
        });
        let wave = stop.wave.and_then(|wave| self.waves.get_mut(&wave));
        if let Some(wave) = wave.filter(|wave| maintained && wave.is_open()) {
            wave.done.insert(name.clone(), ());
        }
    }

    fn start_move(
        &mut self,
        now: LogTime,
        config: &FleetConfig,
        record: &MembershipRecord,
    ) -> Result<(), Rejection> {
        let MembershipRecord::MoveStart {
            host: name,
            lend,
            list_time,
            seen,
            to,
        } = record
        else {
            return Err(Rejection::WrongState);
        };
        let host = self.host(name, *seen)?;
        if config.pool(to).is_none() {
            return Err(Rejection::UnknownPool);
        }
        if host.pool == *to {
            return Err(Rejection::SamePool);
        }
        self.check_removal(now, config, host, *list_time)?;
        self.update_host(name, |host| {
            host.activity = HostActivity::Moving {
                lend: *lend,
                to: to.clone(),
            };
        });
        self.moves
            .retain(|started| now.since(*started) < MOVE_RATE_WINDOW);
        self.moves.push(now);
        Ok(())
    }

    fn finish_move(
        &mut self,
        config: &FleetConfig,
        name: &HostName,
        seen: HostVersion,
    ) -> Result<(), Rejection> {
        let HostActivity::Moving { lend, to } = self.host(name, seen)?.activity.clone() else {
            return Err(Rejection::WrongState);
        };
        if config.pool(&to).is_none() {
            return Err(Rejection::UnknownPool);
        }
        self.update_host(name, |host| {
            let from = std::mem::replace(&mut host.pool, to);
            host.activity = HostActivity::Serving;
            host.lent_from = match host.lent_from.take() {
                _ if !lend => None,
                Some(lender) if lender == host.pool => None,
                Some(lender) => Some(lender),
                None => Some(from),
            };
        });
        Ok(())
    }

    fn cancel_move(&mut self, name: &HostName, seen: HostVersion) -> Result<(), Rejection> {
        if !matches!(self.host(name, seen)?.activity, HostActivity::Moving { .. }) {
            return Err(Rejection::WrongState);
        }
        self.update_host(name, |host| host.activity = HostActivity::Serving);
        Ok(())
    }

    fn start_drain(
        &mut self,
        now: LogTime,
        config: &FleetConfig,
        name: &HostName,
        seen: HostVersion,
        list_time: LogTime,
    ) -> Result<(), Rejection> {
        let host = self.host(name, seen)?;
        // A host that is down is not available, so draining it uses no budget.
        if host.down.is_some() && host.activity == HostActivity::Serving {
            check_host_list_age(now, list_time)?;
        } else {
            self.check_removal(now, config, host, list_time)?;
        }
        self.update_host(name, |host| host.activity = HostActivity::Draining);
        Ok(())
    }

    fn end_drain(&mut self, name: &HostName, seen: HostVersion) -> Result<(), Rejection> {
        if self.host(name, seen)?.activity != HostActivity::Draining {
            return Err(Rejection::WrongState);
        }
        self.update_host(name, |host| host.activity = HostActivity::Serving);
        Ok(())
    }

    fn start_stop(
        &mut self,
        now: LogTime,
        config: &FleetConfig,
        name: &HostName,
        seen: HostVersion,
        list_time: LogTime,
        wave: Option<&SeenWave>,
    ) -> Result<(), Rejection> {
        let host = self.host(name, seen)?;
        let reboot_limit = match wave {
            None => DEFAULT_REBOOT_LIMIT,
            Some(wave) => self.check_wave_step(name, host, wave)?.reboot_limit,
        };
        self.check_removal(now, config, host, list_time)?;
        let stop = PlannedStop {
            drained: None,
            reboot_limit,
            started: now,
            wave: wave.map(|wave| wave.wave.clone()),
        };
        self.update_host(name, |host| host.activity = HostActivity::Stopping(stop));
        Ok(())
    }

    /// Returns the wave that is to stop a host, if the wave may do so.
    fn check_wave_step(
        &self,
        name: &HostName,
        host: &HostState,
        wave: &SeenWave,
    ) -> Result<&WaveState, Rejection> {
        let state = self.wave(&wave.wave, wave.seen)?;
        let is_pending = state.pool == host.pool && !state.done.contains(name);
        if state.status == WaveStatus::Running && is_pending {
            return Ok(state);
        }
        Err(Rejection::WrongState)
    }

    /// Checks whether a host is available and the budget of its pool allows its removal.
    fn check_removal(
        &self,
        now: LogTime,
        config: &FleetConfig,
        host: &HostState,
        list_time: LogTime,
    ) -> Result<(), Rejection> {
        if !host.is_available() {
            return Err(Rejection::WrongState);
        }
        check_host_list_age(now, list_time)?;
        let pool = config.pool(&host.pool).ok_or(Rejection::UnknownPool)?;
        self.budget(pool).try_remove(host)
    }

    fn set_stop_drained(
        &mut self,
        now: LogTime,
        name: &HostName,
        seen: HostVersion,
    ) -> Result<(), Rejection> {
        match self.host(name, seen)?.stop() {
            Some(stop) if stop.drained.is_none() => {}
            _ => return Err(Rejection::WrongState),
        }
        self.update_host(name, |host| {
            if let HostActivity::Stopping(stop) = &mut host.activity {
                stop.drained = Some(now);
            }
        });
        Ok(())
    }

    fn start_wave(
        &mut self,
        now: LogTime,
        config: &FleetConfig,
        name: &WaveName,
        pool: &PoolName,
        reboot_limit: Millis,
    ) -> Result<(), Rejection> {
        if config.pool(pool).is_none() {
            return Err(Rejection::UnknownPool);
        }
        if self.waves.contains(name) {
            return Err(Rejection::WaveExists);
        }
        let wave = WaveState {
            done: SortedMap::default(),
            pool: pool.clone(),
            reboot_limit,
            started: now,
            status: WaveStatus::Running,
            version: WaveVersion(self.next_change()),
        };
        self.waves.insert(name.clone(), wave);
        Ok(())
    }

    fn cancel_wave(&mut self, name: &WaveName, seen: WaveVersion) -> Result<(), Rejection> {
        let open = [WaveStatus::Running, WaveStatus::Paused];
        self.set_status(name, seen, &open, WaveStatus::Cancelled)?;
        let draining = self.hosts.iter().filter(|(_, host)| {
            host.is_stopped_by(name) && host.stop().is_some_and(|stop| stop.drained.is_none())
        });
        let draining: Vec<HostName> = draining.map(|(host, _)| host.clone()).collect();
        for host in draining {
            self.update_host(&host, |host| host.activity = HostActivity::Serving);
        }
        self.forget_closed_waves();
        Ok(())
    }

    fn finish_wave(&mut self, name: &WaveName, seen: WaveVersion) -> Result<(), Rejection> {
        let wave = self.wave(name, seen)?;
        if self.pending(wave).next().is_some() {
            return Err(Rejection::WaveUnfinished);
        }
        self.set_status(name, seen, &[WaveStatus::Running], WaveStatus::Finished)?;
        self.forget_closed_waves();
        Ok(())
    }

    fn set_status(
        &mut self,
        name: &WaveName,
        seen: WaveVersion,
        from: &[WaveStatus],
        to: WaveStatus,
    ) -> Result<(), Rejection> {
        if !from.contains(&self.wave(name, seen)?.status) {
            return Err(Rejection::WrongState);
        }
        let version = WaveVersion(self.next_change());
        if let Some(wave) = self.waves.get_mut(name) {
            wave.status = to;
            wave.version = version;
        }
        Ok(())
    }

    /// Removes the closed waves beyond [`MAX_CLOSED_WAVES`], the earliest closed ones first. A wave with stops in
    /// progress stays, so that they cannot be credited to a new wave of the same name.
    fn forget_closed_waves(&mut self) {
        let closed = self.waves.values().filter(|wave| !wave.is_open());
        let mut versions: Vec<WaveVersion> = closed.map(|wave| wave.version).collect();
        versions.sort_unstable();
        let surplus = versions.len().saturating_sub(MAX_CLOSED_WAVES);
        if surplus > 0 {
            let oldest = versions[surplus];
            let hosts = &self.hosts;
            self.waves.retain(|name, wave| {
                let is_kept = wave.is_open() || wave.version >= oldest;
                is_kept || hosts.values().any(|host| host.is_stopped_by(name))
            });
        }
    }

    fn host(&self, name: &HostName, seen: HostVersion) -> Result<&HostState, Rejection> {
        let host = self.hosts.get(name).ok_or(Rejection::UnknownHost)?;
        if host.version != seen {
            return Err(Rejection::StaleVersion);
        }
        Ok(host)
    }

    fn wave(&self, name: &WaveName, seen: WaveVersion) -> Result<&WaveState, Rejection> {
        let wave = self.waves.get(name).ok_or(Rejection::UnknownWave)?;
        if wave.version != seen {
            return Err(Rejection::StaleVersion);
        }
        Ok(wave)
    }

    fn update_host(&mut self, name: &HostName, update: impl FnOnce(&mut HostState)) {
        let change = self.next_change();
        if let Some(host) = self.hosts.get_mut(name) {
            self.counts.remove(host);
            update(host);
            host.version.change = change;
            self.counts.add(host);
        }
    }

    fn next_change(&mut self) -> u64 {
        self.changes += 1;
        self.changes
    }
}
