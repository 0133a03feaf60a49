//! Tasks that read the records of operators, the reports of runners and the list of hosts.

mod host_feed;
mod operator_feed;
mod runner_feed;
mod store_contact;

pub use {
    host_feed::follow_hosts, operator_feed::OperatorFeed, runner_feed::RunnerFeed,
    store_contact::StoreContact,
};
