use {
    super::{DEADLINE, IDEMPOTENT, KEY, ORGANISATION, RequestError, SERVICE, URGENCY},
    crate::intake::ConnectionIntake,
    goldcreststall_core::{
        error::ErrorKind,
        ids::{Millis, OrganisationName, RequestKey, ServiceName},
        traffic::Urgency,
    },
    http::{HeaderMap, Method, Request, Version, header},
    hyper::body::Incoming,
    std::sync::Arc,
};

/// Deadline of a request without a deadline header.
pub const DEFAULT_DEADLINE: Millis = Millis(30_000);
/// Longest deadline that is accepted. It is below the age at which request keys are forgotten.
pub const MAX_DEADLINE: Millis = Millis(10 * 60 * 1000);

/// Headers that belong to one connection and are not forwarded.
const HOP_BY_HOP: [header::HeaderName; 8] = [
    header::CONNECTION,
    header::HOST,
    header::HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A checked request of a caller.
#[derive(Debug)]
pub struct CallerRequest {
    /// The body, still arriving.
    pub body: Incoming,
    /// Counts the bytes of the body that are held.
    pub connection: Arc<ConnectionIntake>,
    /// Time left until the headers of the response.
    pub deadline: Millis,
    /// Headers that are forwarded to the target.
    pub headers: HeaderMap,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The request key, if the caller gave one.
    pub key: Option<RequestKey>,
    /// HTTP method; forwarded unchanged.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Name of the requested service.
    pub service: ServiceName,
    /// The organisation that sends the request.
    pub organisation: OrganisationName,
    /// Urgency class of the request.
    pub urgency: Urgency,
}

impl TryFrom<(Request<Incoming>, Arc<ConnectionIntake>)> for CallerRequest {
    type Error = RequestError;

    fn try_from(
        (request, connection): (Request<Incoming>, Arc<ConnectionIntake>),
    ) -> Result<Self, RequestError> {
        let (head, body) = request.into_parts();
        check_version(head.version)?;
        let headers = &head.headers;
        let path = head.uri.path_and_query();
        Ok(Self {
            body,
            connection,
            deadline: deadline(headers)?,
            idempotent: idempotent(headers)?,
            key: key(headers)?,
            method: head.method,
            path: path.map_or_else(|| "/".to_owned(), ToString::to_string),
            service: name(headers, SERVICE)?,
            organisation: name(headers, ORGANISATION)?,
            urgency: urgency(headers)?,
            headers: forwarded_headers(head.headers),
        })
    }
}

/// Rejects versions below HTTP/1.1, which have no chunked encoding. HTTP/1.0 ends a response of unknown length by
/// closing the connection, so the caller could not tell a truncated response from a complete one.
fn check_version(version: Version) -> Result<(), RequestError> {
    if version < Version::HTTP_11 {
        let detail = format!("version {version:?} is not accepted; allowed: HTTP/1.1");
        return Err(RequestError::new(ErrorKind::InvalidRequest, detail));
    }
    Ok(())
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RequestError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str();
    text.map(Some)
        .map_err(|_| invalid_header(name, "?", "visible ASCII"))
}

fn invalid_header(name: &str, value: &str, allowed: &str) -> RequestError {
    let detail = format!("{name}: \"{value}\" is not accepted; allowed: {allowed}");
    RequestError::new(ErrorKind::InvalidRequest, detail)
}

fn name<N>(headers: &HeaderMap, field: &str) -> Result<N, RequestError>
where
    N: for<'a> TryFrom<&'a str, Error = goldcreststall_core::ids::NameError>,
{
    let value = header_text(headers, field)?.unwrap_or_default();
    N::try_from(value).map_err(|error| invalid_header(field, value, &error.to_string()))
}

fn deadline(headers: &HeaderMap) -> Result<Millis, RequestError> {
    let Some(value) = header_text(headers, DEADLINE)? else {
        return Ok(DEFAULT_DEADLINE);
    };
    let parsed = value.parse().ok().map(Millis);
    parsed
        .filter(|deadline| (Millis(1)..=MAX_DEADLINE).contains(deadline))
        .ok_or_else(|| invalid_header(DEADLINE, value, &format!("1 to {}", MAX_DEADLINE.0)))
}

fn idempotent(headers: &HeaderMap) -> Result<bool, RequestError> {
    match header_text(headers, IDEMPOTENT)? {
        Some("true") => Ok(true),
        None | Some("false") => Ok(false),
        Some(other) => Err(invalid_header(IDEMPOTENT, other, "true, false")),
    }
}

fn key(headers: &HeaderMap) -> Result<Option<RequestKey>, RequestError> {
    let Some(value) = header_text(headers, KEY)? else {
        return Ok(None);
    };
    let key = RequestKey::try_from(value);
    key.map(Some)
        .map_err(|error| RequestError::new(ErrorKind::InvalidRequest, error))
}

fn urgency(headers: &HeaderMap) -> Result<Urgency, RequestError> {
    match header_text(headers, URGENCY)? {
        Some("urgent") => Ok(Urgency::Urgent),
        None | Some("normal") => Ok(Urgency::Normal),
        Some("overnight") => Ok(Urgency::Overnight),
        Some(other) => Err(invalid_header(URGENCY, other, "urgent, normal, overnight")),
    }
}

fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    for name in connection_headers(&headers).into_iter().chain(HOP_BY_HOP) {
        headers.remove(name);
    }
    headers
}

/// Returns the headers that `Connection` names as belonging to the connection.
fn connection_headers(headers: &HeaderMap) -> Vec<header::HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    names.filter_map(|name| name.trim().parse().ok()).collect()
}
