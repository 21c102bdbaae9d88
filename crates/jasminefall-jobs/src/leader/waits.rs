//! How long tasks wait for a run, and why.
//!
//! The wait of a task begins at the end of its last confirmed run, or if it has had none, when its step opens
//! or this leadership begins. A start that is refused or gets no response does not restart it, and neither
//! does a change of the reason.
//!
//! Waits are reported by step and reason, once per [`REPORT_INTERVAL_MS`]. A report looks at each open step once,
//! and at its single tasks only if some of them have a run, had one or are suspects. With many open steps it is
//! spread over several ticks.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;

use smol_str::SmolStr;

use super::steps::StepState;
use super::{Leader, Run, RunState, WorkerHandle};
use crate::ids::{StepId, TaskId};
use crate::state::JobsState;

/// The interval at which the waits are determined, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// The wait from which a step gets a log line, in milliseconds; a third of the time after which a task without
/// a run counts as lost. A reason that was absent for as long gets a line again.
const LOGGED_WAIT_MS: u64 = 2_000;
/// The time within which the response to a start is expected, in milliseconds; a start that is younger is no
/// reason to wait.
const RESPONSE_MS: u64 = 200;
/// The most steps that one tick looks at, so that other inputs of the leader don't wait for a report.
const MAX_STEPS_PER_TICK: usize = 4_000;
/// The most log lines of one report.
const MAX_LINES: usize = 12;
/// The most log lines of one report with the same reason, so that a long queue does not hide other reasons.
const MAX_LINES_PER_REASON: usize = 3;

/// The reasons for which a task waits for a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WaitReason {
    /// The task is not started any more, since workers crash under it.
    GivenUp,
    /// Workers crashed under the task, and no worker without other jobs is available.
    Isolation,
    /// The task has no run and is not queued: its last run has failed, and the failure is not committed.
    UncommittedEnd,
    /// A start was requested and is not confirmed.
    UnconfirmedStart,
    /// An earlier leader may have started the task on a worker whose run list has not been received.
    UnknownRuns,
    /// The pool is in standby or not configured, or none of its workers may be given tasks.
    NoWorker,
    /// The workspace of the job has reached its cap.
    Cap,
    /// The advice service has given no ticket.
    NoTicket,
    /// The tasks of the gang do not all fit at once, or some still run.
    Gang,
    /// No worker on which the task may run has room.
    NoRoom,
}

impl WaitReason {
    /// All reasons, in the order in which they are logged.
    pub const ALL: [Self; 10] = [
        Self::GivenUp,
        Self::Isolation,
        Self::UncommittedEnd,
        Self::UnconfirmedStart,
        Self::UnknownRuns,
        Self::NoWorker,
        Self::Cap,
        Self::NoTicket,
        Self::Gang,
        Self::NoRoom,
    ];

    /// Returns the name of the reason in log lines and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::GivenUp => "given-up",
            Self::Isolation => "isolation",
            Self::UncommittedEnd => "uncommitted-end",
            Self::UnconfirmedStart => "unconfirmed-start",
            Self::UnknownRuns => "unknown-runs",
            Self::NoWorker => "no-worker",
            Self::Cap => "cap",
            Self::NoTicket => "no-ticket",
            Self::Gang => "gang",
            Self::NoRoom => "no-room",
        }
    }
}

/// Holds since when the tasks of an open step wait.
#[derive(Debug, Clone, Default)]
struct StepWaits {
    opened_at_ms: u64,
    /// When the last confirmed run of a task ended, by the index of the task.
    run_ended_at_ms: BTreeMap<u32, u64>,
    /// The reasons that were logged, and when each was last found to hold.
    logged: BTreeMap<WaitReason, u64>,
}

impl StepWaits {
    fn since_ms(&self, index: u32) -> u64 {
        let ended_at_ms = self.run_ended_at_ms.get(&index).copied();
        ended_at_ms.unwrap_or(self.opened_at_ms)
    }

    /// Returns the task that has waited longest. All tasks without a confirmed run have waited equally long,
    /// so that the search ends at the first of them.
    fn longest(&self, indexes: impl Iterator<Item = u32>) -> Option<(u32, u64)> {
        let mut longest: Option<(u32, u64)> = None;
        for index in indexes {
            let since_ms = self.since_ms(index);
            if longest.is_none_or(|(_, longest_since_ms)| since_ms < longest_since_ms) {
                longest = Some((index, since_ms));
            }
            if since_ms <= self.opened_at_ms {
                break;
            }
        }
        longest
    }

    /// Returns the group of tasks that wait for the same reason; `None` if there are none.
    fn group(
        &self,
        id: StepId,
        reason: WaitReason,
        indexes: impl Iterator<Item = u32>,
        tasks: usize,
    ) -> Option<WaitGroup> {
        let (index, since_ms) = self.longest(indexes)?;
        Some(WaitGroup {
            reason,
            task: id.task(index),
            since_ms,
            tasks,
        })
    }
}

/// Tracks the waits of the tasks of open steps, on the leader's steady clock.
#[derive(Debug, Clone, Default)]
pub(crate) struct Waits {
    by_step: BTreeMap<StepId, StepWaits>,
    next_report_at_ms: u64,
    /// The step at which the report continues, if it is not complete.
    next_step: Option<StepId>,
    /// The report that is not complete.
    report: WaitReport,
    /// The longest waits of the latest complete report.
    longest_ms: BTreeMap<WaitReason, u64>,
}

impl Waits {
    /// Adds a step whose tasks may start from now on.
    pub(super) fn add_step(&mut self, id: StepId, now_ms: u64) {
        let waits = StepWaits {
            opened_at_ms: now_ms,
            ..StepWaits::default()
        };
        self.by_step.insert(id, waits);
    }

    /// Removes a step that is done or whose job has ended.
    pub(super) fn remove_step(&mut self, id: StepId) {
        self.by_step.remove(&id);
    }

    /// Restarts the wait of a task, since a confirmed run of it has ended.
    pub(super) fn record_run_end(&mut self, task: TaskId, now_ms: u64) {
        if let Some(waits) = self.by_step.get_mut(&task.step_id()) {
            waits.run_ended_at_ms.insert(task.index, now_ms);
        }
    }

    /// Removes a task that is done.
    pub(super) fn remove_task(&mut self, task: TaskId) {
        if let Some(waits) = self.by_step.get_mut(&task.step_id()) {
            waits.run_ended_at_ms.remove(&task.index);
        }
    }
}

/// Describes the tasks of a step that wait for the same reason.
#[derive(Debug, Clone, Copy)]
struct WaitGroup {
    reason: WaitReason,
    /// The task that has waited longest.
    task: TaskId,
    since_ms: u64,
    tasks: usize,
}

/// Holds what one tick needs to tell the reasons of waits apart.
struct WaitContext<'a> {
    state: &'a JobsState,
    /// The pools in which an earlier leader may have started tasks on workers without a run list.
    unreconciled_pools: BTreeSet<&'a SmolStr>,
    /// The suspects that must not be placed beside other jobs, by step.
    isolated: HashMap<StepId, BTreeSet<u32>>,
    /// Whether a worker may be given tasks, by pool.
    has_worker: HashMap<&'a SmolStr, bool>,
}

/// Collects the waits of one report.
#[derive(Debug, Clone, Default)]
struct WaitReport {
    longest_ms: BTreeMap<WaitReason, u64>,
    /// The longest waits of each reason that get a log line, with their pools.
    logged: BTreeMap<WaitReason, Vec<(WaitGroup, SmolStr)>>,
    omitted: usize,
}

impl WaitReport {
    fn add(&mut self, group: WaitGroup, pool: &SmolStr, now_ms: u64, waits: &mut StepWaits) {
        let waited_ms = now_ms.saturating_sub(group.since_ms);
        let longest_ms = self.longest_ms.entry(group.reason).or_default();
        *longest_ms = waited_ms.max(*longest_ms);
        if waited_ms < LOGGED_WAIT_MS {
            return;
        }
        if let Some(held_at_ms) = waits.logged.get_mut(&group.reason)
            && now_ms < *held_at_ms + LOGGED_WAIT_MS
        {
            *held_at_ms = now_ms;
            return;
        }
        let logged = self.logged.entry(group.reason).or_default();
        let is_longer = |(known, _): &(WaitGroup, _)| {
            (known.since_ms, known.task) < (group.since_ms, group.task)
        };
        let position = logged.partition_point(is_longer);
        logged.insert(position, (group, pool.clone()));
        if logged.len() > MAX_LINES_PER_REASON {
            logged.pop();
            self.omitted += 1;
        }
    }

    /// Returns the log lines, and marks what they tell as logged.
    fn into_lines(self, now_ms: u64, by_step: &mut BTreeMap<StepId, StepWaits>) -> Vec<String> {
        let mut lines = Vec::new();
        let mut omitted = self.omitted;
        for (group, pool) in self.logged.into_values().flatten() {
            if lines.len() == MAX_LINES {
                omitted += 1;
                continue;
            }
            if let Some(waits) = by_step.get_mut(&group.task.step_id()) {
                waits.logged.insert(group.reason, now_ms);
            }
            lines.push(format!(
                "event=task_waiting task={} waiting={} reason={} waited_ms={} pool={pool}",
                group.task,
                group.tasks,
                group.reason.as_str(),
                now_ms.saturating_sub(group.since_ms)
            ));
        }
        if omitted > 0 {
            lines.push(format!("event=waiting_tasks_omitted steps={omitted}"));
        }
        lines
    }
}

impl Leader {
    /// Returns the longest wait of a task for each reason, in milliseconds; zero if no task waits for it.
    pub fn longest_waits(&self) -> impl Iterator<Item = (WaitReason, u64)> {
        WaitReason::ALL.into_iter().map(|reason| {
            let longest_ms = self.waits.longest_ms.get(&reason);
            (reason, longest_ms.copied().unwrap_or(0))
        })
    }

    /// Returns whether a run is known to be active, or to have been until now.
    fn is_confirmed(&self, run: &Run) -> bool {
        (run.listed || run.state == RunState::Running) && self.workers.contains_key(&run.worker)
    }

    /// Restarts the wait of a run's task, if the run is confirmed and ends now.
    pub(super) fn record_confirmed_end(&mut self, task: TaskId, number: u64) {
        let runs = self.runs.get(&task).into_iter().flatten();
        let mut ending = runs.filter(|run| run.number == number);
        if ending.any(|run| self.is_confirmed(run)) {
            self.waits.record_run_end(task, self.now.steady_ms);
        }
    }

    /// Restarts the waits of the tasks with a confirmed run on a worker that is about to be removed.
    pub(super) fn record_confirmed_ends(&mut self, handle: WorkerHandle) {
        let worker = self.workers.get(&handle);
        let runs = worker.into_iter().flat_map(|worker| &worker.runs);
        let runs: Vec<_> = runs.map(|(task, number)| (*task, *number)).collect();
        for (task, number) in runs {
            self.record_confirmed_end(task, number);
        }
    }

    /// Determines at intervals which tasks wait and why, and logs the waits that have become long.
    pub(super) fn report_waits(&mut self, state: &JobsState) {
        let now_ms = self.now.steady_ms;
        if self.waits.next_step.is_none() && now_ms < self.waits.next_report_at_ms {
            return;
        }
        let mut waits = std::mem::take(&mut self.waits);
        let first = waits.next_step.take();
        if first.is_none() {
            waits.next_report_at_ms = now_ms + REPORT_INTERVAL_MS;
        }
        let mut context = WaitContext {
            state,
            unreconciled_pools: self.unreconciled.values().flatten().collect(),
            isolated: self.isolated_tasks(),
            has_worker: HashMap::new(),
        };
        let mut groups = Vec::new();
        let first = first.map_or(Bound::Unbounded, Bound::Included);
        let remaining = waits.by_step.range_mut((first, Bound::Unbounded));
        for (checked, (id, step_waits)) in remaining.enumerate() {
            if checked == MAX_STEPS_PER_TICK {
                waits.next_step = Some(*id);
                break;
            }
            let Some(step) = self.steps.get(id) else {
                continue;
            };
            self.add_waiting((*id, step), step_waits, &mut context, &mut groups);
            self.add_not_waiting((*id, step), step_waits, &mut groups);
            for group in groups.drain(..) {
                waits.report.add(group, &step.pool, now_ms, step_waits);
            }
        }
        if waits.next_step.is_none() {
            let mut report = std::mem::take(&mut waits.report);
            waits.longest_ms = std::mem::take(&mut report.longest_ms);
            let lines = report.into_lines(now_ms, &mut waits.by_step);
            self.log_lines.extend(lines);
        }
        self.waits = waits;
    }

    /// Returns the suspects that must not be placed beside other jobs, by step.
    fn isolated_tasks(&self) -> HashMap<StepId, BTreeSet<u32>> {
        let mut by_step: HashMap<StepId, BTreeSet<u32>> = HashMap::new();
        if self.suspects.is_empty() {
            return by_step;
        }
        let suspects = self.suspects.in_order().into_iter();
        for task in suspects.filter(|task| self.needs_isolation(*task)) {
            let indexes = by_step.entry(task.step_id()).or_default();
            indexes.insert(task.index);
        }
        by_step
    }

    /// Returns whether a worker of a pool in use may be given tasks, now or after a short back-off.
    fn has_worker_for_tasks(&self, pool: &SmolStr, state: &JobsState) -> bool {
        let configured = state.configuration.pool(pool);
        let in_use = configured.is_some_and(|pool| !pool.standby);
        let workers = self.directory.in_pool(pool);
        let mut workers = workers.filter_map(|handle| self.workers.get(&handle));
        in_use
            && workers.any(|worker| {
                self.now.steady_ms < worker.backoff_until_ms || self.is_eligible(worker, true)
            })
    }

    /// Returns the waiting tasks of a step that wait for reasons of their own.
    fn held_tasks(
        &self,
        (id, step): (StepId, &StepState),
        waits: &StepWaits,
        isolated: Option<&BTreeSet<u32>>,
    ) -> BTreeMap<u32, WaitReason> {
        if self.suspects.is_empty() {
            return BTreeMap::new();
        }
        let isolated = isolated.into_iter().flatten();
        let isolated = isolated.map(|index| (*index, WaitReason::Isolation));
        // Tasks are given up after crashes, which end runs.
        let given_up = waits.run_ended_at_ms.keys();
        let given_up = given_up.filter(|index| self.suspects.is_given_up(id.task(**index)));
        let given_up = given_up.map(|index| (*index, WaitReason::GivenUp));
        let held = isolated.chain(given_up);
        held.filter(|(index, _)| step.waiting.contains(index))
            .collect()
    }

    /// Adds the waiting tasks of a step, by the reason for which they wait.
    fn add_waiting<'a>(
        &self,
        (id, step): (StepId, &'a StepState),
        waits: &StepWaits,
        context: &mut WaitContext<'a>,
        groups: &mut Vec<WaitGroup>,
    ) {
        if step.waiting.is_empty() {
            return;
        }
        let held = self.held_tasks((id, step), waits, context.isolated.get(&id));
        let reason = self.step_wait_reason((id, step), context);
        let all = step.waiting.iter().copied();
        let tasks = step.waiting.len();
        if reason == WaitReason::UnknownRuns || held.is_empty() {
            groups.extend(waits.group(id, reason, all, tasks));
            return;
        }
        if step.step().gang {
            // A gang is placed as a whole.
            let reason = held.values().min().copied().unwrap_or(reason);
            groups.extend(waits.group(id, reason, all, tasks));
            return;
        }
        for held_for in [WaitReason::GivenUp, WaitReason::Isolation] {
            let indexes = held.iter().filter(|(_, known)| **known == held_for);
            let indexes = indexes.map(|(index, _)| *index);
            let count = indexes.clone().count();
            groups.extend(waits.group(id, held_for, indexes, count));
        }
        let others = all.filter(|index| !held.contains_key(index));
        groups.extend(waits.group(id, reason, others, tasks.saturating_sub(held.len())));
    }

    /// Adds the tasks of a step that are neither waiting nor known to run: those whose start is not confirmed,
    /// and those without a run.
    fn add_not_waiting(
        &self,
        (id, step): (StepId, &StepState),
        waits: &StepWaits,
        groups: &mut Vec<WaitGroup>,
    ) {
        if step.done_count as usize + step.waiting.len() >= step.done.len() {
            return;
        }
        let mut waiting = step.waiting.iter().peekable();
        let (mut unconfirmed, mut without_run) = (Vec::new(), Vec::new());
        for (is_done, index) in step.done.iter().zip(0..) {
            if waiting.next_if_eq(&&index).is_some() || *is_done {
                continue;
            }
            match self.runs.get(&id.task(index)) {
                Some(runs) if runs.iter().any(|run| self.may_be_active(run)) => {}
                Some(_) => unconfirmed.push(index),
                None => without_run.push(index),
            }
        }
        for (reason, indexes) in [
            (WaitReason::UnconfirmedStart, unconfirmed),
            (WaitReason::UncommittedEnd, without_run),
        ] {
            let tasks = indexes.len();
            groups.extend(waits.group(id, reason, indexes.into_iter(), tasks));
        }
    }

    /// Returns whether a run is confirmed, or the response to its start is not overdue.
    fn may_be_active(&self, run: &Run) -> bool {
        let is_overdue = self.now.steady_ms >= run.requested_at_ms + RESPONSE_MS;
        self.is_confirmed(run) || (run.state == RunState::Requested && !is_overdue)
    }

    /// Returns the reason for which the tasks of a step wait that are not held for reasons of their own.
    fn step_wait_reason<'a>(
        &self,
        (id, step): (StepId, &'a StepState),
        context: &mut WaitContext<'a>,
    ) -> WaitReason {
        let is_unreconciled = |pool: &SmolStr| context.unreconciled_pools.contains(pool);
        if step.inherited && step.possible_pools().any(is_unreconciled) {
            return WaitReason::UnknownRuns;
        }
        let (state, is_gang) = (context.state, step.step().gang);
        let has_worker = context.has_worker.entry(&step.pool);
        if !*has_worker.or_insert_with(|| self.has_worker_for_tasks(&step.pool, state)) {
            return WaitReason::NoWorker;
        }
        if self.exceeded_cap(step, is_gang, state).is_some() {
            return WaitReason::Cap;
        }
        if step.needs_advice && (self.advice.is_unmet(id) || !step.advice.has_ticket()) {
            return WaitReason::NoTicket;
        }
        if is_gang {
            return WaitReason::Gang;
        }
        WaitReason::NoRoom
    }
}
