use {
    super::{OperatorChange, OperatorName},
    goldcreststall_core::ids::RecordId,
};

/// A requested change with its author and id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeRequest {
    /// The requested change.
    pub change: OperatorChange,
    /// The operator who requests the change.
    pub operator: OperatorName,
    /// Id of the log record. A repeated request has the same id.
    pub request_id: RecordId,
}
