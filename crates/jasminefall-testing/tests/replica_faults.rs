//! The control replicas as real processes: kills, silent cuts, lost and old files.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jasminefall_testing::proxy::Proxy;
use jasminefall_testing::site::{Site, wait_for};
use serde_json::Value;

const DESIRED: &str = "[fleet]\nname = demo\n";

/// Returns an answer of one control replica.
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

/// Returns the members, if one of the replicas is a leader that knows them.
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
        let known = members(site, positions).await;
        known.is_some_and(|(_, body)| voters(&body) == expected)
    })
    .await;
}

/// Returns the leader's position once there is one.
async fn leader(site: &Site, positions: &[usize]) -> usize {
    wait_for("a leader", || async {
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
        &format!("replica {position} holds version {expected}"),
        || async { version(site, position).await == Some(expected) },
    )
    .await;
}

/// Starts a proxy for each direction between three replicas, on a thread that no test blocks.
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
async fn a_spare_replaces_a_killed_voter_and_a_second_loss_stops_nothing() {
    let mut site = Site::new(4, 0).with_spares(1).started();
    wait_for_voters(&site, &[0, 1, 2, 3], &[1, 2, 3]).await;
    site.apply(0, DESIRED);
    site.kill_control(0);
    wait_for_voters(&site, &[1, 2, 3], &[2, 3, 4]).await;
    site.apply(1, DESIRED);
    let second = leader(&site, &[1, 2, 3]).await;
    site.kill_control(second);
    site.apply(2, DESIRED);
    for position in (1..4).filter(|position| *position != second) {
        wait_for_version(&site, position, 3).await;
    }
    site.start_control(0);
    wait_for_version(&site, 0, 3).await;
}

#[actix_rt::test]
async fn a_replica_that_lost_its_files_rejoins_as_another_and_an_old_folder_is_set_aside() {
    let mut site = Site::new(3, 0).started();
    site.apply(0, DESIRED);
    let first = leader(&site, &[0, 1, 2]).await;
    let lost = (first + 1) % 3;
    site.kill_control(lost);
    let old = site.folder().join("old");
    copy_folder(&site.data_folder(lost), &old);
    site.start_control(lost);
    wait_for_version(&site, lost, 1).await;
    for base in 1..4 {
        site.apply(base, DESIRED);
    }
    wait_for_version(&site, lost, 4).await;
    site.kill_control(lost);
    std::fs::remove_dir_all(site.data_folder(lost)).unwrap();
    copy_folder(&old, &site.data_folder(lost));
    site.start_control(lost);
    wait_for("the old folder is set aside", || async {
        let names = std::fs::read_dir(site.folder()).unwrap();
        let mut names = names.filter_map(|entry| entry.unwrap().file_name().into_string().ok());
        names.any(|name| name.starts_with(&format!("data-{lost}-outdated-")))
    })
    .await;
    wait_for_version(&site, lost, 4).await;
    wait_for_voters(&site, &[0, 1, 2], &[1, 2, 3]).await;

    site.kill_control(lost);
    std::fs::remove_dir_all(site.data_folder(lost)).unwrap();
    site.start_control(lost);
    wait_for_version(&site, lost, 4).await;
    wait_for_voters(&site, &[0, 1, 2], &[1, 2, 3]).await;
    let other = (lost + 1) % 3;
    site.kill_control(other);
    site.apply(4, DESIRED);
}

#[actix_rt::test]
async fn a_leader_cut_off_silently_serves_nothing_as_fresh_and_returns_without_disturbing() {
    let mut site = Site::new(3, 0);
    let proxies = start_proxies(&site);
    for (from, to, proxy) in &proxies {
        site.route_peer_through(*from, *to, proxy.address);
    }
    let site = site.started();
    site.apply(0, DESIRED);
    let cut = leader(&site, &[0, 1, 2]).await;
    let rest: Vec<_> = (0..3).filter(|position| *position != cut).collect();
    let silence = |silent| {
        let touched = proxies
            .iter()
            .filter(|(from, to, _)| *from == cut || *to == cut);
        touched.for_each(|(_, _, proxy)| proxy.faults.set_partitioned(silent));
    };
    silence(true);
    let next = leader(&site, &rest).await;
    site.apply(1, DESIRED);
    let stale = get(&site, cut, "/v1/status")
        .await
        .expect("it still answers");
    assert_eq!(
        (&stale["fresh"], &stale["version"]),
        (&Value::Bool(false), &Value::from(1))
    );
    assert!(
        get(&site, cut, "/v1/in-force/1").await.is_none(),
        "not served as fresh"
    );
    let term = get(&site, next, "/v1/status")
        .await
        .expect("the leader answers")["replica"]["term"]
        .clone();
    silence(false);
    wait_for_version(&site, cut, 2).await;
    let status = get(&site, cut, "/v1/status").await.expect("it answers");
    assert_eq!(
        status["replica"]["term"], term,
        "the return starts no election"
    );
    assert!(
        proxies
            .iter()
            .all(|(_, _, proxy)| !proxy.faults.drop_requests.load(Ordering::SeqCst))
    );
}
