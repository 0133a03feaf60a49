use {
    goldcreststall_core::ids::{LogTime, RecordId},
    std::{env, ffi::OsString},
    uuid::Uuid,
};

/// The environment variables that are settings. An empty one counts as unset.
#[derive(Clone, Debug, Default)]
pub struct Variables {
    /// `GOLDCRESTSTALL_ENTRY`: addresses of entry hosts.
    pub entry: Option<String>,
    /// `GOLDCRESTSTALL_OPERATOR`: the name in the audit trail.
    pub operator: Option<String>,
    /// `GOLDCRESTSTALL_OUTPUT`: the output format.
    pub output: Option<String>,
}

/// The inputs of one run of the program.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// Command-line arguments without the name of the program.
    pub arguments: Vec<OsString>,
    /// Start of the run; the deadline of a submitted job counts from here.
    pub now: LogTime,
    /// New id for a change, used unless `--request-id` is given.
    pub request_id: RecordId,
    /// Settings from the environment.
    pub variables: Variables,
}

impl Invocation {
    /// Reads the arguments, the environment and the clock of this process.
    pub fn from_process() -> Self {
        let request_id = RecordId(Uuid::now_v7().as_u128());
        Self {
            arguments: env::args_os().skip(1).collect(),
            now: request_id.time(),
            request_id,
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
