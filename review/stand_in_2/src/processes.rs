//! Starts and controls the project's own programs, as the deploy file does.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::store::Store;

/// The program that the deploy file builds and runs, from the repository's root.
const PROGRAM: &str = "target/release/peatgrade-platform";

static NEXT_HOST: AtomicU32 = AtomicU32::new(0);

/// A loopback address of its own for each process: its ports stay free while it is down.
fn claim_host() -> (Ipv4Addr, TcpListener) {
    loop {
        let index = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
        let offset = (std::process::id() * 64 + index) % 0x00d0_0000;
        let address = Ipv4Addr::from(0x7f18_0000 + offset);
        if let Ok(claim) = TcpListener::bind((address, 7000)) {
            return (address, claim);
        }
    }
}

pub struct Process {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    pub log: PathBuf,
    pub data: PathBuf,
    child: Option<Child>,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    _claim: TcpListener,
}

impl Process {
    pub fn start(folder: &Path, store: &Store, role: &'static str, index: usize) -> Self {
        let name = format!("{role}-{index}");
        let (host, claim) = claim_host();
        let at = |port: u16| SocketAddr::from((host, port));
        let (front, ready, metrics, peer) = (at(8161), at(8167), at(9464), at(7720));
        let data = folder.join(format!("{name}-data"));
        // What the templates of the deploy file give for a small deployment.
        let mut text = format!(
            "name = \"{name}\"\nzone = \"zone-{}\"\npeer_address = \"{peer}\"\n\
             metrics_address = \"{metrics}\"\nstore_address = \"{}\"\ngrace_ms = 8000\n\
             contact_ms = 3000\nconfig_apply_ms = 2000\nengine_drain_ms = 2000\n\
             engine_heartbeat_ms = 1200\nlog_level = \"info\"\n",
            index % 3,
            store.serve()
        );
        if role == "gateway" {
            text += &format!(
                "front_address = \"{front}\"\nready_address = \"{ready}\"\nmemory_limit_mb = 260\n"
            );
        } else {
            text += &format!(
                "data_folder = \"{}\"\norder_lease_ms = 3000\nengines_check_fences = true\n\
                 job_keep_ms = 120000\ntolerated_losses = 1\ndisk_limit_mb = 430\n\
                 memory_limit_mb = 290\n",
                data.display()
            );
        }
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("write settings");
        let mut process = Self {
            log: folder.join(format!("{name}.log")),
            name,
            role,
            settings,
            data,
            child: None,
            front,
            ready,
            metrics,
            _claim: claim,
        };
        process.run();
        process
    }

    pub fn run(&mut self) {
        let mut options = fs::File::options();
        let log = options
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("open log");
        let copy = log.try_clone().expect("copy log");
        let mut command = Command::new(PROGRAM);
        command.arg(self.role).arg("--settings").arg(&self.settings);
        command
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(copy));
        self.child = Some(command.spawn().expect("start the program"));
    }

    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn signal(&self, signal: &str) {
        if let Some(id) = self.id() {
            let _ = Command::new("kill")
                .args([signal, &id.to_string()])
                .status();
        }
    }

    /// How the process has ended, if it has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.to_string())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn wipe(&self) {
        let _ = fs::remove_dir_all(&self.data);
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(
            self.ready,
            "GET",
            "/peatgrade/ready",
            &[],
            b"",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// A figure of the process's own.
    pub fn state(&self, name: &str) -> Option<u64> {
        let patience = Duration::from_secs(1);
        let answer = call(self.metrics, "GET", "/metrics", &[], b"", patience).ok()?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let start = format!("peatgrade_state{{name=\"{name}\"}} ");
        let mut lines = text.lines();
        lines.find_map(|line| line.strip_prefix(&start)?.trim().parse().ok())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A small deployment.
pub struct Deployment {
    pub store: Store,
    pub gateways: Vec<Process>,
    pub storage: Vec<Process>,
    folder: PathBuf,
}

impl Deployment {
    /// Starts all machines at once; `prepare` sees the store before.
    pub fn start(name: &str, gateways: usize, prepare: impl FnOnce(&Store)) -> Self {
        let folder = std::env::temp_dir().join(format!("review2-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("make folder");
        let store = Store::default();
        prepare(&store);
        let storage = (0..3).map(|index| Process::start(&folder, &store, "storage", index));
        let storage = storage.collect();
        let gateways = (0..gateways).map(|index| Process::start(&folder, &store, "gateway", index));
        Self {
            gateways: gateways.collect(),
            storage,
            store,
            folder,
        }
    }

    /// Adds an empty storage machine; `index` sets its name and zone. Returns the name.
    pub fn add_storage(&mut self, index: usize) -> String {
        let process = Process::start(&self.folder, &self.store, "storage", index);
        let name = process.name.clone();
        self.storage.push(process);
        name
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |process: &Process| process.state("works_as_leader") == Some(1);
        self.storage.iter().position(leads)
    }

    /// Waits until all gateways are ready and there is a leader.
    pub fn wait_until_up(&self) -> bool {
        wait(Duration::from_secs(20), || {
            self.gateways.iter().all(Process::is_ready) && self.leader().is_some()
        })
    }

    /// Copies the logs of all processes, for a look by hand.
    pub fn keep_logs(&self, folder: &Path) {
        let _ = fs::create_dir_all(folder);
        for process in self.gateways.iter().chain(&self.storage) {
            let name = process.log.file_name().expect("name of the log");
            let _ = fs::copy(&process.log, folder.join(name));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in self.gateways.iter_mut().chain(&mut self.storage) {
            process.kill();
        }
        if let Some(folder) = std::env::var_os("KEEP_LOGS") {
            self.keep_logs(Path::new(&folder));
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

pub fn wait(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(40));
    }
    false
}
