use {
    super::Terminal,
    crate::{
        arguments::{ParseResult, help_text},
        calls::{EntryCalls, EntryConnector},
        commands::{Command, ReadCommand, ValueCheck},
        output::{ChangeResult, ExitStatus, HumanText, OutputFormat},
        settings::{Invocation, Settings},
    },
    goldcreststall_core::{config::FleetConfig, ids::RecordId},
    goldcreststall_operators::{ChangeRequest, FieldMistake, OperatorChange, OperatorError},
    serde::Serialize,
    std::{fs, path::Path},
};

/// Runs the program once.
pub async fn run(
    invocation: Invocation,
    connector: &dyn EntryConnector,
    terminal: &mut Terminal<'_>,
) -> ExitStatus {
    let (words, mistakes) = match ParseResult::parse(invocation.arguments) {
        ParseResult::Help(words) => {
            let words: Vec<&str> = words.iter().map(String::as_str).collect();
            return terminal.print(&help_text(&words), ExitStatus::Done);
        }
        ParseResult::Version => {
            let text = concat!("goldcreststall ", env!("CARGO_PKG_VERSION"), "\n");
            return terminal.print(text, ExitStatus::Done);
        }
        ParseResult::Invalid(mistakes) => return report(terminal, &mistakes),
        ParseResult::Command(words, mistakes) => (words, mistakes),
    };
    let required_settings = words.spec.required_settings;
    let mut check = ValueCheck::new(words, mistakes);
    let command = Command::check(&mut check, invocation.now);
    let settings = Settings::check(&mut check, required_settings, &invocation.variables);
    let (command, settings) = match check.finish(command.zip(settings)) {
        Ok(checked) => checked,
        Err(mistakes) => return report(terminal, &mistakes),
    };
    let program = Program {
        calls: EntryCalls {
            connector,
            entries: &settings.entries,
            limit: settings.timeout,
        },
        output: settings.output,
        request_id: settings.request.unwrap_or(invocation.request),
        settings: &settings,
    };
    program.execute(command, terminal).await
}

fn report(terminal: &mut Terminal<'_>, mistakes: &[FieldMistake]) -> ExitStatus {
    let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
    terminal.fail(&lines.join("\n"), ExitStatus::Mistakes)
}

/// Reads a file, or reports why it cannot be read.
fn read_file(file: &Path, terminal: &mut Terminal<'_>) -> Result<String, ExitStatus> {
    fs::read_to_string(file).map_err(|error| {
        let allowed = format!("a readable file in UTF-8 ({error})");
        let mistake = FieldMistake::new("FILE", &file.to_string_lossy(), &allowed);
        report(terminal, &[mistake])
    })
}

struct Program<'a> {
    calls: EntryCalls<'a>,
    output: OutputFormat,
    request_id: RecordId,
    settings: &'a Settings,
}

impl Program<'_> {
    async fn execute(&self, command: Command, terminal: &mut Terminal<'_>) -> ExitStatus {
        match command {
            Command::ValidateConfig { file } => self.validate(&file, terminal),
            Command::PublishConfig { base, file } => {
                let document = match read_file(&file, terminal) {
                    Ok(document) => document,
                    Err(status) => return status,
                };
                if let Err(error) = FleetConfig::try_from(document.as_str()) {
                    return terminal.fail(&error.to_string(), ExitStatus::Rejected);
                }
                let change = OperatorChange::PublishConfig { base, document };
                self.change(change, terminal).await
            }
            Command::Change(change) => self.change(change, terminal).await,
            Command::Read(read) => self.read(read, terminal).await,
        }
    }

    fn validate(&self, file: &Path, terminal: &mut Terminal<'_>) -> ExitStatus {
        let document = match read_file(file, terminal) {
            Ok(document) => document,
            Err(status) => return status,
        };
        match FleetConfig::try_from(document.as_str()) {
            Ok(config) => {
                let text = self.output.text(&ValidResult::new(&config));
                terminal.print(&text, ExitStatus::Done)
            }
            Err(error) => terminal.fail(&error.to_string(), ExitStatus::Rejected),
        }
    }

    async fn change(&self, change: OperatorChange, terminal: &mut Terminal<'_>) -> ExitStatus {
        let Some(operator) = self.settings.operator.clone() else {
            return terminal.fail("--operator: no value", ExitStatus::Mistakes);
        };
        let change_request = ChangeRequest {
            change,
            operator,
            request_id: self.request_id,
        };
        match self.calls.change(change_request).await {
            Ok(outcome) => {
                let status = ExitStatus::from(&outcome);
                let result = ChangeResult::new(outcome, self.request_id.to_string());
                terminal.print(&self.output.text(&result), status)
            }
            Err(error) => {
                let line = format!("not done: {error}");
                terminal.fail(&line, error.kind.into())
            }
        }
    }

    async fn read(&self, read: ReadCommand, terminal: &mut Terminal<'_>) -> ExitStatus {
        let calls = &self.calls;
        match read {
            ReadCommand::Config => {
                let result = calls.read(async |entry| entry.config().await).await;
                self.show(result, terminal)
            }
            ReadCommand::Pools => {
                let result = calls.read(async |entry| entry.pools().await).await;
                self.show_rows(result, terminal)
            }
            ReadCommand::Hosts(query) => {
                let result = calls
                    .read(async |entry| entry.hosts(query.clone()).await)
                    .await;
                self.show_rows(result, terminal)
            }
            ReadCommand::Waves(query) => {
                let result = calls
                    .read(async |entry| entry.waves(query.clone()).await)
                    .await;
                self.show_rows(result, terminal)
            }
            ReadCommand::Jobs(query) => {
                let result = calls
                    .read(async |entry| entry.jobs(query.clone()).await)
                    .await;
                self.show(result, terminal)
            }
            ReadCommand::Job(id) => {
                let result = calls.read(async |entry| entry.job(id).await).await;
                self.show(result, terminal)
            }
            ReadCommand::Audit(query) => {
                let result = calls
                    .read(async |entry| entry.audit(query.clone()).await)
                    .await;
                self.show(result, terminal)
            }
            ReadCommand::Status => {
                let result = calls.read(async |entry| entry.status().await).await;
                self.show(result, terminal)
            }
        }
    }

    fn show<T: HumanText + Serialize>(
        &self,
        result: Result<T, OperatorError>,
        terminal: &mut Terminal<'_>,
    ) -> ExitStatus {
        match result {
            Ok(value) => terminal.print(&self.output.text(&value), ExitStatus::Done),
            Err(error) => terminal.fail(&error.to_string(), error.kind.into()),
        }
    }

    fn show_rows<T: Serialize>(
        &self,
        result: Result<Vec<T>, OperatorError>,
        terminal: &mut Terminal<'_>,
    ) -> ExitStatus
    where
        [T]: HumanText,
    {
        match result {
            Ok(rows) => terminal.print(&self.output.text(rows.as_slice()), ExitStatus::Done),
            Err(error) => terminal.fail(&error.to_string(), error.kind.into()),
        }
    }
}

/// What a valid configuration contains.
#[derive(Clone, Copy, Debug, Serialize)]
struct ValidResult {
    pools: usize,
    services: usize,
    #[serde(rename = "tenants")]
    organisations: usize,
    valid: bool,
}

impl ValidResult {
    fn new(config: &FleetConfig) -> Self {
        Self {
            pools: config.pools.len(),
            services: config.services.len(),
            organisations: config.organisations.len(),
            valid: true,
        }
    }
}

impl HumanText for ValidResult {
    fn human_text(&self) -> String {
        format!(
            "valid: {} pools, {} services, {} tenants",
            self.pools, self.services, self.organisations
        )
    }
}
