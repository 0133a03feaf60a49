/// Time left until the headers of the response, in milliseconds.
pub const DEADLINE: &str = "gcs-deadline-ms";
/// Whether the request may run more than once: `true` or `false` (the default).
pub const IDEMPOTENT: &str = "gcs-idempotent";
/// Request key of a non-idempotent request.
pub const KEY: &str = "gcs-request-key";
/// On a response: `done`, `not-run` or `unknown`.
pub const OUTCOME: &str = "gcs-outcome";
/// On a response: the error kind.
pub const REASON: &str = "gcs-reason";
/// Name of the requested service.
pub const SERVICE: &str = "gcs-service";
/// On a response: the target that served the request.
pub const TARGET: &str = "gcs-target";
/// Name of the organisation that sends the request.
pub const ORGANISATION: &str = "gcs-tenant";
/// Urgency of the request: `urgent`, `normal` (the default) or `overnight`.
pub const URGENCY: &str = "gcs-urgency";
