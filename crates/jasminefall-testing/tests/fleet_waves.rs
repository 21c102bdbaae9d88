//! Maintenance waves and moves of instances, with real control replicas and fake workers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use jasminefall_testing::site::{Site, wait_for};
use jasminefall_testing::worker::FakeWorker;
use serde_json::Value;

/// Returns a desired state with racks of two instances. The last instance is in the pool `spare`,
/// all others are in the pool `general`.
fn desired_state(instances: usize) -> String {
    let mut text = "[fleet]\nname = demo\n[budget.standard]\nmax_unavailable = 1\n\
        [pool.general]\nbudget = standard\n[pool.spare]\nbudget = standard\nspare = true\n\
        [team.guild]\n[wave.all]\npools = general\nreboot_timeout = 2s\nsoftware = v2\n"
        .to_owned();
    for number in 1..=instances {
        let pool = if number == instances {
            "spare"
        } else {
            "general"
        };
        text += &format!(
            "[instance.w{number}]\npool = {pool}\ndata_centre = dc1\nrack = r{}\n",
            number / 2
        );
    }
    text
}

fn start_workers(site: &Site, count: usize) -> BTreeMap<String, FakeWorker> {
    let names = (1..=count).map(|number| format!("w{number}"));
    let start = |name: String| {
        let worker = FakeWorker::start(&name, &site.workers_addresses());
        worker.state().software = "v2".to_owned();
        (name, worker)
    };
    names.map(start).collect()
}

/// Returns the rows that `jasminefallctl` prints for a subcommand.
fn rows(site: &Site, subcommand: &str) -> Vec<Value> {
    let (_, printed) = site.ctl(&[subcommand, "--json"]);
    serde_json::from_str(&printed).unwrap_or_default()
}

fn in_service_count(site: &Site, pool: &str) -> u64 {
    let pools = rows(site, "pools");
    let pool = pools.iter().find(|one| one["pool"] == pool);
    pool.map_or(0, |pool| pool["in_service"].as_u64().unwrap_or(0))
}

fn instance(site: &Site, name: &str) -> Value {
    let instances = rows(site, "instances");
    let found = instances.into_iter().find(|one| one["name"] == name);
    found.unwrap_or_default()
}

fn wave(site: &Site) -> Value {
    rows(site, "waves").into_iter().next().unwrap_or_default()
}

fn leader(site: &Site) -> usize {
    let (_, printed) = site.ctl(&["status", "--json"]);
    let status: Value = serde_json::from_str(&printed).unwrap_or_default();
    let leader = status["replica"]["leader"].as_u64().unwrap_or(1);
    usize::try_from(leader - 1).expect("a replica number fits into usize")
}

/// Kills the leader and starts it again.
fn restart_leader(site: &mut Site) {
    let position = leader(site);
    site.kill_control(position);
    site.start_control(position);
}

/// Waits until `count` workers have sent a heartbeat.
async fn wait_for_heartbeats(site: &Site, count: usize) {
    wait_for("every worker has sent a heartbeat", || async {
        let instances = rows(site, "instances");
        instances
            .iter()
            .filter(|one| !one["incarnation"].is_null())
            .count()
            == count
    })
    .await;
}

#[actix_rt::test]
async fn wave_and_move_complete_despite_leader_kills_between_steps() {
    let mut site = Site::new(3, 1).started();
    site.apply(0, &(desired_state(3) + &site.entry_sections()));
    let workers = start_workers(&site, 3);
    wait_for_heartbeats(&site, 3).await;
    let (started, printed) = site.ctl(&["waves", "start", "all"]);
    assert!(started, "{printed}");

    let mut last_conditions = Value::Null;
    let mut kills = 0;
    let deadline = Instant::now() + Duration::from_secs(30);
    while wave(&site)["state"] != "completed" {
        assert!(
            Instant::now() < deadline,
            "the wave was not completed within 30 s"
        );
        let conditions = [instance(&site, "w1"), instance(&site, "w2")];
        let conditions: Value = conditions
            .iter()
            .map(|one| one["condition"].clone())
            .collect();
        if conditions != last_conditions && kills < 5 {
            last_conditions = conditions;
            kills += 1;
            restart_leader(&mut site);
        }
        assert!(
            in_service_count(&site, "general") >= 1,
            "the budget is exceeded"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for name in ["w1", "w2"] {
        assert_eq!(workers[name].state().reboots, 1, "{name}");
    }

    let (moved, printed) = site.ctl(&["move", "w3", "general"]);
    assert!(moved, "{printed}");
    restart_leader(&mut site);
    wait_for(
        "the move of the instance is completed or reverted",
        || async { instance(&site, "w3")["condition"] == "in-service" },
    )
    .await;
    let pool = instance(&site, "w3")["pool"].clone();
    assert!(pool == "general" || pool == "spare", "{pool}");
}

#[actix_rt::test]
async fn instance_that_fails_to_reboot_is_replaced_and_reported() {
    let site = Site::new(1, 1).started();
    site.apply(0, &(desired_state(4) + &site.entry_sections()));
    let workers = start_workers(&site, 4);
    wait_for_heartbeats(&site, 4).await;
    workers["w1"].state().stays_down = true;
    let (started, printed) = site.ctl(&["waves", "start", "all"]);
    assert!(started, "{printed}");
    wait_for("the spare replaces the instance", || async {
        instance(&site, "w4")["pool"] == "general"
    })
    .await;
    wait_for("the wave is completed", || async {
        wave(&site)["state"] == "completed"
    })
    .await;
    assert_eq!(wave(&site)["failed"], 1);
    let (_, explained) = site.ctl(&["explain", "instance", "w1"]);
    assert!(explained.contains("did not come back well"), "{explained}");
}

#[actix_rt::test]
async fn rack_failure_blocks_a_wave_until_the_rack_recovers() {
    let site = Site::new(1, 1).started();
    site.apply(0, &(desired_state(6) + &site.entry_sections()));
    let mut workers = start_workers(&site, 6);
    wait_for_heartbeats(&site, 6).await;
    workers.retain(|name, _| name != "w2" && name != "w3");
    wait_for("the instances of the rack are out of service", || async {
        in_service_count(&site, "general") == 3
    })
    .await;
    let (started, printed) = site.ctl(&["waves", "start", "all"]);
    assert!(started, "{printed}");
    wait_for("the explanation names the exhausted budget", || async {
        let (_, explained) = site.ctl(&["explain", "wave", "all"]);
        explained.contains("budget of pool `general` is used up")
    })
    .await;
    assert_eq!(
        in_service_count(&site, "general"),
        3,
        "the wave took an instance out of service"
    );
    for name in ["w2", "w3"] {
        let worker = FakeWorker::start(name, &site.workers_addresses());
        worker.state().software = "v2".to_owned();
        workers.insert(name.to_owned(), worker);
    }
    wait_for("the wave is completed", || async {
        wave(&site)["state"] == "completed"
    })
    .await;
}
