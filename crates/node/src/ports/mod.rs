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
    runners::{HoldCall, RunnerPeer, RunnerService},
    store::{
        AppendGuard, AppendPlace, NewestPage, PlatformStore, ReadBatch, StoreError, StoreTopic,
    },
};
