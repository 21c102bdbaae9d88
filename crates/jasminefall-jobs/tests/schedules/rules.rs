//! The rules that every schedule keeps, and the facts that they are checked against.

use std::collections::BTreeMap;
use std::fmt;

use jasminefall_jobs::prelude::*;

use super::worker::Worker;

/// Crashes of workers under a task that crashes them after which BUDGET limits its starts.
const BUDGET_CRASHES: u32 = 3;
/// Starts of a task that may still take effect after the last of [`BUDGET_CRASHES`] crashes.
const BUDGET_STARTS_AFTER_CRASHES: u32 = 2;
/// Crashes under a task of a job after which the job may be shown as failed.
const FAILED_CRASHES: u32 = 2;
/// Time beyond the heartbeat interval after which a shrunk capacity counts, in milliseconds.
const LIMIT_GRACE_MS: u64 = 3_000;

/// Describes a broken rule.
#[derive(Debug, Clone)]
pub(crate) struct Violation {
    pub(crate) rule: &'static str,
    pub(crate) at_ms: u64,
    pub(crate) job: JobKey,
    /// The task and the worker, unless the rule is about a job as a whole.
    pub(crate) start: Option<(TaskId, IncarnationId)>,
    pub(crate) cause: String,
}

impl Violation {
    /// Returns the text by which recorded events name the task or job.
    pub(crate) fn subject(&self) -> String {
        match &self.start {
            Some((task, _)) => format!("task={task} "),
            None => self.job.to_string(),
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "rule={} at_ms={}", self.rule, self.at_ms)?;
        match &self.start {
            Some((task, worker)) => write!(formatter, " task={task} worker={worker}")?,
            None => write!(formatter, " job={}", self.job)?,
        }
        write!(formatter, " cause={:?}", self.cause)
    }
}

/// Identifies the start of a run that has taken effect.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Start {
    pub(crate) at_ms: u64,
    pub(crate) task: TaskId,
    pub(crate) run: u64,
    /// The index of the worker.
    pub(crate) life: usize,
    pub(crate) long_running: bool,
    /// Whether the task crashes its workers.
    pub(crate) deadly: bool,
}

/// An end `done` that its worker still lists or that was acknowledged.
#[derive(Debug)]
struct DoneEnd {
    life: usize,
    number: u64,
    acknowledged: bool,
    lapsed: bool,
    later_start: Option<Start>,
}

/// Holds what has happened so far, as far as a rule depends on it.
#[derive(Debug, Default)]
pub(crate) struct Facts {
    active: BTreeMap<TaskId, Vec<(u64, usize)>>,
    done: BTreeMap<TaskId, Vec<DoneEnd>>,
    failed_ends: BTreeMap<TaskId, u32>,
    crashes: BTreeMap<TaskId, u32>,
    starts_after_crashes: BTreeMap<TaskId, u32>,
    capacities: BTreeMap<usize, Vec<(u64, Resources)>>,
    violation: Option<Violation>,
}

impl Facts {
    fn report(
        &mut self,
        rule: &'static str,
        start: &Start,
        workers: &[Worker],
        cause: Option<String>,
    ) {
        if let (Some(cause), None) = (cause, &self.violation) {
            self.violation = Some(Violation {
                rule,
                at_ms: start.at_ms,
                job: start.task.job,
                start: Some((start.task, workers[start.life].incarnation.clone())),
                cause,
            });
        }
    }

    pub(crate) const fn take_violation(&mut self) -> Option<Violation> {
        self.violation.take()
    }

    /// Checks the rules on starts; `after` has the tasks that must be done before.
    pub(crate) fn on_start(
        &mut self,
        start: &Start,
        workers: &[Worker],
        after: &[TaskId],
        heartbeat_ms: u64,
    ) {
        if start.deadly && self.crashes(start.task) >= BUDGET_CRASHES {
            *self.starts_after_crashes.entry(start.task).or_default() += 1;
        }
        let parallel = self.parallel_run(start, workers);
        self.report("TWICE", start, workers, parallel);
        let repeated = self.start_after_done(start, workers);
        self.report("TWICE", start, workers, repeated);
        let order = self.start_before_dependencies(after);
        self.report("ORDER", start, workers, order);
        let budget = self.start_beyond_budget(start);
        self.report("BUDGET", start, workers, budget);
        let overload = self.start_over_capacity(start, &workers[start.life], heartbeat_ms);
        self.report("LIMIT", start, workers, overload);
        let active = self.active.entry(start.task).or_default();
        active.push((start.run, start.life));
    }

    /// TWICE: another run of the task is active on a worker that is up.
    fn parallel_run(&self, start: &Start, workers: &[Worker]) -> Option<String> {
        let active = self.active.get(&start.task)?;
        let (run, life) = active.iter().find(|(_, life)| workers[*life].is_up)?;
        let worker = &workers[*life].incarnation;
        Some(format!(
            "run {} starts while run {run} is active on {worker}",
            start.run
        ))
    }

    /// TWICE: a run of the task has ended as done before, and that end is acknowledged.
    fn start_after_done(&mut self, start: &Start, workers: &[Worker]) -> Option<String> {
        if start.long_running {
            return None;
        }
        let ends = self.done.entry(start.task).or_default();
        for end in ends.iter_mut() {
            end.later_start.get_or_insert(*start);
        }
        let end = ends.iter().find(|end| end.acknowledged)?;
        let worker = &workers[end.life].incarnation;
        Some(format!(
            "run {} starts after end {} of {worker} was acknowledged",
            start.run, end.number
        ))
    }

    /// TWICE: a start came after the end as done that is acknowledged now.
    fn acknowledged_after_start(&self, (life, upto): (usize, u64)) -> Option<(Start, String)> {
        let ends = self.done.values().flatten();
        let mut acknowledged = ends.filter(|end| end.life == life && end.number <= upto);
        let (start, end) = acknowledged.find_map(|end| Some((end.later_start?, end)))?;
        (!end.acknowledged && !end.lapsed).then(|| {
            let cause = format!(
                "run {} started after end {}, which is acknowledged now",
                start.run, end.number
            );
            (start, cause)
        })
    }

    /// ORDER: a task starts before the steps that it depends on are done.
    fn start_before_dependencies(&self, after: &[TaskId]) -> Option<String> {
        let is_missing = |task: &&TaskId| self.done.get(task).is_none_or(Vec::is_empty);
        let missing = after.iter().find(is_missing)?;
        Some(format!("{missing} is not done"))
    }

    /// BUDGET: a task is started again and again although its workers crash.
    fn start_beyond_budget(&self, start: &Start) -> Option<String> {
        let starts = self
            .starts_after_crashes
            .get(&start.task)
            .copied()
            .unwrap_or(0);
        (starts > BUDGET_STARTS_AFTER_CRASHES).then(|| {
            let crashes = self.crashes(start.task);
            format!("start {starts} after {BUDGET_CRASHES} crashes, {crashes} crashes in total")
        })
    }

    /// LIMIT: a start brings a worker over the capacity that the leader can know.
    fn start_over_capacity(
        &self,
        start: &Start,
        worker: &Worker,
        heartbeat_ms: u64,
    ) -> Option<String> {
        let since_ms = start.at_ms.saturating_sub(heartbeat_ms + LIMIT_GRACE_MS);
        let changes = self.capacities.get(&start.life)?;
        let first = changes.iter().rposition(|(at_ms, _)| *at_ms <= since_ms);
        let known = changes[first.unwrap_or(0)..]
            .iter()
            .map(|(_, capacity)| *capacity);
        let capacity = known.reduce(|most, next| most.component_max(&next))?;
        let used = worker.used();
        (!capacity.can_fit(&used))
            .then(|| format!("uses {} of {} mcpu", used.cpu_millis, capacity.cpu_millis))
    }

    /// UNKNOWN-WORKER: a leader begins while a task runs on a worker of which the log has no incarnation, so
    /// that it doesn't wait for the worker's runs.
    pub(crate) fn on_election(&mut self, workers: &[Worker], state: &JobsState, at_ms: u64) {
        for worker in workers.iter().filter(|worker| worker.is_up) {
            let name = &worker.incarnation.worker;
            let mut recorded = state.incarnations.keys();
            if recorded.any(|known| known.worker == *name) {
                continue;
            }
            let Some((task, run)) = worker.running.keys().next() else {
                continue;
            };
            self.violation.get_or_insert_with(|| Violation {
                rule: "UNKNOWN-WORKER",
                at_ms,
                job: task.job,
                start: Some((*task, worker.incarnation.clone())),
                cause: format!("run {run} is active and the log has no incarnation of the worker"),
            });
        }
    }

    pub(crate) fn on_end(&mut self, life: usize, task: TaskId, run: u64, end: (EndKind, u64)) {
        self.remove_active(life, task, run);
        match end {
            (EndKind::Done, number) => {
                self.done.entry(task).or_default().push(DoneEnd {
                    life,
                    number,
                    acknowledged: false,
                    lapsed: false,
                    later_start: None,
                });
            }
            (EndKind::Failed, _) => *self.failed_ends.entry(task).or_default() += 1,
            _ => {}
        }
    }

    fn remove_active(&mut self, life: usize, task: TaskId, run: u64) {
        if let Some(active) = self.active.get_mut(&task) {
            active.retain(|known| *known != (run, life));
        }
    }

    pub(crate) fn on_acknowledged(&mut self, life: usize, upto: u64, workers: &[Worker]) {
        if let Some((start, cause)) = self.acknowledged_after_start((life, upto)) {
            self.report("TWICE", &start, workers, Some(cause));
        }
        for end in self.done.values_mut().flatten() {
            if end.life == life && end.number <= upto && !end.lapsed {
                end.acknowledged = true;
            }
        }
    }

    pub(crate) fn on_lapse(&mut self, life: usize) {
        for end in self.done.values_mut().flatten() {
            end.lapsed |= end.life == life && !end.acknowledged;
        }
    }

    pub(crate) fn on_shutdown(&mut self, life: usize, runs: &[(TaskId, u64)], is_crash: bool) {
        for (task, run) in runs {
            self.remove_active(life, *task, *run);
            if is_crash {
                *self.crashes.entry(*task).or_default() += 1;
            }
        }
    }

    pub(crate) fn on_capacity(&mut self, life: usize, at_ms: u64, capacity: Resources) {
        self.capacities
            .entry(life)
            .or_default()
            .push((at_ms, capacity));
    }

    fn crashes(&self, task: TaskId) -> u32 {
        self.crashes.get(&task).copied().unwrap_or(0)
    }

    /// Returns whether failures or crashes of a task of the job justify its failure.
    pub(crate) fn may_fail(&self, job: JobKey, attempts: u32) -> bool {
        let reaches = |counts: &BTreeMap<TaskId, u32>, limit: u32| {
            counts
                .iter()
                .any(|(task, count)| task.job == job && *count >= limit)
        };
        reaches(&self.failed_ends, attempts) || reaches(&self.crashes, FAILED_CRASHES)
    }

    /// FALSE-FAILED: a job is shown as failed without a cause.
    pub(crate) fn on_job_failed(&mut self, job: JobKey, attempts: u32, at_ms: u64) {
        if !self.may_fail(job, attempts) {
            self.report_job(
                "FALSE-FAILED",
                job,
                at_ms,
                "no task has failed or crashed its workers often enough".to_owned(),
            );
        }
    }

    /// PROGRESS: a job is not completed long after the faults.
    pub(crate) fn on_unfinished(&mut self, job: JobKey, status: Option<JobStatus>, at_ms: u64) {
        self.report_job("PROGRESS", job, at_ms, format!("the job is {status:?}"));
    }

    /// LOST: something of a job waits although there is room for it.
    pub(crate) fn on_lost(&mut self, job: JobKey, at_ms: u64, cause: String) {
        self.report_job("LOST", job, at_ms, cause);
    }

    fn report_job(&mut self, rule: &'static str, job: JobKey, at_ms: u64, cause: String) {
        if self.violation.is_none() {
            self.violation = Some(Violation {
                rule,
                at_ms,
                job,
                start: None,
                cause,
            });
        }
    }
}
