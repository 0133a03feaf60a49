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
    let tenants = &config.tenants;
    let index = tenants.binary_search_by(|row| row.name.cmp(tenant));
    let index = index.map_err(|_| Rejection::UnknownTenant)?;
    let used = unfinished.get(tenant).copied().unwrap_or_default();
    if tenants[index].max_jobs.is_some_and(|most| used >= most) {
        return Err(Rejection::QuotaExceeded);
    }
    let common_part = MAX_UNFINISHED - GUARANTEED;
    // While all jobs together fit into the common part, there is no need to tell shares apart.
    if unfinished.values().sum::<u32>() < common_part {
        return Ok(());
    }
    let total: u64 = tenants.iter().map(|row| u64::from(row.weight)).sum();
    let share = |weight: u32| u64::from(GUARANTEED) * u64::from(weight) / total.max(1);
    if u64::from(used) < share(tenants[index].weight) {
        return Ok(());
    }
    // Both lists are sorted by name. A tenant that is no longer configured has no share.
    let mut rows = tenants.iter().peekable();
    let excess = unfinished.iter().map(|(name, used)| {
        while rows.next_if(|row| row.name < *name).is_some() {}
        let row = rows.next_if(|row| row.name == *name);
        u64::from(*used).saturating_sub(row.map_or(0, |row| share(row.weight)))
    });
    match excess.sum::<u64>() < u64::from(common_part) {
        true => Ok(()),
        false => Err(Rejection::QuotaExceeded),
    }
}
