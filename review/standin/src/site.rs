//! A small deployment of the project's own programs, and the platform that it stands on.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::executor::{Executor, HEARTBEAT_MS, HOLD_MAX_MS, Ledger};
use crate::http::{Request, call, serve};
use crate::record::Record;

pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/queue/";
pub const POOL: &str = "service-a";

/// One process of the deployment.
pub struct Process {
    pub name: String,
    program: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    is_left_out: bool,
}

impl Process {
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log is writable");
        let program = repository().join("target/release").join(self.program);
        let child = Command::new(program)
            .arg("--settings")
            .arg(&self.settings)
            .current_dir(repository())
            .env_clear()
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("the log can be shared"))
            .stdout(log)
            .spawn();
        self.child = Some(child.expect("the program of the deploy file is built"));
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to this process alone.
    pub fn signal(&self, name: &str) {
        if self.child.is_some() {
            let _ = Command::new("kill")
                .arg(format!("-{name}"))
                .arg(self.pid().to_string())
                .status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the largest resident memory that the process has used, in megabytes.
    pub fn peak_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1_024
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal("CONT");
        self.kill();
    }
}

/// What a case changes in the settings.
#[derive(Clone)]
pub struct Options {
    pub maintenance_s: f64,
    pub entries: usize,
    /// Whether the first entry reaches the control instances through the proxy address only.
    pub first_entry_by_proxy: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            maintenance_s: 2.0,
            entries: 2,
            first_entry_by_proxy: false,
        }
    }
}

/// The processes, the platform and the addresses of a deployment with three control instances.
pub struct Site {
    pub record: Arc<Record>,
    pub ledger: Arc<Ledger>,
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
    pub control_addresses: Vec<SocketAddr>,
    /// The address of a proxy between the first entry and the first control instance.
    pub proxy_address: SocketAddr,
    pub peer_port: u16,
    pub entry_addresses: Vec<SocketAddr>,
    pub cloud: Arc<Cloud>,
    pub advice: Arc<Advice>,
    folder: PathBuf,
}

fn repository() -> PathBuf {
    std::env::current_dir().expect("a working folder")
}

/// Returns addresses of the loopback range that nobody listens on, one for each instance.
fn free_addresses(count: usize, ports: &[u16]) -> Vec<String> {
    let pid = std::process::id();
    for attempt in 0..200 {
        let base = pid.wrapping_add(attempt * 7);
        let names: Vec<_> = (1..=count)
            .map(|number| format!("127.{}.{}.{number}", 20 + base % 200, 1 + base / 200 % 250))
            .collect();
        let is_free = |name: &String| {
            ports
                .iter()
                .all(|port| TcpListener::bind(format!("{name}:{port}")).is_ok())
        };
        if names.iter().all(is_free) {
            return names;
        }
    }
    panic!("no free loopback addresses");
}

impl Site {
    pub fn new(record: &Arc<Record>, options: &Options) -> io::Result<Self> {
        let ledger = Ledger::new(record.clone());
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let (peer_port, metrics_port, control_port) = (18_060, 18_075, 18_623);
        let count = 4 + options.entries;
        let addresses = free_addresses(
            count,
            &[peer_port, metrics_port, control_port, 18_624, 18_622],
        );
        let control_addresses: Vec<SocketAddr> = addresses[..3]
            .iter()
            .map(|ip| format!("{ip}:{control_port}").parse().unwrap())
            .collect();
        let seeds: Vec<_> = control_addresses.iter().map(ToString::to_string).collect();
        let seeds = seeds.join(",");
        let proxy_seed = format!("{}:{control_port}", addresses[3]);
        let proxy_address = format!("{}:{peer_port}", addresses[3]).parse().unwrap();
        let cloud = Cloud::start(record, options.maintenance_s);
        let advice = Advice::start(record);
        let settings = |name: &str, ip: &str, seeds: &str, own: &str| {
            format!(
                "node={name}\nip={ip}\nzone=a\nregion=r\nzones.a=r\nport_range={peer_port},{metrics_port}\n\
                 seeds={seeds}\nlimits.max_fds=4096\nheartbeat_ms={HEARTBEAT_MS}\n\
                 fault_tolerance.machines=1\nbounds.stability_window_ms=3000\nbounds.drain_ms=2000\n\
                 bounds.grace_s=6\nbounds.config_apply_ms=2000\nbounds.hold_max_ms={HOLD_MAX_MS}\n\
                 bounds.stop_ms=400\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.status_s=120\n\
                 bounds.far_x=3\nbounds.notice_ms=4500\nbounds.migrate_s=1.5\nbounds.maintenance_s={}\n\
                 bounds.lease_ms=3000\nbounds.require_fencing=false\norders=invocation\nconfig_mode=highest\n\
                 cloud.address={}\ncloud.rate_per_s=64.0\ncloud.duty_per_s=64.0\nadvice={}\n{own}",
                options.maintenance_s, cloud.address, advice.address
            )
        };
        let process = |name: String, program, text: String| -> io::Result<Process> {
            let path = folder.join(format!("{name}.conf"));
            fs::write(&path, text)?;
            let log = folder.join(format!("{name}.log"));
            Ok(Process {
                name,
                program,
                settings: path,
                log,
                child: None,
                is_left_out: false,
            })
        };
        let mut controls = Vec::new();
        for (number, address) in control_addresses.iter().enumerate() {
            let name = format!("core-{}", number + 1);
            let data = folder.join(&name);
            fs::create_dir_all(&data)?;
            let own = format!(
                "class=core\nserves=control\nlisten.control={address}\nbootstrap=true\ndata_dir={}\n",
                data.display()
            );
            let text = settings(&name, &address.ip().to_string(), &seeds, &own);
            controls.push(process(name, "jasminefall-dispatch-control", text)?);
        }
        let (mut entries, mut entry_addresses) = (Vec::new(), Vec::new());
        for (number, ip) in addresses[4..].iter().enumerate() {
            let name = format!("front-{}", number + 1);
            let own = format!(
                "class=front\nserves=front\nlisten.front={ip}:18624\nlisten.ready={ip}:18622\nbootstrap=true\n"
            );
            let seeds = if number == 0 && options.first_entry_by_proxy {
                &proxy_seed
            } else {
                &seeds
            };
            let text = settings(&name, ip, seeds, &own);
            entries.push(process(name, "jasminefall-dispatch-entry", text)?);
            entry_addresses.push(format!("{ip}:18624").parse().unwrap());
        }
        Ok(Self {
            record: record.clone(),
            ledger,
            controls,
            entries,
            control_addresses,
            proxy_address,
            peer_port,
            entry_addresses,
            cloud,
            advice,
            folder,
        })
    }

    /// Starts all processes and puts the first configuration in force.
    pub fn start(&mut self, needs_advice: bool) -> bool {
        self.start_within(needs_advice, Duration::from_secs(15))
    }

    /// Leaves out a control instance at the first start.
    pub fn leave_out(&mut self, control: usize) {
        self.controls[control].is_left_out = true;
    }

    /// Starts all processes and waits for the acknowledgement of the first configuration.
    pub fn start_within(&mut self, needs_advice: bool, limit: Duration) -> bool {
        for process in self.controls.iter_mut().chain(&mut self.entries) {
            if !process.is_left_out {
                process.start();
            }
        }
        let mut route = json!({
            "name": "queue", "host": HOST, "path_prefix": PREFIX, "type": "unsafe", "timeout_ms": 3_000,
            "target_latency_ms": 20_000, "priority": 0, "backend": POOL, "attempts": 4, "stretch": 4.0,
        });
        if needs_advice {
            route["advice"] =
                json!({ "decide_ms": 5, "each_ms": 1, "validity_ms": ADVICE_VALIDITY_MS });
        }
        let document = json!({
            "version": 1, "routes": [route],
            "backends": [{
                "name": POOL, "health_check_path": "/healthz", "max_connections": 64, "protocol": "h1",
                "tls": false, "enforces_capacity": true, "standby": false,
            }],
            "limits": { "max_header_bytes": 16_384, "max_body_bytes": 262_144, "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 },
        });
        let put = self.operator_call("POST", "/Config.Put", &document.to_string(), limit);
        self.record
            .line(format!("operator puts the config: {put:?}"));
        put.is_some_and(|(status, _)| status == 200)
    }

    /// Sends an operator's call to the control instances in turn until one answers below 500.
    pub fn operator_call(
        &self,
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> Option<(u16, Value)> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            for address in &self.control_addresses {
                match call(*address, method, path, &[], body, Duration::from_secs(1)) {
                    Ok((status, body)) if status < 500 => return Some((status, body)),
                    _ => {}
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// Sends a requester's call to an entry.
    pub fn client_call(
        &self,
        entry: usize,
        method: &str,
        job: &str,
        body: &str,
        limit: Duration,
    ) -> Option<u16> {
        self.client_call_body(entry, method, job, body, limit)
            .map(|(status, _)| status)
    }

    pub fn client_call_body(
        &self,
        entry: usize,
        method: &str,
        job: &str,
        body: &str,
        limit: Duration,
    ) -> Option<(u16, Value)> {
        let path = format!("{PREFIX}{job}");
        let headers = [("Host", HOST), ("Deadline-Ms", "3000")];
        let answer = call(
            self.entry_addresses[entry],
            method,
            &path,
            &headers,
            body,
            limit,
        );
        let shown = match &answer {
            Ok((status, body)) => format!("{status} {body}"),
            Err(error) => format!("no response: {error}"),
        };
        let sent: String = body.chars().take(160).collect();
        self.record.line(format!(
            "requester {method} {path} at {}: {sent} -> {shown}",
            self.entries[entry].name
        ));
        answer.ok()
    }

    /// Submits a job until it is accepted, as requesters do; returns whether it was.
    pub fn submit(&self, job: &str, body: &Value, cpu: u64, tries: usize) -> bool {
        self.ledger
            .cpu_of_job
            .lock()
            .unwrap()
            .insert(job.to_owned(), cpu);
        for attempt in 0..tries {
            let entry = attempt % self.entries.len();
            let status = self.client_call(
                entry,
                "POST",
                job,
                &body.to_string(),
                Duration::from_secs(3),
            );
            if status.is_some_and(|status| (200..300).contains(&status)) {
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Returns the state of a job as an entry tells it.
    pub fn state_of(&self, job: &str) -> Option<String> {
        for entry in 0..self.entries.len() {
            if let Some((200, body)) =
                self.client_call_body(entry, "GET", job, "", Duration::from_secs(3))
            {
                return body["state"].as_str().map(str::to_owned);
            }
        }
        None
    }

    /// Waits until a job has a state.
    pub fn wait_for_state(&self, job: &str, wanted: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.state_of(job).as_deref() == Some(wanted) {
                return true;
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Returns the position of the control instance that began to lead last, by its log.
    pub fn leader(&self) -> Option<usize> {
        let term_of = |text: &str| {
            let line = text
                .lines()
                .rev()
                .find(|line| line.contains("event=leads "))?;
            let (_, rest) = line.split_once("term=")?;
            rest.split_whitespace().next()?.parse::<u64>().ok()
        };
        let terms = self.controls.iter().enumerate();
        let terms =
            terms.filter_map(|(position, process)| Some((term_of(&process.log_text())?, position)));
        terms.max().map(|(_, position)| position)
    }

    /// Keeps the last lines of the logs beside the record.
    pub fn note_logs(&self, pattern: &[&str], most: usize) {
        for process in &self.controls {
            let text = process.log_text();
            let lines: Vec<_> = text
                .lines()
                .filter(|line| pattern.iter().any(|word| line.contains(word)))
                .collect();
            for line in lines.iter().take(most) {
                self.record.line(format!("log of {}: {line}", process.name));
            }
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.controls.clear();
        self.entries.clear();
        let keep = std::env::var_os("KEEP_LOGS").is_some();
        if !keep {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs are in {}", self.folder.display());
        }
    }
}

/// An upkeep or a wave that the platform has carried out.
#[derive(Clone, Debug)]
pub struct Upkeep {
    pub machine: String,
    pub begins_ms: u64,
    pub ends_ms: u64,
    pub holder: String,
}

struct MachineState {
    executor: Arc<Executor>,
    state: &'static str,
    life: u32,
}

/// The platform's interface for machines.
pub struct Cloud {
    pub address: SocketAddr,
    record: Arc<Record>,
    maintenance: Duration,
    machines: Mutex<BTreeMap<String, MachineState>>,
    pub upkeeps: Mutex<Vec<Upkeep>>,
    /// The delay of each answer to a reading of the list.
    pub list_delay: Mutex<Duration>,
    pub lists_begun: Mutex<u64>,
}

impl Cloud {
    fn start(record: &Arc<Record>, maintenance_s: f64) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let cloud = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            record: record.clone(),
            maintenance: Duration::from_secs_f64(maintenance_s),
            machines: Mutex::default(),
            upkeeps: Mutex::default(),
            list_delay: Mutex::default(),
            lists_begun: Mutex::default(),
        });
        let handling = cloud.clone();
        serve(listener, |_| true, move |request| handling.handle(&request));
        cloud
    }

    pub fn add(&self, executor: &Arc<Executor>) {
        let machine = MachineState {
            executor: executor.clone(),
            state: "up",
            life: 1,
        };
        self.machines
            .lock()
            .unwrap()
            .insert(executor.machine.clone(), machine);
    }

    fn handle(self: &Arc<Self>, request: &Request) -> Option<(u16, Value)> {
        let path = request.path.split('?').next().unwrap_or_default();
        if request.method == "GET" && path == "/machines" {
            let list = self.list();
            *self.lists_begun.lock().unwrap() += 1;
            let delay = *self.list_delay.lock().unwrap();
            if !delay.is_zero() {
                self.record.line(format!(
                    "platform reads its list for an answer in {} ms",
                    delay.as_millis()
                ));
                thread::sleep(delay);
            }
            return Some((200, list));
        }
        let machine = request.body["machine"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        match path {
            "/machine-upkeep" => Some(self.begin_upkeep(&machine, request)),
            "/machine-move" => Some((400, json!({}))),
            _ => Some((404, json!({}))),
        }
    }

    fn list(&self) -> Value {
        let machines = self.machines.lock().unwrap();
        let rows: Vec<_> = machines.iter().map(|(name, machine)| {
            let mut row = json!({
                "machine": name, "pool": machine.executor.pool(), "state": machine.state, "zone": "a",
                "labels": ["a", "r1-1"], "capacity": { "cpu": machine.executor.cpu, "mem_mb": 32_768, "gpu": 0 },
            });
            if machine.state == "up" {
                row["id"] = json!(machine.executor.id());
            }
            row
        }).collect();
        json!({ "machines": rows, "next_token": null })
    }

    fn begin_upkeep(self: &Arc<Self>, name: &str, request: &Request) -> (u16, Value) {
        let holder = request.header("Lease-Holder").to_owned();
        let mut machines = self.machines.lock().unwrap();
        let Some(machine) = machines.get_mut(name) else {
            return (400, json!({}));
        };
        if self
            .upkeeps
            .lock()
            .unwrap()
            .iter()
            .any(|upkeep| upkeep.machine == name)
        {
            return (200, json!({}));
        }
        if machine.state != "up" {
            return (409, json!({ "reason": "busy" }));
        }
        machine.state = "upkeep";
        machine.life += 1;
        let begins_ms = self.record.now_ms();
        let ends_ms = begins_ms + self.maintenance.as_millis() as u64;
        let wave = request.body["wave"].clone();
        self.record.line(format!("platform begins the upkeep of {name} for wave {wave}, ordered by {holder} with fence {}", request.header("Fencing-Token")));
        self.upkeeps.lock().unwrap().push(Upkeep {
            machine: name.into(),
            begins_ms,
            ends_ms,
            holder,
        });
        let (executor, life) = (machine.executor.clone(), machine.life);
        drop(machines);
        executor.go_down("upkeep");
        let (cloud, name) = (self.clone(), name.to_owned());
        thread::spawn(move || {
            thread::sleep(cloud.maintenance);
            let id = format!("i-{}-{life}", name.trim_start_matches("m-"));
            let pool = executor.pool();
            executor.come_up(&id, &pool);
            if let Some(machine) = cloud.machines.lock().unwrap().get_mut(&name) {
                machine.state = "up";
            }
            cloud
                .record
                .line(format!("platform ends the upkeep of {name}"));
        });
        (200, json!({}))
    }
}

pub const ADVICE_VALIDITY_MS: u64 = 3_000;

/// The advice service: it permits steps only on the executors that a case names.
pub struct Advice {
    pub address: SocketAddr,
    record: Arc<Record>,
    pub permitted: Mutex<Vec<String>>,
}

impl Advice {
    fn start(record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let advice = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            record: record.clone(),
            permitted: Mutex::default(),
        });
        let handling = advice.clone();
        serve(
            listener,
            |_| true,
            move |request| Some(handling.handle(&request)),
        );
        advice
    }

    fn handle(&self, request: &Request) -> (u16, Value) {
        let named: Vec<_> = request.body["workers"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_str)
            .collect();
        if named.len() > 100 {
            return (400, json!({}));
        }
        thread::sleep(Duration::from_millis(5 + named.len() as u64));
        let step = request.body["step"].as_str().unwrap_or_default();
        let permitted = self.permitted.lock().unwrap();
        let granted: Vec<_> = named
            .iter()
            .filter(|id| permitted.iter().any(|known| known == *id))
            .map(|id| json!([id, format!("t-{step}-{id}")]))
            .collect();
        self.record.line(format!(
            "advice for {step}: {} executors named, {} granted",
            named.len(),
            granted.len()
        ));
        (
            200,
            json!({ "granted": granted, "validity_ms": ADVICE_VALIDITY_MS }),
        )
    }
}
