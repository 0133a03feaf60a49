use {
    super::{Command, ReadCommand, ValueValidator},
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

/// Default of `--limit`.
const DEFAULT_PAGE_ROWS: u32 = 100;
/// Largest accepted value of `--deadline-s`: 30 days.
const MAX_DEADLINE_S: u32 = 30 * 24 * 60 * 60;

impl Command {
    /// Checks the arguments of the command. A deadline counts from `now`.
    pub(crate) fn parse(validator: &mut ValueValidator, now: LogTime) -> Option<Self> {
        let (group, action) = validator.command();
        match (group, action) {
            ("config", "validate") => {
                let file = validator.operand_path()?;
                Some(Self::ValidateConfig { file })
            }
            ("config", "publish") => publish_config(validator),
            ("host", "list") => {
                let pool = validator.optional_name("pool")?;
                Some(Self::Read(ReadCommand::Hosts(HostQuery { pool })))
            }
            ("wave", "list") => {
                let pool = validator.optional_name("pool")?;
                Some(Self::Read(ReadCommand::Waves(WaveQuery { pool })))
            }
            ("config", "show") => Some(Self::Read(ReadCommand::Config)),
            ("pool", "list") => Some(Self::Read(ReadCommand::Pools)),
            ("status", _) => Some(Self::Read(ReadCommand::Status)),
            ("job", "show") => Some(Self::Read(ReadCommand::Job(validator.operand_id()?))),
            ("job", "list") => jobs(validator).map(|query| Self::Read(ReadCommand::Jobs(query))),
            ("audit", subject) => {
                audit(validator, subject).map(|query| Self::Read(ReadCommand::Audit(query)))
            }
            ("host", action) => host_change(validator, action).map(Self::Change),
            ("wave", action) => wave_change(validator, action).map(Self::Change),
            ("job", "submit") => submit_job(validator, now).map(Self::Change),
            ("job", "cancel") => {
                let job = validator.operand_id()?;
                Some(Self::Change(OperatorChange::CancelJob { job }))
            }
            ("worker", "readmit") => {
                let worker = validator.operand_name()?;
                Some(Self::Change(OperatorChange::ReadmitWorker { worker }))
            }
            _ => None,
        }
    }
}

fn publish_config(validator: &mut ValueValidator) -> Option<Command> {
    let file = validator.operand_path();
    let base = validator.required_number("base");
    Some(Command::PublishConfig {
        base: ConfigVersion(base?),
        file: file?,
    })
}

fn host_change(validator: &mut ValueValidator, action: &str) -> Option<OperatorChange> {
    let host = validator.operand_name();
    match action {
        "add" => {
            let pool = validator.required_name("pool");
            let data_centre = validator.required_name("data-centre");
            let rack = validator.required_name("rack");
            Some(OperatorChange::AddHost {
                data_centre: data_centre?,
                host: host?,
                pool: pool?,
                rack: rack?,
            })
        }
        "move" => {
            let pool = validator.required_name("pool");
            let seen = validator.expected_host_version();
            Some(OperatorChange::MoveHost {
                host: host?,
                pool: pool?,
                seen: seen?,
            })
        }
        _ => {
            let seen = validator.expected_host_version();
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

fn wave_change(validator: &mut ValueValidator, action: &str) -> Option<OperatorChange> {
    if action == "start" {
        let pool = validator.operand_name();
        let max = OperatorChange::MAX_STOPPING;
        let max_stopping = match validator.option("max-stopping") {
            None => Some(None),
            Some(_) => validator.number("max-stopping", None, 1, max).map(Some),
        };
        return Some(OperatorChange::StartWave {
            max_stopping: max_stopping?,
            pool: pool?,
        });
    }
    let wave = validator.operand_id();
    let seen = validator.optional_number("seen");
    let (wave, seen) = (wave?, seen?);
    match action {
        "pause" => Some(OperatorChange::PauseWave { seen, wave }),
        "resume" => Some(OperatorChange::ResumeWave { seen, wave }),
        "cancel" => Some(OperatorChange::CancelWave { seen, wave }),
        _ => None,
    }
}

fn submit_job(validator: &mut ValueValidator, now: LogTime) -> Option<OperatorChange> {
    let service = validator.required_name("service");
    let organisation = validator.required_name("tenant");
    let pool = validator.required_name("pool");
    let cores = validator.number("cores", None, 1, JobSpec::MAX_CORES);
    let memory = validator.number("memory-mib", None, 1, JobSpec::MAX_MEMORY_MIB);
    let accelerators = validator.number("accelerators", Some(0), 0, JobSpec::MAX_ACCELERATORS);
    let deadline = validator.number("deadline-s", None, 1, MAX_DEADLINE_S);
    let urgency = validator.choice("urgency", Urgency::parse, &Urgency::allowed());
    let idempotent = validator.option("idempotent").is_some();
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

fn page_limit(validator: &mut ValueValidator) -> Option<PageLimit> {
    let rows = validator.number("limit", Some(DEFAULT_PAGE_ROWS), 1, PageLimit::MAX_ROWS)?;
    PageLimit::new(rows)
}

fn jobs(validator: &mut ValueValidator) -> Option<JobQuery> {
    let pool = validator.optional_name("pool");
    let organisation = validator.optional_name("tenant");
    let state = validator.choice("state", JobState::parse, &JobState::allowed());
    let after = validator.optional_id("after");
    let limit = page_limit(validator);
    Some(JobQuery {
        after: after?,
        limit: limit?,
        pool: pool?,
        state: state?,
        organisation: organisation?,
    })
}

fn audit(validator: &mut ValueValidator, subject: &str) -> Option<AuditQuery> {
    let subject = match subject {
        "host" => validator.operand_name().map(AuditSubject::Host),
        "wave" => validator.operand_id().map(AuditSubject::Wave),
        _ => {
            let version = validator.optional_operand_number();
            version.map(|version| AuditSubject::Config(version.map(ConfigVersion)))
        }
    };
    let after = validator.optional_number("after");
    let limit = page_limit(validator);
    let range = AuditRange {
        after: after?.map(LogOffset),
        limit: limit?,
    };
    Some(AuditQuery {
        range,
        subject: subject?,
    })
}
