//! Floods leave other work its service, and nothing waits in vain.

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

fn ask(team: &str, urgency: Urgency, bytes: usize, deadline_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        team: TeamId::new(team),
        weight: 4,
        urgency,
        bytes,
        deadline_ms,
    }
}

/// Four teams that want 60 % of the slots together, and a fifth that wants many times all of them.
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
fn a_flood_of_any_urgency_leaves_others_their_service() {
    for urgency in Urgency::ALL {
        let results = run(LIMITS, &flood(urgency), false);
        for (demand, result) in results
            .iter()
            .filter(|(demand, _)| demand.team != "flooding")
        {
            let kept = result.served * 100 / result.asked;
            assert!(
                kept >= 95,
                "{urgency} flood: {} {} keeps {kept} %",
                demand.team,
                demand.urgency
            );
        }
    }
}

#[test]
fn a_flood_of_background_work_leaves_a_busy_team_its_service() {
    let demands = [
        Demand::new("a", Urgency::Normal, 70),
        Demand::new("flooding", Urgency::Background, 800),
    ];
    let results = run(LIMITS, &demands, false);
    let kept = results[0].1.served * 100 / results[0].1.asked;
    assert!(kept >= 95, "{kept} % of work beyond the team's own quota");
}

#[test]
fn urgent_work_within_quota_starts_in_time() {
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
fn background_work_keeps_a_floor() {
    let demands = [
        Demand::new("a", Urgency::Background, 20),
        Demand::new("b", Urgency::Normal, 800),
        Demand::new("c", Urgency::Urgent, 800),
    ];
    let results = run(LIMITS, &demands, false);
    assert!(results[0].1.served > 20, "{results:?}");
}

#[test]
fn a_flood_does_not_serve_only_the_dead() {
    let results = run(LIMITS, &[Demand::new("a", Urgency::Normal, 800)], false);
    let (_, result) = &results[0];
    let possible = u64::from(SLOTS) * support::LENGTH_MS / support::SERVICE_MS;
    assert!(
        result.served * 100 >= possible * 97,
        "{} of {possible}",
        result.served
    );
}

#[test]
fn one_team_may_use_everything() {
    let results = run(LIMITS, &[Demand::new("a", Urgency::Background, 95)], false);
    let (_, result) = &results[0];
    assert!(result.served * 100 >= result.asked * 99, "{result:?}");
}

#[test]
fn a_full_queue_lets_go_of_the_longest_team_and_never_exceeds_its_bounds() {
    let limits = QueueLimits {
        requests: 10,
        bytes: 1_000,
    };
    let mut queue = FairQueue::new(limits);
    for number in 0..10 {
        let ask = ask("flooding", Urgency::Normal, 50, 10_000);
        assert!(queue.push(0, 1, ask, number).is_ok());
    }
    let refused = queue.push(0, 1, ask("flooding", Urgency::Urgent, 50, 10_000), 10);
    assert_eq!(refused.unwrap_err().reason, RefusedReason::Full);
    let (_, evicted) = queue
        .push(0, 1, ask("other", Urgency::Normal, 50, 10_000), 11)
        .unwrap();
    assert_eq!(evicted, [9], "the newest of the longest team");
    let (_, evicted) = queue
        .push(0, 1, ask("other", Urgency::Normal, 600, 10_000), 12)
        .unwrap();
    assert_eq!(evicted, [8, 7], "as many as the bytes need");
    assert!(queue.len() <= 10 && queue.bytes() <= 1_000);
    let refused = queue.push(0, 1, ask("third", Urgency::Normal, 2_000, 10_000), 13);
    assert_eq!(refused.unwrap_err().reason, RefusedReason::Full);
}

#[test]
fn cancelled_requests_free_their_places_at_once() {
    let mut queue = FairQueue::new(LIMITS);
    let tickets: Vec<_> = (0..100)
        .map(|number| {
            queue
                .push(0, 1, ask("a", Urgency::Normal, 10, 9_000), number)
                .unwrap()
                .0
        })
        .collect();
    for ticket in &tickets {
        assert!(queue.cancel(ticket).is_some());
        assert!(
            queue.cancel(ticket).is_none(),
            "a second time changes nothing"
        );
    }
    assert!(queue.is_empty() && queue.bytes() == 0);
    assert!(queue.pop(0, 1, 1, &mut Vec::new()).is_none());
}

#[test]
fn the_estimate_of_wait_follows_what_is_ahead_and_no_burst_after_quiet() {
    let mut queue = FairQueue::new(LIMITS);
    let long = 1 << 40;
    for _ in 0..20 {
        queue
            .push(0, 4, ask("a", Urgency::Normal, 1, long), 0)
            .unwrap();
        let (grant, _, _) = queue.pop(0, 4, 4, &mut Vec::new()).unwrap();
        queue.release(&grant, 100);
    }
    assert_eq!(
        queue.estimated_wait_ms(4, &ask("a", Urgency::Normal, 1, long)),
        0
    );
    for _ in 0..40 {
        queue
            .push(60_000, 4, ask("a", Urgency::Normal, 1, long), 0)
            .unwrap();
    }
    let own = queue.estimated_wait_ms(4, &ask("a", Urgency::Normal, 1, long));
    assert!(
        (1_000..=1_100).contains(&own),
        "{own} ms for 41 of 100 ms on four slots"
    );
    let other = queue.estimated_wait_ms(4, &ask("b", Urgency::Normal, 1, long));
    assert!(other <= 100, "{other} ms for another team's first");
    let refused = queue.push(60_000, 4, ask("a", Urgency::Normal, 1, 60_500), 0);
    assert_eq!(refused.unwrap_err().reason, RefusedReason::TooLate);
}

#[test]
fn a_short_request_is_tried_on_an_idle_fleet_whatever_the_others_took() {
    let mut queue = FairQueue::new(LIMITS);
    for _ in 0..20 {
        queue
            .push(0, 4, ask("a", Urgency::Normal, 1, 1 << 40), 0)
            .unwrap();
        let (grant, _, _) = queue.pop(0, 4, 4, &mut Vec::new()).unwrap();
        queue.release(&grant, 5_000);
    }
    let short = ask("a", Urgency::Normal, 1, 1_000);
    assert!(queue.push(0, 4, short, 0).is_ok());
    assert!(queue.pop(0, 4, 4, &mut Vec::new()).is_some());
}
