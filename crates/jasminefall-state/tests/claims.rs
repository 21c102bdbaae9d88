//! Claims are granted once, released only by their holder, and expire only after their lease.

use jasminefall_core::prelude::*;
use jasminefall_state::claims::{
    CLAIM_CLOCK_SKEW_MARGIN_MS, CLAIM_RETENTION_MS, KeptResponse, MAX_CLAIMS,
    MAX_KEPT_RESPONSE_BYTES, MAX_KEY_TIME_AHEAD_MS,
};
use jasminefall_state::prelude::*;
use proptest::prelude::*;

const START_MS: u64 = 1_000_000;
const LEASE_MS: u64 = 30_000;

fn key(team: &str, key: &str) -> ClaimKey {
    ClaimKey {
        team: team.into(),
        key: key.into(),
    }
}

fn request(name: &str, entry: &str, attempt: u64) -> ClaimRequest {
    ClaimRequest {
        key: key("guild", name),
        entry: entry.into(),
        attempt,
        digest: [1; 32],
        lease_ms: DurationMs::new(LEASE_MS),
        issued_at_ms: None,
    }
}

fn request_with_issue_time(name: &str, issued_at_ms: u64) -> ClaimRequest {
    ClaimRequest {
        issued_at_ms: Some(issued_at_ms),
        ..request(name, "e1", issued_at_ms)
    }
}

fn release(name: &str, entry: &str, attempt: u64) -> ClaimRelease {
    ClaimRelease {
        key: key("guild", name),
        entry: entry.into(),
        attempt,
    }
}

fn answer(name: &str, body: &[u8]) -> ClaimResult {
    ClaimResult {
        key: key("guild", name),
        result: kept(body),
    }
}

fn kept(body: &[u8]) -> RecordedResult {
    RecordedResult::Kept(KeptResponse {
        status: 200,
        headers: Vec::new(),
        body: body.to_vec(),
    })
}

fn ask(claims: &mut Claims, now_ms: u64, request: ClaimRequest) -> ClaimResponse {
    claims.claim(now_ms, vec![request]).remove(0)
}

#[test]
fn other_attempts_are_held_until_the_first_result_is_recorded() {
    let mut claims = Claims::default();
    let mut asked = |entry, attempt| ask(&mut claims, START_MS, request("a", entry, attempt));
    assert_eq!(asked("e1", 1), ClaimResponse::Granted);
    assert_eq!(
        asked("e1", 1),
        ClaimResponse::Granted,
        "a resend of a granted claim"
    );
    assert_eq!(asked("e2", 1), ClaimResponse::Held);
    assert_eq!(asked("e1", 2), ClaimResponse::Held);
    claims.record(START_MS, vec![answer("a", b"first")]);
    claims.record(START_MS, vec![answer("a", b"second")]);
    let given = ask(&mut claims, START_MS, request("a", "e2", 1));
    assert_eq!(given, ClaimResponse::Answered(kept(b"first")));
}

#[test]
fn keys_are_scoped_by_team_and_refused_for_another_body() {
    let mut claims = Claims::default();
    assert_eq!(
        ask(&mut claims, START_MS, request("a", "e1", 1)),
        ClaimResponse::Granted
    );
    let mut other_team = request("a", "e1", 2);
    other_team.key.team = "school".into();
    assert_eq!(
        ask(&mut claims, START_MS, other_team),
        ClaimResponse::Granted
    );
    let mut other_body = request("a", "e1", 1);
    other_body.digest = [2; 32];
    assert_eq!(
        ask(&mut claims, START_MS, other_body),
        ClaimResponse::KeyReused
    );
}

#[test]
fn only_the_holder_releases_a_claim() {
    for (entry, attempt, after) in [
        ("e1", 1, ClaimResponse::Granted),
        ("e1", 2, ClaimResponse::Held),
        ("e2", 1, ClaimResponse::Held),
    ] {
        let mut claims = Claims::default();
        ask(&mut claims, START_MS, request("a", "e1", 1));
        claims.release(START_MS, &[release("a", entry, attempt)]);
        let again = ask(&mut claims, START_MS, request("a", "e3", 7));
        assert_eq!(again, after, "{entry} {attempt}");
    }
}

#[test]
fn a_claim_without_result_expires_after_lease_and_margin_and_is_never_granted_again() {
    let mut claims = Claims::default();
    ask(&mut claims, START_MS, request("a", "e1", 1));
    let last_ms = START_MS + LEASE_MS + CLAIM_CLOCK_SKEW_MARGIN_MS - 1;
    assert_eq!(
        ask(&mut claims, last_ms, request("a", "e2", 1)),
        ClaimResponse::Held
    );
    let may_have_run = ClaimResponse::Answered(RecordedResult::MayHaveRun);
    let asked = ask(&mut claims, last_ms + 1, request("a", "e2", 1));
    assert_eq!(asked, may_have_run);
    claims.release(last_ms + 1, &[release("a", "e1", 1)]);
    let asked = ask(&mut claims, last_ms + 2, request("a", "e1", 1));
    assert_eq!(asked, may_have_run, "a release after the lease is ignored");
    claims.record(last_ms + 3, vec![answer("a", b"late")]);
    let asked = ask(&mut claims, last_ms + 4, request("a", "e2", 1));
    assert_eq!(
        asked,
        ClaimResponse::Answered(kept(b"late")),
        "a late result replaces may have run"
    );
}

#[test]
fn a_resend_after_retention_is_answered_no_longer_known() {
    for claim in [
        request("a", "e1", 1),
        request_with_issue_time("a", START_MS),
    ] {
        let mut claims = Claims::default();
        ask(&mut claims, START_MS, claim.clone());
        claims.record(START_MS, vec![answer("a", b"x")]);
        let later_ms = START_MS + CLAIM_RETENTION_MS;
        let just_before = ask(&mut claims, later_ms - 1, claim.clone());
        assert_eq!(just_before, ClaimResponse::Answered(kept(b"x")));
        assert_eq!(
            ask(&mut claims, later_ms, claim.clone()),
            ClaimResponse::NoLongerKnown
        );
        assert_eq!(
            ask(&mut claims, later_ms * 9, claim),
            ClaimResponse::NoLongerKnown
        );
        assert!(claims.is_empty());
    }
}

#[test]
fn a_key_issued_in_the_future_is_refused() {
    let mut claims = Claims::default();
    let ahead_ms = START_MS + MAX_KEY_TIME_AHEAD_MS;
    let refused = ask(
        &mut claims,
        START_MS,
        request_with_issue_time("a", ahead_ms + 1),
    );
    assert_eq!(refused, ClaimResponse::KeyFromFuture);
    assert_eq!(
        ask(
            &mut claims,
            START_MS,
            request_with_issue_time("a", ahead_ms)
        ),
        ClaimResponse::Granted
    );
}

#[test]
fn oldest_responses_are_evicted_beyond_the_byte_limit() {
    const BODY_BYTES: usize = 1 << 20;
    let mut claims = Claims::default();
    let count = MAX_KEPT_RESPONSE_BYTES / BODY_BYTES + 4;
    for number in 0..count {
        let name = format!("k{number}");
        ask(&mut claims, START_MS, request(&name, "e1", number as u64));
        claims.record(START_MS, vec![answer(&name, &vec![7; BODY_BYTES])]);
        assert!(claims.kept_bytes() <= MAX_KEPT_RESPONSE_BYTES);
    }
    let first = ask(&mut claims, START_MS, request("k0", "e2", 1));
    assert_eq!(first, ClaimResponse::NoLongerKnown);
    let last = ask(
        &mut claims,
        START_MS,
        request(&format!("k{}", count - 1), "e2", 1),
    );
    assert!(matches!(last, ClaimResponse::Answered(_)));
}

#[test]
fn claims_without_a_result_are_not_evicted_when_full() {
    let mut claims = Claims::default();
    for number in 0..MAX_CLAIMS as u64 {
        let granted = ask(
            &mut claims,
            START_MS,
            request_with_issue_time(&format!("k{number}"), number),
        );
        assert_eq!(granted, ClaimResponse::Granted);
    }
    assert_eq!(
        ask(
            &mut claims,
            START_MS,
            request_with_issue_time("more", START_MS)
        ),
        ClaimResponse::Full
    );
    assert_eq!(
        ask(&mut claims, START_MS, request("k0", "e2", 1)),
        ClaimResponse::Held
    );
}

#[derive(Debug, Clone)]
enum Step {
    Claim(u8, u8),
    Record(u8),
    Release(u8),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4u8, 0..3u8).prop_map(|(name, entry)| Step::Claim(name, entry)),
        1 => (0..4u8).prop_map(Step::Record),
        1 => (0..4u8).prop_map(Step::Release),
        1 => (1..CLAIM_RETENTION_MS).prop_map(Step::Wait),
        2 => (1..LEASE_MS).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// Compares with a naive model: a key that was granted and not released is never granted again.
    #[test]
    fn no_key_is_granted_twice(steps in proptest::collection::vec(step(), 1..60)) {
        let mut claims = Claims::default();
        let mut now_ms = START_MS;
        let mut holder = [None; 4];
        for (attempt, step) in steps.into_iter().enumerate() {
            match step {
                Step::Claim(name, entry) => {
                    let asked = request(&name.to_string(), &format!("e{entry}"), attempt as u64);
                    let granted = ask(&mut claims, now_ms, asked) == ClaimResponse::Granted;
                    let held = &mut holder[usize::from(name)];
                    prop_assert_eq!(granted, held.is_none());
                    held.get_or_insert((entry, attempt as u64, now_ms));
                }
                Step::Record(name) => claims.record(now_ms, vec![answer(&name.to_string(), b"x")]),
                Step::Release(name) => {
                    let Some((entry, attempt, at_ms)) = holder[usize::from(name)] else { continue };
                    let before = claims.len();
                    claims.release(now_ms, &[release(&name.to_string(), &format!("e{entry}"), attempt)]);
                    if claims.len() < before {
                        prop_assert!(now_ms < at_ms + LEASE_MS + CLAIM_CLOCK_SKEW_MARGIN_MS);
                        holder[usize::from(name)] = None;
                    }
                }
                Step::Wait(wait_ms) => now_ms += wait_ms,
            }
        }
    }
}
