use {
    super::{PeerState, StateTransfer},
    crate::{
        clock::BootClock,
        control::{ApplyEntries, ControlActor, GetPosition, LoadState, StateOrigin, UpdateHosts},
    },
    goldcreststall_core::ids::{EntryName, Millis},
    goldcreststall_peers::{
        decisions::{CatchUp, CatchUpStep, PeerOffer, StartupSource, StartupStep},
        mesh::PeerMesh,
        wire::{EntriesResponse, FetchEntries, LogPosition, StoredLogEntry},
    },
    goldcreststall_platform::log::RawEntry,
    kameo::actor::ActorRef,
    slog::{Logger, info, warn},
    std::{sync::Arc, time::Duration},
};

/// Time between two checks of whether something has to be fetched.
const STEP_INTERVAL: Millis = Millis(200);

/// Fetches log entries and states from peers while the log service does not deliver them.
pub(crate) struct CatchUpTask {
    actor: ActorRef<ControlActor>,
    peer_state: Arc<PeerState>,
    catch_up: CatchUp,
    clock: BootClock,
    logger: Logger,
    mesh: Arc<PeerMesh>,
    random: Arc<dyn Fn() -> u64 + Send + Sync>,
    startup: StartupSource,
}

impl CatchUpTask {
    pub(crate) fn new(
        actor: ActorRef<ControlActor>,
        peer_state: Arc<PeerState>,
        mesh: Arc<PeerMesh>,
        peer_count: usize,
        random: Arc<dyn Fn() -> u64 + Send + Sync>,
        logger: Logger,
    ) -> Self {
        let clock = BootClock;
        Self {
            actor,
            peer_state,
            catch_up: CatchUp::default(),
            clock,
            logger,
            mesh,
            random,
            startup: StartupSource::new(clock.now(), peer_count),
        }
    }

    /// Runs until the actor ends.
    pub(crate) async fn run(mut self) {
        while let Ok(position) = self.actor.ask(GetPosition).await {
            if position.has_state {
                self.follow(position.log_position()).await;
            } else {
                self.load_initial_state().await;
            }
            tokio::time::sleep(Duration::from_millis(STEP_INTERVAL.0)).await;
        }
    }

    /// Without any state: chooses a peer and fetches its state.
    async fn load_initial_state(&mut self) {
        for (peer, position) in self.peer_state.positions() {
            self.startup.offer(peer, PeerOffer::State(position));
        }
        if let StartupStep::Fetch { peer, position } = self.startup.next_step(self.clock.now()) {
            info!(self.logger, "peer: the state of a peer is fetched"; "peer" => %peer, "offset" => position.next.0);
            match self.fetch_state(&peer).await {
                Some(transfer) => self.handle_state(&peer, transfer).await,
                None => self.startup.withdraw(&peer),
            }
        }
    }

    async fn handle_state(&mut self, peer: &EntryName, transfer: StateTransfer) {
        let position = LogPosition {
            log: transfer.state.log(),
            next: transfer.state.next(),
        };
        match self.startup.accept_state(peer, position) {
            Ok(()) => self.load_state(transfer).await,
            Err(refusal) => {
                warn!(self.logger, "peer: a state is not taken"; "peer" => %peer, "reason" => %refusal);
            }
        }
    }

    /// With a state: fetches missing entries or a newer state from a peer when reading the log makes no progress.
    async fn follow(&mut self, local: LogPosition) {
        let peers = self.peer_state.positions();
        let random = (self.random)();
        match self.catch_up.plan(self.clock.now(), local, &peers, random) {
            CatchUpStep::Wait => {}
            CatchUpStep::Fetch { fetch, peer } => self.fetch(fetch, &peer).await,
            CatchUpStep::FetchState { peer } => {
                if let Some(transfer) = self.fetch_state(&peer).await {
                    self.load_state(transfer).await;
                }
            }
        }
    }

    async fn fetch(&mut self, fetch: FetchEntries, peer: &EntryName) {
        let response = self.mesh.fetch_entries(peer, fetch).await.ok();
        self.catch_up
            .handle_response(self.clock.now(), peer, response.as_ref());
        let Some(EntriesResponse::Entries { entries, log }) = response else {
            return;
        };
        info!(self.logger, "peer: entries were fetched"; "peer" => %peer, "entries" => entries.len());
        let entries = entries.into_iter().map(raw_entry).collect();
        if let Ok(position) = self.actor.ask(ApplyEntries { entries, log }).await {
            self.catch_up.handle_fetched(position.log_position());
        }
    }

    async fn fetch_state(&self, peer: &EntryName) -> Option<StateTransfer> {
        let transfer = self.mesh.fetch_state(peer).await;
        let transfer = transfer.map_err(|error| error.to_string());
        let transfer = transfer.and_then(|transfer| StateTransfer::try_from(&*transfer.bytes));
        transfer
            .inspect_err(|reason| {
                warn!(self.logger, "peer: no state was fetched"; "peer" => %peer, "reason" => reason);
            })
            .ok()
    }

    async fn load_state(&self, transfer: StateTransfer) {
        let message = LoadState {
            origin: StateOrigin::Peer,
            state: Box::new(transfer.state),
        };
        // Fails only at shutdown, when the actor has ended.
        let _ = self.actor.ask(message).await;
        let listing = transfer.hosts;
        let _ = self.actor.tell(UpdateHosts { listing }).await;
    }
}

fn raw_entry(entry: StoredLogEntry) -> RawEntry {
    RawEntry {
        offset: entry.offset,
        payload: entry.bytes.to_vec(),
        time: entry.time,
    }
}
