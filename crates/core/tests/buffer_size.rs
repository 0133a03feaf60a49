//! Guards against buffers that are too small for a failure domain or as large as the sum of their causes.

use goldcreststall_core::capacity::{BufferInput, BufferPlan, summed_buffer};

fn input() -> BufferInput {
    BufferInput {
        data_centre_loss: 0.003,
        data_centres: 3,
        failures: 0.2,
        forecast_deviation: 1.0,
        maintained: 2,
        maintenance: 0.1,
        min_available: 20,
        rack_hosts: 4,
        rack_loss: 0.003,
        shortfall: 0.001,
    }
}

/// The pool keeps its need without its largest data centre, with one host stopped besides, even when such a
/// loss is too rare to count in the shortfall.
#[test]
fn domain_loss() {
    for min_available in 1..60 {
        let input = BufferInput {
            data_centre_loss: 0.0,
            min_available,
            ..input()
        };
        let plan = BufferPlan::joint(&input);
        let hosts = min_available + plan.hosts;
        assert!(
            hosts - hosts.div_ceil(3) > min_available,
            "{min_available}: {plan:?}"
        );
        assert!(
            plan.shortfall <= input.shortfall,
            "{min_available}: {plan:?}"
        );
    }
}

/// Without failures, maintenance and forecast error, nothing but the loss of a domain is covered.
#[test]
fn nothing_else() {
    let input = BufferInput {
        failures: 0.0,
        forecast_deviation: 0.0,
        maintained: 0,
        ..input()
    };
    assert_eq!(BufferPlan::joint(&input).hosts, 10);
    assert_eq!(summed_buffer(&input), 10);
}

/// The joint buffer never exceeds the sum, and it grows with each cause.
#[test]
fn below_sum() {
    let base = BufferPlan::joint(&input()).hosts;
    assert!(base < summed_buffer(&input()));
    let more = [
        BufferInput {
            failures: 8.0,
            ..input()
        },
        BufferInput {
            forecast_deviation: 8.0,
            ..input()
        },
        BufferInput {
            maintained: 18,
            ..input()
        },
        BufferInput {
            data_centre_loss: 0.9,
            shortfall: 0.000_01,
            ..input()
        },
    ];
    for input in more {
        let plan = BufferPlan::joint(&input);
        assert!(plan.hosts > base, "{input:?}: {plan:?}");
        assert!(plan.hosts <= summed_buffer(&input), "{input:?}: {plan:?}");
    }
}

/// The expected shortfall of a size is that of the plan, and a smaller buffer never has a smaller one.
#[test]
fn shortfall_size() {
    let plan = BufferPlan::joint(&input());
    let shortfall = |hosts| BufferPlan::expected_shortfall(&input(), hosts);
    assert_eq!(shortfall(plan.hosts), plan.shortfall);
    for hosts in 1..plan.hosts {
        assert!(shortfall(hosts - 1) >= shortfall(hosts), "{hosts}");
    }
}
