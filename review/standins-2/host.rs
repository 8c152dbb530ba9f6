//! Processes of the project: entry hosts with the command of the deploy file.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

pub struct Host {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    log: PathBuf,
    settings: PathBuf,
    child: Child,
}

/// The number of starts: another process may take a free port before a host binds it.
const MAX_STARTS: usize = 20;

fn free_addresses() -> [SocketAddr; 4] {
    let listeners = [(); 4].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address"))
}

/// Returns the program and arguments that the deploy file names.
fn command(repository: &Path) -> Command {
    let deploy = fs::read_to_string(repository.join("deploy/system.toml")).expect("a deploy file");
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a command");
    let words: Vec<_> = line.trim_end_matches('"').split(' ').collect();
    let mut command = Command::new(repository.join(words[0]));
    command.args(&words[1..]);
    command
}

impl Host {
    /// Starts an entry host with the settings of a small deployment.
    pub fn start(repository: &Path, folder: &Path, name: &str, zone: &str, store: SocketAddr, bootstrap: bool) -> Self {
        Self::start_on(repository, folder, name, zone, store, bootstrap, 1_000.0)
    }

    /// Starts an entry host whose settings name the bandwidth of its link.
    pub fn start_on(
        repository: &Path,
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        bootstrap: bool,
        link_mbps: f64,
    ) -> Self {
        for _ in 0..MAX_STARTS {
            let mut host = Self::start_once(repository, folder, name, zone, store, bootstrap, link_mbps);
            if host.is_listening() {
                return host;
            }
        }
        panic!("{name} ended at each of {MAX_STARTS} starts");
    }

    /// Waits until the process accepts connections; returns false if it has ended.
    fn is_listening(&mut self) -> bool {
        loop {
            let log = fs::read_to_string(&self.log).unwrap_or_default();
            if self.has_ended() {
                return false;
            }
            if log.contains("\"event\":\"started\"") {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn start_once(
        repository: &Path,
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        bootstrap: bool,
        link_mbps: f64,
    ) -> Self {
        let [callers, ready, one, other] = free_addresses();
        let (first, last) = (one.port().min(other.port()), one.port().max(other.port()));
        let text = format!(
            r#"node_name = "{name}"
role = "entry"
machine_class = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "{zone}"
region = "north-trinidad"
internal_ports = [{first}, {last}]
seeds = []
bootstrap = {bootstrap}
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[listen]
front = "{callers}"
ready = "{ready}"
[limits]
cpu_share = 0.19
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = {link_mbps:.1}
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
strict_revoke = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 56
fencing_enforced = false
lease_ms = 3000
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("a folder that can be written");
        let log = folder.join(format!("{name}.log"));
        let child = Self::spawn(repository, &settings, &log);
        Self { callers, ready, log, settings, child }
    }

    fn spawn(repository: &Path, settings: &Path, log: &Path) -> Child {
        let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
        let mut command = command(repository);
        command.current_dir(repository).env_clear().env("CARAWAYCLEAT_CONFIG", settings);
        command.stdin(Stdio::null()).stdout(log.try_clone().expect("a log")).stderr(log);
        command.spawn().expect("the program, which the build of the deploy file makes")
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([format!("-{name}"), self.id().to_string()]).status();
    }

    /// Sends SIGTERM to the process and waits until it has ended, as it has to within the grace period, or kills it then.
    pub fn stop(&mut self, grace: Duration) {
        self.signal("TERM");
        let end = Instant::now() + grace;
        while !self.has_ended() && Instant::now() < end {
            thread::sleep(Duration::from_millis(20));
        }
        self.kill();
    }

    /// Starts the process again after it has ended.
    pub fn start_again(&mut self, repository: &Path) {
        self.child = Self::spawn(repository, &self.settings, &self.log);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the host says that it is ready. Returns whether it is within `time`.
    pub fn wait_until_ready(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        while Instant::now() < end {
            let probe = b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            if http::send(self.ready, probe, Duration::from_secs(1)).status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
