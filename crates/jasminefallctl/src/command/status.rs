//! Shows the site and which replicas answer.

use serde_json::{Value, json};

use super::print_json;
use crate::arguments::Arguments;
use crate::client::{Answer, ControlCalls};
use crate::failure::Failure;

/// Says what one replica answered.
struct ReplicaRow {
    address: String,
    answered: Result<Answer, String>,
}

impl ReplicaRow {
    fn body(&self) -> Option<&Value> {
        let answer = self.answered.as_ref().ok()?;
        answer.status.is_success().then_some(&answer.body)
    }

    fn error(&self) -> Option<String> {
        match &self.answered {
            Ok(answer) if answer.status.is_success() => None,
            Ok(answer) => Some(answer.error()),
            Err(error) => Some(error.clone()),
        }
    }
}

/// Shows the site as the freshest replica knows it, and every replica.
pub(crate) async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let calls = ControlCalls::new(arguments)?;
    let answers = calls.get_from_each("/v1/status").await?;
    let rows: Vec<ReplicaRow> = answers
        .into_iter()
        .map(|(address, answered)| ReplicaRow { address, answered })
        .collect();
    let bodies = rows.iter().filter_map(ReplicaRow::body);
    let freshest = bodies.max_by_key(|body| {
        let commit = body["replica"]["commit"].as_u64();
        (body["fresh"].as_bool(), commit)
    });
    let Some(site) = freshest else {
        let errors = rows.iter().filter_map(|row| {
            let error = row.error()?;
            Some(format!("{}: {error}", row.address))
        });
        let errors: Vec<String> = errors.collect();
        return Err(Failure::Unreachable(format!(
            "no control instance answered ({}); check that they run and the addresses are right",
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
            word(&replica["replica"]),
            word(&replica["leader"]),
            word(&replica["term"]),
            word(&body["version"]),
            if is_fresh { "leads" } else { "follows" }
        );
    }
}

fn print_site(site: &Value) {
    if site["fresh"].as_bool() != Some(true) {
        println!("no leader answered: what follows may be old");
    }
    println!("version {}", site["version"]);
    println!("claims  {}", site["claims"]);
    for entry in rows_of(site, "entries") {
        println!("entry   {} holds={}", word(&entry["entry"]), entry["holds"]);
    }
    for worker in rows_of(site, "workers") {
        let name = word(&worker["worker"]);
        println!("worker  {name} live={}", worker["live"]);
    }
    for job in rows_of(site, "jobs") {
        let (team, state) = (word(&job["team"]), word(&job["state"]));
        println!("job     {} team={team} state={state}", job["job"]);
    }
}

fn rows_of<'site>(site: &'site Value, key: &str) -> impl Iterator<Item = &'site Value> {
    site[key].as_array().into_iter().flatten()
}

fn word(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
