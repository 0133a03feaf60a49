//! Checked names, identifiers and units of time.

mod entry_id;
mod names;
mod record_id;
mod request_key;
mod time;

pub use {
    entry_id::{EntryId, Incarnation},
    names::{
        DataCentre, EntryName, HostName, NameError, OrganisationName, PoolName, RackName,
        ServiceName, WaveName,
    },
    record_id::RecordId,
    request_key::{KeyError, RequestKey},
    time::{LocalTime, LogTime, Millis},
};
