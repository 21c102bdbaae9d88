//! Budgets and burn rates.
//!
//! An objective of 999,000 parts per million leaves a budget of 1,000 bad requests in a million. The
//! burn rate is the share of bad requests divided by the share that the budget allows: at a rate of
//! one, the budget is used up exactly at the end of its window.

use jasminefall_core::prelude::*;

use crate::records::{Records, RequestCounts, Window};

const PPM: f64 = 1_000_000.0;
/// A window whose entries cover less than this share of it is incomplete.
const COMPLETE_SHARE: f64 = 0.95;
/// Both windows must burn faster than this before a promise counts as at risk.
const FAST_BURN: f64 = 14.4;
const SLOW_BURN: f64 = 6.0;

/// Says how fast a service and team use up their error budget.
#[derive(Debug, Clone, PartialEq)]
pub struct BudgetBurn {
    /// The service.
    pub service: ServiceId,
    /// The team; empty for callers that named no declared one.
    pub team: TeamId,
    /// The objective in parts per million.
    pub objective_ppm: u64,
    /// The share of the error budget left over the longest window; below zero when overspent.
    pub budget_left: f64,
    /// The burn rate over each window, the shortest first; none where nothing was asked.
    pub rates: Vec<Option<f64>>,
    /// The promise at risk, if any.
    pub risk: Option<Risk>,
    /// The counts over the longest window.
    pub counts: RequestCounts,
}

/// Names the promise that a burn puts at risk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Risk {
    /// Answers fail at the backend servers.
    Failures,
    /// Requests are refused for want of capacity.
    Capacity,
    /// Requests end without a known outcome.
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

/// Says which entries' data a window lacks.
#[derive(Debug, Clone, PartialEq)]
pub struct CoverageGap {
    /// The length of the window in milliseconds.
    pub window_ms: u64,
    /// The entry whose data is incomplete.
    pub entry: EntryId,
    /// The share of the window that is covered.
    pub covered_share: f64,
}

/// Returns the burn of every service and team, the fastest first.
#[must_use]
pub fn budget_burns(records: &Records) -> Vec<BudgetBurn> {
    let Some(longest) = records.windows.last() else {
        return Vec::new();
    };
    let mut burns: Vec<BudgetBurn> = longest
        .counts
        .iter()
        .map(|row| burn(records, row))
        .collect();
    burns.sort_by(|left, right| left.budget_left.total_cmp(&right.budget_left));
    burns
}

/// Returns what is missing of each window, considering only the time since the site was first set up.
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
            if covered_share < COMPLETE_SHARE {
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

fn burn(records: &Records, longest: &RequestCounts) -> BudgetBurn {
    let objective_ppm = records
        .objectives_ppm
        .get(&longest.service)
        .copied()
        .unwrap_or_default();
    let allowed = (PPM - objective_ppm as f64) / PPM;
    let rates: Vec<Option<f64>> = records
        .windows
        .iter()
        .map(|window| rate(window, longest, allowed))
        .collect();
    let budget_left = 1.0 - rates.last().copied().flatten().unwrap_or_default();
    let risk = is_at_risk(&rates).then(|| name_risk(longest));
    BudgetBurn {
        service: longest.service.clone(),
        team: longest.team.clone(),
        objective_ppm,
        budget_left,
        rates,
        risk,
        counts: longest.clone(),
    }
}

fn rate(window: &Window, of: &RequestCounts, allowed: f64) -> Option<f64> {
    let matches = |row: &&RequestCounts| row.service == of.service && row.team == of.team;
    let row = window
        .counts
        .iter()
        .find(matches)
        .filter(|row| row.total() > 0)?;
    let bad_share = row.bad() as f64 / row.total() as f64;
    match (bad_share > 0.0, allowed > 0.0) {
        (false, _) => Some(0.0),
        (true, true) => Some(bad_share / allowed),
        (true, false) => Some(f64::INFINITY),
    }
}

/// Returns whether a short and a long window agree that the budget burns too fast.
fn is_at_risk(rates: &[Option<f64>]) -> bool {
    let burns = |position: usize, limit| rates.get(position).copied().flatten() >= Some(limit);
    (burns(0, FAST_BURN) && burns(1, FAST_BURN)) || (burns(1, SLOW_BURN) && burns(2, SLOW_BURN))
}

fn name_risk(row: &RequestCounts) -> Risk {
    if row.refused >= row.failed && row.refused >= row.unknown {
        Risk::Capacity
    } else if row.failed >= row.unknown {
        Risk::Failures
    } else {
        Risk::Outcomes
    }
}
