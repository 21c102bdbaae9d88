//! Requests of the leader to workers, and their answers.

use jasminefall_jobs::leader::{PollRequest, StartRequest, WorkerHandle};
use jasminefall_jobs::prelude::*;
use rand::Rng;

use super::{Answer, Event, REQUEST_TIMEOUT_MS, Request, World};
use crate::rules::Start;
use crate::worker::HeldPoll;

impl World {
    pub(super) fn send(&mut self, handle: WorkerHandle, life: usize, effect: Effect) {
        self.next_event += 1;
        let id = self.next_event;
        self.requests.insert(id, (handle, effect.clone()));
        let slot = self.slots[self.workers[life].slot];
        let (is_cut, is_lossy) = (
            self.now_ms < slot.cut_until_ms,
            self.now_ms < slot.lossy_until_ms,
        );
        let (wait_ms, is_list) = match &effect {
            Effect::Poll(poll) => (poll.wait_ms, true),
            _ => (0, false),
        };
        // In a lossy period, requests queue behind others without an answer.
        let queued_ms =
            if is_lossy && !is_list && self.random.random_ratio(self.setup.queued_percent, 100) {
                self.random.random_range(0..1_000)
            } else {
                0
            };
        let unknown = if is_list {
            Answer::List(Err(WorkerResponse::Unknown))
        } else {
            Answer::Run(WorkerResponse::Unknown)
        };
        let timeout_ms = self.now_ms + queued_ms + wait_ms + REQUEST_TIMEOUT_MS;
        self.schedule(
            timeout_ms,
            Event::AnswerArrives {
                request: id,
                life,
                answer: unknown,
            },
        );
        let is_harmed =
            is_cut || (is_lossy && self.random.random_ratio(self.plan.harmed_percent, 100));
        let mut delay_ms = queued_ms + self.random.random_range(1..4);
        if is_harmed {
            match self.random.random_range(0..if is_cut { 6 } else { 10 }) {
                0..4 => delay_ms = self.random.random_range(2_000..12_000),
                4..6 => return,
                _ => {}
            }
        }
        self.counts.late_requests += u64::from(delay_ms >= 2_000);
        let request = Request {
            id,
            life,
            meant_for: life,
            fencing_token: self.fencing_token,
            effect,
            is_answered: !is_harmed,
        };
        self.schedule(self.now_ms + delay_ms, Event::RequestArrives(request));
    }

    pub(super) fn on_request(&mut self, mut request: Request) {
        let current = self.slots[self.workers[request.life].slot].life;
        let name_of = |life: usize| &self.workers[life].incarnation.worker;
        // A request names its worker, so that a later incarnation under this name accepts it. One that its
        // sender has given up has reached the intended incarnation, unless the network may hold requests.
        let may_be_under_way =
            self.requests.contains_key(&request.id) || self.setup.network_holds_requests;
        if name_of(current) == name_of(request.life) && may_be_under_way {
            self.counts.taken_by_successor += u64::from(current != request.life);
            request.life = current;
        }
        let failure = if !self.workers[current].is_up {
            let is_refused = self.random.random_ratio(1, 2);
            if is_refused {
                WorkerResponse::NotSent
            } else {
                WorkerResponse::Unknown
            }
        } else if current != request.life {
            WorkerResponse::OtherIncarnation
        } else if !self.workers[current].accepts(request.fencing_token) {
            WorkerResponse::Refused {
                clock_ms: Some(self.workers[current].clock_ms(self.now_ms)),
                refusal: Refusal::Fenced,
            }
        } else {
            return match &request.effect {
                Effect::Start(start) => self.on_start(&request, start),
                Effect::Stop { task, run, .. } => self.on_stop(&request, *task, *run),
                Effect::Poll(poll) => self.on_poll(&request, poll),
                _ => {}
            };
        };
        let answer = match request.effect {
            Effect::Poll(_) => Answer::List(Err(failure)),
            _ => Answer::Run(failure),
        };
        self.answer(&request, answer);
    }

    pub(super) fn on_start(&mut self, request: &Request, start: &StartRequest) {
        let (life, now_ms, task, run) = (request.life, self.now_ms, start.task, start.run);
        let has_ticket = self.accepts_ticket(life, start);
        let worker = &mut self.workers[life];
        let limits = (self.settings.max_lease_ms, self.setup.refuses_overload);
        let outcome = if has_ticket {
            worker.start(start, limits, now_ms)
        } else {
            Err(Refusal::Ticket)
        };
        let clock_ms = worker.clock_ms(now_ms);
        let (lease_until_ms, lapse_at_ms) = (worker.lease_until_ms, worker.lapse_at_ms());
        let incarnation = worker.incarnation.clone();
        self.note(format!(
            "start task={task} run={run} worker={incarnation} outcome={outcome:?} clock_ms={clock_ms} lease_until_ms={lease_until_ms}"
        ));
        self.schedule(lapse_at_ms, Event::LeaseExpires { life });
        if outcome == Ok(true) {
            self.counts.started_by_successor += u64::from(request.meant_for != life);
            self.begin_run(life, start);
        }
        let response = match outcome {
            Ok(_) => WorkerResponse::Accepted { clock_ms },
            Err(refusal) => WorkerResponse::Refused {
                clock_ms: Some(clock_ms),
                refusal,
            },
        };
        self.answer(request, Answer::Run(response));
    }

    /// Checks the rules on a start that has taken effect, and decides how the run goes.
    pub(super) fn begin_run(&mut self, life: usize, request: &StartRequest) {
        let (task, run) = (request.task, request.run);
        let step = &request.spec.steps[usize::from(task.step)];
        let dependencies = step.after.iter().flat_map(|before| {
            let count = request.spec.steps[usize::from(*before)].tasks;
            (0..count).map(|index| TaskId {
                step: *before,
                index,
                ..task
            })
        });
        let behaviour = self.plan.behaviours[&task];
        let start = Start {
            at_ms: self.now_ms,
            task,
            run,
            life,
            long_running: step.long_running,
            deadly: behaviour.crash_after_ms.is_some(),
        };
        let dependencies: Vec<_> = dependencies.collect();
        let heartbeat_ms = self.settings.heartbeat_ms;
        self.facts
            .on_start(&start, &self.workers, &dependencies, heartbeat_ms);
        self.counts.starts += 1;
        if step.gang {
            self.after_gang_start(life, task, run);
        }
        if let Some(after_ms) = behaviour.crash_after_ms {
            return self.schedule(self.now_ms + after_ms, Event::WorkerCrashes { life });
        }
        let kind = if self.random.random_ratio(behaviour.fail_percent, 100) {
            EndKind::Failed
        } else {
            EndKind::Done
        };
        let is_endless = step.long_running && kind == EndKind::Done;
        if !is_endless {
            let duration_ms = if step.long_running {
                behaviour.duration_ms.min(10_000)
            } else {
                behaviour.duration_ms
            };
            self.schedule(
                self.now_ms + duration_ms,
                Event::RunEnds {
                    life,
                    task,
                    run,
                    kind,
                },
            );
        }
    }

    pub(super) fn on_stop(&mut self, request: &Request, task: TaskId, run: u64) {
        let (life, worker) = (request.life, &mut self.workers[request.life]);
        let clock_ms = worker.clock_ms(self.now_ms);
        let (stops, incarnation) = (worker.stop(task, run), worker.incarnation.clone());
        self.note(format!(
            "stop task={task} run={run} worker={incarnation} active={stops}"
        ));
        if stops {
            let kind = EndKind::Stopped;
            let longest_ms = self.settings.stop_ms;
            self.after(
                1..longest_ms,
                Event::RunEnds {
                    life,
                    task,
                    run,
                    kind,
                },
            );
        }
        self.answer(request, Answer::Run(WorkerResponse::Accepted { clock_ms }));
    }

    pub(super) fn on_poll(&mut self, request: &Request, poll: &PollRequest) {
        let (life, now_ms) = (request.life, self.now_ms);
        let worker = &mut self.workers[life];
        worker.poll(poll, self.settings.max_lease_ms, now_ms);
        let lapse_at_ms = worker.lapse_at_ms();
        let is_held = poll.wait_ms > 0 && worker.ended.is_empty();
        if is_held {
            let is_answered = request.is_answered;
            worker.held_polls.push(HeldPoll {
                request: request.id,
                is_answered,
            });
        }
        let line = format!(
            "poll worker={} fencing_token={} deadline_ms={:?} acknowledged_upto={} clock_ms={} lease_until_ms={}",
            worker.incarnation,
            request.fencing_token,
            poll.deadline_ms,
            poll.acknowledged_upto,
            worker.clock_ms(now_ms),
            worker.lease_until_ms,
        );
        self.note(line);
        self.schedule(lapse_at_ms, Event::LeaseExpires { life });
        self.facts
            .on_acknowledged(life, poll.acknowledged_upto, &self.workers);
        if is_held {
            self.schedule(
                now_ms + poll.wait_ms,
                Event::PollWaited {
                    life,
                    request: request.id,
                },
            );
        } else {
            let list = self.workers[life].list(now_ms);
            self.answer(request, Answer::List(Ok(list)));
        }
    }

    /// Answers the poll with an id, or all polls that a worker holds.
    pub(super) fn answer_held_polls(&mut self, life: usize, request: Option<u64>) {
        let worker = &mut self.workers[life];
        let is_due = |held: &HeldPoll| request.is_none_or(|request| request == held.request);
        let due: Vec<_> = worker
            .held_polls
            .extract_if(.., |held| is_due(held))
            .collect();
        let list = worker.list(self.now_ms);
        for held in due.into_iter().filter(|held| held.is_answered) {
            let (request, answer) = (held.request, Answer::List(Ok(list.clone())));
            self.after(
                1..4,
                Event::AnswerArrives {
                    request,
                    life,
                    answer,
                },
            );
        }
    }

    pub(super) fn answer(&mut self, request: &Request, answer: Answer) {
        let (is_answered, request, life) = (request.is_answered, request.id, request.life);
        let slot = self.slots[self.workers[life].slot];
        let slowest_ms = if self.now_ms < slot.lossy_until_ms {
            300
        } else {
            4
        };
        if is_answered {
            let event = Event::AnswerArrives {
                request,
                life,
                answer,
            };
            self.after(1..slowest_ms, event);
        }
    }

    pub(super) fn on_answer(&mut self, request: u64, life: usize, answer: Answer) {
        let is_cut = self.now_ms < self.slots[self.workers[life].slot].cut_until_ms;
        let is_response = !matches!(
            answer,
            Answer::Run(WorkerResponse::Unknown | WorkerResponse::NotSent)
                | Answer::List(Err(WorkerResponse::Unknown | WorkerResponse::NotSent))
        );
        if is_cut && is_response {
            return;
        }
        let Some((handle, effect)) = self.requests.remove(&request) else {
            return;
        };
        if matches!(answer, Answer::List(Ok(_))) {
            self.workers[life].listed_for = Some(self.fencing_token);
        }
        self.drive_leader(|leader, state| match (effect, answer) {
            (Effect::Start(start), Answer::Run(response)) => {
                leader.on_start_response(&start, &response, state);
            }
            (Effect::Poll(poll), Answer::List(list)) => {
                leader.on_poll_response(handle, poll.channel, list, state);
            }
            (Effect::Stop { task, run, .. }, Answer::Run(response)) => {
                leader.on_stop_response(handle, (task, run), &response, state);
            }
            (_, Answer::Run(response)) => leader.on_run_response(handle, &response, state),
            (_, Answer::List(_)) => {}
        });
    }
}
