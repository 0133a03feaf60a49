//! Plays a case of this review: `case-standin NAME FOLDER`. Starts the platform as a stand-in and the entry hosts as
//! processes, writes `record.txt` in FOLDER, and exits with 1 if the rule was broken, 0 if it held and 2 if the case
//! could not run. With `TROUBLE=0` in the environment it plays the same without the disruption.

mod http;
mod idle_lease;
mod json;
mod late_life;
mod platform;
mod record;
mod relay;
mod runner;
mod store;

use platform::{Node, Platform};
use record::Record;
use runner::RunnerShape;
use std::{
    env, fs, io,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// What a case has shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// A case while it is played.
pub struct Stage {
    pub platform: Platform,
    pub nodes: Vec<Node>,
    pub has_trouble: bool,
}

impl Stage {
    pub fn write(&self, line: &str) {
        self.platform.record.write(line);
    }

    /// Publishes a configuration with one queue `jobs` of the service `shop`.
    pub fn publish(&self) {
        let config = r#"{"Version":7,"Routes":[{"Name":"jobs","Host":"shop.example","PathPrefix":"/jobs/","Type":"unsafe","Service":"shop","TimeoutMs":3000,"TargetLatencyMs":600,"Priority":0,"Attempts":3,"Stretch":1.6}],"Services":[{"Name":"shop","AdmissionCheck":false,"MaxConnections":64,"Spare":false}],"Limits":{}}"#;
        self.platform.store.put("keyed.op", "config", config);
        self.write("operator: version 7 is acknowledged");
    }

    /// Waits until all entry hosts are ready.
    pub fn wait_ready(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.nodes.iter_mut().any(Node::has_ended) {
                self.write("an entry host has ended by itself");
                return false;
            }
            if self.nodes.iter().all(Node::is_ready) {
                self.write("all entry hosts are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.write("the entry hosts are not ready in time");
        false
    }

    /// Sends a request of a client; returns status and body, status 0 without an answer.
    pub fn call(&self, node: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        let deadline = [("X-Goldcreststall-Deadline-Ms", "3000")];
        let timeout = Duration::from_millis(3_000);
        let front = self.nodes[node].front;
        let answer = http::call(front, (method, "shop.example", path), &deadline, body, timeout);
        let (status, text) = answer.unwrap_or((0, String::new()));
        let name = &self.nodes[node].name;
        self.write(&format!("client: {method} {path} at {name} {body} -> {status} {text}"));
        (status, text)
    }

    /// Hands in a job, again after an answer that leaves it open or asks to come back.
    pub fn submit(&self, node: usize, id: &str, body: &str) -> bool {
        let path = format!("/jobs/{id}");
        (0..5).any(|_| {
            let (status, _) = self.call(node, "POST", &path, body);
            if status != 200 {
                thread::sleep(Duration::from_millis(300));
            }
            status == 200
        })
    }
}

fn prepare(shapes: &[RunnerShape], folder: &Path, temporary: &Path) -> io::Result<Stage> {
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    let platform = Platform::start(shapes, record, temporary.to_owned())?;
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    Ok(Stage { platform, nodes: Vec::new(), has_trouble })
}

fn play(name: &str, folder: &Path, temporary: &Path) -> io::Result<Verdict> {
    match name {
        "idle-lease" => idle_lease::play(prepare(idle_lease::RUNNERS, folder, temporary)?),
        "late-life" => late_life::play(prepare(late_life::RUNNERS, folder, temporary)?),
        _ => Ok(Verdict::NotRun),
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: case-standin NAME FOLDER");
        return ExitCode::from(2);
    };
    let temporary = env::temp_dir().join(format!("case-{name}-{}", std::process::id()));
    let played = fs::create_dir_all(&temporary).and_then(|()| play(name, &PathBuf::from(folder), &temporary));
    if env::var("KEEP").is_err() {
        // What is left of a run is of no use to the next one.
        let _ = fs::remove_dir_all(&temporary);
    }
    match played {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::NotRun) => ExitCode::from(2),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
