//! Control replicas as real processes: kills, partitions, lost and outdated data folders.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jasminefall_testing::proxy::Proxy;
use jasminefall_testing::site::{Site, wait_for};
use serde_json::Value;

const DESIRED: &str = "[fleet]\nname = demo\n";

/// Sends a GET request to one control replica; returns the body of a successful response.
async fn get(site: &Site, position: usize, path: &str) -> Option<Value> {
    let url = format!("http://{}{path}", site.operators_address(position));
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(1))
        .finish();
    let mut response = client
        .get(url)
        .bearer_auth(site.operate_token())
        .send()
        .await
        .ok()?;
    let success = response.status().is_success();
    response.json().await.ok().filter(|_| success)
}

/// Returns the first response with the members among the given replicas, and the position of its
/// replica, the leader; `None` if none of them leads.
async fn members(site: &Site, positions: &[usize]) -> Option<(usize, Value)> {
    for position in positions {
        if let Some(body) = get(site, *position, "/v1/members").await {
            return Some((*position, body));
        }
    }
    None
}

fn voters(body: &Value) -> Vec<u64> {
    let members = body["members"].as_array().into_iter().flatten();
    let voters = members.filter(|member| member["voter"] == true);
    voters
        .filter_map(|member| member["replica"].as_u64())
        .collect()
}

async fn wait_for_voters(site: &Site, positions: &[usize], expected: &[u64]) {
    wait_for(&format!("the voters are {expected:?}"), || async {
        let found = members(site, positions).await;
        found.is_some_and(|(_, body)| voters(&body) == expected)
    })
    .await;
}

/// Waits for a leader among the given replicas and returns its position.
async fn find_leader(site: &Site, positions: &[usize]) -> usize {
    wait_for("a leader is elected", || async {
        members(site, positions).await.is_some()
    })
    .await;
    members(site, positions)
        .await
        .map_or(positions[0], |(position, _)| position)
}

async fn version(site: &Site, position: usize) -> Option<u64> {
    let status = get(site, position, "/v1/status").await?;
    status["version"].as_u64()
}

async fn wait_for_version(site: &Site, position: usize, expected: u64) {
    wait_for(
        &format!("replica {position} has version {expected}"),
        || async { version(site, position).await == Some(expected) },
    )
    .await;
}

/// Starts a proxy for each direction between three replicas, on a separate thread, so that blocking
/// calls of the test do not stop the proxies.
fn start_proxies(site: &Site) -> Vec<(usize, usize, Proxy)> {
    let listen = site.ephemeral_address();
    let peers: Vec<_> = (0..3)
        .map(|position| site.control_peer_address(position))
        .collect();
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            for (from, to) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
                let proxy = Proxy::start(listen, peers[to]).await.unwrap();
                sender.send((from, to, proxy)).unwrap();
            }
            drop(sender);
            std::future::pending::<()>().await;
        });
    });
    receiver.into_iter().collect()
}

fn copy_folder(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let path = entry.unwrap().path();
        std::fs::copy(&path, to.join(path.file_name().unwrap())).unwrap();
    }
}

#[actix_rt::test]
async fn spare_replaces_a_killed_voter_and_a_second_failure_is_tolerated() {
    let mut site = Site::new(4, 0).with_spares(1).started();
    wait_for_voters(&site, &[0, 1, 2, 3], &[1, 2, 3]).await;
    site.apply(0, DESIRED);
    site.kill_control(0);
    wait_for_voters(&site, &[1, 2, 3], &[2, 3, 4]).await;
    site.apply(1, DESIRED);
    let second = find_leader(&site, &[1, 2, 3]).await;
    site.kill_control(second);
    site.apply(2, DESIRED);
    for position in (1..4).filter(|position| *position != second) {
        wait_for_version(&site, position, 3).await;
    }
    site.start_control(0);
    wait_for_version(&site, 0, 3).await;
}

#[actix_rt::test]
async fn replica_rejoins_after_data_loss_and_sets_an_outdated_folder_aside() {
    let mut site = Site::new(3, 0).started();
    site.apply(0, DESIRED);
    let first = find_leader(&site, &[0, 1, 2]).await;
    let failed = (first + 1) % 3;
    site.kill_control(failed);
    let outdated = site.folder().join("old");
    copy_folder(&site.data_folder(failed), &outdated);
    site.start_control(failed);
    wait_for_version(&site, failed, 1).await;
    for base in 1..4 {
        site.apply(base, DESIRED);
    }
    wait_for_version(&site, failed, 4).await;
    site.kill_control(failed);
    std::fs::remove_dir_all(site.data_folder(failed)).unwrap();
    copy_folder(&outdated, &site.data_folder(failed));
    site.start_control(failed);
    wait_for("the outdated folder is set aside", || async {
        let names = std::fs::read_dir(site.folder()).unwrap();
        let mut names = names.filter_map(|entry| entry.unwrap().file_name().into_string().ok());
        names.any(|name| name.starts_with(&format!("data-{failed}-outdated-")))
    })
    .await;
    wait_for_version(&site, failed, 4).await;
    wait_for_voters(&site, &[0, 1, 2], &[1, 2, 3]).await;

    site.kill_control(failed);
    std::fs::remove_dir_all(site.data_folder(failed)).unwrap();
    site.start_control(failed);
    wait_for_version(&site, failed, 4).await;
    wait_for_voters(&site, &[0, 1, 2], &[1, 2, 3]).await;
    let other = (failed + 1) % 3;
    site.kill_control(other);
    site.apply(4, DESIRED);
}

#[actix_rt::test]
async fn partitioned_leader_serves_no_fresh_reads_and_rejoins_without_an_election() {
    let mut site = Site::new(3, 0);
    let proxies = start_proxies(&site);
    for (from, to, proxy) in &proxies {
        site.route_peer_through(*from, *to, proxy.address);
    }
    let site = site.started();
    site.apply(0, DESIRED);
    let partitioned = find_leader(&site, &[0, 1, 2]).await;
    let others: Vec<_> = (0..3).filter(|position| *position != partitioned).collect();
    let set_partitioned = |enabled| {
        let affected = proxies
            .iter()
            .filter(|(from, to, _)| *from == partitioned || *to == partitioned);
        affected.for_each(|(_, _, proxy)| proxy.faults.set_partitioned(enabled));
    };
    set_partitioned(true);
    let next = find_leader(&site, &others).await;
    site.apply(1, DESIRED);
    let stale = get(&site, partitioned, "/v1/status")
        .await
        .expect("the partitioned replica still responds");
    assert_eq!(
        (&stale["fresh"], &stale["version"]),
        (&Value::Bool(false), &Value::from(1))
    );
    assert!(
        get(&site, partitioned, "/v1/in-force/1").await.is_none(),
        "the partitioned leader served a fresh read"
    );
    let term = get(&site, next, "/v1/status")
        .await
        .expect("the new leader responds")["replica"]["term"]
        .clone();
    set_partitioned(false);
    wait_for_version(&site, partitioned, 2).await;
    let status = get(&site, partitioned, "/v1/status")
        .await
        .expect("the former leader responds");
    assert_eq!(
        status["replica"]["term"], term,
        "the rejoin started an election"
    );
    assert!(
        proxies
            .iter()
            .all(|(_, _, proxy)| !proxy.faults.drop_requests.load(Ordering::SeqCst))
    );
}
