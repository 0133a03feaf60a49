use {
    goldcreststall_core::{
        ids::Millis,
        ledger::{FleetState, LogOffset, SnapshotAssembly, decode_chunk, decode_state},
    },
    goldcreststall_platform::log::{LogError, LogService, LogStream, RawEntry},
    slog::{Logger, warn},
    std::sync::Arc,
};

/// Number of entries that the reader goes back at a time.
const READ_BATCH_ENTRIES: u64 = 16;

/// Finds the latest complete snapshot by reading its stream backwards.
pub(super) struct SnapshotReader {
    log: Arc<dyn LogService>,
    logger: Logger,
}

impl SnapshotReader {
    pub(super) fn new(log: Arc<dyn LogService>, logger: Logger) -> Self {
        Self { log, logger }
    }

    /// Returns the state from the latest complete snapshot, if there is one.
    ///
    /// # Errors
    /// `LogError` when the stream cannot be read. Chunks that cannot be decoded are skipped.
    pub(super) async fn latest(&self) -> Result<Option<FleetState>, LogError> {
        let bounds = self.log.bounds(LogStream::Snapshots).await?;
        let mut assembly = SnapshotAssembly::default();
        let mut end = bounds.next;
        while end > bounds.first {
            let start = LogOffset(end.0.saturating_sub(READ_BATCH_ENTRIES).max(bounds.first.0));
            let entries = self.read_range(start, end).await?;
            for entry in entries.iter().rev() {
                if let Some(state) = self.add_chunk(&mut assembly, entry) {
                    return Ok(Some(state));
                }
            }
            end = start;
        }
        Ok(None)
    }

    async fn read_range(
        &self,
        start: LogOffset,
        end: LogOffset,
    ) -> Result<Vec<RawEntry>, LogError> {
        let mut entries = Vec::new();
        let mut from = start;
        while from < end {
            let read = self.log.read(LogStream::Snapshots, from, Millis(0)).await?;
            let Some(last) = read.last() else {
                break;
            };
            from = LogOffset(last.offset.0 + 1);
            entries.extend(read.into_iter().filter(|entry| entry.offset < end));
        }
        Ok(entries)
    }

    fn add_chunk(&self, assembly: &mut SnapshotAssembly, entry: &RawEntry) -> Option<FleetState> {
        let chunk = decode_chunk(&entry.payload).map_err(|error| error.to_string());
        let snapshot = chunk.map(|chunk| assembly.add(chunk));
        let state = snapshot.and_then(|snapshot| {
            let state = snapshot.map(|snapshot| decode_state(&snapshot.state));
            state.transpose().map_err(|error| error.to_string())
        });
        state.unwrap_or_else(|reason| {
            warn!(self.logger, "ledger: a snapshot chunk is skipped"; "offset" => entry.offset.0, "reason" => reason);
            None
        })
    }
}
