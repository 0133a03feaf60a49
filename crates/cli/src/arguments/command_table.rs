use super::{
    CommandSpec, OperandSpec, OptionSpec,
    command_spec::RequiredSettings::{self, Entry, EntryAndOperator, Nothing},
};

const fn command(
    group: &'static str,
    action: &'static str,
    about: &'static str,
    required_settings: RequiredSettings,
    operands: &'static [OperandSpec],
    options: &'static [OptionSpec],
) -> CommandSpec {
    CommandSpec {
        about,
        action,
        group,
        required_settings,
        operands,
        options,
    }
}

const fn operand(name: &'static str, help: &'static str) -> OperandSpec {
    OperandSpec {
        help,
        name,
        required: true,
    }
}

const fn optional(name: &'static str, value: &'static str, help: &'static str) -> OptionSpec {
    OptionSpec {
        help,
        name,
        required: false,
        value_name: Some(value),
    }
}

const fn required(name: &'static str, value: &'static str, help: &'static str) -> OptionSpec {
    OptionSpec {
        help,
        name,
        required: true,
        value_name: Some(value),
    }
}

const fn flag(name: &'static str, help: &'static str) -> OptionSpec {
    OptionSpec {
        help,
        name,
        required: false,
        value_name: None,
    }
}

const AFTER_OFFSET: OptionSpec = optional("after", "OFFSET", "Only changes after this log offset.");
const AFTER_JOB: OptionSpec = optional("after", "JOB", "Only jobs after this id.");
const FILE: OperandSpec = operand("FILE", "Configuration in TOML; see docs/CONFIGURATION.md.");
const HOST: OperandSpec = operand("HOST", "Name of the host.");
const JOB: OperandSpec = operand("JOB", "Id of the job.");
const LIMIT: OptionSpec = optional("limit", "ROWS", "Most rows, 1 to 1000; 100 by default.");
const POOL_FILTER: OptionSpec = optional("pool", "POOL", "Only those of this pool.");
const EXPECTED_HOST_VERSION: OptionSpec = optional(
    "seen",
    "VERSION",
    "Reject the change when the host is no longer at this version, as printed by `host list`.",
);
const EXPECTED_WAVE_VERSION: OptionSpec = optional(
    "seen",
    "VERSION",
    "Reject the change when the wave is no longer at this version, as printed by `wave list`.",
);
const WAVE: OperandSpec = operand("WAVE", "Id of the wave.");

/// Options that every command accepts.
pub(crate) const GLOBAL_OPTIONS: &[OptionSpec] = &[
    optional(
        "entry",
        "ADDRESS",
        "IP address and port of an entry host; several are separated by commas.",
    ),
    optional("operator", "NAME", "Your name in the audit trail."),
    optional("output", "FORMAT", "`table` (default) or `json`."),
    optional(
        "request-id",
        "UUID",
        "Repeat a change that was not confirmed, under the id that was printed.",
    ),
    optional(
        "timeout-s",
        "SECONDS",
        "Longest time for each attempt, 1 to 600; 10 by default.",
    ),
    flag("help", "Print this help."),
    flag("version", "Print the version."),
];

/// Every command, in the order of the help. Commands of a group stand next to each other, because `groups` removes
/// only adjacent duplicates.
pub const COMMANDS: &[CommandSpec] = &[
    command(
        "config",
        "validate",
        "Check a configuration file without an entry host.",
        Nothing,
        &[FILE],
        &[],
    ),
    command(
        "config",
        "publish",
        "Publish a configuration file.",
        EntryAndOperator,
        &[FILE],
        &[required(
            "base",
            "VERSION",
            "Version that the file was derived from, as printed by `config show`; 0 for the first.",
        )],
    ),
    command(
        "config",
        "show",
        "Print the configuration in force.",
        Entry,
        &[],
        &[],
    ),
    command(
        "pool",
        "list",
        "List the pools with their budgets.",
        Entry,
        &[],
        &[],
    ),
    command("host", "list", "List hosts.", Entry, &[], &[POOL_FILTER]),
    command(
        "host",
        "add",
        "Add a host to a pool.",
        EntryAndOperator,
        &[HOST],
        &[
            required("pool", "POOL", "Pool that the host joins."),
            required("data-centre", "NAME", "Data centre of the host."),
            required("rack", "NAME", "Rack of the host."),
        ],
    ),
    command(
        "host",
        "remove",
        "Remove a host from the fleet for good.",
        EntryAndOperator,
        &[HOST],
        &[EXPECTED_HOST_VERSION],
    ),
    command(
        "host",
        "drain",
        "Take a host out of service after its work has ended.",
        EntryAndOperator,
        &[HOST],
        &[EXPECTED_HOST_VERSION],
    ),
    command(
        "host",
        "undrain",
        "Take a drained host back into service.",
        EntryAndOperator,
        &[HOST],
        &[EXPECTED_HOST_VERSION],
    ),
    command(
        "host",
        "move",
        "Move a host to another pool.",
        EntryAndOperator,
        &[HOST],
        &[
            required("pool", "POOL", "Pool that the host goes to."),
            EXPECTED_HOST_VERSION,
        ],
    ),
    command("wave", "list", "List waves.", Entry, &[], &[POOL_FILTER]),
    command(
        "wave",
        "start",
        "Start a maintenance roll-out over a pool.",
        EntryAndOperator,
        &[operand("POOL", "Pool to maintain.")],
        &[optional(
            "max-stopping",
            "HOSTS",
            "Most hosts to stop at once; by default the budget of the pool decides.",
        )],
    ),
    command(
        "wave",
        "pause",
        "Let a wave stop no further hosts.",
        EntryAndOperator,
        &[WAVE],
        &[EXPECTED_WAVE_VERSION],
    ),
    command(
        "wave",
        "resume",
        "Continue a paused wave.",
        EntryAndOperator,
        &[WAVE],
        &[EXPECTED_WAVE_VERSION],
    ),
    command(
        "wave",
        "cancel",
        "End a wave; hosts that it has stopped still return.",
        EntryAndOperator,
        &[WAVE],
        &[EXPECTED_WAVE_VERSION],
    ),
    command(
        "job",
        "submit",
        "Submit a durable job; its id is the request id.",
        EntryAndOperator,
        &[],
        &[
            required("service", "NAME", "Service that the job belongs to."),
            required("tenant", "NAME", "Tenant that the job is counted to."),
            required("pool", "POOL", "Pool whose workers may run the job."),
            required("cores", "NUMBER", "Processor cores, 1 to 4096."),
            required("memory-mib", "MIB", "Memory in MiB, 1 to 67108864."),
            required(
                "deadline-s",
                "SECONDS",
                "Latest end, counted from now, 1 to 2592000 (30 days).",
            ),
            optional(
                "urgency",
                "WORD",
                "`urgent`, `normal` (default) or `overnight`.",
            ),
            optional(
                "accelerators",
                "NUMBER",
                "Accelerators, 0 to 1024; 0 by default.",
            ),
            flag("idempotent", "The job may run more than once."),
        ],
    ),
    command("job", "show", "Print one job.", Entry, &[JOB], &[]),
    command(
        "job",
        "list",
        "List jobs.",
        Entry,
        &[],
        &[
            POOL_FILTER,
            optional("tenant", "NAME", "Only jobs of this tenant."),
            optional(
                "state",
                "WORD",
                "Only jobs in this state: queued, leased, done, quarantined, unknown or cancelled.",
            ),
            AFTER_JOB,
            LIMIT,
        ],
    ),
    command(
        "job",
        "cancel",
        "Cancel a queued or leased job.",
        EntryAndOperator,
        &[JOB],
        &[],
    ),
    command(
        "worker",
        "readmit",
        "Let an excluded worker run jobs again.",
        EntryAndOperator,
        &[operand("WORKER", "Name of the worker.")],
        &[],
    ),
    command(
        "audit",
        "host",
        "Print the changes of a host.",
        Entry,
        &[HOST],
        &[AFTER_OFFSET, LIMIT],
    ),
    command(
        "audit",
        "wave",
        "Print the changes of a wave.",
        Entry,
        &[WAVE],
        &[AFTER_OFFSET, LIMIT],
    ),
    command(
        "audit",
        "config",
        "Print the changes of the configuration.",
        Entry,
        &[OperandSpec {
            help: "Only the change that led to this version.",
            name: "VERSION",
            required: false,
        }],
        &[AFTER_OFFSET, LIMIT],
    ),
    command(
        "status",
        "",
        "Print the state of the entry host that answers.",
        Entry,
        &[],
        &[],
    ),
];

/// Returns the first word of every command, each one once.
pub(crate) fn groups() -> Vec<&'static str> {
    let mut groups: Vec<&str> = COMMANDS.iter().map(|spec| spec.group).collect();
    groups.dedup();
    groups
}

/// Returns the second words that may follow `group`; empty when there is no such group.
pub(crate) fn group_actions(group: &str) -> Vec<&'static str> {
    let specs = COMMANDS.iter().filter(|spec| spec.group == group);
    specs.map(|spec| spec.action).collect()
}

pub(crate) fn find_command(group: &str, action: &str) -> Option<&'static CommandSpec> {
    let mut specs = COMMANDS.iter();
    specs.find(|spec| spec.group == group && spec.action == action)
}
