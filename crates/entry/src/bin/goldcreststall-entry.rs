//! The daemon of an entry host.

use {
    goldcreststall_entry::{
        daemon, logging,
        settings::{EntrySettings, SettingsError},
    },
    std::process::ExitCode,
};

const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let environment = |name: &str| std::env::var(name).ok();
    let settings = match EntrySettings::read(std::env::args_os().skip(1), &environment) {
        Ok(settings) => settings,
        Err(SettingsError::Help(help)) => {
            print!("{help}");
            return ExitCode::SUCCESS;
        }
        Err(mistakes) => {
            eprintln!("{mistakes}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    let logger = logging::build_logger(
        settings.log_format,
        settings.log_level,
        settings.name.as_str(),
    );
    match daemon::run(&settings, &logger) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
