use {
    crate::{Urgency, generated::v1 as raw, wire::FieldValidator},
    goldcreststall_core::ids::{LogTime, OrganisationName, PoolName, ServiceName},
    serde::Serialize,
};

/// What a durable job needs and where it may run.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// Number of accelerators; 0 for none.
    pub accelerators: u32,
    /// Number of processor cores.
    pub cores: u32,
    /// Time by which the job must have ended.
    #[serde(rename = "deadline_ms")]
    pub deadline: LogTime,
    /// Whether the job may run more than once.
    pub idempotent: bool,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// The pool whose workers may run the job.
    pub pool: PoolName,
    /// The service that the job belongs to.
    pub service: ServiceName,
    /// The organisation on whose behalf the job runs.
    #[serde(rename = "tenant")]
    pub organisation: OrganisationName,
    /// How soon the result is needed.
    pub urgency: Urgency,
}

impl JobSpec {
    /// Maximum number of accelerators that a job may request.
    pub const MAX_ACCELERATORS: u32 = 1_024;
    /// Maximum number of cores that a job may request.
    pub const MAX_CORES: u32 = 4_096;
    /// Maximum memory that a job may request, in MiB.
    pub const MAX_MEMORY_MIB: u32 = 64 * 1024 * 1024;

    /// Checks a raw message; `field` is the path of the message.
    pub(crate) fn check(
        validator: &mut FieldValidator,
        field: &str,
        raw: &raw::JobSpec,
    ) -> Option<Self> {
        let path = |name: &str| format!("{field}.{name}");
        let service = validator.name(&path("service"), &raw.service);
        let organisation = validator.name(&path("tenant"), &raw.tenant);
        let pool = validator.name(&path("pool"), &raw.pool);
        let urgency = Urgency::from_wire(raw.urgency);
        let allowed = Urgency::allowed();
        let urgency = validator.choice(&path("urgency"), raw.urgency, urgency, &allowed);
        let cores = validator.range(&path("cores"), raw.cores, 1, Self::MAX_CORES);
        let memory = validator.range(&path("memory_mib"), raw.memory_mib, 1, Self::MAX_MEMORY_MIB);
        let accelerators = raw.accelerators;
        let accelerators = validator.range(
            &path("accelerators"),
            accelerators,
            0,
            Self::MAX_ACCELERATORS,
        );
        if raw.deadline_ms == 0 {
            validator.reject(
                &path("deadline_ms"),
                "0",
                "milliseconds since the Unix epoch",
            );
        }
        Some(Self {
            accelerators: accelerators?,
            cores: cores?,
            deadline: LogTime(raw.deadline_ms),
            idempotent: raw.idempotent,
            memory_mib: memory?,
            pool: pool?,
            service: service?,
            organisation: organisation?,
            urgency: urgency?,
        })
    }
}

impl From<JobSpec> for raw::JobSpec {
    fn from(spec: JobSpec) -> Self {
        Self {
            accelerators: spec.accelerators,
            cores: spec.cores,
            deadline_ms: spec.deadline.0,
            idempotent: spec.idempotent,
            memory_mib: spec.memory_mib,
            pool: spec.pool.into(),
            service: spec.service.into(),
            tenant: spec.organisation.into(),
            urgency: spec.urgency.to_wire(),
        }
    }
}
