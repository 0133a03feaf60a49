/// Longest text of a caller in a log line or an error, in bytes. Thousands of log lines may wait to be written.
const MAX_TEXT_BYTES: usize = 256;

/// Returns the beginning of a text that a caller has sent, at most 256 bytes of it.
pub fn text_start(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_TEXT_BYTES)]
}
