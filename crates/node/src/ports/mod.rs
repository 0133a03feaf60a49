//! What the daemon needs of the platform, as trait objects.

mod feed;
mod hosts;
mod runners;
mod store;

pub use {
    feed::{FeedBatch, OperatorRecord, RecordFeed},
    hosts::HostService,
    runners::{HoldCall, RunnerPeer, RunnerService},
    store::{
        AppendGuard, AppendPlace, NewestPage, PlatformStore, ReadBatch, StoreFailure, StoreTopic,
    },
};
