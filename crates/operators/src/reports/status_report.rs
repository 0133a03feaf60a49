use {
    crate::{OperatorError, generated::v1 as raw, wire::FieldValidator},
    goldcreststall_core::{
        config::ConfigVersion,
        ids::{DataCentre, EntryName, Incarnation, Millis},
        ledger::{LogIdentity, LogOffset},
    },
    serde::Serialize,
};

/// Another entry host as seen by the one that responds.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PeerReport {
    /// Data centre of the peer.
    pub data_centre: DataCentre,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Incarnation of the peer.
    pub incarnation: Incarnation,
    /// Name of the peer.
    pub name: EntryName,
    /// First log offset that the peer has not applied yet.
    pub next_offset: LogOffset,
    /// Time since the last digest of the peer arrived.
    #[serde(rename = "silent_ms")]
    pub silent: Millis,
}

/// A control duty and its holder.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct DutyReport {
    /// The entry host that performs the duty, as far as the responding one knows.
    pub holder: EntryName,
    /// Name of the duty, for example `placement/render`.
    pub name: String,
}

/// Number of log records that were ignored for the same reason.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RejectionReport {
    /// Number of records.
    pub count: u64,
    /// Why the records were ignored.
    pub reason: String,
}

/// State of the entry host that responds.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct StatusReport {
    /// The configuration version in force.
    pub config: ConfigVersion,
    /// Data centre of the entry host.
    pub data_centre: DataCentre,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Control duties in order of name.
    pub duties: Vec<DutyReport>,
    /// Name of the entry host.
    pub entry: EntryName,
    /// Age of the host list; `None` before the first one was read.
    #[serde(rename = "host_list_age_ms")]
    pub host_list_age: Option<Millis>,
    /// Incarnation of the entry host.
    pub incarnation: Incarnation,
    /// Number of entries that are known to be in the log and are not applied yet.
    pub lag_entries: u64,
    /// Identity of the log.
    pub log: LogIdentity,
    /// Time since the last successful read of the log.
    #[serde(rename = "log_silent_ms")]
    pub log_silent: Millis,
    /// First log offset that is not applied yet.
    pub next_offset: LogOffset,
    /// Other entry hosts in order of name.
    pub peers: Vec<PeerReport>,
    /// Whether it has a state and serves requests.
    pub ready: bool,
    /// Ignored log records by reason.
    pub rejections: Vec<RejectionReport>,
}

impl From<PeerReport> for raw::Peer {
    fn from(report: PeerReport) -> Self {
        Self {
            data_centre: report.data_centre.into(),
            draining: report.draining,
            incarnation: report.incarnation.0,
            name: report.name.into(),
            next_offset: report.next_offset.0,
            silent_ms: report.silent.0,
        }
    }
}

impl From<DutyReport> for raw::Duty {
    fn from(report: DutyReport) -> Self {
        Self {
            holder: report.holder.into(),
            name: report.name,
        }
    }
}

impl From<RejectionReport> for raw::RejectionCount {
    fn from(report: RejectionReport) -> Self {
        Self {
            count: report.count,
            reason: report.reason,
        }
    }
}

impl From<StatusReport> for raw::GetStatusReply {
    fn from(report: StatusReport) -> Self {
        let rejections = report.rejections.into_iter();
        Self {
            config_version: report.config.0,
            data_centre: report.data_centre.into(),
            draining: report.draining,
            duties: report.duties.into_iter().map(raw::Duty::from).collect(),
            entry: report.entry.into(),
            host_list_age_ms: report.host_list_age.map(|age| age.0),
            incarnation: report.incarnation.0,
            lag_entries: report.lag_entries,
            log_id: report.log.0,
            log_silent_ms: report.log_silent.0,
            next_offset: report.next_offset.0,
            peers: report.peers.into_iter().map(raw::Peer::from).collect(),
            ready: report.ready,
            rejections: rejections.map(raw::RejectionCount::from).collect(),
        }
    }
}

fn check_peer(validator: &mut FieldValidator, index: usize, raw: raw::Peer) -> Option<PeerReport> {
    let name = validator.name(&format!("peers[{index}].name"), &raw.name);
    let data_centre = validator.name(&format!("peers[{index}].data_centre"), &raw.data_centre);
    Some(PeerReport {
        data_centre: data_centre?,
        draining: raw.draining,
        incarnation: Incarnation(raw.incarnation),
        name: name?,
        next_offset: LogOffset(raw.next_offset),
        silent: Millis(raw.silent_ms),
    })
}

fn check_duty(validator: &mut FieldValidator, index: usize, raw: raw::Duty) -> Option<DutyReport> {
    let holder = validator.name(&format!("duties[{index}].holder"), &raw.holder);
    Some(DutyReport {
        holder: holder?,
        name: raw.name,
    })
}

fn rejection_report(raw: raw::RejectionCount) -> RejectionReport {
    RejectionReport {
        count: raw.count,
        reason: raw.reason,
    }
}

impl TryFrom<raw::GetStatusReply> for StatusReport {
    type Error = OperatorError;

    fn try_from(raw: raw::GetStatusReply) -> Result<Self, OperatorError> {
        let mut validator = FieldValidator::default();
        let entry = validator.name("entry", &raw.entry);
        let data_centre = validator.name("data_centre", &raw.data_centre);
        let peers = raw.peers.into_iter().enumerate();
        let peers = peers
            .filter_map(|(index, peer)| check_peer(&mut validator, index, peer))
            .collect();
        let duties = raw.duties.into_iter().enumerate();
        let duties = duties
            .filter_map(|(index, duty)| check_duty(&mut validator, index, duty))
            .collect();
        let rejections = raw.rejections.into_iter().map(rejection_report).collect();
        validator.finish_response(|| {
            Some(Self {
                config: ConfigVersion(raw.config_version),
                data_centre: data_centre?,
                draining: raw.draining,
                duties,
                entry: entry?,
                host_list_age: raw.host_list_age_ms.map(Millis),
                incarnation: Incarnation(raw.incarnation),
                lag_entries: raw.lag_entries,
                log: LogIdentity(raw.log_id),
                log_silent: Millis(raw.log_silent_ms),
                next_offset: LogOffset(raw.next_offset),
                peers,
                ready: raw.ready,
                rejections,
            })
        })
    }
}
