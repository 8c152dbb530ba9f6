//! Entry hosts: processes of the project, started with the command of the deploy file.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http;

const PROGRAM: &str = "target/release/carawaycleat-platform";
/// Time within which a host becomes ready.
const START_TIME: Duration = Duration::from_secs(15);

/// A running entry host, which is killed when it is dropped.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: process::Child,
}

/// Ports below those that the kernel gives to outgoing connections, so that a process that starts again finds its own free.
const PORTS: std::ops::Range<u64> = 15_000..30_000;

/// Returns a listener on a free port of the loopback interface.
pub fn listen() -> TcpListener {
    let nanos = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let mut draw = nanos.map_or(1, |time| time.as_nanos() as u64 | 1);
    loop {
        draw ^= draw << 13;
        draw ^= draw >> 7;
        draw ^= draw << 17;
        let port = PORTS.start + draw % (PORTS.end - PORTS.start);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener;
        }
    }
}

/// Returns free addresses on the loopback interface.
fn free_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
    let listeners = [(); COUNT].map(|()| listen());
    listeners.map(|listener| listener.local_addr().expect("a bound address"))
}

impl Host {
    /// Writes the settings of a host into `folder` and starts it. The bounds are those of the first site.
    pub fn start(folder: &std::path::Path, name: &str, store: SocketAddr) -> io::Result<Self> {
        let [front, ready, one, other] = free_addresses();
        let (first, last) = (one.port().min(other.port()), one.port().max(other.port()));
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            r#"node_name = "{name}"
role = "entry"
machine_class = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "arima"
region = "north-trinidad"
internal_ports = [{first},{last}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
arima = "north-trinidad"
[listen]
front = "{front}"
ready = "{ready}"
[limits]
cpu_share = 0.19
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
strict_revoke = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 56
quota_window_s = 8
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
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log)?;
        Ok(Self {
            name: name.to_owned(),
            front,
            ready,
            settings,
            log,
            child,
        })
    }

    /// Waits until the host says that it is ready. Returns whether it does.
    pub fn wait_until_ready(&mut self) -> bool {
        let end = Instant::now() + START_TIME;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            if self.has_ended() {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Returns whether the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let stream = std::net::TcpStream::connect_timeout(&self.ready, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            let mut connection = http::Connection::new(stream);
            connection
                .send(b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            Ok(connection.message()?.status())
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings, but not as at the first start of the whole system.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        let text = fs::read_to_string(&self.settings)?;
        let text = text.replace("bootstrap = true", "bootstrap = false");
        fs::write(&self.settings, text)?;
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }

    /// Returns what the process has logged.
    pub fn log(&self) -> String {
        let bytes = fs::read(&self.log).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &std::path::Path, log: &std::path::Path) -> io::Result<process::Child> {
    let output = fs::OpenOptions::new().create(true).append(true).open(log)?;
    process::Command::new(PROGRAM)
        .arg("entry")
        .env("CARAWAYCLEAT_CONFIG", settings)
        .stdin(process::Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .spawn()
}
