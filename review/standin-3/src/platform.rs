//! The platform: it lists machines and takes them down for their upkeep.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use serde_json::json;

use crate::http::{Reply, Request, Server};
use crate::record::line;
use crate::worker::Worker;

/// `maintenance_s` of the settings.
const MAINTENANCE: Duration = Duration::from_secs(2);

struct Machine {
    worker: Arc<Worker>,
    is_up: bool,
}

#[derive(Default)]
struct State {
    machines: BTreeMap<String, Machine>,
    waves: BTreeMap<u64, BTreeSet<String>>,
    /// The upkeeps that have begun, by machine and wave.
    begun: BTreeSet<(String, u64)>,
    lists: u64,
    list_delay: Duration,
}

/// The platform with its address.
pub struct Platform {
    state: Mutex<State>,
    listed: Condvar,
    server: Mutex<Option<Server>>,
}

impl Platform {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let platform = Arc::new(Self {
            state: Mutex::default(),
            listed: Condvar::new(),
            server: Mutex::default(),
        });
        let handler = platform.clone();
        let server = Server::start(address, move |request| handler.handle(request));
        *platform.server.lock().unwrap() = Some(server.expect("the platform's address is free"));
        platform
    }

    /// Adds a machine and starts its worker.
    pub fn add_machine(&self, worker: &Arc<Worker>) {
        line(format_args!(
            "platform: machine {} is added",
            worker.machine
        ));
        let machine = Machine {
            worker: worker.clone(),
            is_up: true,
        };
        self.state
            .lock()
            .unwrap()
            .machines
            .insert(worker.machine.clone(), machine);
        worker.start();
    }

    /// Makes a wave known to the platform.
    pub fn add_wave(&self, wave: u64, machines: &[&str]) {
        let machines = machines.iter().map(|name| (*name).to_owned()).collect();
        self.state.lock().unwrap().waves.insert(wave, machines);
    }

    /// Sets how long the answer to a request for the list takes.
    pub fn set_list_delay(&self, delay: Duration) {
        self.state.lock().unwrap().list_delay = delay;
    }

    /// Waits until the list is requested; returns whether it was within the limit.
    pub fn wait_for_list(&self, limit: Duration) -> bool {
        let guard = self.state.lock().unwrap();
        let before = guard.lists;
        let waited = self
            .listed
            .wait_timeout_while(guard, limit, |state| state.lists == before);
        !waited.unwrap().1.timed_out()
    }

    /// Returns whether a machine has begun its upkeep for a wave.
    pub fn has_begun(&self, machine: &str, wave: u64) -> bool {
        let key = (machine.to_owned(), wave);
        self.state.lock().unwrap().begun.contains(&key)
    }

    pub fn stop(&self) {
        *self.server.lock().unwrap() = None;
    }

    fn handle(self: &Arc<Self>, request: &Request) -> Reply {
        let body = request.json();
        let machine = body["machine"].as_str().unwrap_or_default().to_owned();
        match request.path.as_str() {
            path if path.starts_with("/machines") => self.list(),
            "/machine-upkeep" => {
                let wave = body["wave"].as_u64().unwrap_or(0);
                let holder = request.header("lease-holder").unwrap_or_default();
                let token = request.header("fencing-token");
                let token = token.unwrap_or_default();
                let (status, answer) = self.upkeep(&machine, wave);
                line(format_args!(
                    "platform: upkeep of {machine} for wave {wave} ordered by {holder} with fence {token}: {status} {answer}"
                ));
                Reply::Status(status, answer)
            }
            // No pool but one, so there is nowhere to move to.
            "/machine-move" => Reply::Status(400, "{}".to_owned()),
            _ => Reply::Status(404, "{}".to_owned()),
        }
    }

    fn list(&self) -> Reply {
        let mut state = self.state.lock().unwrap();
        let machines: Vec<_> = state
            .machines
            .iter()
            .map(|(name, machine)| {
                json!({ "machine": name, "pool": "pool-a",
                    "state": if machine.is_up { "up" } else { "upkeep" }, "zone": "a",
                    "labels": ["a", "r1-1"], "capacity": { "cpu": 16000, "mem_mb": 32768, "gpu": 0 },
                    "id": if machine.is_up { machine.worker.name.as_str() } else { "" } })
            })
            .collect();
        let names: Vec<_> = state.machines.keys().cloned().collect();
        let delay = state.list_delay;
        state.lists += 1;
        self.listed.notify_all();
        drop(state);
        line(format_args!("platform: list requested, holds {names:?}"));
        if !delay.is_zero() {
            std::thread::sleep(delay);
            line(format_args!("platform: list of {names:?} answered"));
        }
        Reply::Status(200, json!({ "machines": machines }).to_string())
    }

    fn upkeep(self: &Arc<Self>, name: &str, wave: u64) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let Some(machine) = state.machines.get_mut(name) else {
            return (400, "{}".to_owned());
        };
        if !state
            .waves
            .get(&wave)
            .is_some_and(|machines| machines.contains(name))
        {
            return (409, json!({ "reason": "wave" }).to_string());
        }
        if state.begun.contains(&(name.to_owned(), wave)) {
            return (200, "{}".to_owned());
        }
        if !machine.is_up {
            return (409, json!({ "reason": "busy" }).to_string());
        }
        state.begun.insert((name.to_owned(), wave));
        machine.is_up = false;
        let worker = machine.worker.clone();
        let (platform, name) = (self.clone(), name.to_owned());
        worker.crash();
        std::thread::spawn(move || {
            std::thread::sleep(MAINTENANCE);
            if let Some(machine) = platform.state.lock().unwrap().machines.get_mut(&name) {
                machine.is_up = true;
            }
            worker.start();
        });
        (200, "{}".to_owned())
    }
}
