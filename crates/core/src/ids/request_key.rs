use {
    super::{EntryId, EntryName, Incarnation, LogTime, record_id::uuid_time},
    std::fmt,
    uuid::Uuid,
};

/// Identity of a non-idempotent request, under which it runs at most once.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RequestKey {
    /// A UUIDv7 made by the caller. It is claimed in the log before the request is sent.
    Caller(u128),
    /// A key issued by one incarnation of an entry host; only that incarnation accepts it.
    Issued {
        /// The incarnation that issued the key.
        issuer: EntryId,
        /// Number of the key among those of the issuer, from 0.
        number: u64,
    },
}

/// A text that is not a valid request key.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("\"{value}\" is not a request key: allowed are a UUIDv7 and a key issued by an entry host")]
pub struct KeyError {
    /// The rejected text.
    pub value: String,
}

impl RequestKey {
    /// Returns the time that a caller's key carries; `None` for an issued key.
    pub fn time(&self) -> Option<LogTime> {
        match self {
            Self::Caller(key) => Some(uuid_time(*key)),
            Self::Issued { .. } => None,
        }
    }
}

impl TryFrom<&str> for RequestKey {
    type Error = KeyError;

    fn try_from(value: &str) -> Result<Self, KeyError> {
        parse_issued(value)
            .or_else(|| parse_uuid(value))
            .ok_or_else(|| KeyError {
                value: value.to_owned(),
            })
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Caller(key) => Uuid::from_u128(*key).fmt(formatter),
            Self::Issued { issuer, number } => {
                write!(formatter, "{}/{}/{number}", issuer.name, issuer.incarnation)
            }
        }
    }
}

fn parse_uuid(value: &str) -> Option<RequestKey> {
    let uuid = Uuid::try_parse(value).ok()?;
    (uuid.get_version_num() == 7).then_some(RequestKey::Caller(uuid.as_u128()))
}

fn parse_issued(value: &str) -> Option<RequestKey> {
    let mut parts = value.split('/');
    let name = EntryName::try_from(parts.next()?).ok()?;
    let incarnation = Incarnation(parts.next()?.parse().ok()?);
    let number = parts.next()?.parse().ok()?;
    let issuer = EntryId { name, incarnation };
    parts
        .next()
        .is_none()
        .then_some(RequestKey::Issued { issuer, number })
}
