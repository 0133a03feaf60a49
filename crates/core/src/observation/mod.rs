//! Detects from the host list which hosts of the log have come up, gone down or drained.

mod host_observer;

pub use host_observer::{
    HostObserver, IDLE_TIMEOUT, ListedHost, MISSING_TIMEOUT, ObservationInput,
};
