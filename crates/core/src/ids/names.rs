use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Maximum length of a name in bytes; the length limit of a DNS label.
pub const MAX_NAME_BYTES: usize = 63;

/// A text that is not a valid name.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error(
    "\"{value}\" is not a {kind} name: allowed are 1 to 63 of a-z, 0-9, '-' and '.', starting with a letter or digit"
)]
pub struct NameError {
    /// Kind of the name, such as `host` or `pool`.
    pub kind: &'static str,
    /// The rejected text.
    pub value: String,
}

fn check_name(kind: &'static str, value: &str) -> Result<(), NameError> {
    let allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'.'
    };
    let starts_valid = value
        .bytes()
        .next()
        .is_some_and(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit());
    if starts_valid && value.len() <= MAX_NAME_BYTES && value.bytes().all(allowed) {
        return Ok(());
    }
    Err(NameError {
        kind,
        value: value.to_owned(),
    })
}

macro_rules! checked_name {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(into = "String", try_from = "String")]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(value: &str) -> Result<Self, NameError> {
                check_name($kind, value)?;
                Ok(Self(value.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(value: String) -> Result<Self, NameError> {
                Self::try_from(value.as_str())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.into()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

checked_name!(
    /// Name of a data centre.
    DataCentre,
    "data centre"
);
checked_name!(
    /// Name of an entry host.
    EntryName,
    "entry host"
);
checked_name!(
    /// Name of a host.
    HostName,
    "host"
);
checked_name!(
    /// Name of a pool of hosts.
    PoolName,
    "pool"
);
checked_name!(
    /// Name of a rack.
    RackName,
    "rack"
);
checked_name!(
    /// Name of a service.
    ServiceName,
    "service"
);
checked_name!(
    /// Name of an organisation.
    OrganisationName,
    "tenant"
);
checked_name!(
    /// Name of a maintenance wave.
    WaveName,
    "wave"
);
