//! The SVG diagrams of a policy comparison.

use jaypin_bench::{Run, plot};

fn run(policy: &str, load: f64, goodput: f64) -> Run {
    Run {
        policy: policy.to_owned(),
        load,
        weighted_goodput: goodput,
        wasted_prefill: 0.1,
    }
}

#[test]
fn every_policy_has_a_line_and_every_run_a_dot() {
    let runs = [
        run("grants", 1.0, 0.9),
        run("grants", 1.5, 0.7),
        run("local", 1.0, 0.8),
    ];
    let svg = plot(&runs).expect("a picture");
    assert!(svg.starts_with("<svg"));
    for policy in ["grants", "local"] {
        assert!(svg.contains(policy), "{policy}");
    }
    // There are two diagrams, each with one dot per run.
    assert_eq!(svg.matches("<circle").count(), 2 * runs.len());
}

#[test]
fn no_runs_are_an_error() {
    assert!(plot(&[]).is_err());
}
