use {
    super::PeerError,
    crate::wire::{EncodedState, EntriesResponse, FetchEntries, Frame, StateAssembler, WireError},
    tokio::{
        sync::oneshot,
        time::{Duration, Instant},
    },
};

/// Maximum time without a part of the response. The peer may first have to encode a state of tens of MB.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A request to a peer with the channel for its response.
#[derive(Debug)]
pub(super) enum PeerRequest {
    Entries {
        fetch: FetchEntries,
        reply: oneshot::Sender<Result<EntriesResponse, PeerError>>,
    },
    State {
        reply: oneshot::Sender<Result<EncodedState, PeerError>>,
    },
}

impl PeerRequest {
    pub(super) fn frame(&self) -> Frame {
        match self {
            Self::Entries { fetch, .. } => Frame::FetchEntries(*fetch),
            Self::State { .. } => Frame::FetchState,
        }
    }
}

/// A request that waits for its response. Dropping it reports to the caller that the peer is not reachable.
#[derive(Debug)]
pub(super) struct PendingRequest {
    assembler: StateAssembler,
    deadline: Instant,
    request: PeerRequest,
}

impl PendingRequest {
    pub(super) fn new(request: PeerRequest) -> Self {
        Self {
            assembler: StateAssembler::default(),
            deadline: Instant::now() + RESPONSE_TIMEOUT,
            request,
        }
    }

    pub(super) fn is_overdue(&self) -> bool {
        Instant::now() >= self.deadline
    }

    /// Handles a frame of the response and returns the request if more frames are expected.
    pub(super) fn handle_frame(mut self, frame: Frame) -> Result<Option<Self>, PeerError> {
        match (self.request, frame) {
            (PeerRequest::Entries { fetch, reply }, Frame::Entries(response)) => {
                check_entries(fetch, &response)?;
                let _ = reply.send(Ok(response));
                Ok(None)
            }
            (PeerRequest::State { reply }, Frame::State(None)) => {
                let _ = reply.send(Err(PeerError::NoState));
                Ok(None)
            }
            (PeerRequest::State { reply }, Frame::State(Some(chunk))) => {
                if let Some(encoded) = self.assembler.add(chunk)? {
                    let _ = reply.send(Ok(encoded));
                    return Ok(None);
                }
                self.request = PeerRequest::State { reply };
                self.deadline = Instant::now() + RESPONSE_TIMEOUT;
                Ok(Some(self))
            }
            (_, frame) => Err(WireError::Unexpected(frame.name()).into()),
        }
    }
}

/// Checks that a response starts at the requested offset, so that no entry is skipped.
fn check_entries(fetch: FetchEntries, response: &EntriesResponse) -> Result<(), WireError> {
    let EntriesResponse::Entries { entries, log } = response else {
        return Ok(());
    };
    let starts_at_offset = entries
        .first()
        .is_none_or(|entry| entry.offset == fetch.from);
    if *log == fetch.log && starts_at_offset {
        return Ok(());
    }
    let problem = "the entries do not start at the requested offset or belong to another log";
    Err(WireError::Malformed(problem.to_owned()))
}
