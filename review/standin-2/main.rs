//! Small deployments with one disruption each. `review-2 CASE RECORD` plays a case; `TROUBLE=0` leaves its disruption out.
//! Exit state: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod system;

mod case_crash;
mod case_lasting;
mod case_outage;
mod case_stuck;

use record::Record;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {case}, trouble {trouble}"));
    let played = match case.as_str() {
        "crash" => case_crash::play(record.clone(), trouble),
        "lasting" => case_lasting::play(record.clone(), trouble),
        "outage" => case_outage::play(record.clone(), trouble),
        "stuck" => case_stuck::play(record.clone(), trouble),
        _ => Err(format!("no case {case}")),
    };
    match played {
        Ok(broken) if broken.is_empty() => {
            record.say("HELD");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in broken {
                record.say(&format!("BROKEN {line}"));
            }
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(&format!("COULD NOT RUN {error}"));
            ExitCode::from(2)
        }
    }
}
