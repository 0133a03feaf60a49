use crate::{
    collections::SortedMap, config::FleetConfig, ids::OrganisationName, ledger::Rejection,
};

/// Maximum number of unfinished jobs of all organisations together.
pub const MAX_UNFINISHED: u32 = 10_000;
/// Part of [`MAX_UNFINISHED`] that is divided among the organisations by weight and reserved for them. The rest is
/// shared and goes to whoever submits first.
const GUARANTEED_UNFINISHED: u32 = MAX_UNFINISHED / 2;

/// Checks whether the quota of `organisation` admits one more unfinished job.
///
/// # Errors
/// `UnknownOrganisation`, `QuotaExceeded`.
pub(super) fn check_quota(
    config: &FleetConfig,
    unfinished: &SortedMap<OrganisationName, u32>,
    organisation: &OrganisationName,
) -> Result<(), Rejection> {
    let organisations = &config.organisations;
    let index = organisations.binary_search_by(|row| row.name.cmp(organisation));
    let index = index.map_err(|_| Rejection::UnknownOrganisation)?;
    let used = unfinished.get(organisation).copied().unwrap_or_default();
    if organisations[index]
        .max_jobs
        .is_some_and(|limit| used >= limit)
    {
        return Err(Rejection::QuotaExceeded);
    }
    let shared_part = MAX_UNFINISHED - GUARANTEED_UNFINISHED;
    // While all jobs together fit into the shared part, the guaranteed shares need not be computed.
    if unfinished.values().sum::<u32>() < shared_part {
        return Ok(());
    }
    let total_weight: u64 = organisations.iter().map(|row| u64::from(row.weight)).sum();
    let guaranteed_share =
        |weight: u32| u64::from(GUARANTEED_UNFINISHED) * u64::from(weight) / total_weight.max(1);
    if u64::from(used) < guaranteed_share(organisations[index].weight) {
        return Ok(());
    }
    // Both lists are sorted by name. An organisation that is no longer configured has no guaranteed share.
    let mut rows = organisations.iter().peekable();
    let excess = unfinished.iter().map(|(name, used)| {
        while rows.next_if(|row| row.name < *name).is_some() {}
        let row = rows.next_if(|row| row.name == *name);
        u64::from(*used).saturating_sub(row.map_or(0, |row| guaranteed_share(row.weight)))
    });
    match excess.sum::<u64>() < u64::from(shared_part) {
        true => Ok(()),
        false => Err(Rejection::QuotaExceeded),
    }
}
