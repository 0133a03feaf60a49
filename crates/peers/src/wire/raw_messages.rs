use bytes::Bytes;

/// A frame as it is encoded on the wire.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RawFrame {
    /// The message in the frame.
    #[prost(oneof = "raw_frame::Body", tags = "1, 2, 3, 4, 5, 6")]
    pub body: Option<raw_frame::Body>,
}

/// The kinds of messages.
pub mod raw_frame {
    /// The message in a frame.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// First message of a connection.
        #[prost(message, tag = "1")]
        Hello(super::RawHello),
        /// Changes since the previous digest.
        #[prost(message, tag = "2")]
        Digest(super::RawDigest),
        /// Requests log entries.
        #[prost(message, tag = "3")]
        FetchEntries(super::RawFetchEntries),
        /// Response to `FetchEntries`.
        #[prost(message, tag = "4")]
        Entries(super::RawEntries),
        /// Requests the state.
        #[prost(message, tag = "5")]
        FetchState(super::RawFetchState),
        /// One chunk of the response to `FetchState`.
        #[prost(message, tag = "6")]
        State(super::RawState),
    }
}

/// Names both ends of a connection, so that digests need not repeat them.
#[derive(Clone, Eq, Hash, PartialEq, prost::Message)]
pub struct RawHello {
    /// Version of the protocol.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Name of the sender.
    #[prost(string, tag = "2")]
    pub entry: String,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Name of the entry host that the connection is meant for.
    #[prost(string, tag = "4")]
    pub to: String,
    /// Sequence number of the first digest on this connection.
    #[prost(uint64, tag = "5")]
    pub first_sequence: u64,
}

/// A leaving notice.
#[derive(Clone, Eq, Hash, PartialEq, prost::Message)]
pub struct RawNotice {
    /// Name of the leaving host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Incarnation of the leaving host.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Offset of the first ledger entry that the observer had not applied.
    #[prost(uint64, tag = "3")]
    pub basis: u64,
}

/// Changes since the previous digest on the same connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RawDigest {
    /// Number of the digest on this connection, counted from 0.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Offset of the first ledger entry that the sender has not applied; absent if unchanged.
    #[prost(uint64, optional, tag = "2")]
    pub next: Option<u64>,
    /// Identity of the log; absent if unchanged.
    #[prost(fixed64, optional, tag = "3")]
    pub log: Option<u64>,
    /// Names of services that are assigned the next free service numbers of this connection.
    #[prost(string, repeated, tag = "4")]
    pub services: Vec<String>,
    /// Pairs of service number and demand; a demand of 0 removes the service.
    #[prost(uint32, repeated, tag = "5")]
    pub demand: Vec<u32>,
    /// New or changed notices.
    #[prost(message, repeated, tag = "6")]
    pub leaving: Vec<RawNotice>,
    /// Hosts whose notices have been removed.
    #[prost(string, repeated, tag = "7")]
    pub cleared: Vec<String>,
    /// Whether the sender performs no control duties because it is shutting down or cannot read the log; absent
    /// if unchanged.
    #[prost(bool, optional, tag = "8")]
    pub draining: Option<bool>,
    /// Hosts that accept no new work and have become busy with requests of the sender.
    #[prost(string, repeated, tag = "9")]
    pub busy: Vec<String>,
    /// Hosts that are no longer busy.
    #[prost(string, repeated, tag = "10")]
    pub idle: Vec<String>,
}

/// Requests log entries starting at an offset.
#[derive(Clone, Copy, Eq, Hash, PartialEq, prost::Message)]
pub struct RawFetchEntries {
    /// Identity of the log.
    #[prost(fixed64, tag = "1")]
    pub log: u64,
    /// Offset of the first requested entry.
    #[prost(uint64, tag = "2")]
    pub from: u64,
}

/// A log entry.
#[derive(Clone, Eq, Hash, PartialEq, prost::Message)]
pub struct RawEntry {
    /// Timestamp of the log in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub time: u64,
    /// Encoded entry.
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: Bytes,
}

/// Log entries with consecutive offsets, or the reason for their absence.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RawEntries {
    /// Identity of the log that the sender follows.
    #[prost(fixed64, tag = "1")]
    pub log: u64,
    /// Offset of the first entry or, when `gone` is set, the first offset that the sender still has.
    #[prost(uint64, tag = "2")]
    pub first: u64,
    /// Entries in the order of their offsets.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<RawEntry>,
    /// The sender no longer has the requested offset.
    #[prost(bool, tag = "4")]
    pub gone: bool,
    /// The sender follows no log or a different one.
    #[prost(bool, tag = "5")]
    pub other_log: bool,
}

/// Requests the state.
#[derive(Clone, Copy, Eq, Hash, PartialEq, prost::Message)]
pub struct RawFetchState {}

/// One chunk of a state.
#[derive(Clone, Eq, Hash, PartialEq, prost::Message)]
pub struct RawState {
    /// Identity of the log.
    #[prost(fixed64, tag = "1")]
    pub log: u64,
    /// Offset of the first ledger entry that the state does not contain.
    #[prost(uint64, tag = "2")]
    pub next: u64,
    /// Size of the complete state in bytes.
    #[prost(uint64, tag = "3")]
    pub total: u64,
    /// Byte offset of this chunk in the state.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Bytes of this chunk.
    #[prost(bytes = "bytes", tag = "5")]
    pub bytes: Bytes,
    /// The sender has no state.
    #[prost(bool, tag = "6")]
    pub none: bool,
}
