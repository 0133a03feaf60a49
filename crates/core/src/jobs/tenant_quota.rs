use crate::{collections::SortedMap, config::FleetConfig, ids::TenantName, ledger::Rejection};

/// Most unfinished jobs of all tenants together.
pub const MAX_UNFINISHED: u32 = 10_000;
/// Part of [`MAX_UNFINISHED`] that is divided among the tenants by weight and stays free for each of
/// them. The rest is common and goes to whoever asks first.
const GUARANTEED: u32 = MAX_UNFINISHED / 2;

/// Checks whether `tenant` may have one more unfinished job.
///
/// # Errors
/// `UnknownTenant`, `QuotaExceeded`.
pub(super) fn check_quota(
    config: &FleetConfig,
    unfinished: &SortedMap<TenantName, u32>,
    tenant: &TenantName,
) -> Result<(), Rejection> {
    let total: u64 = config.tenants.iter().map(|row| u64::from(row.weight)).sum();
    let mut common = 0;
    let mut known = false;
    for row in &config.tenants {
        let used = unfinished.get(&row.name).copied().unwrap_or_default();
        let share = u64::from(GUARANTEED) * u64::from(row.weight) / total.max(1);
        if row.name == *tenant {
            known = true;
            if u64::from(used) < share {
                return Ok(());
            }
        }
        common += u64::from(used).saturating_sub(share);
    }
    if !known {
        return Err(Rejection::UnknownTenant);
    }
    if common < u64::from(MAX_UNFINISHED - GUARANTEED) {
        return Ok(());
    }
    Err(Rejection::QuotaExceeded)
}
