//! Error budgets and burn rates.
//!
//! An objective of 999,000 parts per million leaves an error budget of 1,000 bad requests per
//! million. The burn rate is the share of bad requests divided by the share that the budget allows:
//! at a rate of one, the budget is used up exactly at the end of its window.

use jasminefall_core::prelude::*;

use crate::records::{Records, RequestCounts, Window};

/// The parts per million that make up the whole.
const PPM: f64 = 1_000_000.0;
/// The share of a window that an entry's data must cover for the window to count as complete.
const MIN_COVERED_SHARE: f64 = 0.95;
/// The burn rate that puts a guarantee at risk if both the shortest and the second window reach it.
const FAST_BURN_RATE: f64 = 14.4;
/// The burn rate that puts a guarantee at risk if both the second and the third window reach it.
const SLOW_BURN_RATE: f64 = 6.0;

/// Holds the burn of the error budget of a service and team.
#[derive(Debug, Clone, PartialEq)]
pub struct BudgetBurn {
    /// The service whose error budget is burned.
    pub service: ServiceId,
    /// The team; empty for requests that named no declared team.
    pub team: TeamId,
    /// The objective in parts per million.
    pub objective_ppm: u64,
    /// The remaining share of the error budget over the longest window; negative if it is exceeded.
    pub budget_left: f64,
    /// The burn rate over each window, the shortest first; `None` for a window without requests.
    pub rates: Vec<Option<f64>>,
    /// The guarantee at risk, if any.
    pub risk: Option<Risk>,
    /// The request counts over the longest window.
    pub counts: RequestCounts,
}

/// Represents a guarantee of the site that a high burn rate puts at risk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Risk {
    /// Complete responses: backend servers fail.
    Failures,
    /// Capacity in time: requests are refused for lack of capacity.
    Capacity,
    /// Known outcomes: requests end with an unknown outcome.
    Outcomes,
}

impl std::fmt::Display for Risk {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Failures => "whole answers (backend servers fail)",
            Self::Capacity => "capacity in time (requests are refused)",
            Self::Outcomes => "known outcomes (answers are lost)",
        })
    }
}

/// Describes a window for which an entry's data is incomplete.
#[derive(Debug, Clone, PartialEq)]
pub struct CoverageGap {
    /// The length of the window in milliseconds.
    pub window_ms: u64,
    /// The entry whose data is incomplete.
    pub entry: EntryId,
    /// The share of the expected time that the data covers.
    pub covered_share: f64,
}

/// Returns the burn of every service and team, the least remaining budget first.
#[must_use]
pub fn budget_burns(records: &Records) -> Vec<BudgetBurn> {
    let Some(longest) = records.windows.last() else {
        return Vec::new();
    };
    let mut burns: Vec<BudgetBurn> = longest
        .counts
        .iter()
        .map(|totals| budget_burn(records, totals))
        .collect();
    burns.sort_by(|left, right| left.budget_left.total_cmp(&right.budget_left));
    burns
}

/// Returns the gaps in each window, which is shortened to the time since the first publication.
#[must_use]
pub fn coverage_gaps(records: &Records) -> Vec<CoverageGap> {
    let age_ms = records.now_ms.saturating_sub(records.published_at_ms);
    let mut gaps = Vec::new();
    for window in &records.windows {
        let expected_ms = window.window_ms.min(age_ms);
        for entry in &records.entries {
            let covered = window.covered_ms.get(entry).copied().unwrap_or_default();
            let covered_share = if expected_ms == 0 {
                1.0
            } else {
                covered.get() as f64 / expected_ms as f64
            };
            if covered_share < MIN_COVERED_SHARE {
                gaps.push(CoverageGap {
                    window_ms: window.window_ms,
                    entry: entry.clone(),
                    covered_share,
                });
            }
        }
    }
    gaps
}

fn budget_burn(records: &Records, totals: &RequestCounts) -> BudgetBurn {
    let objective_ppm = records
        .objectives_ppm
        .get(&totals.service)
        .copied()
        .unwrap_or_default();
    let allowed_share = (PPM - objective_ppm as f64) / PPM;
    let rates: Vec<Option<f64>> = records
        .windows
        .iter()
        .map(|window| burn_rate(window, totals, allowed_share))
        .collect();
    let budget_left = 1.0 - rates.last().copied().flatten().unwrap_or_default();
    let risk = is_at_risk(&rates).then(|| largest_risk(totals));
    BudgetBurn {
        service: totals.service.clone(),
        team: totals.team.clone(),
        objective_ppm,
        budget_left,
        rates,
        risk,
        counts: totals.clone(),
    }
}

fn burn_rate(window: &Window, totals: &RequestCounts, allowed_share: f64) -> Option<f64> {
    let matches =
        |counts: &&RequestCounts| counts.service == totals.service && counts.team == totals.team;
    let counts = window
        .counts
        .iter()
        .find(matches)
        .filter(|counts| counts.total() > 0)?;
    let bad_share = counts.bad() as f64 / counts.total() as f64;
    match (bad_share > 0.0, allowed_share > 0.0) {
        (false, _) => Some(0.0),
        (true, true) => Some(bad_share / allowed_share),
        (true, false) => Some(f64::INFINITY),
    }
}

/// Returns whether both a shorter and a longer window reach a burn rate that is too high.
fn is_at_risk(rates: &[Option<f64>]) -> bool {
    let reaches = |position: usize, limit| rates.get(position).copied().flatten() >= Some(limit);
    (reaches(0, FAST_BURN_RATE) && reaches(1, FAST_BURN_RATE))
        || (reaches(1, SLOW_BURN_RATE) && reaches(2, SLOW_BURN_RATE))
}

/// Returns the guarantee with the most bad requests.
fn largest_risk(counts: &RequestCounts) -> Risk {
    if counts.refused >= counts.failed && counts.refused >= counts.unknown {
        Risk::Capacity
    } else if counts.failed >= counts.unknown {
        Risk::Failures
    } else {
        Risk::Outcomes
    }
}
