//! Wire format of rollout orders and request outcomes per version.

use std::time::Duration;

use jaypin_core::ServiceId;
use jaypin_router::{
    OutcomeCounts, RolloutOrder, RolloutReport, RolloutState, RouteOutcomes, SoftwareVersion,
    VersionOutcomes,
};

use super::entries::{WirePoint, read_point, wire_point};
use super::{WireError, milliseconds};

/// Service, new version, rollout time in milliseconds, point, state.
type WireOrder = (String, String, u64, WirePoint, u8);
/// Key of the route; counts of good, slow and bad responses of the old and the new version.
type WireOutcomes = (u32, [u32; 6]);
/// Order, age in milliseconds, whether the version is bad, whether its end was lost, counts of
/// responses.
pub type WireRollout = (WireOrder, u64, bool, bool, Vec<WireOutcomes>);

pub fn wire_rollout(rollout: &RolloutReport) -> WireRollout {
    let order = &rollout.order;
    let wire_order = (
        order.service.to_string(),
        order.to.to_string(),
        milliseconds(order.time_limit),
        wire_point(order.point),
        wire_state(order.state),
    );
    let routes = rollout.outcomes.routes().map(|(route, it)| {
        let (old, new) = (it.old, it.new);
        (
            route,
            [old.good, old.slow, old.bad, new.good, new.slow, new.bad],
        )
    });
    let age = milliseconds(rollout.age);
    let routes = routes.collect();
    (wire_order, age, rollout.is_bad, rollout.is_end_lost, routes)
}

pub fn read_rollout(
    (order, age, is_bad, is_end_lost, routes): WireRollout,
) -> Result<RolloutReport, WireError> {
    let (service, to, time, point, state) = order;
    let routes = routes.into_iter().map(|(route, counts)| {
        let [old_good, old_slow, old_bad, new_good, new_slow, new_bad] = counts;
        let outcomes = RouteOutcomes {
            old: OutcomeCounts {
                good: old_good,
                slow: old_slow,
                bad: old_bad,
            },
            new: OutcomeCounts {
                good: new_good,
                slow: new_slow,
                bad: new_bad,
            },
        };
        (route, outcomes)
    });
    Ok(RolloutReport {
        order: RolloutOrder {
            service: ServiceId::from(service),
            to: SoftwareVersion::from(to),
            time_limit: Duration::from_millis(time),
            point: read_point(point),
            state: read_state(state)?,
        },
        age: Duration::from_millis(age),
        is_bad,
        is_end_lost,
        outcomes: VersionOutcomes::from_routes(routes),
    })
}

fn wire_state(state: RolloutState) -> u8 {
    match state {
        RolloutState::Ordered => 0,
        RolloutState::Running => 1,
        RolloutState::Done => 2,
        RolloutState::RolledBack => 3,
        RolloutState::Withdrawn => 4,
    }
}

fn read_state(state: u8) -> Result<RolloutState, WireError> {
    match state {
        0 => Ok(RolloutState::Ordered),
        1 => Ok(RolloutState::Running),
        2 => Ok(RolloutState::Done),
        3 => Ok(RolloutState::RolledBack),
        4 => Ok(RolloutState::Withdrawn),
        _ => Err(WireError::State { state }),
    }
}
