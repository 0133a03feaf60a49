use {
    super::{OperatorChange, OperatorName},
    goldcreststall_core::ids::RecordId,
};

/// A change with its author and identity.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeOrder {
    /// The change.
    pub change: OperatorChange,
    /// Who asks for it.
    pub operator: OperatorName,
    /// Id of the log record. An order that is repeated keeps it.
    pub request: RecordId,
}
