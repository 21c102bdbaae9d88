//! Refused jobs that come back, played against two ways of sizing a pool.

use jasminefall_jobs::ids::JobKey;
use jasminefall_jobs::job::Resources;
use jasminefall_jobs::policy::returns::Returns;

const POOL: &str = "render";
/// How long an instance takes to come.
const MOVE_MS: u64 = 1_500;
/// When refused clients are told to come back.
const AFTER_MS: u64 = 1_000;
/// How long each job keeps one instance at work.
const WORK_MS: u64 = 1_000;
const STEP_MS: u64 = 100;
const JOBS: u64 = 40;
/// How often a client asks before it gives up.
const ATTEMPTS: u64 = 4;

const fn one_instance() -> Resources {
    Resources {
        cpu_millis: 16_000,
        memory_mb: 0,
        gpus: 0,
    }
}

/// Plays a burst of jobs that each take one instance, at a pool that has two; returns how many clients
/// are served. The pool orders instances for what runs there and, if told to, for what comes back.
fn served(counts_returns: bool) -> usize {
    let pool = POOL.into();
    let mut returns = Returns::default();
    let mut asks: Vec<(u64, JobKey, u64)> = (0..JOBS).map(|job| (0, JobKey(job), 1)).collect();
    let mut running: Vec<u64> = Vec::new();
    let mut there = 2;
    let mut coming: Vec<(u64, usize)> = Vec::new();
    let mut served = 0;
    for now_ms in (0..10_000).step_by(STEP_MS as usize) {
        running.retain(|until_ms| now_ms < *until_ms);
        coming.retain(|(at_ms, count)| {
            there += if now_ms >= *at_ms { *count } else { 0 };
            now_ms < *at_ms
        });
        let (due, later) = asks.into_iter().partition(|(at_ms, ..)| now_ms >= *at_ms);
        asks = later;
        let due: Vec<(u64, JobKey, u64)> = due;
        for (_, key, attempt) in due {
            returns.note_attempt(key);
            if running.len() < there {
                running.push(now_ms + WORK_MS);
                served += 1;
            } else if attempt < ATTEMPTS {
                returns.note_refusal((key, &pool), one_instance(), (now_ms, AFTER_MS));
                asks.push((now_ms + AFTER_MS, key, attempt + 1));
            }
        }
        returns.forget(now_ms);
        let returning = returns.due(now_ms, MOVE_MS, POOL);
        let returning = (returning.cpu_millis / one_instance().cpu_millis) as usize;
        let wanted = running.len() + if counts_returns { returning } else { 0 };
        let ordered = there + coming.iter().map(|(_, count)| count).sum::<usize>();
        if wanted > ordered {
            coming.push((now_ms + MOVE_MS, wanted - ordered));
        }
    }
    served
}

#[test]
fn a_pool_that_counts_what_comes_back_serves_a_burst_that_it_had_refused() {
    assert_eq!(served(false), 8, "two at each of four attempts");
    assert_eq!(served(true), JOBS as usize);
}

#[test]
fn a_refused_job_counts_from_when_an_instance_must_be_ordered_until_its_client_is_overdue() {
    let pool = POOL.into();
    let mut returns = Returns::default();
    let (now_ms, after_ms) = (10_000, 5_000);
    returns.note_refusal((JobKey(1), &pool), one_instance(), (now_ms, after_ms));
    let due = |returns: &Returns, at_ms| returns.due(at_ms, MOVE_MS, POOL);
    let nothing = Resources::default();
    assert_eq!(due(&returns, now_ms), nothing, "it would idle until then");
    let order_by_ms = now_ms + after_ms - MOVE_MS;
    assert_eq!(due(&returns, order_by_ms), one_instance());
    assert_eq!(returns.due(order_by_ms, MOVE_MS, "another"), nothing);
    assert_eq!(due(&returns, now_ms + after_ms + 1_000), one_instance());
    assert_eq!(due(&returns, now_ms + after_ms + 1_500), nothing);
    assert!(returns.note_attempt(JobKey(1)));
    assert_eq!(due(&returns, order_by_ms), nothing, "it has come back");
    assert!(!returns.note_attempt(JobKey(2)));
}
