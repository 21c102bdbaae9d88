//! Admission and fair queuing: isolation of teams under overload, queue limits and wait estimates.

#[path = "admission/support.rs"]
mod support;

use jasminefall_core::prelude::*;
use jasminefall_policy::admission::{
    AdmissionRequest, FairQueue, QueueLimits, RefusedReason, URGENT_START_LIMIT_MS,
};

use support::{Demand, SLOTS, run};

const LIMITS: QueueLimits = QueueLimits {
    requests: 4_000,
    bytes: 1 << 20,
};

fn request(team: &str, urgency: Urgency, bytes: usize, deadline_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        team: TeamId::new(team),
        weight: 4,
        urgency,
        bytes,
        deadline_ms,
    }
}

/// Returns the demand of four teams that use about 60 % of the slots, and of a fifth team that
/// demands many times all slots.
fn flood(urgency: Urgency) -> Vec<Demand> {
    let mut demands: Vec<_> = ["a", "b", "c", "d"]
        .into_iter()
        .map(|team| Demand::new(team, Urgency::Normal, 12))
        .collect();
    demands.push(Demand::new("a", Urgency::Urgent, 2));
    demands.push(Demand::new("d", Urgency::Background, 3));
    demands.push(Demand::new("flooding", urgency, 800));
    demands
}

#[test]
fn flood_of_any_urgency_does_not_starve_other_teams() {
    for urgency in Urgency::ALL {
        let results = run(LIMITS, &flood(urgency), false);
        for (demand, result) in results
            .iter()
            .filter(|(demand, _)| demand.team != "flooding")
        {
            let served_percent = result.served * 100 / result.asked;
            assert!(
                served_percent >= 95,
                "{urgency} flood: {served_percent} % of {} {} requests were served in time",
                demand.team,
                demand.urgency
            );
        }
    }
}

#[test]
fn background_flood_does_not_starve_a_team_beyond_its_quota() {
    let demands = [
        Demand::new("a", Urgency::Normal, 70),
        Demand::new("flooding", Urgency::Background, 800),
    ];
    let results = run(LIMITS, &demands, false);
    let served_percent = results[0].1.served * 100 / results[0].1.asked;
    assert!(
        served_percent >= 95,
        "{served_percent} % of the requests of a team beyond its quota were served in time"
    );
}

#[test]
fn urgent_requests_within_quota_start_within_the_limit() {
    for urgency in Urgency::ALL {
        let results = run(LIMITS, &flood(urgency), false);
        let urgent = results
            .iter()
            .find(|(demand, _)| demand.team == "a" && demand.urgency == Urgency::Urgent);
        let (_, result) = urgent.unwrap();
        assert!(
            result.longest_wait_ms <= URGENT_START_LIMIT_MS,
            "{urgency}: {result:?}"
        );
    }
}

#[test]
fn background_requests_are_not_starved() {
    let demands = [
        Demand::new("a", Urgency::Background, 20),
        Demand::new("b", Urgency::Normal, 800),
        Demand::new("c", Urgency::Urgent, 800),
    ];
    let results = run(LIMITS, &demands, false);
    assert!(results[0].1.served > 20, "{results:?}");
}

#[test]
fn flood_wastes_no_slots_on_expired_requests() {
    let results = run(LIMITS, &[Demand::new("a", Urgency::Normal, 800)], false);
    let (_, result) = &results[0];
    let possible = u64::from(SLOTS) * support::DEMAND_DURATION_MS / support::SERVICE_MS;
    assert!(
        result.served * 100 >= possible * 97,
        "served {} of {possible} requests in time",
        result.served
    );
}

#[test]
fn single_active_team_may_use_all_slots() {
    let results = run(LIMITS, &[Demand::new("a", Urgency::Background, 95)], false);
    let (_, result) = &results[0];
    assert!(result.served * 100 >= result.asked * 99, "{result:?}");
}

#[test]
fn full_queue_evicts_from_the_most_loaded_team_and_stays_within_limits() {
    let limits = QueueLimits {
        requests: 10,
        bytes: 1_000,
    };
    let mut queue = FairQueue::new(limits);
    for number in 0..10 {
        let request = request("flooding", Urgency::Normal, 50, 10_000);
        assert!(queue.push(0, 1, request, number).is_ok());
    }
    let refused = queue.push(0, 1, request("flooding", Urgency::Urgent, 50, 10_000), 10);
    assert_eq!(refused.unwrap_err().reason, RefusedReason::Full);
    let (_, evicted) = queue
        .push(0, 1, request("other", Urgency::Normal, 50, 10_000), 11)
        .unwrap();
    assert_eq!(evicted, [9], "the newest request of the most loaded team");
    let (_, evicted) = queue
        .push(0, 1, request("other", Urgency::Normal, 600, 10_000), 12)
        .unwrap();
    assert_eq!(evicted, [8, 7], "as many requests as free enough bytes");
    assert!(queue.len() <= 10 && queue.bytes() <= 1_000);
    let refused = queue.push(0, 1, request("third", Urgency::Normal, 2_000, 10_000), 13);
    assert_eq!(refused.unwrap_err().reason, RefusedReason::Full);
}

#[test]
fn cancelled_requests_free_queue_space_immediately() {
    let mut queue = FairQueue::new(LIMITS);
    let tickets: Vec<_> = (0..100)
        .map(|number| {
            queue
                .push(0, 1, request("a", Urgency::Normal, 10, 9_000), number)
                .unwrap()
                .0
        })
        .collect();
    for ticket in &tickets {
        assert!(queue.cancel(ticket).is_some());
        assert!(
            queue.cancel(ticket).is_none(),
            "a second cancellation has no effect"
        );
    }
    assert!(queue.is_empty() && queue.bytes() == 0);
    assert!(queue.pop(0, 1, 1, &mut Vec::new()).is_none());
}

#[test]
fn wait_estimate_depends_on_queued_requests_and_not_on_arrival_rate() {
    let mut queue = FairQueue::new(LIMITS);
    let long = 1 << 40;
    for _ in 0..20 {
        queue
            .push(0, 4, request("a", Urgency::Normal, 1, long), 0)
            .unwrap();
        let (grant, _, _) = queue.pop(0, 4, 4, &mut Vec::new()).unwrap();
        queue.release(&grant, 100);
    }
    assert_eq!(
        queue.estimated_wait_ms(4, &request("a", Urgency::Normal, 1, long)),
        0
    );
    for _ in 0..40 {
        queue
            .push(60_000, 4, request("a", Urgency::Normal, 1, long), 0)
            .unwrap();
    }
    let own = queue.estimated_wait_ms(4, &request("a", Urgency::Normal, 1, long));
    assert!(
        (1_000..=1_100).contains(&own),
        "{own} ms for 41 requests of 100 ms on four slots"
    );
    let other = queue.estimated_wait_ms(4, &request("b", Urgency::Normal, 1, long));
    assert!(
        other <= 100,
        "{other} ms for the first request of another team"
    );
    let refused = queue.push(60_000, 4, request("a", Urgency::Normal, 1, 60_500), 0);
    assert_eq!(refused.unwrap_err().reason, RefusedReason::TooLate);
}

#[test]
fn short_deadline_is_admitted_to_an_idle_service_despite_long_service_times() {
    let mut queue = FairQueue::new(LIMITS);
    for _ in 0..20 {
        queue
            .push(0, 4, request("a", Urgency::Normal, 1, 1 << 40), 0)
            .unwrap();
        let (grant, _, _) = queue.pop(0, 4, 4, &mut Vec::new()).unwrap();
        queue.release(&grant, 5_000);
    }
    let short = request("a", Urgency::Normal, 1, 1_000);
    assert!(queue.push(0, 4, short, 0).is_ok());
    assert!(queue.pop(0, 4, 4, &mut Vec::new()).is_some());
}
