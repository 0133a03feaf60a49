//! Tests of the traffic policy; each module covers one feature.

mod admission;
mod class_floor;
mod connection_shares;
mod failing_target;
mod fair_organisations;
mod fleet;
mod learned_limit;
mod leaving_notices;
mod one_end;
mod organisation_quota;
mod retry_bound;
mod slot_bounds;
mod view_change;
