//! A small site of real processes on one loopback address.
//!
//! Each kind of listener has a base port; the position of its process is added to it.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use tempfile::TempDir;

const LOCK_PORT: u16 = 20_000;
const PEER_BASE_PORT: u16 = 21_000;
const OPERATORS_BASE_PORT: u16 = 22_000;
const WORKERS_BASE_PORT: u16 = 23_000;
const ENTRY_PEER_BASE_PORT: u16 = 24_000;
const CALLERS_BASE_PORT: u16 = 25_000;
const BACKENDS_BASE_PORT: u16 = 26_000;
const OPERATE_TOKEN: &str = "operate-token-for-tests";
const OPERATE_TOKEN_SHA256: &str =
    "9db7e4623d1f25613cd401e84b1a6262929112129b0daf6b33af600f84e2f6f8";
const READ_TOKEN: &str = "read-token-for-tests";
const READ_TOKEN_SHA256: &str = "034a18b02f9980ffc4c7b91fe20d9958638c3f488e9413f54510f19374b0784f";
const METRICS_BASE_PORT: u16 = 27_000;
/// The time without contact after which a spare replaces a control replica, in milliseconds.
const REPLACE_AFTER_MS: u64 = 3_000;
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the processes of a site; all are killed when it is dropped.
///
/// A position is the index of a control replica or of an entry, counted from 0.
pub struct Site {
    folder: TempDir,
    ip: IpAddr,
    controls: Vec<Option<Child>>,
    entries: Vec<Option<Child>>,
    spares: usize,
    /// The proxies between control replicas, by the positions of the sender and the receiver.
    peer_proxies: BTreeMap<(usize, usize), SocketAddr>,
    /// Reserves the loopback address for this site.
    _lock: TcpListener,
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in self.controls.iter_mut().chain(&mut self.entries).flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Site {
    /// Writes the settings files of a site; starts no process.
    ///
    /// # Panics
    ///
    /// Panics if the temporary folder cannot be written.
    #[must_use]
    pub fn new(controls: usize, entries: usize) -> Self {
        let (ip, lock) = reserve_ip();
        let folder = TempDir::new().expect("a temporary folder can be created");
        std::fs::write(folder.path().join("key"), "a secret for tests")
            .expect("the site key can be written");
        std::fs::write(folder.path().join("token"), OPERATE_TOKEN)
            .expect("the token can be written");
        std::fs::write(folder.path().join("read-token"), READ_TOKEN)
            .expect("the token can be written");
        let site = Self {
            folder,
            ip,
            controls: (0..controls).map(|_| None).collect(),
            entries: (0..entries).map(|_| None).collect(),
            spares: 0,
            peer_proxies: BTreeMap::new(),
            _lock: lock,
        };
        site.write_control_settings();
        for position in 0..entries {
            std::fs::write(
                site.entry_settings_path(position),
                site.entry_settings_text(position),
            )
            .expect("the settings can be written");
        }
        site
    }

    /// Makes the last `spares` control replicas spares, which are not initial voters of the site.
    #[must_use]
    pub fn with_spares(mut self, spares: usize) -> Self {
        self.spares = spares;
        self.write_control_settings();
        self
    }

    /// Makes the control replica `from` connect to the control replica `to` at an address, such as
    /// that of a proxy.
    pub fn route_peer_through(&mut self, from: usize, to: usize, address: SocketAddr) {
        self.peer_proxies.insert((from, to), address);
        self.write_control_settings();
    }

    fn write_control_settings(&self) {
        for position in 0..self.controls.len() {
            std::fs::write(
                self.control_settings_path(position),
                self.control_settings_text(position),
            )
            .expect("the settings can be written");
        }
    }

    /// Starts all processes, the control replicas first.
    #[must_use]
    pub fn started(mut self) -> Self {
        (0..self.controls.len()).for_each(|position| self.start_control(position));
        (0..self.entries.len()).for_each(|position| self.start_entry(position));
        self
    }

    /// Returns the process ids of the running control replicas, followed by those of the entries.
    #[must_use]
    pub fn process_ids(&self) -> Vec<u32> {
        self.controls
            .iter()
            .chain(&self.entries)
            .flatten()
            .map(Child::id)
            .collect()
    }

    /// Returns the folder of the settings, logs and data of the site.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the token of the operator `tests`, whose role permits reads and changes.
    #[must_use]
    pub const fn operate_token(&self) -> &'static str {
        OPERATE_TOKEN
    }

    /// Returns the token of the operator `reader`, whose role permits only reads.
    #[must_use]
    pub const fn read_token(&self) -> &'static str {
        READ_TOKEN
    }

    /// Sets the addresses at which an entry connects to the control replicas, from its next start
    /// on.
    ///
    /// # Panics
    ///
    /// Panics if the settings cannot be written.
    pub fn set_entry_control_addresses(&self, position: usize, control: &[SocketAddr]) {
        let addresses: Vec<String> = control.iter().map(ToString::to_string).collect();
        let control = format!("control = {}", addresses.join(", "));
        self.edit_entry(position, |text| {
            let lines = text.lines().map(|line| {
                let is_control = line.starts_with("control = ");
                if is_control { control.as_str() } else { line }
            });
            lines.fold(String::new(), |text, line| text + line + "\n")
        });
    }

    /// Returns the log of an entry over all its starts; empty if there is none.
    #[must_use]
    pub fn entry_log(&self, position: usize) -> String {
        let path = self.entry_settings_path(position).with_extension("log");
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns the log of a control replica over all its starts; empty if there is none.
    #[must_use]
    pub fn control_log(&self, position: usize) -> String {
        let path = self.control_settings_path(position).with_extension("log");
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns the address of a control replica's listener for operators.
    #[must_use]
    pub fn operators_address(&self, position: usize) -> SocketAddr {
        self.address(OPERATORS_BASE_PORT, position)
    }

    /// Returns the addresses of the control replicas' listeners for workers.
    #[must_use]
    pub fn workers_addresses(&self) -> Vec<SocketAddr> {
        (0..self.controls.len())
            .map(|position| self.address(WORKERS_BASE_PORT, position))
            .collect()
    }

    /// Returns the address of an entry's listener for callers.
    #[must_use]
    pub fn callers_address(&self, position: usize) -> SocketAddr {
        self.address(CALLERS_BASE_PORT, position)
    }

    /// Returns the address of an entry's listener for announcements of backend servers.
    #[must_use]
    pub fn backends_address(&self, position: usize) -> SocketAddr {
        self.address(BACKENDS_BASE_PORT, position)
    }

    /// Returns the address of an entry's metrics endpoint.
    #[must_use]
    pub fn metrics_address(&self, position: usize) -> SocketAddr {
        self.address(METRICS_BASE_PORT, position)
    }

    /// Returns the path of a program of the workspace, in the same build as the running program.
    ///
    /// # Panics
    ///
    /// Panics if the program is not built.
    #[must_use]
    pub fn program(name: &str) -> PathBuf {
        program(name)
    }

    /// Returns the site's IP address with port 0, to listen on any free port.
    #[must_use]
    pub const fn ephemeral_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 0)
    }

    /// Starts a control replica.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started.
    pub fn start_control(&mut self, position: usize) {
        let settings = self.control_settings_path(position);
        self.controls[position] = Some(self.spawn("jasminefall-control", &settings));
    }

    /// Starts an entry.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started.
    pub fn start_entry(&mut self, position: usize) {
        let settings = self.entry_settings_path(position);
        self.entries[position] = Some(self.spawn("jasminefall-entry", &settings));
    }

    /// Kills a control replica with SIGKILL and waits for its exit.
    pub fn kill_control(&mut self, position: usize) {
        kill(&mut self.controls[position]);
    }

    /// Kills an entry with SIGKILL and waits for its exit.
    pub fn kill_entry(&mut self, position: usize) {
        kill(&mut self.entries[position]);
    }

    /// Edits the settings of an entry; they apply from its next start.
    ///
    /// # Panics
    ///
    /// Panics if the settings cannot be read or written.
    pub fn edit_entry(&self, position: usize, edit: impl FnOnce(String) -> String) {
        let path = self.entry_settings_path(position);
        let text = std::fs::read_to_string(&path).expect("the settings can be read");
        std::fs::write(&path, edit(text)).expect("the settings can be written");
    }

    /// Sends a signal, such as `TERM`, `STOP` or `CONT`, to a running entry; returns after `STOP` only
    /// once all its threads have stopped, since the system delivers the signal later.
    ///
    /// # Panics
    ///
    /// Panics if the entry is not running.
    pub fn signal_entry(&self, position: usize, signal: &str) {
        let child = self.entries[position]
            .as_ref()
            .expect("the entry is running");
        let sent = Command::new("kill")
            .args(["-s", signal, &child.id().to_string()])
            .status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "sending SIG{signal} failed"
        );
        while signal == "STOP" && !is_stopped(child.id()) {
            std::thread::yield_now();
        }
    }

    /// Returns the process id of an entry.
    ///
    /// # Panics
    ///
    /// Panics if the entry is not running.
    #[must_use]
    pub fn entry_process_id(&self, position: usize) -> u32 {
        let child = self.entries[position]
            .as_ref()
            .expect("the entry is running");
        child.id()
    }

    /// Returns the exit status of an entry; `None` while it runs.
    ///
    /// # Panics
    ///
    /// Panics if the entry was not started, or was killed through this type.
    pub fn entry_exit_status(&mut self, position: usize) -> Option<ExitStatus> {
        let child = self.entries[position]
            .as_mut()
            .expect("the entry was started");
        child.try_wait().expect("the process can be waited for")
    }

    /// Returns the address of a control replica's listener for other processes of the site.
    #[must_use]
    pub fn control_peer_address(&self, position: usize) -> SocketAddr {
        self.address(PEER_BASE_PORT, position)
    }

    /// Returns the address of an entry's listener for other processes of the site.
    #[must_use]
    pub fn entry_peer_address(&self, position: usize) -> SocketAddr {
        self.address(ENTRY_PEER_BASE_PORT, position)
    }

    /// Returns the data folder of a control replica.
    #[must_use]
    pub fn data_folder(&self, position: usize) -> PathBuf {
        self.folder().join(format!("data-{position}"))
    }

    /// Runs `jasminefallctl` and returns whether it succeeded, with its output; blocks the thread.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started.
    #[must_use]
    pub fn ctl(&self, arguments: &[&str]) -> (bool, String) {
        run(self.ctl_command(arguments))
    }

    /// Runs `jasminefallctl` without blocking the other tasks of the test, such as its proxies.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started.
    pub async fn ctl_async(&self, arguments: &[&str]) -> (bool, String) {
        let command = self.ctl_command(arguments);
        let result = tokio::task::spawn_blocking(move || run(command)).await;
        result.expect("the blocking task does not panic")
    }

    /// Publishes a desired state based on the version `base` and waits until it is in force; blocks
    /// the thread.
    ///
    /// # Panics
    ///
    /// Panics if it is rejected or does not come into force in time.
    pub fn apply(&self, base: u64, text: &str) {
        let file = self.write_desired_state(text);
        let (success, printed) = self.ctl(&["apply", &file, "--base", &base.to_string()]);
        assert!(success, "{printed}");
    }

    /// Publishes a desired state like [`Self::apply`], without blocking the other tasks of the
    /// test, such as its proxies.
    ///
    /// # Panics
    ///
    /// Panics if it is rejected or does not come into force in time.
    pub async fn apply_async(&self, base: u64, text: &str) {
        let file = self.write_desired_state(text);
        let base = base.to_string();
        let (success, printed) = self.ctl_async(&["apply", &file, "--base", &base]).await;
        assert!(success, "{printed}");
    }

    fn write_desired_state(&self, text: &str) -> String {
        let file = self.folder().join("desired.ini");
        std::fs::write(&file, text).expect("the desired state can be written");
        file.display().to_string()
    }

    fn ctl_command(&self, arguments: &[&str]) -> Command {
        let control: Vec<String> = (0..self.controls.len())
            .map(|position| self.operators_address(position).to_string())
            .collect();
        let mut command = Command::new(program("jasminefallctl"));
        command
            .arg("--control")
            .arg(control.join(","))
            .arg("--token-file")
            .arg(self.folder().join("token"))
            .args(arguments);
        command
    }

    /// Publishes the first desired state; the sections that declare the site's entries are
    /// appended.
    ///
    /// # Panics
    ///
    /// Panics if it is rejected or does not come into force in time.
    #[must_use]
    pub fn with_desired_state(self, text: &str) -> Self {
        self.apply(0, &(text.to_owned() + &self.entry_sections()));
        self
    }

    /// Returns the sections of a desired state that declare the site's entries.
    #[must_use]
    pub fn entry_sections(&self) -> String {
        (1..=self.entries.len()).fold(String::new(), |mut text, number| {
            let _ = writeln!(text, "[entry.e{number}]\ndata_centre = dc1");
            text
        })
    }

    fn spawn(&self, name: &str, settings: &Path) -> Child {
        let path = settings.with_extension("log");
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .expect("the log file can be opened");
        let mut command = Command::new(program(name));
        command
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log file can be duplicated"))
            .stderr(log);
        command
            .spawn()
            .expect("the program can be started; run `cargo build --workspace` first")
    }

    fn address(&self, base_port: u16, position: usize) -> SocketAddr {
        let offset = u16::try_from(position).expect("the position fits into a port number");
        SocketAddr::new(self.ip, base_port + offset)
    }

    fn control_settings_path(&self, position: usize) -> PathBuf {
        self.folder().join(format!("control-{position}.ini"))
    }

    fn entry_settings_path(&self, position: usize) -> PathBuf {
        self.folder().join(format!("entry-{position}.ini"))
    }

    fn control_settings_text(&self, position: usize) -> String {
        let folder = self.folder().display();
        let number = position + 1;
        let mut text = format!(
            "[control]\nreplica = {number}\ndata_folder = {folder}/data-{position}\n\
             site_key_file = {folder}/key\nreplace_after = {REPLACE_AFTER_MS}ms\n\
             [token.tests]\nsha256 = {OPERATE_TOKEN_SHA256}\nrole = operate\n\
             [token.reader]\nsha256 = {READ_TOKEN_SHA256}\nrole = read\n"
        );
        for other in 0..self.controls.len() {
            let (peer, operators, workers) = (
                self.peer_address_from(position, other),
                self.operators_address(other),
                self.address(WORKERS_BASE_PORT, other),
            );
            let number = other + 1;
            let _ = writeln!(
                text,
                "[replica.{number}]\npeer = {peer}\noperators = {operators}\nworkers = {workers}\n\
                 first_voter = {}",
                other + self.spares < self.controls.len()
            );
        }
        text
    }

    fn peer_address_from(&self, from: usize, to: usize) -> SocketAddr {
        let direct = self.address(PEER_BASE_PORT, to);
        self.peer_proxies
            .get(&(from, to))
            .copied()
            .unwrap_or(direct)
    }

    fn entry_settings_text(&self, position: usize) -> String {
        let folder = self.folder().display();
        let join = |port, count: usize, without: Option<usize>| {
            let positions = (0..count).filter(|other| Some(*other) != without);
            let addresses = positions.map(|other| self.address(port, other).to_string());
            addresses.collect::<Vec<_>>().join(", ")
        };
        let control = join(PEER_BASE_PORT, self.controls.len(), None);
        let entries = join(ENTRY_PEER_BASE_PORT, self.entries.len(), Some(position));
        let (callers, backends) = (
            self.callers_address(position),
            self.backends_address(position),
        );
        let peer = self.address(ENTRY_PEER_BASE_PORT, position);
        let metrics = self.metrics_address(position);
        format!(
            "[entry]\nname = e{}\ncallers = {callers}\nbackends = {backends}\npeer = {peer}\n\
             site_key_file = {folder}/key\ncontrol = {control}\nentries = {entries}\n\
             metrics = {metrics}\nobservation_interval = 500ms\n\
             clean_stop_file = {folder}/entry-{position}.clean\n",
            position + 1
        )
    }
}

/// Runs a command and returns whether it succeeded, with its standard output and error.
fn run(mut command: Command) -> (bool, String) {
    let output = command.output();
    let output =
        output.expect("jasminefallctl can be started; run `cargo build --workspace` first");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let success = output.status.success();
    (success, text + &String::from_utf8_lossy(&output.stderr))
}

fn kill(child: &mut Option<Child>) {
    if let Some(mut child) = child.take() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Returns the path of a program in the folder of the running program or in its parent, as tests
/// run in a subfolder.
fn program(name: &str) -> PathBuf {
    let running = std::env::current_exe().expect("the path of the running program is known");
    let folders = running.ancestors().skip(1).take(2);
    let mut paths = folders
        .map(|folder| folder.join(name))
        .filter(|path| path.exists());
    paths
        .next()
        .expect("the program is built; run `cargo build --workspace --bins` first")
}

/// Reserves a loopback address that no other site on the machine uses, by listening on a fixed
/// port.
fn reserve_ip() -> (IpAddr, TcpListener) {
    static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = NEXT_NUMBER
            .fetch_add(1, Ordering::Relaxed)
            .wrapping_add(std::process::id().wrapping_mul(64));
        let [_, high, middle, low] = number.to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, high.max(1), middle, low.clamp(1, 254)));
        if let Ok(lock) = TcpListener::bind((ip, LOCK_PORT)) {
            return (ip, lock);
        }
    }
}

/// Polls a condition until it holds.
///
/// # Panics
///
/// Panics if it does not hold within 30 seconds; `expected` then describes it.
pub async fn wait_for<F: Future<Output = bool>>(expected: &str, condition: impl Fn() -> F) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(
            Instant::now() < deadline,
            "timed out after {WAIT_TIMEOUT:?} waiting for: {expected}"
        );
        tokio::time::sleep(WAIT_POLL_INTERVAL).await;
    }
}

/// Returns whether every thread of a process is stopped.
fn is_stopped(process_id: u32) -> bool {
    let threads = std::fs::read_dir(format!("/proc/{process_id}/task"));
    let mut threads = threads.expect("the process exists");
    threads.all(|thread| {
        let status = thread.and_then(|thread| std::fs::read_to_string(thread.path().join("stat")));
        // The state follows the name of the program, which ends with the last parenthesis.
        let state = status.ok().and_then(|status| {
            let (_, after_name) = status.rsplit_once(')')?;
            after_name.split_whitespace().next().map(str::to_owned)
        });
        state.is_none_or(|state| state.eq_ignore_ascii_case("t"))
    })
}
