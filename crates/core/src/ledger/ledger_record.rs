use {
    crate::{
        claims::ClaimRecord, config::ConfigRecord, ids::RecordId, jobs::JobRecord,
        membership::MembershipRecord,
    },
    serde::{Deserialize, Serialize},
};

/// Author of a record: an operator or an entry host.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Author(pub String);

/// One change in the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerRecord {
    /// Operator or entry host that made the record.
    pub author: Author,
    /// The change.
    pub body: RecordBody,
    /// Identity of the record, which stays the same when the record is sent again.
    pub id: RecordId,
}

/// The change that a record asks for.
///
/// The encoding numbers the variants, so new ones are added at the end only.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RecordBody {
    /// A change of the claims.
    Claim(ClaimRecord),
    /// A change of the configuration.
    Config(ConfigRecord),
    /// A change of hosts, moves, stops or waves.
    Membership(MembershipRecord),
    /// A change of the durable jobs.
    Job(JobRecord),
}
