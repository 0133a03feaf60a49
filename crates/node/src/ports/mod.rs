//! What the daemon needs of the platform, as trait objects.

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
