//! The platform's interface for machines: the list, and upkeep. Moves are refused as busy.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

use serde_json::json;

use crate::executor::Fleet;
use crate::http::{Reply, Request, Server};
use crate::record::Record;

/// How long an upkeep takes; `maintenance_s` of the settings.
const UPKEEP: Duration = Duration::from_secs(2);

#[derive(Default)]
struct State {
    /// The machines whose upkeep for a wave has begun.
    begun: BTreeSet<(u64, String)>,
    down: BTreeSet<String>,
    /// Whether the answer to the first upkeep order is withheld, since its sender is about to be killed.
    withhold_first: bool,
}

#[derive(Clone)]
pub struct Cloud {
    state: Arc<Mutex<State>>,
    fleet: Fleet,
    record: Arc<Record>,
}

impl Cloud {
    pub fn new(record: Arc<Record>, fleet: Fleet, withhold_first: bool) -> Self {
        let state = State {
            withhold_first,
            ..State::default()
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            fleet,
            record,
        }
    }

    pub fn serve(&self, address: SocketAddr) -> Result<Server, String> {
        let cloud = self.clone();
        let handler = Arc::new(move |request: Request| cloud.handle(&request));
        Server::start(address, handler).map_err(|error| error.to_string())
    }

    /// Returns whether an upkeep has begun.
    pub fn has_begun(&self) -> bool {
        !self.state.lock().unwrap().begun.is_empty()
    }

    fn handle(&self, request: &Request) -> Reply {
        let path = request.path.split('?').next().unwrap_or_default();
        match path {
            "/machines" => Reply::Answer(200, json!({ "machines": self.list() })),
            "/machine-upkeep" => self.upkeep(request),
            "/machine-move" => Reply::Answer(409, json!({ "reason": "busy" })),
            _ => Reply::Answer(404, json!({})),
        }
    }

    fn list(&self) -> Vec<serde_json::Value> {
        let down = self.state.lock().unwrap().down.clone();
        let machines = self.fleet.machines().into_iter();
        let entries = machines.map(|machine| {
            let state = if down.contains(&machine.name) {
                "upkeep"
            } else if machine.up {
                "up"
            } else {
                "down"
            };
            json!({ "machine": machine.name, "pool": machine.pool, "state": state, "zone": "port-louis",
                "labels": machine.labels, "capacity": machine.capacity, "id": machine.executor })
        });
        entries.collect()
    }

    fn upkeep(&self, request: &Request) -> Reply {
        let body = request.json();
        let machine = body["machine"].as_str().unwrap_or_default().to_owned();
        let wave = body["wave"].as_u64().unwrap_or(0);
        let holder = request.headers.get("lease-holder").cloned();
        let holder = holder.unwrap_or_default();
        let Some(position) = self.fleet.position_of(&machine) else {
            return Reply::Answer(400, json!({}));
        };
        let mut state = self.state.lock().unwrap();
        if state.begun.contains(&(wave, machine.clone())) {
            self.record.line(format_args!(
                "upkeep of {machine} from {holder} -> 200, already done"
            ));
            return Reply::Answer(200, json!({}));
        }
        if state.down.contains(&machine) {
            return Reply::Answer(409, json!({ "reason": "busy" }));
        }
        let is_withheld = std::mem::take(&mut state.withhold_first);
        state.begun.insert((wave, machine.clone()));
        state.down.insert(machine.clone());
        drop(state);
        let answer = if is_withheld {
            "carried out, no answer"
        } else {
            "200"
        };
        self.record.line(format_args!(
            "upkeep of {machine} from {holder} -> {answer}"
        ));
        self.fleet.crash(position);
        let cloud = self.clone();
        thread::spawn(move || {
            sleep(UPKEEP);
            let _ = cloud.fleet.begin_new_executor(position);
            cloud.state.lock().unwrap().down.remove(&machine);
        });
        if is_withheld {
            Reply::Silence
        } else {
            Reply::Answer(200, json!({}))
        }
    }
}
