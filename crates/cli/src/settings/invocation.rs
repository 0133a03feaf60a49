use {
    goldcreststall_core::ids::{LogTime, RecordId},
    std::{env, ffi::OsString},
    uuid::Uuid,
};

/// The environment variables that are settings. Empty ones count as unset.
#[derive(Clone, Debug, Default)]
pub struct Variables {
    /// `GOLDCRESTSTALL_ENTRY`.
    pub entry: Option<String>,
    /// `GOLDCRESTSTALL_OPERATOR`.
    pub operator: Option<String>,
    /// `GOLDCRESTSTALL_OUTPUT`.
    pub output: Option<String>,
}

/// Everything that one run of the program depends on.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// The arguments without the name of the program.
    pub arguments: Vec<OsString>,
    /// Time of the start; a deadline in seconds counts from here.
    pub now: LogTime,
    /// Id of a change, unless the arguments name one.
    pub request: RecordId,
    /// The environment.
    pub variables: Variables,
}

impl Invocation {
    /// Returns the invocation of this process.
    pub fn from_process() -> Self {
        let request = RecordId(Uuid::now_v7().as_u128());
        Self {
            arguments: env::args_os().skip(1).collect(),
            now: request.time(),
            request,
            variables: Variables {
                entry: variable("GOLDCRESTSTALL_ENTRY"),
                operator: variable("GOLDCRESTSTALL_OPERATOR"),
                output: variable("GOLDCRESTSTALL_OUTPUT"),
            },
        }
    }
}

fn variable(name: &str) -> Option<String> {
    let value = env::var_os(name)?;
    Some(value.to_string_lossy().into_owned())
}
