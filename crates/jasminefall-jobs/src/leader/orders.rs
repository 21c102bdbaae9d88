//! Answers of workers to orders, and their lists of runs.

use std::collections::BTreeSet;

use smol_str::SmolStr;

use super::workers::LookState;
use super::{Leader, LookLane, Run, RunState, StartOrder, WorkerHandle};
use crate::ids::{LifeId, TaskId};
use crate::job::Resources;
use crate::state::{Command, JobsState};
use crate::worker::{EndKind, OrderAnswer, Refusal, RunEnd, RunList, RunRow};

/// How long a worker that had no room is taken as full, in milliseconds, unless a run ends there.
const FULL_FOR_MS: u64 = 300;
/// How long a worker that called itself unhealthy is left alone, in milliseconds.
const UNHEALTHY_FOR_MS: u64 = 1_000;
/// How much later than by our estimate of its clock a worker is asked whether a start has taken
/// effect, in milliseconds; far above the error of that estimate within a second.
const CHECK_MARGIN_MS: u64 = 40;

impl Leader {
    /// Takes the answer to an order to start a task.
    pub fn take_start_answer(
        &mut self,
        order: &StartOrder,
        answer: &OrderAnswer,
        state: &JobsState,
    ) {
        let (handle, task, number) = (order.worker, order.task, order.run);
        let now_ms = self.now.steady_ms;
        let Some(worker) = self.workers.get_mut(&handle) else {
            return;
        };
        let life = worker.life().clone();
        let clock_ms = match answer {
            OrderAnswer::Accepted { clock_ms } => Some(*clock_ms),
            OrderAnswer::Refused { clock_ms, .. } => *clock_ms,
            _ => None,
        };
        if let Some(clock_ms) = clock_ms {
            worker.read_clock(clock_ms, now_ms);
        }
        match answer {
            OrderAnswer::Accepted { .. } => {
                if let Some(run) = self.run_mut(task, number)
                    && matches!(run.state, RunState::Sending | RunState::Unsure)
                {
                    run.state = RunState::Running;
                    run.moved_at_ms = now_ms;
                }
            }
            OrderAnswer::Refused { refusal, .. } => {
                self.counts.starts_refused += 1;
                self.note(format!(
                    "event=start_refused task={task} run={number} worker={life} cause={}",
                    refusal.as_str()
                ));
                self.note_refusal(handle, *refusal);
                if *refusal != Refusal::Fenced {
                    self.remove_run(task, number);
                    self.drop_run(task, number);
                }
            }
            OrderAnswer::AnotherLife => self.end_life_for_good(handle, "replaced", state),
            OrderAnswer::NotSent => {
                self.doubt(handle);
                self.remove_run(task, number);
                self.drop_run(task, number);
            }
            OrderAnswer::Unknown => {
                self.counts.starts_unsure += 1;
                self.note(format!(
                    "event=start_unanswered task={task} run={number} worker={life}"
                ));
                self.doubt(handle);
                self.check_later(order);
                if let Some(run) = self.run_mut(task, number)
                    && run.state == RunState::Sending
                {
                    run.state = RunState::Unsure;
                }
            }
        }
        self.look_if_due(handle, state);
    }

    fn note_refusal(&mut self, handle: WorkerHandle, refusal: Refusal) {
        let now_ms = self.now.steady_ms;
        let Some(worker) = self.workers.get_mut(&handle) else {
            return;
        };
        match refusal {
            Refusal::NoRoom => worker.full_until_ms = now_ms + FULL_FOR_MS,
            Refusal::Unhealthy => {
                worker.health.note_failure(now_ms);
                worker.full_until_ms = now_ms + UNHEALTHY_FOR_MS;
            }
            Refusal::Fenced
            | Refusal::OldRun
            | Refusal::Late
            | Refusal::Ticket
            | Refusal::Other => {}
        }
    }

    /// Takes the answer to an order to stop a run or to change its pace.
    pub fn take_order_answer(
        &mut self,
        handle: WorkerHandle,
        answer: &OrderAnswer,
        state: &JobsState,
    ) {
        let now_ms = self.now.steady_ms;
        match answer {
            OrderAnswer::Accepted { clock_ms } => {
                if let Some(worker) = self.workers.get_mut(&handle) {
                    worker.read_clock(*clock_ms, now_ms);
                }
            }
            OrderAnswer::Refused { .. } => {}
            OrderAnswer::AnotherLife => self.end_life_for_good(handle, "replaced", state),
            OrderAnswer::NotSent | OrderAnswer::Unknown => self.doubt(handle),
        }
    }

    /// Lets a worker be asked about a start as soon as that can no longer take effect.
    fn check_later(&mut self, order: &StartOrder) {
        let now_ms = self.now.steady_ms;
        if let Some(worker) = self.workers.get_mut(&order.worker) {
            let left_ms = order.deadline_ms.saturating_sub(worker.clock_now(now_ms));
            let at_ms = now_ms + left_ms + CHECK_MARGIN_MS;
            worker.check_at_ms = Some(worker.check_at_ms.unwrap_or(0).max(at_ms));
        }
    }

    /// Starts nothing more on a worker until it has answered a look.
    fn doubt(&mut self, handle: WorkerHandle) {
        self.note_loss();
        if let Some(worker) = self.workers.get_mut(&handle) {
            worker.doubtful = true;
        }
    }

    /// Takes a worker's list of runs, or the lack of an answer.
    pub fn take_look(
        &mut self,
        handle: WorkerHandle,
        lane: LookLane,
        answer: Result<RunList, OrderAnswer>,
        state: &JobsState,
    ) {
        let list = match answer {
            Ok(list) => list,
            Err(OrderAnswer::AnotherLife) => {
                return self.end_life_for_good(handle, "replaced", state);
            }
            Err(_) => return self.fail_look(handle, lane),
        };
        let now_ms = self.now.steady_ms;
        let Some(worker) = self.workers.get_mut(&handle) else {
            return;
        };
        let life = worker.life().clone();
        if list.born_ms != 0 && list.born_ms != life.born_ms {
            return self.end_life_for_good(handle, "replaced", state);
        }
        worker.read_clock(list.clock_ms, now_ms);
        worker.looks[lane as usize] = LookState::Idle;
        if worker.adopted && list.clock_ms < worker.list_clock_ms {
            // A later list has overtaken this one; its ends are as good as ever.
            self.take_ends((handle, lane), &life, &list.ended, state);
            return self.look_if_due(handle, state);
        }
        worker.list_clock_ms = list.clock_ms;
        worker.read_at_ms = now_ms;
        if worker.check_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
            worker.check_at_ms = None;
        }
        let was_doubtful = std::mem::replace(&mut worker.doubtful, false);
        let is_new = !std::mem::replace(&mut worker.adopted, true);
        if is_new {
            worker.clock = (list.clock_ms, now_ms);
        }
        let pool = worker.heartbeat.pool.clone();
        if was_doubtful || is_new {
            self.note(format!(
                "event=worker_read worker={life} running={} ended={} clock_ms={}",
                list.running.len(),
                list.ended.len(),
                list.clock_ms
            ));
            self.dirty_pools.insert(pool);
            self.retry_looks(handle);
        }
        self.take_ends((handle, lane), &life, &list.ended, state);
        self.take_rows(handle, &list);
        self.pace_worker(handle);
        if is_new {
            self.settle_life(&life);
        }
        self.look_if_due(handle, state);
    }

    /// Sends looks that have failed again at once, now that the worker has answered another.
    fn retry_looks(&mut self, handle: WorkerHandle) {
        if let Some(worker) = self.workers.get_mut(&handle) {
            for look in &mut worker.looks {
                if matches!(look, LookState::RetryAt(_)) {
                    *look = LookState::Idle;
                }
            }
        }
    }

    fn take_ends(
        &mut self,
        (handle, lane): (WorkerHandle, LookLane),
        life: &LifeId,
        ended: &[RunEnd],
        state: &JobsState,
    ) {
        let noted_upto = state.lives.get(life).map_or(0, |note| note.noted_upto);
        let mut fresh = Vec::new();
        for end in ended {
            let Some(worker) = self.workers.get_mut(&handle) else {
                return;
            };
            worker.ends_noted = worker.ends_noted.max(noted_upto);
            if end.number > worker.ends_seen {
                worker.ends_seen = end.number;
                self.take_end(handle, end);
                if end.number > noted_upto {
                    fresh.push(end.clone());
                }
            }
        }
        let is_noting = ended.iter().any(|end| end.number > noted_upto);
        if let Some(worker) = self.workers.get_mut(&handle)
            && !ended.is_empty()
        {
            worker.owes_acknowledgement = true;
            if is_noting {
                // Until they are durable the worker would list the same ends again at once.
                worker.looks[lane as usize] = LookState::Noting;
            }
        }
        if !fresh.is_empty() {
            self.propose(Command::NoteEnds {
                life: life.clone(),
                ends: fresh,
            });
        }
    }

    fn take_end(&mut self, handle: WorkerHandle, end: &RunEnd) {
        let now_ms = self.now.steady_ms;
        self.note_run(end.task, end.run);
        let ended = self.remove_run(end.task, end.run);
        let took_ms = ended
            .as_ref()
            .map(|run| now_ms.saturating_sub(run.ordered_at_ms));
        let line = format!(
            "event=run_ended task={} run={} how={} worker={} took_ms={}",
            end.task,
            end.run,
            end.kind.as_str(),
            self.workers
                .get(&handle)
                .map(|known| known.life().to_string())
                .unwrap_or_default(),
            took_ms.map_or(-1, |took_ms| i64::try_from(took_ms).unwrap_or(i64::MAX)),
        );
        self.note(line);
        if let Some(step) = self.steps.get_mut(&end.task.step_id())
            && !end.checkpoint.is_empty()
        {
            step.checkpoints
                .insert(end.task.index, end.checkpoint.clone());
        }
        let step = self.steps.get(&end.task.step_id());
        let lasts = step.is_some_and(|step| step.step().long_running);
        let Some(worker) = self.workers.get_mut(&handle) else {
            return;
        };
        worker.full_until_ms = 0;
        match end.kind {
            EndKind::Done | EndKind::Failed if lasts => self.requeue(end.task),
            EndKind::Done => {
                worker.health.note_done();
                self.learn(end.task, took_ms);
                self.finish_task(end.task);
                self.stop_others(end.task);
            }
            EndKind::Failed => {
                if worker.health.note_failure(now_ms) {
                    let line = format!("event=worker_set_aside worker={}", worker.life());
                    self.note(line);
                }
                // Whether the task may be tried again is known once the failure is noted.
                if let Some(step) = self.steps.get_mut(&end.task.step_id()) {
                    step.waiting.remove(&end.task.index);
                }
            }
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {
                self.requeue(end.task);
            }
        }
        self.pacing.forget(end.task);
    }

    /// Stops the copies of a task that is done.
    fn stop_others(&mut self, task: TaskId) {
        let runs = self.runs.get(&task).into_iter().flatten();
        let numbers: Vec<_> = runs.map(|run| run.number).collect();
        for number in numbers {
            self.stop_run(task, number, "done-elsewhere");
        }
    }

    /// Compares the list of what runs on a worker with what is thought to run there.
    fn take_rows(&mut self, handle: WorkerHandle, list: &RunList) {
        let mut listed = BTreeSet::new();
        for row in &list.running {
            listed.insert((row.task, row.run));
            self.take_row(handle, row);
        }
        let ended: BTreeSet<_> = list.ended.iter().map(|end| (end.task, end.run)).collect();
        let Some(worker) = self.workers.get(&handle) else {
            return;
        };
        let known: Vec<_> = worker
            .runs
            .iter()
            .map(|(task, run)| (*task, *run))
            .collect();
        for (task, number) in known {
            if listed.contains(&(task, number)) || ended.contains(&(task, number)) {
                continue;
            }
            let Some(run) = self.run_mut(task, number) else {
                continue;
            };
            // A start that has not taken effect by its deadline never does.
            if list.clock_ms > run.start_deadline_ms {
                self.note(format!(
                    "event=start_without_effect task={task} run={number} clock_ms={}",
                    list.clock_ms
                ));
                self.remove_run(task, number);
                self.drop_run(task, number);
            }
        }
    }

    fn take_row(&mut self, handle: WorkerHandle, row: &RunRow) {
        let now_ms = self.now.steady_ms;
        if let Some(run) = self.run_mut(row.task, row.run) {
            if matches!(run.state, RunState::Sending | RunState::Unsure) {
                run.state = RunState::Running;
            }
            if run.percent != row.percent {
                run.percent = row.percent;
                run.moved_at_ms = now_ms;
            }
            run.gauge = row.gauge;
            if !row.checkpoint.is_empty() && run.checkpoint != row.checkpoint {
                run.checkpoint = row.checkpoint.clone();
                if let Some(step) = self.steps.get_mut(&row.task.step_id()) {
                    step.checkpoints
                        .insert(row.task.index, row.checkpoint.clone());
                }
            }
            return;
        }
        self.adopt_run(handle, row);
    }

    /// Takes over a run that an earlier leader started, or stops one that must not go on.
    fn adopt_run(&mut self, handle: WorkerHandle, row: &RunRow) {
        self.note_run(row.task, row.run);
        let step = self.steps.get(&row.task.step_id());
        let counted = step.map_or_else(Resources::default, |step| step.step().counted());
        let lasts = step.is_some_and(|step| step.step().long_running);
        let in_step = step.is_some_and(|step| {
            step.open && step.done.get(row.task.index as usize) == Some(&false)
        });
        let elsewhere = self
            .runs
            .get(&row.task)
            .is_some_and(|runs| !runs.is_empty());
        let wanted = in_step && !elsewhere;
        self.note(format!(
            "event=run_adopted task={} run={} worker={} wanted={wanted}",
            row.task,
            row.run,
            self.workers
                .get(&handle)
                .map(|known| known.life().to_string())
                .unwrap_or_default()
        ));
        self.add_run(Run {
            task: row.task,
            number: row.run,
            worker: handle,
            state: RunState::Running,
            counted,
            lasts,
            start_deadline_ms: 0,
            ordered_at_ms: self.now.steady_ms,
            checkpoint: row.checkpoint.clone(),
            percent: row.percent,
            gauge: row.gauge,
            moved_at_ms: self.now.steady_ms,
            pace_percent: 100,
        });
        if !wanted {
            self.stop_run(row.task, row.run, "not-wanted");
        }
    }

    /// Follows a command that has been applied to the replicated state.
    pub fn take_applied(&mut self, command: &Command, state: &JobsState) {
        match command {
            Command::Submit { job, .. } => {
                let is_known = !self.step_ids(*job).is_empty();
                if let Some(found) = state.jobs.get(job).filter(|found| found.ended.is_none())
                    && !is_known
                {
                    self.open_job(*job, found, state);
                }
            }
            Command::Cancel(job) => self.close_job(*job),
            Command::Configure(_) => self.follow_configuration(state),
            Command::Register(heartbeat) => {
                if let Some(handle) = self.directory.of_life(&heartbeat.life)
                    && let Some(worker) = self.workers.get_mut(&handle)
                {
                    worker.registered = true;
                    self.dirty_pools.insert(heartbeat.pool.clone());
                    self.look_if_due(handle, state);
                }
            }
            Command::NoteEnds { life, ends } => self.take_noted(life, ends, state),
            Command::StartWave { .. } => self.note("event=wave_accepted".to_owned()),
            Command::Lead
            | Command::Retire(_)
            | Command::NoteMaintained { .. }
            | Command::Forget(_)
            | Command::NoteEnded { .. }
            | Command::NoteRise { .. } => {}
        }
    }

    fn take_noted(&mut self, life: &LifeId, ends: &[RunEnd], state: &JobsState) {
        for end in ends {
            let job = end.task.job;
            match state.jobs.get(&job) {
                Some(known) if known.ended.is_none() && end.kind == EndKind::Failed => {
                    self.requeue(end.task);
                }
                Some(known) if known.ended.is_some() => {
                    let status = known.status();
                    self.note(format!("event=job_ended job={job} status={status:?}"));
                    self.close_job(job);
                }
                _ => {}
            }
        }
        let Some(handle) = self.directory.of_life(life) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&handle) {
            let last = ends.iter().map(|end| end.number).max().unwrap_or(0);
            worker.ends_noted = worker.ends_noted.max(last);
            for look in &mut worker.looks {
                if *look == LookState::Noting {
                    *look = LookState::Idle;
                }
            }
        }
        self.look_if_due(handle, state);
    }

    /// Returns the checkpoint from which a task is resumed.
    pub(super) fn checkpoint(&self, task: TaskId) -> SmolStr {
        let step = self.steps.get(&task.step_id());
        let known = step.and_then(|step| step.checkpoints.get(&task.index));
        known.cloned().unwrap_or_default()
    }
}
