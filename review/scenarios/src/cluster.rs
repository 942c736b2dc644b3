//! The project's own programs as separate processes, started with the commands of the deploy file.

use {
    crate::{http, record::Record},
    std::{
        fs::{self, File},
        io::{self, Write},
        net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Zones and their regions; machines and servers are assigned to them.
pub const ZONES: [(&str, &str); 3] =
    [("selkirk-yard", "red-river"), ("gimli-shed", "red-river"), ("fort-qu", "qu-appelle")];

/// Seeds in the settings of every process.
const SEEDS: usize = 3;

/// Time for a call of the operator.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// Time within which a started deployment must serve.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Sizes of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    pub controls: usize,
    pub gateways: usize,
    /// Control replicas that may be lost at the same time.
    pub tolerated_losses: usize,
    /// Grace period of a stop in seconds.
    pub grace_s: u64,
}

/// Ports that are the same on all machines, and the network of the machines.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    octet: u8,
    peers: u16,
    metrics: u16,
    front: u16,
    ready: u16,
    control: u16,
    server: u16,
    cloud: u16,
}

impl Network {
    /// Chooses free ports, and loopback addresses that differ between runs.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub fn choose() -> io::Result<Self> {
        let mut held = Vec::new();
        let mut ports = Vec::new();
        for _ in 0..7 {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
            ports.push(listener.local_addr()?.port());
            held.push(listener);
        }
        let octet = u8::try_from(std::process::id() % 200).unwrap_or(0) + 1;
        Ok(Self {
            octet,
            peers: ports[0],
            metrics: ports[1],
            front: ports[2],
            ready: ports[3],
            control: ports[4],
            server: ports[5],
            cloud: ports[6],
        })
    }

    fn address(&self, class: u8, number: usize, port: u16) -> SocketAddr {
        let last = u8::try_from(number + 1).unwrap_or(u8::MAX);
        SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(127, self.octet, class, last), port))
    }

    /// Returns the address of a server.
    #[must_use]
    pub fn server(&self, number: usize) -> SocketAddr {
        self.address(3, number, self.server)
    }

    /// Returns the address of the platform.
    #[must_use]
    pub fn cloud(&self) -> SocketAddr {
        self.address(4, 0, self.cloud)
    }

    /// Returns the address at which a control replica serves the operator and the servers.
    #[must_use]
    pub fn control(&self, number: usize) -> SocketAddr {
        self.address(1, number, self.control)
    }

    /// Returns the address at which a gateway serves callers.
    #[must_use]
    pub fn front(&self, number: usize) -> SocketAddr {
        self.address(2, number, self.front)
    }
}

/// One machine of the system.
#[derive(Debug)]
struct Machine {
    name: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Running control replicas and gateways; dropping it ends them.
#[derive(Debug)]
pub struct Cluster {
    pub network: Network,
    pub sizes: Sizes,
    folder: PathBuf,
    machines: Mutex<Vec<Machine>>,
    record: Record,
}

impl Cluster {
    /// Writes the settings and starts all processes.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written or a program cannot be started.
    pub fn start(
        network: Network,
        sizes: Sizes,
        programs: &Path,
        folder: &Path,
        record: Record,
    ) -> io::Result<Self> {
        let mut machines = Vec::new();
        for number in 0..sizes.controls {
            machines.push(control_machine(&network, &sizes, number, programs, folder)?);
        }
        for number in 0..sizes.gateways {
            machines.push(gateway_machine(&network, &sizes, number, programs, folder)?);
        }
        let cluster = Self {
            network,
            sizes,
            folder: folder.to_owned(),
            machines: Mutex::new(machines),
            record,
        };
        cluster.start_all()?;
        Ok(cluster)
    }

    fn machines(&self) -> MutexGuard<'_, Vec<Machine>> {
        self.machines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts every process that does not run.
    ///
    /// # Errors
    ///
    /// Returns an error if a program cannot be started.
    pub fn start_all(&self) -> io::Result<()> {
        for machine in self.machines().iter_mut() {
            if machine.child.is_none() {
                machine.child = Some(spawn(machine, &self.folder)?);
                self.record.say(&format!("{} starts", machine.name));
            }
        }
        Ok(())
    }

    /// Ends every process with SIGKILL.
    pub fn kill_all(&self) {
        for machine in self.machines().iter_mut() {
            if let Some(mut child) = machine.child.take() {
                // Fails if the process has ended already.
                let _ = child.kill();
                let _ = child.wait();
                self.record.say(&format!("{} killed", machine.name));
            }
        }
    }

    /// Ends one process with SIGKILL, if it runs.
    pub fn kill(&self, name: &str) {
        for machine in self.machines().iter_mut().filter(|machine| machine.name == name) {
            if let Some(mut child) = machine.child.take() {
                // Fails if the process has ended already.
                let _ = child.kill();
                let _ = child.wait();
                self.record.say(&format!("{name} killed"));
            }
        }
    }

    /// Returns the resident memory of a process in MB.
    #[must_use]
    pub fn memory_mb(&self, name: &str) -> Option<u64> {
        let machines = self.machines();
        let machine = machines.iter().find(|machine| machine.name == name)?;
        let pid = machine.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes / 1_024)
    }

    /// Returns the addresses at which control serves the operator and the servers.
    #[must_use]
    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.sizes.controls).map(|number| self.network.control(number)).collect()
    }

    /// Sends a configuration until it is acknowledged.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long or the configuration is refused.
    pub fn put_config(&self, config: &str) -> io::Result<()> {
        let begun = Instant::now();
        for control in self.controls().iter().cycle() {
            if begun.elapsed() > START_TIMEOUT {
                break;
            }
            match http::call(*control, "PUT", "/-/config", config, OPERATOR_TIMEOUT) {
                Ok((200, _)) => {
                    self.record.say(&format!("configuration acknowledged by {control}"));
                    return Ok(());
                }
                Ok((status @ 400..=499, body)) => {
                    return Err(io::Error::other(format!(
                        "configuration refused: {status} {body}"
                    )));
                }
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        Err(io::Error::other("the configuration was not acknowledged"))
    }

    /// Waits until every gateway is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long.
    pub fn wait_ready(&self) -> io::Result<()> {
        let begun = Instant::now();
        for number in 0..self.sizes.gateways {
            let address = self.network.address(2, number, self.network.ready);
            loop {
                let reply = http::call(address, "GET", "/-/ready", "", OPERATOR_TIMEOUT);
                if matches!(reply, Ok((200, _))) {
                    break;
                }
                if begun.elapsed() > START_TIMEOUT {
                    return Err(io::Error::other(format!("gateway {number} is not ready")));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Copies the lines of the control replicas' logs about promotions to the record.
    pub fn record_decisions(&self) {
        for machine in self.machines().iter() {
            if !machine.name.starts_with("control") {
                continue;
            }
            let text = fs::read_to_string(&machine.log).unwrap_or_default();
            let words =
                ["promotion", "candidate", "primary judged", "demoted", "removed", "leader"];
            for line in text.lines().filter(|line| words.iter().any(|word| line.contains(word))) {
                self.record.line(&format!("log of {}: {line}", machine.name));
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.kill_all();
    }
}

fn spawn(machine: &Machine, folder: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(&machine.log)?;
    let child = Command::new(&machine.program)
        .arg("--config")
        .arg(&machine.settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    // The script ends what this program may leave behind.
    let mut pids = File::options().create(true).append(true).open(folder.join("pids"))?;
    writeln!(pids, "{}", child.id())?;
    Ok(child)
}

fn seeds(network: &Network) -> String {
    let addresses: Vec<String> =
        (0..SEEDS).map(|number| format!("\"{}\"", network.control(number))).collect();
    addresses.join(",")
}

/// Settings as the platform fills them in with `deploy/control.jsonc`.
fn control_machine(
    network: &Network,
    sizes: &Sizes,
    number: usize,
    programs: &Path,
    folder: &Path,
) -> io::Result<Machine> {
    let (zone, name) = (ZONES[number % ZONES.len()].0, format!("control-{number}"));
    let data = folder.join(&name);
    fs::create_dir_all(&data)?;
    let settings = format!(
        "{{\n  \"host\": \"{name}\",\n  \"zone\": \"{zone}\",\n  \"listen\": \"{}\",\n  \
         \"seeds\": [{}],\n  \"found\": true,\n  \"tolerated_losses\": {},\n  \"data\": \"{}\",\n  \
         \"metrics\": \"{}\",\n  \"operator\": \"{}\",\n  \"platform\": \"{}\",\n  \
         \"log_levels\": \"warn,event=info\"\n}}\n",
        network.address(1, number, network.peers),
        seeds(network),
        sizes.tolerated_losses,
        data.display(),
        network.address(1, number, network.metrics),
        network.control(number),
        network.cloud(),
    );
    machine(name, programs.join("platform-control"), &settings, folder)
}

/// Settings as the platform fills them in with `deploy/gateway.jsonc`.
fn gateway_machine(
    network: &Network,
    sizes: &Sizes,
    number: usize,
    programs: &Path,
    folder: &Path,
) -> io::Result<Machine> {
    let (zone, name) = (ZONES[number % ZONES.len()].0, format!("gateway-{number}"));
    let mut zones = Vec::new();
    for (zone, region) in ZONES {
        zones.push(format!("{{\"zone\": \"{zone}\", \"region\": \"{region}\"}}"));
    }
    let settings = format!(
        "{{\n  \"host\": \"{name}\",\n  \"zone\": \"{zone}\",\n  \"zones\": [{}],\n  \
         \"callers\": \"{}\",\n  \"status\": \"{}\",\n  \"metrics\": \"{}\",\n  \"peers\": \"{}\",\n  \
         \"control\": [{}],\n  \"control_port\": {},\n  \"grace_ms\": {}000,\n  \
         \"log_levels\": \"warn,event=info,request=info\"\n}}\n",
        zones.join(","),
        network.front(number),
        network.address(2, number, network.ready),
        network.address(2, number, network.metrics),
        network.address(2, number, network.peers),
        seeds(network),
        network.peers,
        sizes.grace_s,
    );
    machine(name, programs.join("platform-gateway"), &settings, folder)
}

fn machine(name: String, program: PathBuf, settings: &str, folder: &Path) -> io::Result<Machine> {
    let path = folder.join(format!("{name}.jsonc"));
    fs::write(&path, settings)?;
    let log = folder.join(format!("{name}.log"));
    Ok(Machine { name, program, settings: path, log, child: None })
}

/// Flag that ends the threads of a scenario.
#[derive(Clone, Debug, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Sets the flag.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Returns whether the flag is set.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}
