//! What a seed decides in advance: the jobs, the behaviour of their tasks and the faults.

use std::collections::BTreeMap;
use std::sync::Arc;

use jasminefall_jobs::prelude::*;
use rand::Rng;
use rand::rngs::StdRng;

pub(crate) const ATTEMPTS: u32 = 3;
pub(crate) const POOL: &str = "render";
/// A pool without jobs, to which workers are moved for a while.
pub(crate) const SPARE_POOL: &str = "spare";
/// Time of the first and the last fault, in milliseconds.
const FAULTS_MS: std::ops::Range<u64> = 3_000..28_000;
/// Duration of a task of a job with long tasks, in milliseconds.
const LONG_TASK_MS: std::ops::RangeInclusive<u64> = 10_000..=25_000;
/// Duration of a task of a job that is submitted just before a group restarts, in milliseconds: it outlasts the
/// time without a leader.
const REPLACED_TASK_MS: std::ops::Range<u64> = 2_000..6_000;
const FULL_CAPACITY: Resources = Resources {
    cpu_millis: 8_000,
    memory_mb: 16_000,
    gpus: 0,
};
const LARGEST_CPU_MILLIS: u64 = 16_000;

/// Defines a group of worlds by the number of their workers and faults.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Setup {
    pub(crate) workers: usize,
    pub(crate) jobs: u64,
    pub(crate) refuses_overload: bool,
    /// The largest share of tasks that crash their workers, in thousandths; each seed has its own.
    pub(crate) max_deadly_millis: u32,
    /// Periods in which half the requests to a worker get no response.
    pub(crate) lossy_periods: u32,
    /// The share of starts and stops that are late by up to a second in such a period.
    pub(crate) queued_percent: u32,
    pub(crate) cuts: u32,
    pub(crate) crashes: u32,
    pub(crate) departures: u32,
    pub(crate) leader_changes: u32,
    pub(crate) capacity_changes: u32,
    /// Whether workers restart under their name, and within a second.
    pub(crate) restarts_under_name: bool,
    /// Whether a request that its sender has given up can reach a later incarnation of its worker.
    pub(crate) network_holds_requests: bool,
    /// Whether each step needs tickets of the advice service.
    pub(crate) needs_advice: bool,
    /// Unequal workers and jobs; replaces `workers` and `jobs`.
    pub(crate) mix: Option<Mix>,
    /// Failures of a data centre.
    pub(crate) outages: Option<Outages>,
    /// Restarts of groups of workers, beside departures, moves and cuts of single ones.
    pub(crate) replacements: Option<Replacements>,
    /// A loss of the leader beside those of `leader_changes`.
    pub(crate) leader_loss: LeaderLoss,
    /// Time after which a worker that has ended is followed by the next one; drawn if there is none.
    pub(crate) restart_ms: Option<u64>,
    /// Time from which the advice service answers every request.
    pub(crate) advice_fails_until_ms: u64,
    /// Whether the rule LOST is checked.
    pub(crate) checks_waits: bool,
    pub(crate) last_submit_ms: u64,
    /// Time at which the long-running jobs are cancelled, after the last fault has ended.
    pub(crate) calm_from_ms: u64,
    pub(crate) end_ms: u64,
}

/// Defines the work in a pool of 4 to 30 workers of unequal capacity.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Mix {
    /// The share of jobs whose tasks last 10 to 25 s.
    pub(crate) long_percent: u32,
    /// The share of steps whose tasks fit only on the largest workers.
    pub(crate) large_percent: u32,
    /// The share of jobs whose last step is a gang.
    pub(crate) gang_percent: u32,
}

impl Mix {
    pub(crate) const DATA_CENTRE: Self = Self {
        long_percent: 35,
        large_percent: 3,
        gang_percent: 0,
    };
}

/// Defines failures of a data centre, which has a half or a third of the workers: they crash within some
/// hundred milliseconds, return, and are cut off soon afterwards.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outages {
    /// Whether the leader is lost between the crashes and the cuts.
    pub(crate) loses_leader: bool,
}

/// Defines a series of restarts that overlap; the workers of a group crash at the same time, and begin again
/// under their names in the same millisecond.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Replacements {
    /// Whether the wall clocks of a group go back at one of its restarts.
    pub(crate) wall_clock_goes_back: bool,
}

/// Defines when the leader is lost because of what it has proposed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaderLoss {
    /// Never.
    None,
    /// Between the proposal and the commit of the command with this number, so that the log ends just before it.
    /// Some later leaders are lost in the same way while workers are being replaced.
    BeforeCommand(u64),
}

impl Setup {
    pub(crate) const PLAIN: Self = Self {
        workers: 6,
        jobs: 60,
        refuses_overload: true,
        max_deadly_millis: 0,
        lossy_periods: 6,
        queued_percent: 25,
        cuts: 6,
        crashes: 2,
        departures: 0,
        leader_changes: 0,
        capacity_changes: 0,
        restarts_under_name: false,
        network_holds_requests: false,
        needs_advice: false,
        mix: None,
        outages: None,
        replacements: None,
        leader_loss: LeaderLoss::None,
        restart_ms: None,
        advice_fails_until_ms: u64::MAX,
        checks_waits: false,
        last_submit_ms: FAULTS_MS.end,
        calm_from_ms: 41_000,
        end_ms: 71_000,
    };
    /// A data centre fails twice or three times, beside few other faults.
    pub(crate) const DATA_CENTRE: Self = Self {
        lossy_periods: 2,
        cuts: 0,
        crashes: 1,
        mix: Some(Mix::DATA_CENTRE),
        outages: Some(Outages {
            loses_leader: false,
        }),
        restart_ms: Some(600),
        advice_fails_until_ms: 65_000,
        checks_waits: true,
        last_submit_ms: 90_000,
        calm_from_ms: 100_000,
        end_ms: 270_000,
        ..Self::PLAIN
    };
    /// Groups of workers restart under their names, beside few other faults.
    pub(crate) const REPLACEMENTS: Self = Self {
        jobs: 24,
        lossy_periods: 0,
        queued_percent: 75,
        cuts: 0,
        crashes: 0,
        restarts_under_name: true,
        replacements: Some(Replacements {
            wall_clock_goes_back: false,
        }),
        last_submit_ms: 12_000,
        calm_from_ms: 24_000,
        end_ms: 90_000,
        ..Self::PLAIN
    };
}

/// Defines a disturbance; each concerns the worker that is in a slot at its time.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Fault {
    /// Requests get no response, or are carried out late, for a while.
    Lossy {
        slot: usize,
        lasts_ms: u64,
    },
    /// Nothing is exchanged with the worker for a while.
    Cut {
        slot: usize,
        lasts_ms: u64,
    },
    Crash {
        slot: usize,
    },
    /// The worker crashes and begins again under its name.
    Restart {
        slot: usize,
        after_ms: u64,
        /// How far its wall clock goes back.
        clock_back_ms: u64,
    },
    /// The worker is taken down and begins again in the other pool.
    Move {
        slot: usize,
        after_ms: u64,
    },
    Drain {
        slot: usize,
    },
    /// The leader is lost; another one is elected after a while.
    LeaderLost {
        absent_ms: u64,
    },
    Capacity {
        slot: usize,
        percent: u64,
    },
}

/// Defines how the runs of a task go.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Behaviour {
    pub(crate) duration_ms: u64,
    /// The share of its runs that fail.
    pub(crate) fail_percent: u32,
    /// Time after its start at which the task crashes its worker.
    pub(crate) crash_after_ms: Option<u64>,
}

impl Behaviour {
    const fn without_failures(self) -> Self {
        Self {
            fail_percent: 0,
            crash_after_ms: None,
            ..self
        }
    }
}

/// Holds a job that is submitted at some time.
#[derive(Debug)]
pub(crate) struct PlannedJob {
    pub(crate) key: JobKey,
    pub(crate) submit_at_ms: u64,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) long_running: bool,
}

/// Holds the decisions for one seed.
#[derive(Debug)]
pub(crate) struct Plan {
    pub(crate) jobs: Vec<PlannedJob>,
    pub(crate) behaviours: BTreeMap<TaskId, Behaviour>,
    pub(crate) faults: Vec<(u64, Fault)>,
    /// The time of the first restart of a group.
    pub(crate) first_restart_ms: Option<u64>,
    /// The share of requests that are harmed in a lossy period.
    pub(crate) harmed_percent: u32,
    /// The capacity of the worker in each slot.
    pub(crate) capacities: Vec<Resources>,
    longest_task_ms: u64,
}

impl Plan {
    pub(crate) fn new(setup: &Setup, random: &mut StdRng) -> Self {
        let mut plan = Self {
            jobs: Vec::new(),
            behaviours: BTreeMap::new(),
            faults: Vec::new(),
            first_restart_ms: None,
            harmed_percent: random.random_range(40..80),
            longest_task_ms: [400, 800, 1_500, 2_500][random.random_range(0..4)],
            capacities: vec![FULL_CAPACITY; setup.workers],
        };
        let mut jobs = setup.jobs;
        if setup.mix.is_some() {
            plan.capacities = unequal_capacities(random);
            jobs = plan.capacities.len() as u64 * random.random_range(3..=8);
        }
        let deadly_millis = random.random_range(0..=setup.max_deadly_millis);
        for number in 1..=jobs {
            plan.add_job(JobKey(number), setup, deadly_millis, random);
        }
        plan.add_faults(setup, random);
        plan
    }

    fn add_job(&mut self, key: JobKey, setup: &Setup, deadly_millis: u32, random: &mut StdRng) {
        let long_running = random.random_ratio(1, 16);
        let step_count = if long_running {
            1
        } else {
            random.random_range(1..=2)
        };
        let (longest_ms, deadly_millis) = if long_running {
            (u64::MAX, 0)
        } else {
            (self.longest_task_ms, deadly_millis)
        };
        let has_long_tasks = !long_running
            && setup
                .mix
                .is_some_and(|mix| random.random_ratio(mix.long_percent, 100));
        let gang_percent = setup.mix.map_or(0, |mix| mix.gang_percent);
        let has_gang = !long_running && gang_percent > 0 && random.random_ratio(gang_percent, 100);
        let mut steps = Vec::new();
        for step in 0..step_count {
            let is_gang = has_gang && step + 1 == step_count;
            let is_large = !long_running
                && !is_gang
                && setup
                    .mix
                    .is_some_and(|mix| random.random_ratio(mix.large_percent, 100));
            let most_tasks = match (long_running, is_large) {
                (true, _) => 3,
                (_, true) => 2,
                _ if is_gang => 4,
                _ => 8,
            };
            let tasks = random.random_range(1..=most_tasks);
            let mut gang_behaviour = None;
            for index in 0..tasks {
                let task = TaskId {
                    job: key,
                    occurrence: 0,
                    step,
                    index,
                };
                let mut behaviour = behaviour(longest_ms, deadly_millis, random);
                if has_long_tasks {
                    behaviour.duration_ms = random.random_range(LONG_TASK_MS);
                }
                if is_gang {
                    behaviour = gang_behaviour.get_or_insert(behaviour).without_failures();
                }
                self.behaviours.insert(task, behaviour);
            }
            steps.push(StepSpec {
                tasks,
                needs: Resources {
                    cpu_millis: if is_large {
                        random.random_range(FULL_CAPACITY.cpu_millis + 1..=LARGEST_CPU_MILLIS)
                    } else {
                        random.random_range(1..=4) * 500
                    },
                    memory_mb: 100,
                    gpus: 0,
                },
                estimated_ms: 1_000,
                gang: is_gang,
                after: (0..step).collect(),
                long_running,
                ..StepSpec::default()
            });
        }
        let spec = JobSpec {
            payload: "text".to_owned(),
            steps,
            schedule: None,
        };
        self.jobs.push(PlannedJob {
            key,
            submit_at_ms: random.random_range(500..setup.last_submit_ms),
            spec: Arc::new(spec),
            long_running,
        });
    }

    fn add_faults(&mut self, setup: &Setup, random: &mut StdRng) {
        let slots = self.capacities.len();
        for _ in 0..setup.lossy_periods {
            let lasts_ms = random.random_range(1_000..6_000);
            self.add_fault(|slot| Fault::Lossy { slot, lasts_ms }, slots, random);
        }
        for _ in 0..setup.cuts {
            let lasts_ms = random.random_range(300..12_000);
            self.add_fault(|slot| Fault::Cut { slot, lasts_ms }, slots, random);
        }
        for _ in 0..setup.crashes {
            self.add_fault(|slot| Fault::Crash { slot }, slots, random);
        }
        for _ in 0..setup.departures {
            self.add_fault(|slot| Fault::Drain { slot }, slots, random);
        }
        for _ in 0..setup.capacity_changes {
            let percent = [25, 50, 75, 100, 100][random.random_range(0..5)];
            self.add_fault(|slot| Fault::Capacity { slot, percent }, slots, random);
        }
        for _ in 0..setup.leader_changes {
            self.add_leader_change(slots, random);
        }
        if let Some(outages) = setup.outages {
            let restart_ms = setup.restart_ms.unwrap_or_default();
            self.add_outages(outages, restart_ms, random);
        }
        if let Some(replacements) = setup.replacements {
            self.add_group_restarts(replacements, random);
            self.add_single_replacements(random);
        }
    }

    /// Adds restarts of groups of workers, most of which get requests late at that time.
    fn add_group_restarts(&mut self, replacements: Replacements, random: &mut StdRng) {
        let count = random.random_range(3..=5_usize);
        let goes_back_at = random.random_range(0..count);
        let mut at_ms = random.random_range(2_500..4_000);
        self.first_restart_ms = Some(at_ms);
        for number in 0..count {
            let after_ms = random.random_range(10..400);
            let goes_back = replacements.wall_clock_goes_back && number == goes_back_at;
            let clock_back_ms = if goes_back {
                random.random_range(1..60_000)
            } else {
                0
            };
            self.submit_before_restart(at_ms, (number, count), random);
            let one_in = random.random_range(1..=3);
            for slot in 0..self.capacities.len() {
                if !random.random_ratio(1, one_in) {
                    continue;
                }
                if random.random_ratio(3, 4) {
                    // Ends soon, so that the next leader is not held up by what it can't know of other workers.
                    let begins_ms = at_ms - random.random_range(100..800);
                    let lasts_ms = at_ms - begins_ms + after_ms + random.random_range(0..300);
                    self.faults
                        .push((begins_ms, Fault::Lossy { slot, lasts_ms }));
                }
                let restart = Fault::Restart {
                    slot,
                    after_ms,
                    clock_back_ms,
                };
                self.faults.push((at_ms, restart));
            }
            at_ms += random.random_range(200..3_000);
        }
    }

    /// Lets every second job of one group's share be submitted so that its starts are under way as the group
    /// restarts.
    fn submit_before_restart(
        &mut self,
        restart_ms: u64,
        (group, groups): (usize, usize),
        random: &mut StdRng,
    ) {
        let jobs = self.jobs.iter_mut().skip(group).step_by(groups).step_by(2);
        for job in jobs.filter(|job| !job.long_running) {
            job.submit_at_ms = restart_ms - random.random_range(50..700);
            let tasks = self.behaviours.iter_mut();
            for (_, behaviour) in tasks.filter(|(task, _)| task.job == job.key) {
                behaviour.duration_ms = random.random_range(REPLACED_TASK_MS);
            }
        }
    }

    /// Adds a worker that is removed as silent and returns, one that departs, and one that is moved to the
    /// other pool and back.
    fn add_single_replacements(&mut self, random: &mut StdRng) {
        let slots = self.capacities.len();
        let times_ms = 2_500..12_000;
        // No task starts while a worker of an earlier leader has not answered, which hides what others do.
        if random.random_ratio(1, 2) {
            let cut = Fault::Cut {
                slot: random.random_range(0..slots),
                lasts_ms: random.random_range(7_000..11_000),
            };
            self.faults
                .push((random.random_range(times_ms.clone()), cut));
        }
        let drain = Fault::Drain {
            slot: random.random_range(0..slots),
        };
        self.faults
            .push((random.random_range(times_ms.clone()), drain));
        let slot = random.random_range(0..slots);
        let first_ms = random.random_range(times_ms);
        let second_ms = first_ms + random.random_range(1_500..4_000);
        for at_ms in [first_ms, second_ms] {
            let after_ms = random.random_range(30..1_000);
            self.faults.push((at_ms, Fault::Move { slot, after_ms }));
        }
    }

    /// Adds failures of the data centre that has every second or third slot.
    fn add_outages(&mut self, outages: Outages, restart_ms: u64, random: &mut StdRng) {
        let divisor = random.random_range(2..=3);
        let mut at_ms = random.random_range(3_000..8_000);
        for _ in 0..random.random_range(2..=3) {
            for slot in (0..self.capacities.len()).step_by(divisor) {
                let crashes_ms = at_ms + random.random_range(0..400);
                self.faults.push((crashes_ms, Fault::Crash { slot }));
                let cut = Fault::Cut {
                    slot,
                    lasts_ms: 9_000,
                };
                self.faults.push((crashes_ms + restart_ms + 2_000, cut));
            }
            if outages.loses_leader {
                let lost_ms = at_ms + random.random_range(1_000..2_500);
                let absent_ms = random.random_range(300..2_500);
                self.faults.push((lost_ms, Fault::LeaderLost { absent_ms }));
            }
            at_ms += random.random_range(18_000..22_000);
        }
    }

    fn add_fault(&mut self, fault: impl Fn(usize) -> Fault, slots: usize, random: &mut StdRng) {
        let slot = random.random_range(0..slots);
        self.faults
            .push((random.random_range(FAULTS_MS), fault(slot)));
    }

    /// Adds the loss of a leader; in most cases some workers are lossy at about the time at which the
    /// next one is elected.
    fn add_leader_change(&mut self, slots: usize, random: &mut StdRng) {
        let at_ms = random.random_range(FAULTS_MS);
        let absent_ms = random.random_range(300..2_500);
        self.faults.push((at_ms, Fault::LeaderLost { absent_ms }));
        if random.random_ratio(1, 4) {
            return;
        }
        for slot in 0..slots {
            if random.random_ratio(1, 2) {
                let begins_ms = at_ms + random.random_range(absent_ms - 300..absent_ms + 700);
                let lasts_ms = random.random_range(1_000..4_000);
                self.faults
                    .push((begins_ms, Fault::Lossy { slot, lasts_ms }));
            }
        }
    }

    pub(crate) fn is_deadly(&self, job: JobKey) -> bool {
        let of_job = self.behaviours.iter().filter(|(task, _)| task.job == job);
        of_job
            .into_iter()
            .any(|(_, behaviour)| behaviour.crash_after_ms.is_some())
    }
}

/// Returns capacities of 4 to 30 workers, at least two of which are of the largest size.
fn unequal_capacities(random: &mut StdRng) -> Vec<Resources> {
    let count = random.random_range(4..=30);
    let sizes = (0..count).map(|slot| {
        let percent = [50, 100, 100, 200][random.random_range(0..4)];
        let percent = if slot < 2 { 200 } else { percent };
        Resources {
            cpu_millis: FULL_CAPACITY.cpu_millis * percent / 100,
            ..FULL_CAPACITY
        }
    });
    sizes.collect()
}

fn behaviour(longest_ms: u64, deadly_millis: u32, random: &mut StdRng) -> Behaviour {
    let is_deadly = random.random_ratio(deadly_millis, 1_000);
    Behaviour {
        duration_ms: random.random_range(50..longest_ms),
        fail_percent: if random.random_ratio(1, 8) { 30 } else { 0 },
        crash_after_ms: is_deadly.then(|| random.random_range(5..400)),
    }
}

/// Returns a configuration with one queue and its pool, and another pool if workers are moved.
pub(crate) fn configuration(setup: &Setup) -> Configuration {
    let spare_pool = setup.replacements.map(|_| Pool {
        name: SPARE_POOL.into(),
        refuses_overload: setup.refuses_overload,
        standby: false,
    });
    Configuration {
        version: 1,
        document: b"{}".to_vec(),
        queues: vec![Queue {
            name: "render".into(),
            key: queue_key(),
            pool: POOL.into(),
            call_timeout_ms: 3_000,
            latency_target_ms: 600,
            attempts: ATTEMPTS,
            stretch_millis: 1_600,
            needs_advice: setup.needs_advice,
            ..Queue::default()
        }],
        pools: vec![Pool {
            name: POOL.into(),
            refuses_overload: setup.refuses_overload,
            standby: false,
        }]
        .into_iter()
        .chain(spare_pool)
        .collect(),
        ..Configuration::default()
    }
}

pub(crate) fn queue_key() -> QueueKey {
    QueueKey {
        host: "queue.example".into(),
        path_prefix: "/render/".into(),
    }
}
