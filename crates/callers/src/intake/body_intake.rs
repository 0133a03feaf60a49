use {
    super::ConnectionIntake, http::StatusCode, http_body::Body, http_body_util::BodyExt,
    hyper::body::Incoming,
};

/// First size of the buffer of a body; most jobs fit.
const FIRST_BUFFER_BYTES: usize = 4 * 1024;

/// The start of a body.
#[derive(Debug)]
pub enum BodyStart {
    /// The whole body.
    Complete(Vec<u8>),
    /// More than the limit was read; the rest is still to come.
    Partial(Vec<u8>, Incoming),
}

/// Reads a body into one buffer whose bytes are reserved before it grows.
///
/// # Errors
/// The status of the refusal: the body is larger than `max_bytes`, broken or too slow, or the budget is used up.
pub async fn read_body(
    body: Incoming,
    max_bytes: usize,
    intake: &ConnectionIntake,
) -> Result<Vec<u8>, StatusCode> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    match read_start(body, max_bytes, intake).await? {
        BodyStart::Complete(buffer) => Ok(buffer),
        BodyStart::Partial(..) => Err(StatusCode::PAYLOAD_TOO_LARGE),
    }
}

/// Reads a body, or its start when it is larger than `max_bytes`, into one buffer whose bytes are reserved before it
/// grows.
///
/// # Errors
/// The status of the refusal: the body is broken or too slow, or the budget is used up.
pub async fn read_start(
    mut body: Incoming,
    max_bytes: usize,
    intake: &ConnectionIntake,
) -> Result<BodyStart, StatusCode> {
    let declared = body.size_hint().upper().unwrap_or(u64::MAX);
    let expected = declared.min(max_bytes as u64) as usize;
    intake.begin_body(expected);
    let mut buffer = Vec::new();
    while buffer.len() <= max_bytes {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = intake.refused() => return Err(StatusCode::SERVICE_UNAVAILABLE),
        };
        let Some(frame) = frame else {
            // The refusal may have been decided together with the arrival of the last bytes.
            return if intake.is_refused() {
                Err(StatusCode::SERVICE_UNAVAILABLE)
            } else {
                Ok(BodyStart::Complete(buffer))
            };
        };
        let frame = frame.map_err(|_| StatusCode::BAD_REQUEST)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        intake.receive_body(data.len());
        let needed = buffer.len() + data.len();
        if needed > buffer.capacity() {
            let doubled = (buffer.capacity() * 2).max(FIRST_BUFFER_BYTES);
            let capacity = doubled.min(expected).max(needed);
            if !intake.reserve(capacity) {
                return Err(StatusCode::SERVICE_UNAVAILABLE);
            }
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(data);
    }
    Ok(BodyStart::Partial(buffer, body))
}
