use super::loss_counts::LossCounts;

/// Largest buffer that is considered, in hosts.
const MAX_BUFFER: u32 = 100_000;

/// What the buffer of a pool has to cover.
#[derive(Clone, Debug, PartialEq)]
pub struct BufferInput {
    /// Share of the time during which a data centre is lost.
    pub data_centre_loss: f64,
    /// Data centres over which the hosts of the pool are spread evenly.
    pub data_centres: u32,
    /// Hosts that are down on average for other reasons.
    pub failures: f64,
    /// Standard deviation of the need around its forecast, in hosts.
    pub forecast_deviation: f64,
    /// Hosts that a wave stops at the same time.
    pub maintained: u32,
    /// Share of the time during which a wave runs.
    pub maintenance: f64,
    /// Hosts that have to be available; the forecast need.
    pub min_available: u32,
    /// Hosts of the pool in one rack, at most.
    pub rack_hosts: u32,
    /// Share of the time during which a rack is lost.
    pub rack_loss: f64,
    /// Share of the time during which the buffer may be too small.
    pub shortfall: f64,
}

/// The size of a buffer and the share of the time during which it is too small.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BufferPlan {
    /// Hosts beyond the forecast need.
    pub hosts: u32,
    /// Expected share of the time during which more hosts are missing.
    pub shortfall: f64,
}

impl BufferPlan {
    /// Sizes the buffer for all causes together.
    ///
    /// Causes rarely meet, and a wave waits while other causes use the budget, so the buffer need not cover
    /// their sum. It always covers the loss of the largest failure domain and one planned stop besides, so
    /// that waves go on under the survive rule.
    pub fn joint(input: &BufferInput) -> Self {
        let losses = LossTable::new(input);
        let fits = |hosts: &u32| {
            let floor = largest_domain(input, *hosts) + u32::from(input.maintained > 0);
            *hosts >= floor && losses.shortfall(input, *hosts) <= input.shortfall
        };
        let hosts = (0..MAX_BUFFER).find(fits).unwrap_or(MAX_BUFFER);
        Self {
            hosts,
            shortfall: losses.shortfall(input, hosts),
        }
    }

    /// Returns the expected share of the time during which more than `hosts` hosts are missing.
    pub fn expected_shortfall(input: &BufferInput, hosts: u32) -> f64 {
        LossTable::new(input).shortfall(input, hosts)
    }
}

/// Returns the sum of the buffers that each cover one cause: failures, maintenance, forecast, and the loss
/// of the largest failure domain.
pub fn summed_buffer(input: &BufferInput) -> u32 {
    let failures = LossCounts::failures(input.failures).quantile(input.shortfall);
    let forecast = LossCounts::forecast(input.forecast_deviation).quantile(input.shortfall);
    let base = failures + forecast + input.maintained;
    let covers = |hosts: &u32| *hosts >= base + largest_domain(input, *hosts);
    (base..MAX_BUFFER).find(covers).unwrap_or(MAX_BUFFER)
}

/// Returns the hosts in the largest failure domain of a pool with `buffer` hosts beyond its need.
fn largest_domain(input: &BufferInput, buffer: u32) -> u32 {
    let hosts = input.min_available + buffer;
    hosts
        .div_ceil(input.data_centres.max(1))
        .max(input.rack_hosts)
}

/// The distributions of missing hosts, without and with maintenance.
#[derive(Debug)]
struct LossTable {
    maintained: LossCounts,
    unmaintained: LossCounts,
}

impl LossTable {
    fn new(input: &BufferInput) -> Self {
        let failures = LossCounts::failures(input.failures);
        let forecast = LossCounts::forecast(input.forecast_deviation);
        let unmaintained = failures.plus(&forecast);
        let maintenance = LossCounts::during(input.maintained, input.maintenance);
        Self {
            maintained: unmaintained.plus(&maintenance),
            unmaintained,
        }
    }

    /// Returns the share of the time during which `buffer` hosts are too few.
    fn shortfall(&self, input: &BufferInput, buffer: u32) -> f64 {
        let left = |lost: u32| i64::from(buffer) - i64::from(lost);
        let data_centre = largest_domain(input, buffer);
        let normal = 1.0 - input.rack_loss - input.data_centre_loss;
        // During a loss the budget is used up, so that no wave starts a stop.
        normal * self.maintained.above(left(0))
            + input.rack_loss * self.unmaintained.above(left(input.rack_hosts))
            + input.data_centre_loss * self.unmaintained.above(left(data_centre))
    }
}
