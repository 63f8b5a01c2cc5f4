//! The programs under test, started with the commands of the deploy file.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::record::Record;
use crate::store::Store;

const PROGRAM: &str = "target/release/peatgrade-platform";

/// A loopback address of a process's own: connections of others, which use 127.0.0.1, take
/// none of its ports.
struct Host {
    address: Ipv4Addr,
    next_port: u16,
    _claim: TcpListener,
}

static NEXT_HOST: AtomicU32 = AtomicU32::new(0);

impl Host {
    fn claim() -> Self {
        loop {
            let index = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
            let offset = (std::process::id().wrapping_mul(64) + index) % 0x00e0_0000;
            let address = Ipv4Addr::from(0x7f10_0000 + offset);
            if let Ok(claim) = TcpListener::bind((address, 7_000)) {
                return Self {
                    address,
                    next_port: 7_001,
                    _claim: claim,
                };
            }
        }
    }

    fn port(&mut self) -> SocketAddr {
        let port = self.next_port;
        self.next_port += 1;
        SocketAddr::from((self.address, port))
    }
}

/// Makes the kernel end the child when this process ends, however it does.
fn end_with_this_process(command: &mut Command) {
    extern "C" {
        fn prctl(option: i32, argument: u64, ...) -> i32;
    }
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the call changes an attribute of the child alone, and allocates nothing.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
}

pub struct Process {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    data: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    pub front: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    _host: Host,
}

impl Process {
    /// Writes settings as the templates of the deploy file have them, and starts the process.
    fn start_new(
        folder: &Path,
        store: &Store,
        role: &'static str,
        index: usize,
        record: &Record,
    ) -> Self {
        let name = format!("{role}-{index}");
        let data = folder.join(format!("{name}-data"));
        let mut host = Host::claim();
        let (front, ready, metrics, peer) = (host.port(), host.port(), host.port(), host.port());
        let mut settings = format!(
            "name = \"{name}\"\nzone = \"zone-{}\"\npeer_address = \"{peer}\"\n\
             metrics_address = \"{metrics}\"\nstore_address = \"{}\"\ngrace_ms = 8000\n\
             contact_ms = 3000\nconfig_apply_ms = 2000\nengine_drain_ms = 2000\n\
             engine_heartbeat_ms = 1200\nlog_level = \"info\"\n",
            index % 3,
            store.address_for(&name)
        );
        if role == "gateway" {
            settings += &format!(
                "front_address = \"{front}\"\nready_address = \"{ready}\"\nmemory_limit_mb = 260\n"
            );
        } else {
            settings += &format!(
                "data_folder = \"{}\"\norder_lease_ms = 3000\nengines_check_fences = true\n\
                 job_keep_ms = 120000\ntolerated_losses = 1\ndisk_limit_mb = 620\n\
                 memory_limit_mb = 320\n",
                data.display()
            );
        }
        let file = folder.join(format!("{name}.toml"));
        fs::write(&file, settings).expect("settings file");
        let mut process = Self {
            log: folder.join(format!("{name}.log")),
            name,
            role,
            settings: file,
            data,
            child: None,
            front,
            ready,
            metrics,
            _host: host,
        };
        process.start();
        record.line(format!("{} started, front {front}", process.name));
        process
    }

    pub fn start(&mut self) {
        let mut options = fs::File::options();
        let log = options.create(true).append(true).open(&self.log);
        let log = log.expect("log file");
        let mut command = Command::new(PROGRAM);
        command.arg(self.role).arg("--settings").arg(&self.settings);
        command.stdout(Stdio::from(log.try_clone().expect("log file")));
        command.stderr(Stdio::from(log));
        end_with_this_process(&mut command);
        self.child = Some(command.spawn().expect("the program is built"));
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Empties the disk of a process that is down.
    pub fn wipe(&self) {
        let _ = fs::remove_dir_all(&self.data);
        let _ = fs::create_dir_all(&self.data);
    }

    pub fn is_ready(&self) -> bool {
        let patience = Duration::from_secs(1);
        let answer = call(self.ready, "GET", "/peatgrade/ready", &[], b"", patience);
        answer.is_some_and(|answer| answer.status == 200)
    }

    pub fn is_leader(&self) -> bool {
        let patience = Duration::from_secs(1);
        let answer = call(self.metrics, "GET", "/metrics", &[], b"", patience);
        let text = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
        text.is_some_and(|text| text.contains("{name=\"works_as_leader\"} 1\n"))
    }

    /// Resident memory in kB; 0 while the process is down.
    pub fn resident_kb(&self) -> u64 {
        let Some(child) = &self.child else {
            return 0;
        };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let digits = line.and_then(|line| line.split_whitespace().nth(1));
        digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Gateways and storage processes with their store.
pub struct Deployment {
    pub gateways: Vec<Process>,
    pub storage: Vec<Process>,
    folder: PathBuf,
}

impl Deployment {
    pub fn start(store: &Store, gateways: usize, storage: usize, record: &Record) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("temporary folder");
        let start = |role, count| -> Vec<Process> {
            (0..count)
                .map(|index| Process::start_new(&folder, store, role, index, record))
                .collect()
        };
        let storage = start("storage", storage);
        let gateways = start("gateway", gateways);
        Self {
            gateways,
            storage,
            folder,
        }
    }

    /// Waits until all gateways are ready and a leader works.
    pub fn wait_until_up(&self) -> bool {
        wait_for(Duration::from_secs(20), || {
            self.gateways.iter().all(Process::is_ready) && self.leader().is_some()
        })
    }

    pub fn leader(&self) -> Option<usize> {
        self.storage.iter().position(Process::is_leader)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in self.gateways.iter_mut().chain(&mut self.storage) {
            process.kill();
        }
        if let Ok(kept) = std::env::var("KEEP_LOGS") {
            let _ = fs::create_dir_all(&kept);
            for process in self.gateways.iter().chain(&self.storage) {
                let _ = fs::copy(
                    &process.log,
                    Path::new(&kept).join(format!("{}.log", process.name)),
                );
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Polls `condition`; whether it held within `limit`.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
