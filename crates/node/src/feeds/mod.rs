//! Tasks that follow what operators, runners and the host service say.

mod host_feed;
mod operator_feed;
mod runner_feed;

pub use {host_feed::follow_hosts, operator_feed::OperatorFeed, runner_feed::RunnerFeed};
