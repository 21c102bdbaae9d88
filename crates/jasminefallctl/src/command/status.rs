//! State of the site and of each control replica.

use serde_json::{Value, json};

use super::print_json;
use crate::arguments::Arguments;
use crate::client::{ControlClient, Response};
use crate::failure::Failure;

/// Holds the result of querying a replica.
struct ReplicaRow {
    address: String,
    result: Result<Response, String>,
}

impl ReplicaRow {
    fn body(&self) -> Option<&Value> {
        let response = self.result.as_ref().ok()?;
        response.status.is_success().then_some(&response.body)
    }

    fn error(&self) -> Option<String> {
        match &self.result {
            Ok(response) if response.status.is_success() => None,
            Ok(response) => Some(response.error()),
            Err(error) => Some(error.clone()),
        }
    }
}

/// Shows the site as reported by the most up-to-date replica, and the state of every replica.
pub(crate) async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let client = ControlClient::new(arguments)?;
    let results = client.get_from_each("/v1/status").await?;
    let rows: Vec<ReplicaRow> = results
        .into_iter()
        .map(|(address, result)| ReplicaRow { address, result })
        .collect();
    let bodies = rows.iter().filter_map(ReplicaRow::body);
    let most_recent = bodies.max_by_key(|body| {
        let commit = body["replica"]["commit"].as_u64();
        (body["fresh"].as_bool(), commit)
    });
    let Some(site) = most_recent else {
        let errors = rows.iter().filter_map(|row| {
            let error = row.error()?;
            Some(format!("{}: {error}", row.address))
        });
        let errors: Vec<String> = errors.collect();
        return Err(Failure::Unreachable(format!(
            "no control instance answered ({}); check that they run and that the addresses are correct",
            errors.join("; ")
        )));
    };
    if arguments.json {
        let mut site = site.clone();
        site["replicas"] = rows.iter().map(row_json).collect();
        print_json(&site);
    } else {
        print_replicas(&rows);
        print_site(site);
    }
    Ok(())
}

fn row_json(row: &ReplicaRow) -> Value {
    match row.body() {
        Some(body) => json!({
            "address": row.address,
            "replica": body["replica"],
            "fresh": body["fresh"],
            "version": body["version"],
        }),
        None => json!({ "address": row.address, "error": row.error() }),
    }
}

fn print_replicas(rows: &[ReplicaRow]) {
    println!(
        "{:<22} {:>7} {:>6} {:>5} {:>8}  STATE",
        "CONTROL", "REPLICA", "LEADER", "TERM", "VERSION"
    );
    for row in rows {
        let Some(body) = row.body() else {
            let error = row.error().unwrap_or_default();
            println!("{:<22} did not answer: {error}", row.address);
            continue;
        };
        let replica = &body["replica"];
        let is_fresh = body["fresh"].as_bool() == Some(true);
        println!(
            "{:<22} {:>7} {:>6} {:>5} {:>8}  {}",
            row.address,
            format_cell(&replica["replica"]),
            format_cell(&replica["leader"]),
            format_cell(&replica["term"]),
            format_cell(&body["version"]),
            if is_fresh { "leads" } else { "follows" }
        );
    }
}

fn print_site(site: &Value) {
    if site["fresh"].as_bool() != Some(true) {
        println!("no leader answered: the following may be outdated");
    }
    println!("version {}", site["version"]);
    println!("claims  {}", site["claims"]);
    for entry in rows_of(site, "entries") {
        println!(
            "entry   {} holds={}",
            format_cell(&entry["entry"]),
            entry["holds"]
        );
    }
    for worker in rows_of(site, "workers") {
        let name = format_cell(&worker["worker"]);
        println!("worker  {name} live={}", worker["live"]);
    }
    for job in rows_of(site, "jobs") {
        let (team, state) = (format_cell(&job["team"]), format_cell(&job["state"]));
        println!("job     {} team={team} state={state}", job["job"]);
    }
}

fn rows_of<'site>(site: &'site Value, key: &str) -> impl Iterator<Item = &'site Value> {
    site[key].as_array().into_iter().flatten()
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
