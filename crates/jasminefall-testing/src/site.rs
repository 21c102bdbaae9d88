//! The real processes of a small site on one loopback address.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use tempfile::TempDir;

const LOCK_PORT: u16 = 20_000;
const PEER_PORT: u16 = 21_000;
const OPERATORS_PORT: u16 = 22_000;
const WORKERS_PORT: u16 = 23_000;
const ENTRY_PEER_PORT: u16 = 24_000;
const CALLERS_PORT: u16 = 25_000;
const BACKENDS_PORT: u16 = 26_000;
const OPERATE_TOKEN: &str = "operate-token-for-tests";
const OPERATE_TOKEN_SHA256: &str =
    "9db7e4623d1f25613cd401e84b1a6262929112129b0daf6b33af600f84e2f6f8";
const READ_TOKEN: &str = "read-token-for-tests";
const READ_TOKEN_SHA256: &str = "034a18b02f9980ffc4c7b91fe20d9958638c3f488e9413f54510f19374b0784f";
const METRICS_PORT: u16 = 27_000;
/// The silence after which the control replicas of a test replace one of them.
const REPLACE_AFTER_MS: u64 = 3_000;
const WAIT_LIMIT: Duration = Duration::from_secs(30);
const WAIT_PAUSE: Duration = Duration::from_millis(20);

/// Runs the processes of a site; all end when it is dropped.
pub struct Site {
    folder: TempDir,
    ip: IpAddr,
    controls: Vec<Option<Child>>,
    entries: Vec<Option<Child>>,
    spares: usize,
    proxied: BTreeMap<(usize, usize), SocketAddr>,
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
    /// Writes the settings of a site without starting any process.
    ///
    /// # Panics
    ///
    /// Panics where the temporary folder cannot be written.
    #[must_use]
    pub fn new(controls: usize, entries: usize) -> Self {
        let (ip, lock) = reserve_ip();
        let folder = TempDir::new().expect("a temporary folder");
        std::fs::write(folder.path().join("key"), "a secret for tests").expect("the site key");
        std::fs::write(folder.path().join("token"), OPERATE_TOKEN).expect("the token");
        std::fs::write(folder.path().join("read-token"), READ_TOKEN).expect("the token");
        let site = Self {
            folder,
            ip,
            controls: (0..controls).map(|_| None).collect(),
            entries: (0..entries).map(|_| None).collect(),
            spares: 0,
            proxied: BTreeMap::new(),
            _lock: lock,
        };
        site.write_control_settings();
        for position in 0..entries {
            std::fs::write(site.entry_settings(position), site.entry_text(position))
                .expect("settings");
        }
        site
    }

    /// Makes the last control replicas spares: they do not vote in a new site.
    #[must_use]
    pub fn with_spares(mut self, spares: usize) -> Self {
        self.spares = spares;
        self.write_control_settings();
        self
    }

    /// Lets one control replica reach another through an address, such as a proxy's.
    pub fn route_peer_through(&mut self, from: usize, to: usize, address: SocketAddr) {
        self.proxied.insert((from, to), address);
        self.write_control_settings();
    }

    fn write_control_settings(&self) {
        for position in 0..self.controls.len() {
            std::fs::write(self.control_settings(position), self.control_text(position))
                .expect("settings");
        }
    }

    /// Starts every process.
    #[must_use]
    pub fn started(mut self) -> Self {
        (0..self.controls.len()).for_each(|position| self.start_control(position));
        (0..self.entries.len()).for_each(|position| self.start_entry(position));
        self
    }

    /// Returns the process ids of the control replicas and then of the entries that run.
    #[must_use]
    pub fn process_ids(&self) -> Vec<u32> {
        self.controls
            .iter()
            .chain(&self.entries)
            .flatten()
            .map(Child::id)
            .collect()
    }

    /// Returns the folder of the site.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the token of the operator `tests`, who may look and change.
    #[must_use]
    pub const fn operate_token(&self) -> &'static str {
        OPERATE_TOKEN
    }

    /// Returns the token of the operator `reader`, who may only look.
    #[must_use]
    pub const fn read_token(&self) -> &'static str {
        READ_TOKEN
    }

    /// Lets an entry reach the control replicas at these addresses, from its next start on.
    ///
    /// # Panics
    ///
    /// Panics where the settings cannot be written.
    pub fn set_entry_control_addresses(&self, position: usize, control: &[SocketAddr]) {
        let addresses: Vec<String> = control.iter().map(ToString::to_string).collect();
        let control = format!("control = {}", addresses.join(", "));
        self.edit_entry(position, |text| {
            let lines = text.lines().map(|line| {
                let is_replaced = line.starts_with("control = ");
                if is_replaced { control.as_str() } else { line }
            });
            lines.fold(String::new(), |text, line| text + line + "\n")
        });
    }

    /// Returns what an entry has logged.
    #[must_use]
    pub fn entry_log(&self, position: usize) -> String {
        let path = self.entry_settings(position).with_extension("log");
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns what a control replica has logged.
    #[must_use]
    pub fn control_log(&self, position: usize) -> String {
        let path = self.control_settings(position).with_extension("log");
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns where operators reach a control replica.
    #[must_use]
    pub fn operators_address(&self, position: usize) -> SocketAddr {
        self.address(OPERATORS_PORT, position)
    }

    /// Returns where workers reach the control replicas.
    #[must_use]
    pub fn workers_addresses(&self) -> Vec<SocketAddr> {
        (0..self.controls.len())
            .map(|position| self.address(WORKERS_PORT, position))
            .collect()
    }

    /// Returns where callers reach an entry.
    #[must_use]
    pub fn callers_address(&self, position: usize) -> SocketAddr {
        self.address(CALLERS_PORT, position)
    }

    /// Returns where backend servers announce themselves to an entry.
    #[must_use]
    pub fn backends_address(&self, position: usize) -> SocketAddr {
        self.address(BACKENDS_PORT, position)
    }

    /// Returns where a metrics collector reads an entry.
    #[must_use]
    pub fn metrics_address(&self, position: usize) -> SocketAddr {
        self.address(METRICS_PORT, position)
    }

    /// Returns the path of a program of the workspace.
    #[must_use]
    pub fn program(name: &str) -> PathBuf {
        program(name)
    }

    /// Returns an address on the site's own IP with any free port.
    #[must_use]
    pub const fn ephemeral_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 0)
    }

    /// Starts a control replica.
    ///
    /// # Panics
    ///
    /// Panics where the program cannot be started.
    pub fn start_control(&mut self, position: usize) {
        let settings = self.control_settings(position);
        self.controls[position] = Some(self.start("jasminefall-control", &settings));
    }

    /// Starts an entry.
    ///
    /// # Panics
    ///
    /// Panics where the program cannot be started.
    pub fn start_entry(&mut self, position: usize) {
        let settings = self.entry_settings(position);
        self.entries[position] = Some(self.start("jasminefall-entry", &settings));
    }

    /// Kills a control replica without warning.
    pub fn kill_control(&mut self, position: usize) {
        kill(&mut self.controls[position]);
    }

    /// Kills an entry without warning.
    pub fn kill_entry(&mut self, position: usize) {
        kill(&mut self.entries[position]);
    }

    /// Edits the settings of an entry; they count from its next start.
    ///
    /// # Panics
    ///
    /// Panics where the settings cannot be read or written.
    pub fn edit_entry(&self, position: usize, edit: impl FnOnce(String) -> String) {
        let path = self.entry_settings(position);
        let text = std::fs::read_to_string(&path).expect("the settings");
        std::fs::write(&path, edit(text)).expect("the settings");
    }

    /// Sends a signal, such as `TERM`, `STOP` or `CONT`, to an entry that was started.
    ///
    /// # Panics
    ///
    /// Panics where the entry does not run.
    pub fn signal_entry(&self, position: usize, signal: &str) {
        let child = self.entries[position].as_ref().expect("the entry runs");
        let sent = Command::new("kill")
            .args(["-s", signal, &child.id().to_string()])
            .status();
        assert!(sent.is_ok_and(|status| status.success()), "{signal}");
    }

    /// Returns the process of an entry.
    ///
    /// # Panics
    ///
    /// Panics where the entry does not run.
    #[must_use]
    pub fn entry_process_id(&self, position: usize) -> u32 {
        let child = self.entries[position].as_ref().expect("the entry runs");
        child.id()
    }

    /// Returns how an entry has ended, or none while it runs.
    ///
    /// # Panics
    ///
    /// Panics where the entry was never started.
    pub fn entry_exit_status(&mut self, position: usize) -> Option<ExitStatus> {
        let child = self.entries[position]
            .as_mut()
            .expect("the entry was started");
        child.try_wait().expect("the state of the process")
    }

    /// Returns where other processes reach a control replica.
    #[must_use]
    pub fn control_peer_address(&self, position: usize) -> SocketAddr {
        self.address(PEER_PORT, position)
    }

    /// Returns where other processes reach an entry.
    #[must_use]
    pub fn entry_peer_address(&self, position: usize) -> SocketAddr {
        self.address(ENTRY_PEER_PORT, position)
    }

    /// Returns the data folder of a control replica.
    #[must_use]
    pub fn data_folder(&self, position: usize) -> PathBuf {
        self.folder().join(format!("data-{position}"))
    }

    /// Runs the operators' program and returns whether it succeeded, with what it printed.
    ///
    /// # Panics
    ///
    /// Panics where the program cannot be started.
    #[must_use]
    pub fn ctl(&self, words: &[&str]) -> (bool, String) {
        run(self.ctl_command(words))
    }

    /// Runs the operators' program while the tasks of the test, such as its proxies, go on.
    ///
    /// # Panics
    ///
    /// Panics where the program cannot be started.
    pub async fn ctl_async(&self, words: &[&str]) -> (bool, String) {
        let command = self.ctl_command(words);
        let ran = tokio::task::spawn_blocking(move || run(command)).await;
        ran.expect("the program starts")
    }

    /// Publishes a desired state against a version and waits until it is in force.
    ///
    /// # Panics
    ///
    /// Panics where it is not accepted and in force.
    pub fn apply(&self, base: u64, text: &str) {
        let file = self.write_desired(text);
        let (success, printed) = self.ctl(&["apply", &file, "--base", &base.to_string()]);
        assert!(success, "{printed}");
    }

    /// Publishes a desired state while the tasks of the test, such as its proxies, go on.
    ///
    /// # Panics
    ///
    /// Panics where it is not accepted and in force.
    pub async fn apply_async(&self, base: u64, text: &str) {
        let file = self.write_desired(text);
        let base = base.to_string();
        let (success, printed) = self.ctl_async(&["apply", &file, "--base", &base]).await;
        assert!(success, "{printed}");
    }

    fn write_desired(&self, text: &str) -> String {
        let file = self.folder().join("desired.ini");
        std::fs::write(&file, text).expect("the desired state");
        file.display().to_string()
    }

    fn ctl_command(&self, words: &[&str]) -> Command {
        let control: Vec<String> = (0..self.controls.len())
            .map(|position| self.operators_address(position).to_string())
            .collect();
        let mut command = Command::new(program("jasminefallctl"));
        command
            .arg("--control")
            .arg(control.join(","))
            .arg("--token-file")
            .arg(self.folder().join("token"))
            .args(words);
        command
    }

    /// Publishes the first desired state, to which the sections of the site's entries are added.
    #[must_use]
    pub fn with_desired_state(self, text: &str) -> Self {
        self.apply(0, &(text.to_owned() + &self.entry_sections()));
        self
    }

    /// Returns the sections that declare the site's entries.
    #[must_use]
    pub fn entry_sections(&self) -> String {
        (1..=self.entries.len()).fold(String::new(), |mut text, number| {
            let _ = writeln!(text, "[entry.e{number}]\ndata_centre = dc1");
            text
        })
    }

    fn start(&self, name: &str, settings: &Path) -> Child {
        let path = settings.with_extension("log");
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .expect("the log file");
        let mut command = Command::new(program(name));
        command
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log file"))
            .stderr(log);
        command
            .spawn()
            .expect("the program starts; run `cargo build --workspace` first")
    }

    fn address(&self, port: u16, position: usize) -> SocketAddr {
        let offset = u16::try_from(position).expect("few processes");
        SocketAddr::new(self.ip, port + offset)
    }

    fn control_settings(&self, position: usize) -> PathBuf {
        self.folder().join(format!("control-{position}.ini"))
    }

    fn entry_settings(&self, position: usize) -> PathBuf {
        self.folder().join(format!("entry-{position}.ini"))
    }

    fn control_text(&self, position: usize) -> String {
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
                self.peer_from(position, other),
                self.operators_address(other),
                self.address(WORKERS_PORT, other),
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

    fn peer_from(&self, from: usize, to: usize) -> SocketAddr {
        let direct = self.address(PEER_PORT, to);
        self.proxied.get(&(from, to)).copied().unwrap_or(direct)
    }

    fn entry_text(&self, position: usize) -> String {
        let folder = self.folder().display();
        let join = |port, count: usize, without: Option<usize>| {
            let positions = (0..count).filter(|other| Some(*other) != without);
            let addresses = positions.map(|other| self.address(port, other).to_string());
            addresses.collect::<Vec<_>>().join(", ")
        };
        let control = join(PEER_PORT, self.controls.len(), None);
        let entries = join(ENTRY_PEER_PORT, self.entries.len(), Some(position));
        let (callers, backends) = (
            self.callers_address(position),
            self.backends_address(position),
        );
        let peer = self.address(ENTRY_PEER_PORT, position);
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

/// Runs a command and returns whether it succeeded, with what it printed.
fn run(mut command: Command) -> (bool, String) {
    let output = command.output();
    let output = output.expect("jasminefallctl starts; run `cargo build --workspace` first");
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

/// Returns the path of a program of the workspace, beside the running program or test.
fn program(name: &str) -> PathBuf {
    let running = std::env::current_exe().expect("the path of the running program");
    let folders = running.ancestors().skip(1).take(2);
    let mut found = folders
        .map(|folder| folder.join(name))
        .filter(|path| path.exists());
    found
        .next()
        .expect("the program is built; run `cargo build --workspace --bins` first")
}

/// Reserves a loopback address that no other site on the machine uses.
fn reserve_ip() -> (IpAddr, TcpListener) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = NEXT
            .fetch_add(1, Ordering::Relaxed)
            .wrapping_add(std::process::id().wrapping_mul(64));
        let [_, high, middle, low] = number.to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, high.max(1), middle, low.clamp(1, 254)));
        if let Ok(lock) = TcpListener::bind((ip, LOCK_PORT)) {
            return (ip, lock);
        }
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics where it does not hold within a generous limit; `what` then names it.
pub async fn wait_for<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !condition().await {
        assert!(Instant::now() < deadline, "waited in vain: {what}");
        tokio::time::sleep(WAIT_PAUSE).await;
    }
}
