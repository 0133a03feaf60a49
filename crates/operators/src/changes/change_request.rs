use {
    super::{OperatorChange, OperatorName},
    goldcreststall_core::ids::RecordId,
};

/// A change with its author and identity.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeRequest {
    /// The change.
    pub change: OperatorChange,
    /// Who asks for it.
    pub operator: OperatorName,
    /// Id of the log record. A request that is repeated keeps it.
    pub request_id: RecordId,
}
