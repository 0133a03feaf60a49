use {
    super::ConnectionIntake, http::StatusCode, http_body::Body, http_body_util::BodyExt,
    hyper::body::Incoming,
};

/// First size of the buffer of a body; most jobs fit.
const FIRST_BUFFER_BYTES: usize = 4 * 1024;

/// Reads a body into one buffer whose bytes are reserved before it grows.
///
/// # Errors
/// The status of the refusal: the body is larger than `max_bytes`, broken or too slow, or the budget is used up.
pub async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    intake: &ConnectionIntake,
) -> Result<Vec<u8>, StatusCode> {
    let declared = body.size_hint().upper();
    if declared.is_some_and(|bytes| bytes > max_bytes as u64) {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let expected = declared.map_or(max_bytes, |bytes| bytes as usize);
    intake.begin_body(expected);
    let mut buffer = Vec::new();
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = intake.refused() => return Err(StatusCode::SERVICE_UNAVAILABLE),
        };
        let Some(frame) = frame else {
            // The refusal may have been decided together with the arrival of the last bytes.
            let refused = intake.is_refused();
            return if refused {
                Err(StatusCode::SERVICE_UNAVAILABLE)
            } else {
                Ok(buffer)
            };
        };
        let frame = frame.map_err(|_| StatusCode::BAD_REQUEST)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let needed = buffer.len() + data.len();
        if needed > max_bytes {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        intake.receive_body(data.len());
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
}
