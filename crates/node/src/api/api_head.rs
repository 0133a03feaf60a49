use {
    bytes::Bytes,
    std::fmt::{self, Debug, Formatter},
};

/// Key that a caller presents. Debug output does not show it.
#[derive(Clone, Eq, PartialEq)]
pub struct PresentedKey(Bytes);

impl PresentedKey {
    /// Wraps the bytes of a key.
    pub fn new(key: impl Into<Bytes>) -> Self {
        Self(key.into())
    }

    /// Returns the bytes of the key.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl Debug for PresentedKey {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("PresentedKey(hidden)")
    }
}

/// What is known of a caller's request before its body is read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApiHead {
    /// Host name in the request, without a port.
    pub host: String,
    /// Path of the queue, followed by the id of a job unless the queue itself is queried.
    pub path: String,
    /// Key of an organisation; `None` if the request has no key, or more than one.
    pub key: Option<PresentedKey>,
}
