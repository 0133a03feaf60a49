use {
    comfy_table::{Table, presets},
    goldcreststall_core::ids::LogTime,
    goldcreststall_operators::{
        AuditPage, AuditReport, ConfigReport, DutyReport, HostReport, JobPage, JobReport,
        PeerReport, PoolReport, RejectionReport, StatusReport, WaveReport,
    },
    std::time::{Duration, UNIX_EPOCH},
};

/// End of the year 9999; the formatter of dates fails for later ones.
const LAST_DATE: LogTime = LogTime(253_402_300_799_999);

/// A result that can be printed for people.
pub(crate) trait HumanText {
    fn human_text(&self) -> String;
}

/// Formats a table without borders: a line of titles and a line for each row.
fn table<const N: usize>(titles: [&str; N], rows: impl Iterator<Item = [String; N]>) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(titles);
    for row in rows {
        // Authors are free text, and a control character would break the layout of the table.
        table.add_row(row.map(|cell| cell.replace(char::is_control, " ")));
    }
    for column in table.column_iter_mut() {
        column.set_padding((0, 2));
    }
    table.trim_fmt()
}

/// Formats a time as a date, or as milliseconds since 1970 when it is later than [`LAST_DATE`].
fn time_text(time: LogTime) -> String {
    if time > LAST_DATE {
        return format!("{}ms", time.0);
    }
    let system_time = UNIX_EPOCH + Duration::from_millis(time.0);
    humantime::format_rfc3339_seconds(system_time).to_string()
}

fn optional_time_text(value: Option<LogTime>) -> String {
    value.map_or_else(|| "-".to_owned(), time_text)
}

fn optional_text<T: ToString>(value: &Option<T>) -> String {
    value.as_ref().map_or_else(|| "-".to_owned(), T::to_string)
}

fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

/// Returns the option that requests the next page, or nothing after the last page.
fn next_page_hint(more: bool, last: Option<String>) -> String {
    match (more, last) {
        (true, Some(last)) => format!("\nmore rows follow: --after {last}"),
        _ => String::new(),
    }
}

impl HumanText for ConfigReport {
    fn human_text(&self) -> String {
        format!("# version {}\n{}", self.version.0, self.document)
    }
}

impl HumanText for [PoolReport] {
    fn human_text(&self) -> String {
        let titles = [
            "POOL",
            "MEMBERS",
            "AVAILABLE",
            "DOWN",
            "STOPPING",
            "MOVING",
            "MINIMUM",
            "SPARE-UNITS",
            "SURVIVE",
            "LENDS",
        ];
        let rows = self.iter().map(|pool| {
            [
                pool.name.to_string(),
                pool.members.to_string(),
                pool.available.to_string(),
                pool.down.to_string(),
                pool.stopping.to_string(),
                pool.moving.to_string(),
                pool.min_available.to_string(),
                pool.spare_units.to_string(),
                pool.survive.to_string(),
                yes_no(pool.spare),
            ]
        });
        table(titles, rows)
    }
}

impl HumanText for [HostReport] {
    fn human_text(&self) -> String {
        let titles = [
            "HOST",
            "POOL",
            "DATA-CENTRE",
            "RACK",
            "CONDITION",
            "MOVING-TO",
            "EXCLUDED",
            "VERSION",
            "MAINTAINED",
        ];
        let rows = self.iter().map(|host| {
            [
                host.name.to_string(),
                host.pool.to_string(),
                host.data_centre.to_string(),
                host.rack.to_string(),
                host.condition.to_string(),
                optional_text(&host.moving_to),
                yes_no(host.excluded),
                host.version.to_string(),
                optional_time_text(host.maintained),
            ]
        });
        table(titles, rows)
    }
}

impl HumanText for [WaveReport] {
    fn human_text(&self) -> String {
        let titles = [
            "WAVE",
            "POOL",
            "STATE",
            "HOSTS",
            "DONE",
            "STOPPING",
            "VERSION",
            "STARTED",
            "BY",
            "WAITS-FOR",
        ];
        let rows = self.iter().map(|wave| {
            [
                wave.id.to_string(),
                wave.pool.to_string(),
                wave.state.to_string(),
                wave.hosts.to_string(),
                wave.done.to_string(),
                wave.stopping.to_string(),
                wave.version.to_string(),
                time_text(wave.started),
                wave.started_by.to_string(),
                wave.waits_for.clone(),
            ]
        });
        table(titles, rows)
    }
}

fn job_state_text(job: &JobReport) -> String {
    match job.unplaceable {
        true => format!("{}, unplaceable", job.state),
        false => job.state.to_string(),
    }
}

impl HumanText for JobPage {
    fn human_text(&self) -> String {
        let titles = [
            "JOB", "SERVICE", "TENANT", "POOL", "URGENCY", "STATE", "WORKER", "ATTEMPTS",
            "DEADLINE",
        ];
        let rows = self.jobs.iter().map(|job| {
            [
                job.id.to_string(),
                job.spec.service.to_string(),
                job.spec.organisation.to_string(),
                job.spec.pool.to_string(),
                job.spec.urgency.to_string(),
                job_state_text(job),
                optional_text(&job.worker),
                job.attempts.to_string(),
                time_text(job.spec.deadline),
            ]
        });
        let last = self.jobs.last().map(|job| job.id.to_string());
        table(titles, rows) + &next_page_hint(self.more, last)
    }
}

impl HumanText for JobReport {
    fn human_text(&self) -> String {
        let spec = &self.spec;
        let rows = [
            ["id", &self.id.to_string()],
            ["state", &job_state_text(self)],
            ["service", spec.service.as_str()],
            ["tenant", spec.organisation.as_str()],
            ["pool", spec.pool.as_str()],
            ["urgency", spec.urgency.as_str()],
            ["cores", &spec.cores.to_string()],
            ["memory-mib", &spec.memory_mib.to_string()],
            ["accelerators", &spec.accelerators.to_string()],
            ["idempotent", &yes_no(spec.idempotent)],
            ["submitted", &time_text(self.submitted)],
            ["deadline", &time_text(spec.deadline)],
            ["attempts", &self.attempts.to_string()],
            ["worker", &optional_text(&self.worker)],
            ["lease-until", &optional_time_text(self.lease_until)],
        ]
        .map(|row| row.map(str::to_owned));
        table(["FIELD", "VALUE"], rows.into_iter())
    }
}

fn audit_row(row: &AuditReport) -> [String; 5] {
    let result = match &row.rejection {
        None => "accepted".to_owned(),
        Some(reason) => format!("ignored: {reason}"),
    };
    [
        row.offset.0.to_string(),
        time_text(row.time),
        row.author.clone(),
        row.change.clone(),
        result,
    ]
}

impl HumanText for AuditPage {
    fn human_text(&self) -> String {
        let titles = ["OFFSET", "TIME", "AUTHOR", "CHANGE", "RESULT"];
        let last = self.rows.last().map(|row| row.offset.0.to_string());
        table(titles, self.rows.iter().map(audit_row)) + &next_page_hint(self.more, last)
    }
}

fn peers_table(peers: &[PeerReport]) -> String {
    let titles = [
        "PEER",
        "DATA-CENTRE",
        "RUN",
        "NEXT-OFFSET",
        "SILENT-MS",
        "DRAINING",
    ];
    let rows = peers.iter().map(|peer| {
        [
            peer.name.to_string(),
            peer.data_centre.to_string(),
            peer.incarnation.to_string(),
            peer.next_offset.0.to_string(),
            peer.silent.0.to_string(),
            yes_no(peer.draining),
        ]
    });
    table(titles, rows)
}

fn duties_table(duties: &[DutyReport]) -> String {
    let rows = duties
        .iter()
        .map(|duty| [duty.name.clone(), duty.holder.to_string()]);
    table(["DUTY", "HOLDER"], rows)
}

fn rejections_table(rejections: &[RejectionReport]) -> String {
    let rows = rejections
        .iter()
        .map(|row| [row.reason.clone(), row.count.to_string()]);
    table(["IGNORED-BECAUSE", "RECORDS"], rows)
}

impl HumanText for StatusReport {
    fn human_text(&self) -> String {
        let age = self.host_list_age.map(|age| age.0);
        let rows = [
            ["entry", self.entry.as_str()],
            ["run", &self.incarnation.to_string()],
            ["data-centre", self.data_centre.as_str()],
            ["ready", &yes_no(self.ready)],
            ["draining", &yes_no(self.draining)],
            ["log", &self.log.0.to_string()],
            ["next-offset", &self.next_offset.0.to_string()],
            ["lag-entries", &self.lag_entries.to_string()],
            ["log-silent-ms", &self.log_silent.0.to_string()],
            ["host-list-age-ms", &optional_text(&age)],
            ["config-version", &self.config.0.to_string()],
        ]
        .map(|row| row.map(str::to_owned));
        let sections = [
            table(["FIELD", "VALUE"], rows.into_iter()),
            peers_table(&self.peers),
            duties_table(&self.duties),
            rejections_table(&self.rejections),
        ];
        sections.join("\n\n")
    }
}
