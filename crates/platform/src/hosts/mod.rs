//! The list of live and leaving hosts, which lags behind their actual state, and the control of hosts.

mod host_control;
mod host_list;
mod host_row;
mod http_hosts;

pub use {
    host_control::HostControl,
    host_list::{HostList, HostsError},
    host_row::{HostListing, HostRow, HostStatus},
    http_hosts::HttpHosts,
};
