//! What the list of hosts says of the hosts in the log: who came up, went down, or has drained.

mod host_observer;

pub use host_observer::{HostObserver, IDLE_LIMIT, ListedHost, MISSING_LIMIT, ObservationInput};
