use {
    crate::{clock::wall_time, peering::PeerState},
    goldcreststall_core::{
        duties::Duty,
        ids::{DataCentre, EntryId, LogTime, Millis},
        ledger::{FleetState, LogOffset},
    },
    goldcreststall_operators::{DutyReport, PeerReport, RejectionReport, StatusReport},
    goldcreststall_peers::wire::Digest,
    goldcreststall_platform::hosts::HostListing,
};

/// Reports the status of this entry host.
pub(super) fn status(
    state: &FleetState,
    listing: &HostListing,
    peer_state: &PeerState,
    entry: &EntryId,
    data_centre: DataCentre,
    ready: bool,
) -> StatusReport {
    let digests = peer_state.digests();
    let peers = digests.iter();
    let rejections = state.rejected().iter();
    StatusReport {
        config: state.config.version(),
        draining: peer_state.is_draining(),
        duties: duties(state, peer_state),
        entry: entry.name.clone(),
        host_list_age: (listing.observed > LogTime(0)).then(|| wall_time().since(listing.observed)),
        incarnation: entry.incarnation,
        lag_entries: lag(state, &digests),
        log: state.log(),
        log_silent: peer_state.log_silence().unwrap_or(Millis(u64::MAX)),
        next_offset: state.next(),
        peers: peers
            .filter_map(|digest| peer_report(peer_state, digest))
            .collect(),
        data_centre,
        ready,
        rejections: rejections
            .map(|(rejection, count)| RejectionReport {
                count: *count,
                reason: rejection.to_string(),
            })
            .collect(),
    }
}

/// Returns how many log entries this entry host is behind the most advanced live peer.
fn lag(state: &FleetState, digests: &[Digest]) -> u64 {
    let positions = digests
        .iter()
        .filter_map(|digest| digest.content.position());
    let same_log = positions.filter(|position| position.log == state.log());
    let furthest = same_log.map(|position| position.next.0).max();
    furthest.unwrap_or_default().saturating_sub(state.next().0)
}

/// Reports a live peer. Its data centre is unknown, because digests do not contain it.
fn peer_report(peer_state: &PeerState, digest: &Digest) -> Option<PeerReport> {
    let position = digest.content.position();
    Some(PeerReport {
        data_centre: DataCentre::try_from("unknown").ok()?,
        draining: digest.content.draining(),
        incarnation: digest.from.incarnation,
        name: digest.from.name.clone(),
        next_offset: position.map_or(LogOffset(0), |position| position.next),
        silent: peer_state.silence(&digest.from.name)?,
    })
}

fn duties(state: &FleetState, peer_state: &PeerState) -> Vec<DutyReport> {
    let pools = state.config.fleet().pools.iter();
    let pool_duties = pools.flat_map(|pool| {
        [
            Duty::Placement(pool.name.clone()),
            Duty::Waves(pool.name.clone()),
        ]
    });
    let fleet_duties = [Duty::HostObservation, Duty::Moves, Duty::Snapshots];
    let mut duties: Vec<DutyReport> = fleet_duties
        .into_iter()
        .chain(pool_duties)
        .filter_map(|duty| {
            Some(DutyReport {
                holder: peer_state.holder(&duty)?,
                name: duty.to_string(),
            })
        })
        .collect();
    duties.sort_by(|left, right| left.name.cmp(&right.name));
    duties
}
