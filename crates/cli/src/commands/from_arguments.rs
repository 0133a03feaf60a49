use {
    super::{Command, ReadCommand, ValueCheck},
    goldcreststall_core::{
        config::ConfigVersion,
        ids::{LogTime, Millis},
        ledger::LogOffset,
    },
    goldcreststall_operators::{
        AuditQuery, AuditRange, AuditSubject, HostQuery, JobQuery, JobSpec, JobState,
        OperatorChange, PageLimit, Urgency, WaveQuery,
    },
};

/// Rows of a page when none are given.
const DEFAULT_ROWS: u32 = 100;
/// Latest deadline of a job from now, in seconds: 30 days.
const MAX_DEADLINE_S: u32 = 30 * 24 * 60 * 60;

impl Command {
    /// Checks the values of the command. A deadline in seconds counts from `now`.
    pub(crate) fn check(check: &mut ValueCheck, now: LogTime) -> Option<Self> {
        let (group, action) = check.command();
        match (group, action) {
            ("config", "validate") => {
                let file = check.operand_path()?;
                Some(Self::ValidateConfig { file })
            }
            ("config", "publish") => publish(check),
            ("host", "list") => {
                let pool = check.optional_name("pool")?;
                Some(Self::Read(ReadCommand::Hosts(HostQuery { pool })))
            }
            ("wave", "list") => {
                let pool = check.optional_name("pool")?;
                Some(Self::Read(ReadCommand::Waves(WaveQuery { pool })))
            }
            ("config", "show") => Some(Self::Read(ReadCommand::Config)),
            ("pool", "list") => Some(Self::Read(ReadCommand::Pools)),
            ("status", _) => Some(Self::Read(ReadCommand::Status)),
            ("job", "show") => Some(Self::Read(ReadCommand::Job(check.operand_id()?))),
            ("job", "list") => jobs(check).map(|query| Self::Read(ReadCommand::Jobs(query))),
            ("audit", subject) => {
                audit(check, subject).map(|query| Self::Read(ReadCommand::Audit(query)))
            }
            ("host", action) => host_change(check, action).map(Self::Change),
            ("wave", action) => wave_change(check, action).map(Self::Change),
            ("job", "submit") => submit(check, now).map(Self::Change),
            ("job", "cancel") => {
                let job = check.operand_id()?;
                Some(Self::Change(OperatorChange::CancelJob { job }))
            }
            ("worker", "readmit") => {
                let worker = check.operand_name()?;
                Some(Self::Change(OperatorChange::ReadmitWorker { worker }))
            }
            _ => None,
        }
    }
}

fn publish(check: &mut ValueCheck) -> Option<Command> {
    let file = check.operand_path();
    let base = check.required_number("base");
    Some(Command::PublishConfig {
        base: ConfigVersion(base?),
        file: file?,
    })
}

fn host_change(check: &mut ValueCheck, action: &str) -> Option<OperatorChange> {
    let host = check.operand_name();
    match action {
        "add" => {
            let pool = check.name("pool");
            let data_centre = check.name("data-centre");
            let rack = check.name("rack");
            Some(OperatorChange::AddHost {
                data_centre: data_centre?,
                host: host?,
                pool: pool?,
                rack: rack?,
            })
        }
        "move" => {
            let pool = check.name("pool");
            let seen = check.seen_host();
            Some(OperatorChange::MoveHost {
                host: host?,
                pool: pool?,
                seen: seen?,
            })
        }
        _ => {
            let seen = check.seen_host();
            let (host, seen) = (host?, seen?);
            match action {
                "remove" => Some(OperatorChange::RemoveHost { host, seen }),
                "drain" => Some(OperatorChange::DrainHost { host, seen }),
                "undrain" => Some(OperatorChange::UndrainHost { host, seen }),
                _ => None,
            }
        }
    }
}

fn wave_change(check: &mut ValueCheck, action: &str) -> Option<OperatorChange> {
    if action == "start" {
        let pool = check.operand_name();
        let most = OperatorChange::MAX_STOPPING;
        let max_stopping = match check.option("max-stopping") {
            None => Some(None),
            Some(_) => check.number("max-stopping", None, 1, most).map(Some),
        };
        return Some(OperatorChange::StartWave {
            max_stopping: max_stopping?,
            pool: pool?,
        });
    }
    let wave = check.operand_id();
    let seen = check.optional_number("seen");
    let (wave, seen) = (wave?, seen?);
    match action {
        "pause" => Some(OperatorChange::PauseWave { seen, wave }),
        "resume" => Some(OperatorChange::ResumeWave { seen, wave }),
        "cancel" => Some(OperatorChange::CancelWave { seen, wave }),
        _ => None,
    }
}

fn submit(check: &mut ValueCheck, now: LogTime) -> Option<OperatorChange> {
    let service = check.name("service");
    let organisation = check.name("tenant");
    let pool = check.name("pool");
    let cores = check.number("cores", None, 1, JobSpec::MAX_CORES);
    let memory = check.number("memory-mib", None, 1, JobSpec::MAX_MEMORY_MIB);
    let accelerators = check.number("accelerators", Some(0), 0, JobSpec::MAX_ACCELERATORS);
    let deadline = check.number("deadline-s", None, 1, MAX_DEADLINE_S);
    let urgency = check.word("urgency", Urgency::parse, &Urgency::allowed());
    let idempotent = check.option("idempotent").is_some();
    let spec = JobSpec {
        accelerators: accelerators?,
        cores: cores?,
        deadline: now + Millis(u64::from(deadline?) * 1000),
        idempotent,
        memory_mib: memory?,
        pool: pool?,
        service: service?,
        organisation: organisation?,
        urgency: urgency?.unwrap_or(Urgency::Normal),
    };
    Some(OperatorChange::SubmitJob { spec })
}

fn limit(check: &mut ValueCheck) -> Option<PageLimit> {
    let rows = check.number("limit", Some(DEFAULT_ROWS), 1, PageLimit::MAX_ROWS)?;
    PageLimit::new(rows)
}

fn jobs(check: &mut ValueCheck) -> Option<JobQuery> {
    let pool = check.optional_name("pool");
    let organisation = check.optional_name("tenant");
    let state = check.word("state", JobState::parse, &JobState::allowed());
    let after = check.optional_id("after");
    let limit = limit(check);
    Some(JobQuery {
        after: after?,
        limit: limit?,
        pool: pool?,
        state: state?,
        organisation: organisation?,
    })
}

fn audit(check: &mut ValueCheck, subject: &str) -> Option<AuditQuery> {
    let subject = match subject {
        "host" => check.operand_name().map(AuditSubject::Host),
        "wave" => check.operand_id().map(AuditSubject::Wave),
        _ => {
            let version = check.optional_operand_number();
            version.map(|version| AuditSubject::Config(version.map(ConfigVersion)))
        }
    };
    let after = check.optional_number("after");
    let limit = limit(check);
    let range = AuditRange {
        after: after?.map(LogOffset),
        limit: limit?,
    };
    Some(AuditQuery {
        range,
        subject: subject?,
    })
}
