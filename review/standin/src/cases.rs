//! The cases, one function each.

use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::Verdict;
use crate::executor::Executor;
use crate::proxy::Proxy;
use crate::record::{Record, wall_ms};
use crate::site::{Options, POOL, Site};

pub fn run(case: &str, record: &Arc<Record>, with_trouble: bool) -> Verdict {
    let run = match case {
        "upkeep" => upkeep,
        "advice" => advice,
        "schedule" => schedule,
        "rebirth" => rebirth,
        "gang" => gang,
        "cancel" => cancel,
        "list" => list,
        "failed" => failed,
        "lasting" => lasting,
        "seed" => seed,
        _ => return Verdict::CouldNotRun(format!("no case `{case}`")),
    };
    run(record, with_trouble)
}

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

fn job(tasks: u64, cpu: u64, takes_ms: u64) -> Value {
    json!({
        "spec": format!("ms={takes_ms}"),
        "steps": [{ "count": tasks, "cpu": cpu, "mem_mb": 256, "estimated_ms": takes_ms }],
    })
}

/// Starts a site with executors `e000`, `e001` and so on, and waits until it serves a job.
fn site_with(
    record: &Arc<Record>,
    options: &Options,
    count: usize,
    cpu: u64,
    needs_advice: bool,
) -> Result<(Site, Vec<Arc<Executor>>), Verdict> {
    let site = Site::new(record, options);
    let mut site = site.map_err(|error| Verdict::CouldNotRun(error.to_string()))?;
    if !site.start(needs_advice) {
        return Err(Verdict::CouldNotRun(
            "the first config was not accepted".into(),
        ));
    }
    let executors: Vec<_> = (0..count)
        .map(|number| add_executor(&site, number, cpu))
        .collect();
    sleep(seconds(2.0));
    Ok((site, executors))
}

fn add_executor(site: &Site, number: usize, cpu: u64) -> Arc<Executor> {
    let name = format!("e{number:03}");
    let executor = Executor::start(&name, (POOL, cpu), &site.control_addresses, &site.ledger);
    site.cloud.add(&executor);
    executor
}

/// The leader is killed while a machine is down for its upkeep.
fn upkeep(record: &Arc<Record>, with_trouble: bool) -> Verdict {
    let options = Options {
        maintenance_s: 10.0,
        ..Options::default()
    };
    let (mut site, executors) = match site_with(record, &options, 4, 16_000, false) {
        Ok(found) => found,
        Err(verdict) => return verdict,
    };
    let machines: Vec<_> = executors
        .iter()
        .map(|executor| executor.machine.clone())
        .collect();
    let wave = json!({ "wave": 1, "machines": machines, "duration_s": 90, "cap": 1 });
    let put = site.operator_call("POST", "/wave-start", &wave.to_string(), seconds(5.0));
    record.line(format!("operator starts wave 1 with cap 1: {put:?}"));
    if !put.is_some_and(|(status, _)| status == 200) {
        return Verdict::CouldNotRun("the wave was not accepted".into());
    }
    for _ in 0..100 {
        sleep(seconds(0.1));
        if !site.cloud.upkeeps.lock().unwrap().is_empty() {
            break;
        }
    }
    if site.cloud.upkeeps.lock().unwrap().is_empty() {
        return Verdict::CouldNotRun("no upkeep began".into());
    }
    sleep(seconds(1.0));
    if with_trouble {
        let Some(leader) = site.leader() else {
            return Verdict::CouldNotRun("no leader is known".into());
        };
        record.line(format!(
            "{} leads and is killed",
            site.controls[leader].name
        ));
        site.controls[leader].kill();
        sleep(seconds(1.0));
        record.line(format!("{} is started again", site.controls[leader].name));
        site.controls[leader].start();
    }
    sleep(seconds(30.0));
    site.note_logs(
        &[
            "event=leads",
            "event=maintenance_",
            "event=instance_evacuating",
        ],
        40,
    );
    let upkeeps = site.cloud.upkeeps.lock().unwrap().clone();
    for upkeep in &upkeeps {
        let down = upkeeps.iter().filter(|other| {
            other.machine != upkeep.machine
                && other.begins_ms <= upkeep.begins_ms
                && upkeep.begins_ms < other.ends_ms
        });
        let down: Vec<_> = down.map(|other| other.machine.clone()).collect();
        if !down.is_empty() {
            return Verdict::Broken(format!(
                "LIMIT: the upkeep of {} begins {} ms after the start, ordered by {}, while {down:?} is down for its own; the cap is 1",
                upkeep.machine, upkeep.begins_ms, upkeep.holder
            ));
        }
    }
    Verdict::Held
}

/// The queue's policy allows a step on eight executors only. With the disruption these are added to a
/// service that has a hundred executors; without it they are there first.
fn advice(record: &Arc<Record>, with_trouble: bool) -> Verdict {
    let first = if with_trouble { 100 } else { 8 };
    let (site, mut executors) = match site_with(record, &Options::default(), first, 16_000, true) {
        Ok(found) => found,
        Err(verdict) => return verdict,
    };
    record.line(format!(
        "{first} executors have joined; {} are added",
        108 - first
    ));
    for number in first..108 {
        executors.push(add_executor(&site, number, 16_000));
    }
    let allowed = if with_trouble {
        &executors[100..]
    } else {
        &executors[..8]
    };
    let permitted: Vec<_> = allowed.iter().map(|executor| executor.id()).collect();
    *site.advice.permitted.lock().unwrap() = permitted;
    sleep(seconds(5.0));
    let key = "00000000000000a1";
    if !site.submit(key, &job(4, 1_000, 500), 1_000, 5) {
        return Verdict::CouldNotRun("the submission was not accepted".into());
    }
    let is_completed = site.wait_for_state(key, "completed", seconds(60.0));
    let starts = site.ledger.of_job("starts", key).len();
    site.note_logs(&["event=advice"], 20);
    if is_completed {
        return Verdict::Held;
    }
    if starts > 0 {
        return Verdict::CouldNotRun(
            "work items have started, but the submission isn't completed".into(),
        );
    }
    Verdict::Broken("LOST: an accepted submission had nothing running for 60 s, with 8 idle executors that the queue's policy allows".into())
}

/// A submission with a long schedule is handed in while another one runs.
fn schedule(record: &Arc<Record>, with_trouble: bool) -> Verdict {
    /// Each minute for a year.
    const REPEATS: u64 = 525_600;
    let (mut site, _executors) = match site_with(record, &Options::default(), 4, 16_000, false) {
        Ok(found) => found,
        Err(verdict) => return verdict,
    };
    let before = "00000000000000b2";
    if !site.submit(before, &job(4, 500, 4_000), 500, 5) {
        return Verdict::CouldNotRun("the first submission was not accepted".into());
    }
    let long = "00000000000000b1";
    let step = json!({ "count": 8, "cpu": 500, "mem_mb": 256, "estimated_ms": 300 });
    let mut body = json!({ "spec": "ms=300", "steps": [step, step, step] });
    body["steps"][1]["after"] = json!([0]);
    body["steps"][2]["after"] = json!([1]);
    body["repeat_count"] = json!(if with_trouble { REPEATS } else { 3 });
    body["start_at_ms"] = json!(wall_ms() + 5_000);
    body["interval_ms"] = json!(60_000);
    site.submit(long, &body, 500, 4);
    let (mut ended, mut accepted_after) = (Vec::new(), 0);
    let until_ms = record.now_ms() + 70_000;
    let mut number = 0;
    while record.now_ms() < until_ms {
        for process in &mut site.controls {
            if let Some(status) = process.has_ended() {
                ended.push(format!("{} ended by itself: {status}", process.name));
                record.line(ended.last().unwrap());
                process.kill();
                process.start();
            }
        }
        let peaks: Vec<_> = site
            .controls
            .iter()
            .map(|process| process.peak_mb())
            .collect();
        record.line(format!(
            "peak memory of the control instances in MB: {peaks:?}"
        ));
        let key = format!("00000000000001{number:02x}");
        accepted_after += usize::from(site.submit(&key, &job(1, 500, 300), 500, 1));
        number += 1;
        sleep(seconds(2.0));
    }
    let state = site.state_of(before);
    site.note_logs(&["event=leads"], 25);
    record.line(format!(
        "of {number} later submissions {accepted_after} were accepted"
    ));
    record.line(format!(
        "state of the submission that was accepted first: {state:?}"
    ));
    if state.as_deref() != Some("completed") {
        return Verdict::Broken(format!(
            "LOST: 70 s after the long schedule was handed in, the state of the submission that was accepted before it \
             is {state:?}; {accepted_after} of {number} later ones were accepted; {ended:?}"
        ));
    }
    Verdict::Held
}

/// An idle executor is cut off for two seconds, and crashes and starts again under its id meanwhile.
fn rebirth(record: &Arc<Record>, with_trouble: bool) -> Verdict {
    let (site, executors) = match site_with(record, &Options::default(), 7, 16_000, false) {
        Ok(found) => found,
        Err(verdict) => return verdict,
    };
    let mut reached = 0;
    for round in 0..4 {
        // The executor that gets the next work item is the one that got this one, as all are idle.
        let probe = format!("00000000000000{round:x}1");
        if !site.submit(&probe, &job(1, 16_000, 300), 16_000, 5) {
            return Verdict::CouldNotRun("the probe was not accepted".into());
        }
        if !site.wait_for_state(&probe, "completed", seconds(5.0)) {
            return Verdict::CouldNotRun("the probe was not completed".into());
        }
        let starts = site.ledger.of_job("starts", &probe);
        let chosen = executors
            .iter()
            .find(|executor| starts.iter().any(|event| event.executor == executor.id()));
        let Some(chosen) = chosen else {
            return Verdict::CouldNotRun("the probe ran nowhere".into());
        };
        sleep(seconds(0.5));
        chosen.wait_for_check_in(seconds(3.0));
        let (id, pool) = (chosen.id(), chosen.pool());
        if with_trouble {
            chosen.set_cut(true);
            sleep(seconds(0.2));
            chosen.go_down("crash");
            sleep(seconds(0.5));
            chosen.come_up(&id, &pool);
            sleep(seconds(1.2));
            chosen.set_cut(false);
        } else {
            sleep(seconds(1.9));
        }
        sleep(seconds(0.1));
        let key = format!("00000000000000{round:x}2");
        if !site.submit(&key, &job(1, 16_000, 4_000), 16_000, 5) {
            return Verdict::CouldNotRun("the submission was not accepted".into());
        }
        if !site.wait_for_state(&key, "completed", seconds(15.0)) {
            return Verdict::CouldNotRun("the submission was not completed".into());
        }
        let starts = site.ledger.of_job("starts", &key);
        reached += usize::from(starts.iter().any(|event| event.executor == id));
        let violations = site.ledger.violations.lock().unwrap().clone();
        if let Some(first) = violations.first() {
            site.note_logs(
                &[
                    key.as_str(),
                    "cause=replaced",
                    "event=worker_joined",
                    "event=run_adopted",
                ],
                60,
            );
            return Verdict::Broken(first.clone());
        }
    }
    if reached == 0 {
        return Verdict::CouldNotRun("no submission reached the executor in question".into());
    }
    Verdict::Held
}

/// An executor crashes under a member of a gang that takes checkpoints.
fn gang(record: &Arc<Record>, with_trouble: bool) -> Verdict {
    let (site, executors) = match site_with(record, &Options::default(), 8, 16_000, false) {
        Ok(found) => found,
        Err(verdict) => return verdict,
    };
    let key = "00000000000000c1";
    site.ledger.gang_sizes.lock().unwrap().insert(key.into(), 3);
    let mut body = job(3, 16_000, 6_000);
    body["steps"][0]["gang"] = json!(true);
    body["steps"][0]["checkpointing"] = json!(true);
    if !site.submit(key, &body, 16_000, 5) {
        return Verdict::CouldNotRun("the submission was not accepted".into());
    }
    sleep(seconds(2.8));
    let starts = site.ledger.of_job("starts", key);
    let victim = executors
        .iter()
        .find(|executor| starts.iter().any(|event| event.executor == executor.id()));
    let Some(victim) = victim else {
        return Verdict::CouldNotRun("the gang has not started".into());
    };
    let crashed_at_ms = record.now_ms();
    if with_trouble {
        let (id, pool) = (victim.id(), victim.pool());
        victim.go_down("crash");
        sleep(seconds(4.0));
        victim.come_up(&format!("{id}-2"), &pool);
    }
    let is_completed = site.wait_for_state(key, "completed", seconds(50.0));
    site.note_logs(&[key], 80);
    let alone = site.ledger.of_job("alone", key);
    let calm: Vec<_> = alone
        .iter()
        .filter(|event| event.at_ms > crashed_at_ms + 10_000)
        .collect();
    if let Some(first) = calm.first() {
        return Verdict::Broken(format!(
            "GANG: {} members of runs end alone more than 10 s after the crash, the first being {} run {} on {}; completed: {is_completed}",
            calm.len(),
            first.task,
            first.run,
            first.executor
        ));
    }
    if is_completed {
        Verdict::Held
    } else {
        Verdict::Broken("LOST: the submission was not completed".into())
    }
}

/// A front is cut off from the core while it forwards a submission; the requester gives up and cancels.
fn cancel(record: &Arc<Record>, with_trouble: bool) -> Verdict {
    const CANCEL_MS: u64 = 3_000;
    let options = Options {
        first_entry_by_proxy: true,
        ..Options::default()
    };
    let (site, _executors) = match site_with(record, &options, 3, 16_000, false) {
        Ok(found) => found,
        Err(verdict) => return verdict,
    };
    let Some(leader) = site.leader() else {
        return Verdict::CouldNotRun("no leader is known".into());
    };
    let leader_address = (site.control_addresses[leader].ip(), site.peer_port).into();
    let proxy = match Proxy::start(site.proxy_address, leader_address) {
        Ok(proxy) => proxy,
        Err(error) => return Verdict::CouldNotRun(error.to_string()),
    };
    record.line(format!(
        "{} leads; front-1 reaches it through {}",
        site.controls[leader].name, site.proxy_address
    ));
    sleep(seconds(2.0));
    let before = "00000000000000d1";
    if !site.submit(before, &job(1, 1_000, 300), 1_000, 1) {
        return Verdict::CouldNotRun("front-1 does not serve".into());
    }
    let key = "00000000000000d2";
    let mut body = job(2, 1_000, 600_000);
    body["steps"][0]["long_running"] = json!(true);
    let body = body.to_string();
    let cut_at = Instant::now();
    if with_trouble {
        record.line("front-1 is cut off from the core");
        proxy.set_held(true);
    }
    let submitted = site.client_call(0, "POST", key, &body, seconds(3.0));
    let mut cancelled = None;
    for _ in 0..5 {
        cancelled = site.client_call(1, "DELETE", key, "", seconds(3.0));
        if matches!(cancelled, Some(200..300 | 410)) {
            break;
        }
    }
    let acknowledged_ms = record.now_ms();
    if !matches!(cancelled, Some(200..300 | 410)) {
        return Verdict::CouldNotRun("the cancel was not acknowledged".into());
    }
    if with_trouble {
        if matches!(submitted, Some(200..300)) {
            return Verdict::CouldNotRun("the submission was accepted before the cut".into());
        }
        sleep(seconds(5.4).saturating_sub(cut_at.elapsed()));
        record.line("the cut heals");
        proxy.set_held(false);
    }
    sleep(seconds(12.0));
    let state = site.state_of(key);
    site.note_logs(&[key], 20);
    let starts = site.ledger.of_job("starts", key);
    let late = starts
        .iter()
        .find(|event| event.at_ms > acknowledged_ms + CANCEL_MS);
    match late {
        Some(event) => Verdict::Broken(format!(
            "UNASKED: {} starts {} ms after the cancelling was acknowledged with {cancelled:?}; the submission was answered {submitted:?}; state {state:?}",
            event.task,
            event.at_ms - acknowledged_ms
        )),
        None => Verdict::Held,
    }
}

/// The platform answers slowly; a machine is added and is part of a wave while a list is on its way.
fn list(record: &Arc<Record>, with_trouble: bool) -> Verdict {
    let (site, _executors) = match site_with(record, &Options::default(), 3, 16_000, false) {
        Ok(found) => found,
        Err(verdict) => return verdict,
    };
    if with_trouble {
        *site.cloud.list_delay.lock().unwrap() = seconds(1.5);
    }
    sleep(seconds(2.0));
    let before = *site.cloud.lists_begun.lock().unwrap();
    for _ in 0..1_500 {
        sleep(seconds(0.01));
        if *site.cloud.lists_begun.lock().unwrap() > before {
            break;
        }
    }
    let added = add_executor(&site, 3, 16_000);
    record.line(format!("{} is added", added.machine));
    sleep(seconds(0.5));
    let wave =
        json!({ "wave": 1, "machines": [added.machine, "m-e000"], "duration_s": 60, "cap": 1 });
    let put = site.operator_call("POST", "/wave-start", &wave.to_string(), seconds(5.0));
    record.line(format!("operator starts wave 1: {put:?}"));
    for _ in 0..40 {
        sleep(seconds(0.5));
        let state = site.operator_call("GET", "/wave-get/1", "", seconds(2.0));
        record.line(format!("wave 1: {state:?}"));
        let completed = state.is_some_and(|(_, body)| body["state"] == "completed");
        if completed {
            let upkeeps = site.cloud.upkeeps.lock().unwrap().clone();
            site.note_logs(
                &[
                    "event=maintenance_",
                    "event=instance_missing",
                    "event=instances_read",
                ],
                40,
            );
            if upkeeps.iter().any(|upkeep| upkeep.machine == added.machine) {
                return Verdict::Held;
            }
            return Verdict::Broken(format!(
                "MIXED: wave 1 is completed, and the upkeep of {} has not begun",
                added.machine
            ));
        }
    }
    Verdict::CouldNotRun("the wave was not completed".into())
}

/// Two executors are cut off, and crash and start again meanwhile: the first one while it runs a work
/// item, the second one when that work item is done there.
fn failed(record: &Arc<Record>, with_trouble: bool) -> Verdict {
    let (site, executors) = match site_with(record, &Options::default(), 7, 16_000, false) {
        Ok(found) => found,
        Err(verdict) => return verdict,
    };
    let key = "00000000000000e1";
    if !site.submit(key, &job(1, 1_000, 2_500), 1_000, 5) {
        return Verdict::CouldNotRun("the submission was not accepted".into());
    }
    let cut_and_crash = |executor: &Executor, before_crash_s: f64| {
        let (id, pool) = (executor.id(), executor.pool());
        executor.set_cut(true);
        sleep(seconds(before_crash_s));
        executor.go_down("crash");
        sleep(seconds(0.5));
        executor.come_up(&format!("{id}-2"), &pool);
        sleep(seconds(0.5));
        executor.set_cut(false);
    };
    let host = |count: usize| {
        for _ in 0..100 {
            let starts = site.ledger.of_job("starts", key);
            if starts.len() >= count {
                return executors
                    .iter()
                    .find(|known| known.id() == starts[count - 1].executor);
            }
            sleep(seconds(0.1));
        }
        None
    };
    let Some(first) = host(1) else {
        return Verdict::CouldNotRun("the work item has not started".into());
    };
    sleep(seconds(1.0));
    if with_trouble {
        cut_and_crash(first, 0.5);
        let Some(second) = host(2) else {
            return Verdict::CouldNotRun("the work item has not started again".into());
        };
        sleep(seconds(1.5));
        cut_and_crash(second, 2.0);
    }
    let mut state = None;
    for _ in 0..60 {
        sleep(seconds(0.5));
        state = site.state_of(key);
        if matches!(state.as_deref(), Some("completed" | "failed" | "cancelled")) {
            break;
        }
    }
    site.note_logs(&[key, "event=worker_crashed", "event=worker_removed"], 60);
    let (lost, done) = (
        site.ledger.of_job("lost", key).len(),
        site.ledger.of_job("done", key).len(),
    );
    match state.as_deref() {
        Some("completed") => Verdict::Held,
        Some("failed") => Verdict::Broken(format!(
            "LOST: the submission is shown as failed; {lost} executor crashed under its work item, {done} of its runs ended done, none failed"
        )),
        other => Verdict::CouldNotRun(format!("the submission is {other:?}")),
    }
}

/// An executor crashes while work items of several submissions that last start up on it.
fn lasting(record: &Arc<Record>, with_trouble: bool) -> Verdict {
    const JOBS: u64 = 5;
    let (site, executors) = match site_with(record, &Options::default(), 4, 16_000, false) {
        Ok(found) => found,
        Err(verdict) => return verdict,
    };
    let lasts = |count: u64, cpu: u64, startup_ms: u64, max: u64| {
        let mut body = job(count, cpu, 1_000);
        body["spec"] = json!(format!("last={startup_ms}"));
        body["steps"][0]["long_running"] = json!(true);
        body["steps"][0]["max_per_server"] = json!(max);
        body
    };
    let base = "00000000000000f0";
    if !site.submit(base, &lasts(3, 1_000, 500, 1), 1_000, 5) {
        return Verdict::CouldNotRun("the first submission was not accepted".into());
    }
    sleep(seconds(3.0));
    let keys: Vec<_> = (1..=JOBS)
        .map(|number| format!("00000000000000f{number}"))
        .collect();
    for key in &keys {
        if !site.submit(key, &lasts(1, 1_000, 1_000, 1), 1_000, 1) {
            return Verdict::CouldNotRun("a submission was not accepted".into());
        }
    }
    sleep(seconds(0.3));
    let hosts: Vec<_> = keys
        .iter()
        .filter_map(|key| {
            site.ledger
                .of_job("starts", key)
                .first()
                .map(|event| event.executor.clone())
        })
        .collect();
    record.line(format!("the submissions start up on {hosts:?}"));
    let Some(victim) = hosts
        .first()
        .and_then(|id| executors.iter().find(|known| known.id() == *id))
    else {
        return Verdict::CouldNotRun("nothing has started".into());
    };
    let crashed_ms = record.now_ms();
    if with_trouble {
        let (id, pool) = (victim.id(), victim.pool());
        victim.go_down("crash");
        sleep(seconds(1.0));
        victim.come_up(&format!("{id}-2"), &pool);
    }
    sleep(seconds(45.0));
    site.note_logs(&["event=task_suspected", "event=worker_crashed"], 40);
    let mut gaps = Vec::new();
    for key in keys.iter().map(String::as_str).chain([base]) {
        for lost in site.ledger.of_job("lost", key) {
            let starts = site.ledger.of_job("starts", key);
            let next = starts
                .iter()
                .filter(|event| event.task == lost.task && event.at_ms > lost.at_ms)
                .map(|event| event.at_ms)
                .min();
            gaps.push((
                next.unwrap_or(record.now_ms()) - lost.at_ms,
                lost.task.clone(),
            ));
        }
    }
    gaps.sort();
    record.line(format!(
        "time without a run after the crash at {crashed_ms}: {gaps:?}"
    ));
    match gaps.last() {
        Some((gap, task)) if *gap > 9_000 => Verdict::Broken(format!(
            "LOST: {task} has no run for {gap} ms, with three quarters of the capacity free"
        )),
        _ => Verdict::Held,
    }
}

/// One of the three control instances does not come up at the first start.
fn seed(record: &Arc<Record>, with_trouble: bool) -> Verdict {
    let mut site = match Site::new(record, &Options::default()) {
        Ok(site) => site,
        Err(error) => return Verdict::CouldNotRun(error.to_string()),
    };
    if with_trouble {
        record.line("core-1 has no power");
        site.leave_out(0);
    }
    if site.start_within(false, seconds(60.0)) {
        return Verdict::Held;
    }
    Verdict::Broken("Acks: the first config has no ack after 60 s, with two of three control instances running and connected".into())
}
