//! The programs of a site, its operator and its clients.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Response};
use crate::record::line;

const CONTROL_PORT: u16 = 8_623;
const FRONT_PORT: u16 = 8_624;
const READY_PORT: u16 = 8_622;
const PEER_PORTS: (u16, u16) = (7_060, 7_075);
const WORKER_PORT: u16 = 8_080;
const PLATFORM_PORT: u16 = 8_621;
pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/queue/";

/// A started program, which is killed when it is dropped.
pub struct Process(Child);

impl Process {
    /// Returns whether the program has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.0.try_wait().ok().flatten().is_some()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A site on loopback addresses with control instances and one entry.
pub struct Site {
    root: PathBuf,
    folder: PathBuf,
    network: (u8, u8),
    controls: u8,
    pub processes: Vec<Process>,
}

impl Site {
    /// Chooses addresses whose ports are free; `root` is the repository and `folder` a temporary folder.
    pub fn new(root: &Path, folder: &Path, controls: u8) -> Self {
        let id = std::process::id();
        let networks = (0..200_u32).map(|step| {
            let id = id.wrapping_add(step * 7);
            let byte = |value: u32| u8::try_from(value % 200 + 20).unwrap();
            (byte(id / 200), byte(id))
        });
        let is_free = |network: &(u8, u8)| {
            let port_lists = [
                (1, vec![CONTROL_PORT, PEER_PORTS.0, PEER_PORTS.1]),
                (50, vec![FRONT_PORT, READY_PORT, PEER_PORTS.0, PEER_PORTS.1]),
                (100, vec![WORKER_PORT]),
                (200, vec![PLATFORM_PORT]),
            ];
            port_lists.iter().all(|(last, ports)| {
                let address = Ipv4Addr::new(127, network.0, network.1, *last);
                ports
                    .iter()
                    .all(|port| TcpListener::bind((address, *port)).is_ok())
            })
        };
        let network = networks
            .into_iter()
            .find(is_free)
            .expect("a network is free");
        Self {
            root: root.to_owned(),
            folder: folder.to_owned(),
            network,
            controls,
            processes: Vec::new(),
        }
    }

    fn address(&self, last: u8, port: u16) -> SocketAddr {
        let address = Ipv4Addr::new(127, self.network.0, self.network.1, last);
        SocketAddr::new(IpAddr::V4(address), port)
    }

    pub fn platform_address(&self) -> SocketAddr {
        self.address(200, PLATFORM_PORT)
    }

    pub fn worker_address(&self, number: u8) -> SocketAddr {
        self.address(100 + number, WORKER_PORT)
    }

    pub fn entry_address(&self) -> SocketAddr {
        self.address(50, FRONT_PORT)
    }

    /// Returns the addresses of the control instances, which have the names `control-1` and so on.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        (1..=self.controls)
            .map(|number| self.address(number, CONTROL_PORT))
            .collect()
    }

    fn settings(&self, name: &str, last: u8, first_start: bool) -> String {
        let is_control = name.starts_with("control");
        let ip = self.address(last, 0).ip();
        let seeds: Vec<_> = self
            .control_addresses()
            .iter()
            .map(ToString::to_string)
            .collect();
        let tolerated = (self.controls - 1) / 2;
        let (class, serves) = if is_control {
            ("core", "control")
        } else {
            ("front", "front")
        };
        let mut text = format!(
            "node={name}\nrole={class}\nclass={class}\nserves={serves}\nip={ip}\nzone=a\nregion=r\n\
             zones.a=r\nport_range={},{}\nseeds={}\nbootstrap={first_start}\nloss_counts={is_control}\n\
             limits.max_fds=4096\nheartbeat_ms=1500\nfault_tolerance.machines={tolerated}\n\
             fault_tolerance.zones=0\nfault_tolerance.regions=0\ndiscovery=registry\nentry=vip\n\
             config_mode=highest\norders=invocation\ncloud.address={}\ncloud.rate_per_s=64.0\n\
             cloud.duty_per_s=64.0\n",
            PEER_PORTS.0,
            PEER_PORTS.1,
            seeds.join(","),
            self.platform_address()
        );
        if is_control {
            let data = self.folder.join(format!("data-{name}"));
            text += &format!(
                "listen.control={ip}:{CONTROL_PORT}\ndata_dir={}\n",
                data.display()
            );
        } else {
            text += &format!("listen.front={ip}:{FRONT_PORT}\nlisten.ready={ip}:{READY_PORT}\n");
        }
        text + "bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.stability_window_ms=3000\n\
            bounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=6\n\
            bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\n\
            bounds.max_stretch_ms=5000\nbounds.recovery_s=12\nbounds.hold_max_ms=6000\n\
            bounds.stop_ms=900\nbounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000\n\
            bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n\
            bounds.far_x=2\nbounds.checkpoint_interval_s=0.5\nbounds.restore_ms=100\n\
            bounds.notice_ms=4500\nbounds.migrate_s=1.5\nbounds.maintenance_s=2\n\
            bounds.require_fencing=false\nbounds.lease_ms=3000\nbounds.thaw_slack_ms=300\n\
            bounds.pace_ms=100\nbounds.harm_ms=4000\n"
    }

    fn start_program(&self, program: &str, name: &str, last: u8, first_start: bool) -> Process {
        let settings = self.folder.join(format!("{name}.conf"));
        std::fs::create_dir_all(self.folder.join(format!("data-{name}"))).unwrap();
        std::fs::write(&settings, self.settings(name, last, first_start)).unwrap();
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .unwrap();
        let mut command = Command::new(self.root.join("target/release").join(program));
        command
            .current_dir(&self.root)
            .arg("--settings")
            .arg(&settings)
            .env("JASMINEFALL_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log);
        // SAFETY: the call is safe between fork and exec. The program ends with this process.
        unsafe {
            command.pre_exec(|| {
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            });
        }
        line(format_args!("starts {name}"));
        Process(command.spawn().expect("the programs have been built"))
    }

    /// Starts all programs: the control instances, then the entry.
    pub fn start(&mut self) {
        for number in 1..=self.controls {
            let name = format!("control-{number}");
            let process = self.start_program("jasminefall-dispatch-control", &name, number, true);
            self.processes.push(process);
        }
        let entry = self.start_program("jasminefall-dispatch-entry", "entry-1", 50, true);
        self.processes.push(entry);
    }

    /// Kills the control instance at an address, and starts it again after a time.
    pub fn restart_control(&mut self, address: SocketAddr, down: Duration) {
        let known = self.control_addresses();
        let position = known.iter().position(|known| *known == address);
        let position = position.expect("the address is that of a control instance");
        let number = u8::try_from(position).unwrap() + 1;
        let name = format!("control-{number}");
        line(format_args!("SIGKILL {name}"));
        let _ = self.processes[position].0.kill();
        let _ = self.processes[position].0.wait();
        std::thread::sleep(down);
        line(format_args!("starts {name} again"));
        let process = self.start_program("jasminefall-dispatch-control", &name, number, false);
        self.processes[position] = process;
    }

    /// Sends a request of the operator to the control instances in turn until one gives a clear answer.
    pub fn operate(
        &self,
        limit: Duration,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<Response> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            for address in self.control_addresses() {
                let second = Duration::from_secs(1);
                let answer = http::send(address, second, method, path, &[], body);
                let Some(answer) = answer else {
                    continue;
                };
                if answer.status < 500 && !matches!(answer.status, 408 | 429) {
                    line(format_args!(
                        "operator: {method} {path} {body}: {} {}",
                        answer.status, answer.body
                    ));
                    return Some(answer);
                }
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        line(format_args!("operator: {method} {path}: no clear answer"));
        None
    }

    /// Puts a configuration in force; without `has_route` it has no route.
    pub fn put_configuration(&self, version: u64, attempts: u32, has_route: bool) -> bool {
        let route = json!({ "name": "route-a", "host": HOST, "path_prefix": PREFIX, "type": "unsafe",
            "timeout_ms": 3000, "target_latency_ms": 2500, "priority": 0, "backend": "pool-a",
            "attempts": attempts, "stretch": 2.2 });
        let other = json!({ "name": "route-b", "host": HOST, "path_prefix": "/other/", "type": "unsafe",
            "timeout_ms": 3000, "target_latency_ms": 2500, "priority": 0, "backend": "pool-a",
            "attempts": attempts, "stretch": 2.2 });
        let routes = if has_route {
            vec![route, other]
        } else {
            vec![other]
        };
        let body = json!({ "version": version, "routes": routes,
            "backends": [{ "name": "pool-a", "health_check_path": "/healthz", "max_connections": 64,
                "protocol": "h1", "tls": false, "enforces_capacity": true, "standby": false }],
            "limits": { "max_header_bytes": 16384, "max_body_bytes": 262_144,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000 } });
        let limit = Duration::from_secs(15);
        let answer = self.operate(limit, "POST", "/Config.Put", &body.to_string());
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Starts a wave.
    pub fn start_wave(&self, wave: u64, machines: &[&str], duration_s: u64, cap: u64) -> bool {
        let body =
            json!({ "wave": wave, "machines": machines, "duration_s": duration_s, "cap": cap });
        let limit = Duration::from_secs(10);
        let answer = self.operate(limit, "POST", "/wave-start", &body.to_string());
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Returns the state of a wave.
    pub fn wave_state(&self, wave: u64) -> Option<String> {
        let path = format!("/wave-get/{wave}");
        let answer = self.operate(Duration::from_secs(10), "GET", &path, "")?;
        let body: Value = serde_json::from_str(&answer.body).ok()?;
        Some(body["state"].as_str()?.to_owned())
    }

    /// Sends a request of a client, and again as a client would: after no answer, a 502 or a 504, and after a
    /// 429 or 503 when it may.
    pub fn call(&self, method: &str, path: &str, body: &str) -> Option<Response> {
        for _ in 0..8 {
            let headers = [("Host", HOST), ("Deadline-Ms", "3000")];
            let limit = Duration::from_secs(3);
            let answer = http::send(self.entry_address(), limit, method, path, &headers, body);
            match &answer {
                Some(answer) => {
                    line(format_args!(
                        "client: {method} {path} {body}: {} {}",
                        answer.status, answer.body
                    ));
                }
                None => line(format_args!("client: {method} {path}: no answer")),
            }
            match answer {
                Some(answer) if !matches!(answer.status, 429 | 502 | 503 | 504) => {
                    return Some(answer);
                }
                _ => std::thread::sleep(Duration::from_millis(500)),
            }
        }
        None
    }

    /// Submits a job; returns whether it was accepted.
    pub fn submit(&self, id: &str, steps: &Value) -> bool {
        let body = json!({ "spec": "work", "steps": steps }).to_string();
        let answer = self.call("POST", &format!("{PREFIX}{id}"), &body);
        answer.is_some_and(|answer| answer.status / 100 == 2)
    }

    /// Returns the state of a job.
    pub fn job_state(&self, id: &str) -> Option<String> {
        let answer = self.call("GET", &format!("{PREFIX}{id}"), "")?;
        let body: Value = serde_json::from_str(&answer.body).ok()?;
        Some(body["state"].as_str()?.to_owned())
    }

    /// Waits until the entry is ready.
    pub fn wait_until_ready(&self) -> bool {
        let address = self.address(50, READY_PORT);
        wait_until(Duration::from_secs(20), || {
            let answer = http::send(address, Duration::from_secs(1), "GET", "/ready", &[], "");
            answer.is_some_and(|answer| answer.status == 200)
        })
    }
}

/// Waits until a condition holds; returns false if it doesn't within the limit.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
