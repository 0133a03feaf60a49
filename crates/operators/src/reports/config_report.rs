use {crate::generated::v1 as raw, goldcreststall_core::config::ConfigVersion, serde::Serialize};

/// The configuration in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ConfigReport {
    /// The document as published.
    pub document: String,
    /// The version in force; zero before the first publication.
    pub version: ConfigVersion,
}

impl From<ConfigReport> for raw::GetConfigReply {
    fn from(report: ConfigReport) -> Self {
        Self {
            document: report.document,
            version: report.version.0,
        }
    }
}

impl From<raw::GetConfigReply> for ConfigReport {
    fn from(raw: raw::GetConfigReply) -> Self {
        Self {
            document: raw.document,
            version: ConfigVersion(raw.version),
        }
    }
}
