use super::loss_distribution::LossDistribution;

/// Largest buffer that is tried, in hosts.
const MAX_BUFFER: u32 = 100_000;

/// Causes of missing hosts that the buffer of a pool has to cover.
#[derive(Clone, Debug, PartialEq)]
pub struct BufferInput {
    /// Fraction of the time during which a data centre is lost.
    pub data_centre_loss: f64,
    /// Number of data centres over which the hosts of the pool are spread evenly.
    pub data_centres: u32,
    /// Mean number of hosts that are down for other reasons.
    pub mean_failures: f64,
    /// Standard deviation of the need from its forecast, in hosts.
    pub forecast_deviation: f64,
    /// Number of hosts that a wave stops at the same time.
    pub concurrent_stops: u32,
    /// Fraction of the time during which a wave runs.
    pub maintenance_fraction: f64,
    /// Number of hosts that have to be available: the forecast need.
    pub min_available: u32,
    /// Maximum number of hosts of the pool in one rack.
    pub rack_hosts: u32,
    /// Fraction of the time during which a rack is lost.
    pub rack_loss: f64,
    /// Maximum fraction of the time during which the buffer may be too small.
    pub max_shortfall: f64,
}

/// Size of a buffer and the fraction of the time during which it is too small.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BufferPlan {
    /// Number of hosts beyond the forecast need.
    pub hosts: u32,
    /// Expected fraction of the time during which more hosts are missing.
    pub shortfall: f64,
}

impl BufferPlan {
    /// Sizes the buffer for all causes together.
    ///
    /// Causes rarely coincide, and a wave waits while other causes use the budget, so the buffer need not cover
    /// their sum. It always covers the loss of the largest failure domain plus one planned stop, so that
    /// waves can proceed under the survive rule.
    pub fn joint_buffer(input: &BufferInput) -> Self {
        let losses = LossTable::new(input);
        let fits = |hosts: &u32| {
            let min_hosts = largest_domain(input, *hosts) + u32::from(input.concurrent_stops > 0);
            *hosts >= min_hosts && losses.shortfall(input, *hosts) <= input.max_shortfall
        };
        let hosts = (0..MAX_BUFFER).find(fits).unwrap_or(MAX_BUFFER);
        Self {
            hosts,
            shortfall: losses.shortfall(input, hosts),
        }
    }

    /// Returns the expected fraction of the time during which more than `hosts` hosts are missing.
    pub fn expected_shortfall(input: &BufferInput, hosts: u32) -> f64 {
        LossTable::new(input).shortfall(input, hosts)
    }
}

/// Returns the sum of the buffers that each cover one cause: failures, maintenance, forecast, and the loss
/// of the largest failure domain.
pub fn independent_buffer(input: &BufferInput) -> u32 {
    let failures = LossDistribution::failures(input.mean_failures).quantile(input.max_shortfall);
    let forecast =
        LossDistribution::forecast(input.forecast_deviation).quantile(input.max_shortfall);
    let base = failures + forecast + input.concurrent_stops;
    let covers = |hosts: &u32| *hosts >= base + largest_domain(input, *hosts);
    (base..MAX_BUFFER).find(covers).unwrap_or(MAX_BUFFER)
}

/// Returns the size of the largest failure domain of a pool with `buffer` hosts beyond its need.
fn largest_domain(input: &BufferInput, buffer: u32) -> u32 {
    let hosts = input.min_available + buffer;
    hosts
        .div_ceil(input.data_centres.max(1))
        .max(input.rack_hosts)
}

/// The distributions of missing hosts, without and with maintenance.
#[derive(Debug)]
struct LossTable {
    with_maintenance: LossDistribution,
    without_maintenance: LossDistribution,
}

impl LossTable {
    fn new(input: &BufferInput) -> Self {
        let failures = LossDistribution::failures(input.mean_failures);
        let forecast = LossDistribution::forecast(input.forecast_deviation);
        let without_maintenance = failures.plus(&forecast);
        let maintenance =
            LossDistribution::concurrent(input.concurrent_stops, input.maintenance_fraction);
        Self {
            with_maintenance: without_maintenance.plus(&maintenance),
            without_maintenance,
        }
    }

    /// Returns the fraction of the time during which `buffer` hosts are too few.
    fn shortfall(&self, input: &BufferInput, buffer: u32) -> f64 {
        let remaining = |lost: u32| i64::from(buffer) - i64::from(lost);
        let data_centre = largest_domain(input, buffer);
        let normal = 1.0 - input.rack_loss - input.data_centre_loss;
        // While a domain is lost the budget is spent, so no wave starts a stop.
        normal * self.with_maintenance.probability_above(remaining(0))
            + input.rack_loss
                * self
                    .without_maintenance
                    .probability_above(remaining(input.rack_hosts))
            + input.data_centre_loss
                * self
                    .without_maintenance
                    .probability_above(remaining(data_centre))
    }
}
