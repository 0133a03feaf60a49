//! Stand-ins of the users' platform, runners and clients for the scripts of the review.
//!
//! Usage: `standin CASE RECORD FOLDER`. The variable `TROUBLE` set to 0 leaves out the disruption. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod system;

use {
    record::Record,
    std::{path::Path, process::ExitCode, sync::Arc, thread, time::Duration},
};

const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;
/// Time after which a case is given up.
const MOST_TIME: Duration = Duration::from_secs(112);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD FOLDER");
        return ExitCode::from(NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(record)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{record}: {error}");
            return ExitCode::from(NOT_RUN);
        }
    };
    let watched = Arc::clone(&record);
    thread::spawn(move || {
        thread::sleep(MOST_TIME);
        watched.line("given up: the case takes too long");
        // The script that called this ends the processes.
        std::process::exit(i32::from(NOT_RUN));
    });
    record.line(&format!("case {case}, disruption {trouble}"));
    match cases::play(case, trouble, Path::new(folder), &record) {
        Ok(None) => {
            record.line("the rule held");
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Some(seen)) => {
            record.line(&format!("the rule was broken: {seen}"));
            println!("{case}: the rule was broken: {seen}");
            ExitCode::from(BROKEN)
        }
        Err(error) => {
            record.line(&format!("not run: {error}"));
            println!("{case}: not run: {error}");
            ExitCode::from(NOT_RUN)
        }
    }
}
