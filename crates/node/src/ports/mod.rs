//! The services of the platform that the daemon uses, as traits.

mod advice;
mod feed;
mod hosts;
mod runners;
mod store;

pub use {
    advice::AdviceService,
    feed::{FeedBatch, OperatorRecord, RecordFeed},
    hosts::HostService,
    runners::{HoldCall, RunnerEndpoint, RunnerService},
    store::{
        AppendCondition, AppendPosition, NewestPage, PlatformStore, ReadBatch, StoreError,
        StoreTopic,
    },
};
