//! A small deployment: the project's programs as processes, each on a loopback address of its own.

use std::fs;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::call;
use crate::record::Record;

pub const CONTROLS: usize = 5;
pub const ENTRIES: usize = 2;
pub const HOST: &str = "site.example";
/// Bounds of the settings, as on the pages of the small deployments.
pub const HOLD_MAX_MS: u64 = 6_000;
pub const STOP_MS: u64 = 900;
pub const GANG_TIMEOUT_MS: u64 = 3_000;
pub const STABILITY_WINDOW_S: f64 = 3.0;
pub const FINISH_S: f64 = 14.0;
pub const HEARTBEAT_MS: u64 = 1_500;
pub const RESTORE_MS: u64 = 100;

const OPERATOR_LIMIT: Duration = Duration::from_secs(1);
const CLIENT_LIMIT: Duration = Duration::from_secs(3);
const SETUP_LIMIT: Duration = Duration::from_secs(25);

struct Process {
    name: String,
    program: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

/// The ids of the processes that have been started and not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that this program has started.
pub fn kill_all() {
    for id in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
}

fn kill_process(mut child: Child) {
    let _ = child.kill();
    let _ = child.wait();
    STARTED.lock().unwrap().retain(|id| *id != child.id());
}

pub struct Site {
    pub record: Arc<Record>,
    folder: PathBuf,
    processes: Vec<Process>,
    base_port: u16,
    /// The latest read by a client that was recorded; an equal one is not recorded again.
    last_read: Mutex<String>,
}

/// Returns a loopback address with this last byte; the middle bytes derive from the process id.
pub fn address(last: u8) -> IpAddr {
    let id = std::process::id();
    IpAddr::from([
        127,
        (id / 200 % 200 + 20) as u8,
        (id % 200 + 20) as u8,
        last,
    ])
}

fn has_free_ports(base: u16) -> bool {
    (0..40).all(|offset| TcpListener::bind((address(11), base + offset)).is_ok())
}

impl Site {
    pub fn new(record: Arc<Record>) -> Result<Self, String> {
        let base_port = (0..50)
            .map(|attempt| 18_000 + attempt * 100)
            .find(|base| has_free_ports(*base))
            .ok_or("no free ports")?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        Ok(Self {
            record,
            folder,
            processes: Vec::new(),
            base_port,
            last_read: Mutex::default(),
        })
    }

    fn control_ip(number: usize) -> IpAddr {
        address(11 + number as u8)
    }

    fn entry_ip(number: usize) -> IpAddr {
        address(31 + number as u8)
    }

    pub fn control(&self, number: usize) -> SocketAddr {
        (Self::control_ip(number), self.base_port + 23).into()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..CONTROLS).map(|number| self.control(number)).collect()
    }

    fn front(&self, number: usize) -> SocketAddr {
        (Self::entry_ip(number), self.base_port + 24).into()
    }

    pub fn executor_address(&self, number: usize) -> SocketAddr {
        (address(101 + number as u8), self.base_port + 30).into()
    }

    pub fn cloud(&self) -> SocketAddr {
        (address(10), self.base_port + 21).into()
    }

    /// Writes the settings of all processes and starts them.
    pub fn start(&mut self) -> Result<(), String> {
        for number in 0..CONTROLS {
            let name = format!("core-{number}");
            self.add(
                name,
                "jasminefall-dispatch-control",
                Self::control_ip(number),
                true,
            )?;
        }
        for number in 0..ENTRIES {
            let name = format!("front-{number}");
            self.add(
                name,
                "jasminefall-dispatch-entry",
                Self::entry_ip(number),
                false,
            )?;
        }
        for number in 0..self.processes.len() {
            self.start_process(number)?;
        }
        // The settings of later starts.
        sleep(Duration::from_secs(2));
        for process in &self.processes {
            let text = fs::read_to_string(&process.settings).map_err(|error| error.to_string())?;
            let text = text.replace("bootstrap=true", "bootstrap=false");
            fs::write(&process.settings, text).map_err(|error| error.to_string())?;
        }
        Ok(())
    }

    fn add(
        &mut self,
        name: String,
        program: &'static str,
        ip: IpAddr,
        is_control: bool,
    ) -> Result<(), String> {
        let base = self.base_port;
        let seeds: Vec<_> = (0..3)
            .map(|number| self.control(number).to_string())
            .collect();
        let seeds = seeds.join(",");
        let own = if is_control {
            let data = self.folder.join(format!("{name}.data"));
            fs::create_dir_all(&data).map_err(|error| error.to_string())?;
            format!(
                "role=control\nclass=core\nserves=control\nlisten.control={ip}:{}\ndata_dir={}\nloss_counts=true\nlimits.disk_mb=128\n",
                base + 23,
                data.display()
            )
        } else {
            format!(
                "role=entry\nclass=front\nserves=front\nlisten.front={ip}:{}\nlisten.ready={ip}:{}\nloss_counts=false\nlimits.disk_mb=0\n",
                base + 24,
                base + 22
            )
        };
        let text = format!(
            "node={name}\n{own}ip={ip}\nzone=port-louis\nregion=mu\nzones.port-louis=mu\nport_range={},{}\nseeds={seeds}\nbootstrap=true\n\
             limits.cpu_share=0.39\nlimits.cores=1\nlimits.memory_mb=256\nlimits.max_fds=4096\nlimits.link_mbps=1000.0\n\
             discovery=registry\nentry=vip\nheartbeat_ms={HEARTBEAT_MS}\ninvariants=base,drain,config,cost,recover,sched,advice,upkeep,sharing\n\
             fault_tolerance.machines=2\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.stability_window_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\n\
             bounds.drain_ms=2000\nbounds.grace_s=6\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\n\
             bounds.max_stretch_ms=5000\nbounds.recovery_s=12\nbounds.hold_max_ms={HOLD_MAX_MS}\nbounds.stop_ms={STOP_MS}\n\
             bounds.gang_timeout_ms={GANG_TIMEOUT_MS}\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\n\
             bounds.status_s=120\nbounds.far_x=2\nbounds.checkpoint_interval_s=0.5\nbounds.restore_ms={RESTORE_MS}\nbounds.notice_ms=4500\n\
             bounds.migrate_s=1.5\nbounds.maintenance_s=2\nbounds.require_fencing=false\nbounds.lease_ms=3000\nbounds.thaw_slack_ms=300\n\
             bounds.pace_ms=100\nbounds.harm_ms=4000\nconfig_mode=highest\norders=invocation\n\
             cloud.address={}\ncloud.rate_per_s=64.0\ncloud.duties=\ncloud.duty_per_s=64.0\n",
            base,
            base + 15,
            self.cloud()
        );
        let settings = self.folder.join(format!("{name}.conf"));
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        self.processes.push(Process {
            name,
            program,
            settings,
            child: None,
        });
        Ok(())
    }

    fn start_process(&mut self, number: usize) -> Result<(), String> {
        let process = &mut self.processes[number];
        let log = self.folder.join(format!("{}.log", process.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(format!("target/release/{}", process.program))
            .arg("--settings")
            .arg(&process.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{} does not start: {error}", process.program))?;
        STARTED.lock().unwrap().push(child.id());
        process.child = Some(child);
        Ok(())
    }

    /// Kills the control process at this address and starts it again after `down`.
    pub fn kill_control(&mut self, at: SocketAddr, down: Duration) -> Result<(), String> {
        let number = (0..CONTROLS)
            .find(|number| self.control(*number) == at)
            .ok_or("no control process has this address")?;
        let process = &mut self.processes[number];
        self.record
            .line(format_args!("kill {} at {at}", process.name));
        if let Some(child) = process.child.take() {
            kill_process(child);
        }
        sleep(down);
        self.record
            .line(format_args!("start {}", self.processes[number].name));
        self.start_process(number)
    }

    /// Sends an order of the operator to one node after the other until it is acknowledged.
    pub fn put_config(&self, config: &Value) -> Result<(), String> {
        let until = Instant::now() + SETUP_LIMIT;
        while Instant::now() < until {
            for control in self.controls() {
                let host = control.to_string();
                let answer = call(
                    control,
                    "POST",
                    "/Config.Put",
                    &host,
                    config,
                    OPERATOR_LIMIT,
                );
                if let Some((200, _)) = answer {
                    self.record
                        .line(format_args!("config {} acknowledged", config["version"]));
                    return Ok(());
                }
            }
            sleep(Duration::from_millis(200));
        }
        Err("the config was not acknowledged".to_owned())
    }

    /// Sends a check-in of another writer to one node after the other until it gets a response.
    pub fn send_check_in(&self, id: &str, body: &Value) -> Result<(), String> {
        let path = format!("/Instances.Heartbeat/{id}");
        for control in self.controls() {
            let host = control.to_string();
            let answer = call(control, "POST", &path, &host, body, OPERATOR_LIMIT);
            if let Some((status, _)) = answer {
                self.record
                    .line(format_args!("check-in {body} for {id} -> {status}"));
                return Ok(());
            }
        }
        Err("the check-in got no response".to_owned())
    }

    /// Orders a wave of upkeep, as the operator does, until it is acknowledged.
    pub fn start_wave(&self, wave: &Value) -> Result<(), String> {
        let until = Instant::now() + SETUP_LIMIT;
        while Instant::now() < until {
            for control in self.controls() {
                let host = control.to_string();
                let answer = call(control, "POST", "/wave-start", &host, wave, OPERATOR_LIMIT);
                if let Some((200, _)) = answer {
                    self.record.line(format_args!("wave {wave} acknowledged"));
                    return Ok(());
                }
            }
            sleep(Duration::from_millis(200));
        }
        Err("the wave was not acknowledged".to_owned())
    }

    /// Sends a request of a client; tries the entries in turn until one gives a clear response.
    pub fn client(&self, method: &str, path: &str, body: &Value) -> Result<(u16, Value), String> {
        let until = Instant::now() + SETUP_LIMIT;
        while Instant::now() < until {
            for number in 0..ENTRIES {
                let answer = call(self.front(number), method, path, HOST, body, CLIENT_LIMIT);
                let shown = answer
                    .as_ref()
                    .map(|(status, body)| format!("{status} {body}"));
                let shown = shown.as_deref().unwrap_or("no answer");
                let line = format!("client {method} {path} -> {shown}");
                let mut last_read = self.last_read.lock().unwrap();
                if method != "GET" || *last_read != line {
                    self.record.line(&line);
                    *last_read = line;
                }
                drop(last_read);
                match answer {
                    Some((429 | 502 | 503 | 504, _)) | None => {}
                    Some(answer) => return Ok(answer),
                }
            }
            sleep(Duration::from_millis(300));
        }
        Err(format!("{method} {path} got no clear response"))
    }

    /// Submits a job and returns once it is accepted.
    pub fn submit(&self, path: &str, body: &Value) -> Result<(), String> {
        match self.client("POST", path, body)? {
            (200..=299, _) => Ok(()),
            (status, body) => Err(format!("{path} was refused with {status} {body}")),
        }
    }

    /// Returns the state of a job as a client sees it.
    pub fn state(&self, path: &str) -> Result<String, String> {
        let (status, body) = self.client("GET", path, &Value::Null)?;
        match body["state"].as_str() {
            Some(state) if status == 200 => Ok(state.to_owned()),
            _ => Ok(format!("status {status}")),
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(child) = process.child.take() {
                kill_process(child);
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a route under this prefix to a service.
pub fn route(name: &str, prefix: &str, backend: &str, attempts: u32) -> Value {
    json!({ "name": name, "host": HOST, "path_prefix": prefix, "type": "unsafe", "timeout_ms": 3000,
        "target_latency_ms": 600, "priority": 0, "backend": backend, "attempts": attempts, "stretch": 1.6 })
}

/// Returns a complete config with these routes and services.
pub fn config(version: u64, routes: &[Value], backends: &[&str]) -> Value {
    let backends: Vec<Value> = backends
        .iter()
        .map(|name| {
            json!({ "name": name, "health_check_path": "/healthz", "max_connections": 64, "protocol": "h1",
                "tls": false, "enforces_capacity": true, "standby": false })
        })
        .collect();
    json!({ "version": version, "routes": routes, "backends": backends,
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000 } })
}
