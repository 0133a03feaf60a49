use {
    super::{FieldMistake, OperatorError, OperatorErrorKind},
    std::collections::HashMap,
    tonic::{Code, Status},
    tonic_types::{ErrorDetails, FieldViolation, StatusExt},
};

/// Domain of the reasons in the error details.
const DOMAIN: &str = "operators.goldcreststall";

impl From<OperatorError> for Status {
    fn from(error: OperatorError) -> Self {
        let mapping = error.kind.mapping();
        let mut details = ErrorDetails::new();
        details.set_error_info(mapping.reason, DOMAIN, HashMap::new());
        if !error.mistakes.is_empty() {
            let mistakes = error.mistakes.into_iter();
            let violations: Vec<FieldViolation> = mistakes
                .map(|mistake| FieldViolation::new(mistake.field, mistake.description))
                .collect();
            details.set_bad_request(violations);
        }
        Status::with_error_details(mapping.code, error.message, details)
    }
}

impl From<Status> for OperatorError {
    fn from(status: Status) -> Self {
        let details = status.get_error_details();
        let kind = details
            .error_info()
            .filter(|info| info.domain == DOMAIN)
            .and_then(|info| kind_of_reason(&info.reason));
        let violations = details
            .bad_request()
            .map(|request| request.field_violations.as_slice())
            .unwrap_or_default();
        Self {
            kind: kind.unwrap_or_else(|| kind_of_code(status.code())),
            message: status.message().to_owned(),
            mistakes: violations.iter().map(field_mistake).collect(),
        }
    }
}

fn field_mistake(violation: &FieldViolation) -> FieldMistake {
    FieldMistake {
        description: violation.description.clone(),
        field: violation.field.clone(),
    }
}

fn kind_of_reason(reason: &str) -> Option<OperatorErrorKind> {
    let mut kinds = OperatorErrorKind::ALL.into_iter();
    kinds.find(|kind| kind.mapping().reason == reason)
}

/// Returns the kind of a status that did not come from an entry host. Every code except `Unimplemented` leaves open
/// whether the call was handled.
fn kind_of_code(code: Code) -> OperatorErrorKind {
    match code {
        Code::Unimplemented => OperatorErrorKind::Incompatible,
        _ => OperatorErrorKind::AnswerLost,
    }
}
