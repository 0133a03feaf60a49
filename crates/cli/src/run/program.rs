use {
    super::Terminal,
    crate::{
        arguments::{ParseResult, help_text},
        calls::{EntryConnector, FailoverClient},
        commands::{Command, ReadCommand, ValueValidator},
        output::{ChangeResult, ExitStatus, HumanText, OutputFormat},
        settings::{Invocation, Settings},
    },
    goldcreststall_core::{config::FleetConfig, ids::RecordId},
    goldcreststall_operators::{ChangeRequest, FieldMistake, OperatorChange, OperatorError},
    serde::Serialize,
    std::{fs, path::Path},
};

/// Runs the program once and returns how it ended. All mistakes in arguments and settings are reported together,
/// before any entry host is called.
pub async fn run(
    invocation: Invocation,
    connector: &dyn EntryConnector,
    terminal: &mut Terminal<'_>,
) -> ExitStatus {
    let (parsed, mistakes) = match ParseResult::parse(invocation.arguments) {
        ParseResult::Help(arguments) => {
            let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
            return terminal.print(&help_text(&arguments), ExitStatus::Done);
        }
        ParseResult::Version => {
            let text = concat!("goldcreststall ", env!("CARGO_PKG_VERSION"), "\n");
            return terminal.print(text, ExitStatus::Done);
        }
        ParseResult::Invalid(mistakes) => return report_mistakes(terminal, &mistakes),
        ParseResult::Command(parsed, mistakes) => (parsed, mistakes),
    };
    let required_settings = parsed.spec.required_settings;
    let mut validator = ValueValidator::new(parsed, mistakes);
    let command = Command::parse(&mut validator, invocation.now);
    let settings = Settings::parse(&mut validator, required_settings, &invocation.variables);
    let (command, settings) = match validator.finish(command.zip(settings)) {
        Ok(checked) => checked,
        Err(mistakes) => return report_mistakes(terminal, &mistakes),
    };
    let program = Program {
        client: FailoverClient {
            connector,
            entries: &settings.entries,
            timeout: settings.timeout,
        },
        output: settings.output,
        request_id: settings.request_id.unwrap_or(invocation.request_id),
        settings: &settings,
    };
    program.execute(command, terminal).await
}

fn report_mistakes(terminal: &mut Terminal<'_>, mistakes: &[FieldMistake]) -> ExitStatus {
    let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
    terminal.print_error(&lines.join("\n"), ExitStatus::Mistakes)
}

/// Reads a file. When it cannot be read, prints the reason and returns the status to exit with.
fn read_file(file: &Path, terminal: &mut Terminal<'_>) -> Result<String, ExitStatus> {
    fs::read_to_string(file).map_err(|error| {
        let allowed = format!("a readable file in UTF-8 ({error})");
        let mistake = FieldMistake::new("FILE", &file.to_string_lossy(), &allowed);
        report_mistakes(terminal, &[mistake])
    })
}

/// Executes a checked command.
struct Program<'a> {
    client: FailoverClient<'a>,
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
                    return terminal.print_error(&error.to_string(), ExitStatus::Rejected);
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
                let text = self.output.text(&ValidationResult::new(&config));
                terminal.print(&text, ExitStatus::Done)
            }
            Err(error) => terminal.print_error(&error.to_string(), ExitStatus::Rejected),
        }
    }

    async fn change(&self, change: OperatorChange, terminal: &mut Terminal<'_>) -> ExitStatus {
        let Some(operator) = self.settings.operator.clone() else {
            return terminal.print_error("--operator: no value", ExitStatus::Mistakes);
        };
        let change_request = ChangeRequest {
            change,
            operator,
            request_id: self.request_id,
        };
        match self.client.change(change_request).await {
            Ok(outcome) => {
                let status = ExitStatus::from(&outcome);
                let result = ChangeResult::new(outcome, self.request_id.to_string());
                terminal.print(&self.output.text(&result), status)
            }
            Err(error) => {
                let line = format!("not done: {error}");
                terminal.print_error(&line, error.kind.into())
            }
        }
    }

    async fn read(&self, read: ReadCommand, terminal: &mut Terminal<'_>) -> ExitStatus {
        let client = &self.client;
        match read {
            ReadCommand::Config => {
                let result = client.read(async |backend| backend.config().await).await;
                self.print_result(result, terminal)
            }
            ReadCommand::Pools => {
                let result = client.read(async |backend| backend.pools().await).await;
                self.print_rows(result, terminal)
            }
            ReadCommand::Hosts(query) => {
                let result = client
                    .read(async |backend| backend.hosts(query.clone()).await)
                    .await;
                self.print_rows(result, terminal)
            }
            ReadCommand::Waves(query) => {
                let result = client
                    .read(async |backend| backend.waves(query.clone()).await)
                    .await;
                self.print_rows(result, terminal)
            }
            ReadCommand::Jobs(query) => {
                let result = client
                    .read(async |backend| backend.jobs(query.clone()).await)
                    .await;
                self.print_result(result, terminal)
            }
            ReadCommand::Job(id) => {
                let result = client.read(async |backend| backend.job(id).await).await;
                self.print_result(result, terminal)
            }
            ReadCommand::Audit(query) => {
                let result = client
                    .read(async |backend| backend.audit(query.clone()).await)
                    .await;
                self.print_result(result, terminal)
            }
            ReadCommand::Status => {
                let result = client.read(async |backend| backend.status().await).await;
                self.print_result(result, terminal)
            }
        }
    }

    fn print_result<T: HumanText + Serialize>(
        &self,
        result: Result<T, OperatorError>,
        terminal: &mut Terminal<'_>,
    ) -> ExitStatus {
        match result {
            Ok(value) => terminal.print(&self.output.text(&value), ExitStatus::Done),
            Err(error) => terminal.print_error(&error.to_string(), error.kind.into()),
        }
    }

    fn print_rows<T: Serialize>(
        &self,
        result: Result<Vec<T>, OperatorError>,
        terminal: &mut Terminal<'_>,
    ) -> ExitStatus
    where
        [T]: HumanText,
    {
        match result {
            Ok(rows) => terminal.print(&self.output.text(rows.as_slice()), ExitStatus::Done),
            Err(error) => terminal.print_error(&error.to_string(), error.kind.into()),
        }
    }
}

/// The printed result of checking a valid configuration: how much it contains.
#[derive(Clone, Copy, Debug, Serialize)]
struct ValidationResult {
    pools: usize,
    services: usize,
    #[serde(rename = "tenants")]
    organisations: usize,
    valid: bool,
}

impl ValidationResult {
    fn new(config: &FleetConfig) -> Self {
        Self {
            pools: config.pools.len(),
            services: config.services.len(),
            organisations: config.organisations.len(),
            valid: true,
        }
    }
}

impl HumanText for ValidationResult {
    fn human_text(&self) -> String {
        format!(
            "valid: {} pools, {} services, {} tenants",
            self.pools, self.services, self.organisations
        )
    }
}
