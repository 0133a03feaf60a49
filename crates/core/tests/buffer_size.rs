//! Guards against buffers that are too small for a failure domain, or as large as the sum of the buffers for
//! each cause.

use goldcreststall_core::capacity::{BufferInput, BufferPlan, independent_buffer};

fn input() -> BufferInput {
    BufferInput {
        data_centre_loss: 0.003,
        data_centres: 3,
        mean_failures: 0.2,
        forecast_deviation: 1.0,
        concurrent_stops: 2,
        maintenance_fraction: 0.1,
        min_available: 20,
        rack_hosts: 4,
        rack_loss: 0.003,
        max_shortfall: 0.001,
    }
}

/// The pool covers its need without its largest data centre and with one more host stopped, even when such a
/// loss is too rare to count in the shortfall.
#[test]
fn domain_loss() {
    for min_available in 1..60 {
        let input = BufferInput {
            data_centre_loss: 0.0,
            min_available,
            ..input()
        };
        let plan = BufferPlan::joint_buffer(&input);
        let hosts = min_available + plan.hosts;
        assert!(
            hosts - hosts.div_ceil(3) > min_available,
            "{min_available}: {plan:?}"
        );
        assert!(
            plan.shortfall <= input.max_shortfall,
            "{min_available}: {plan:?}"
        );
    }
}

/// Without failures, maintenance and forecast errors, only the loss of a failure domain is covered.
#[test]
fn nothing_else() {
    let input = BufferInput {
        mean_failures: 0.0,
        forecast_deviation: 0.0,
        concurrent_stops: 0,
        ..input()
    };
    assert_eq!(BufferPlan::joint_buffer(&input).hosts, 10);
    assert_eq!(independent_buffer(&input), 10);
}

/// The joint buffer never exceeds the sum of the independent buffers, and it grows with each cause.
#[test]
fn below_sum() {
    let base = BufferPlan::joint_buffer(&input()).hosts;
    assert!(base < independent_buffer(&input()));
    let larger_inputs = [
        BufferInput {
            mean_failures: 8.0,
            ..input()
        },
        BufferInput {
            forecast_deviation: 8.0,
            ..input()
        },
        BufferInput {
            concurrent_stops: 18,
            ..input()
        },
        BufferInput {
            data_centre_loss: 0.9,
            max_shortfall: 0.000_01,
            ..input()
        },
    ];
    for input in larger_inputs {
        let plan = BufferPlan::joint_buffer(&input);
        assert!(plan.hosts > base, "{input:?}: {plan:?}");
        assert!(
            plan.hosts <= independent_buffer(&input),
            "{input:?}: {plan:?}"
        );
    }
}

/// The expected shortfall of the planned size equals that of the plan, and a smaller buffer never has a smaller
/// shortfall.
#[test]
fn shortfall_size() {
    let plan = BufferPlan::joint_buffer(&input());
    let shortfall = |hosts| BufferPlan::expected_shortfall(&input(), hosts);
    assert_eq!(shortfall(plan.hosts), plan.shortfall);
    for hosts in 1..plan.hosts {
        assert!(shortfall(hosts - 1) >= shortfall(hosts), "{hosts}");
    }
}
