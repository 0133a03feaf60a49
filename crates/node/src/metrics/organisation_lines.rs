use {goldcreststall_dispatch::organisations::OrganisationReport, std::fmt::Write};

/// Label of the sum of the organisations that are not reported one by one.
const OTHERS: &str = "*";

/// Returns the figures of organisations in the Prometheus text format. They are not kept in the registry, which would keep
/// the labels of every organisation that was once among the largest.
pub(super) fn organisation_lines(reports: &[OrganisationReport]) -> String {
    type Figure = fn(&OrganisationReport) -> u64;
    let figures: [(&str, &str, Figure); 6] = [
        ("gcs_organisation_running_millicores", "gauge", |it| {
            it.running_cpu
        }),
        ("gcs_organisation_waiting_jobs", "gauge", |it| {
            it.waiting_jobs
        }),
        ("gcs_organisation_over_quota_items", "gauge", |it| {
            it.over_quota
        }),
        ("gcs_organisation_oldest_wait_milliseconds", "gauge", |it| {
            it.oldest_wait.0
        }),
        ("gcs_organisation_refused_over_rate", "counter", |it| {
            it.refused_over_rate
        }),
        ("gcs_organisation_refused_pool_full", "counter", |it| {
            it.refused_pool_full
        }),
    ];
    let mut text = String::new();
    for (name, kind, figure) in figures {
        // Writing to a string does not fail.
        let _ = writeln!(text, "# TYPE {name} {kind}");
        for report in reports {
            let label = report.name.as_deref().map_or(OTHERS.to_owned(), escape);
            let value = figure(report);
            let _ = writeln!(text, "{name}{{organisation=\"{label}\"}} {value}");
        }
    }
    text
}

/// Escapes the value of a label.
fn escape(name: &str) -> String {
    name.replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
