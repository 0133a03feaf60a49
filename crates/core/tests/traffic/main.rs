//! Guards the traffic policy; each module covers one feature.

mod admission;
mod class_floor;
mod failing_target;
mod fair_tenants;
mod fleet;
mod learned_limit;
mod leaving_marks;
mod one_end;
mod retry_bound;
mod slot_bounds;
mod tenant_quota;
mod view_change;
