//! The programs of the deploy file as separate processes, each on a loopback address of its own.

use {
    crate::{http, record::Record},
    std::{
        fs,
        net::TcpListener,
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::Mutex,
        thread,
        time::{Duration, Instant},
    },
};

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Processes that run, so that a case that takes too long can end them.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case if it still runs after the limit, together with the processes that it started.
pub fn limit_run(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for id in RUNNING.lock().unwrap().iter() {
            unsafe { kill(*id as i32, SIGKILL) };
        }
        eprintln!("could not run: the time is over");
        std::process::exit(2);
    });
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// One process of the system.
pub struct Process {
    pub host: String,
    pub ip: String,
    program: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts the process with its settings file.
    pub fn start(&mut self) -> Result<(), String> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| error.to_string())?;
        let program = format!("target/release/{}", self.program);
        let child = Command::new(&program)
            .args(["--config".as_ref(), self.settings.as_os_str()])
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, which this harness started.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // The process has not been waited for, so its id is still its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Addresses and processes of a small deployment.
pub struct Deployment {
    pub folder: PathBuf,
    pub controls: Vec<Process>,
    pub gateways: Vec<Process>,
    pub operator_port: u16,
    pub caller_port: u16,
    pub server_port: u16,
    pub platform: String,
    pub prefix: String,
}

impl Deployment {
    /// Writes the settings of five control replicas and five gateways, one of each in each of five zones.
    pub fn create() -> Result<Self, String> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("banyansill-review-{id}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let prefix = (0..200u32)
            .map(|step| format!("127.{}.{}", 20 + (id + step) % 200, (id / 200) % 250))
            .find(|prefix| TcpListener::bind(format!("{prefix}.11:7440")).is_ok())
            .ok_or("no free loopback addresses")?;
        let mut deployment = Self {
            folder,
            controls: Vec::new(),
            gateways: Vec::new(),
            operator_port: 8782,
            caller_port: 8784,
            server_port: 8080,
            platform: format!("{prefix}.100:8783"),
            prefix,
        };
        deployment.write_settings().map_err(|error| error.to_string())?;
        Ok(deployment)
    }

    fn write_settings(&mut self) -> std::io::Result<()> {
        let prefix = self.prefix.clone();
        let seeds = format!(
            "\"{prefix}.11:{port}\",\"{prefix}.12:{port}\",\"{prefix}.13:{port}\"",
            port = self.operator_port
        );
        for index in 1..=5 {
            let (host, ip) = (format!("core-{index}"), format!("{prefix}.1{index}"));
            let data = self.folder.join(&host);
            let settings = format!(
                "{{\"host\": \"{host}\", \"zone\": \"z{index}\", \"listen\": \"{ip}:7440\", \"seeds\": [{seeds}], \
                 \"found\": true, \"tolerated_losses\": 2, \"data\": \"{data}\", \"metrics\": \"{ip}:7455\", \
                 \"operator\": \"{ip}:{operator}\", \"platform\": \"{platform}\", \"log_levels\": \"warn,event=info\"}}",
                data = data.display(),
                operator = self.operator_port,
                platform = self.platform,
            );
            let process = self.process(host, ip, "platform-control", &settings)?;
            self.controls.push(process);
        }
        for index in 1..=5 {
            let (host, ip) = (format!("front-{index}"), format!("{prefix}.2{index}"));
            let mut zones = Vec::new();
            for zone in 1..=5 {
                zones.push(format!("{{\"zone\": \"z{zone}\", \"region\": \"r{zone}\"}}"));
            }
            let settings = format!(
                "{{\"host\": \"{host}\", \"zone\": \"z{index}\", \"zones\": [{zones}], \
                 \"callers\": \"{ip}:{callers}\", \"status\": \"{ip}:8785\", \"metrics\": \"{ip}:7455\", \
                 \"peers\": \"{ip}:7440\", \"control\": [{seeds}], \"control_port\": 7440, \"grace_ms\": 6000, \
                 \"log_levels\": \"warn,event=info,request=info\"}}",
                zones = zones.join(", "),
                callers = self.caller_port,
            );
            let process = self.process(host, ip, "platform-gateway", &settings)?;
            self.gateways.push(process);
        }
        Ok(())
    }

    fn process(
        &self,
        host: String,
        ip: String,
        program: &'static str,
        settings: &str,
    ) -> std::io::Result<Process> {
        let path = self.folder.join(format!("{host}.jsonc"));
        fs::write(&path, settings)?;
        let log = self.folder.join(format!("{host}.log"));
        Ok(Process { host, ip, program, settings: path, log, child: None })
    }

    /// Address of the operator's interface of a control replica.
    pub fn operator(&self, index: usize) -> String {
        format!("{}:{}", self.controls[index].ip, self.operator_port)
    }

    /// Address of a gateway for callers.
    pub fn callers(&self, index: usize) -> String {
        format!("{}:{}", self.gateways[index].ip, self.caller_port)
    }

    /// Starts all processes and waits until the first configuration is acknowledged and all gateways are ready.
    pub fn start(&mut self, record: &Record, config: &str) -> Result<(), String> {
        for process in self.controls.iter_mut().chain(&mut self.gateways) {
            process.start()?;
        }
        // The platform sets `bootstrap` at the first start only.
        for index in 0..self.controls.len() {
            let path = self.controls[index].settings.clone();
            let text = fs::read_to_string(&path).map_err(|error| error.to_string())?;
            thread::sleep(Duration::from_millis(1));
            self.controls[index].settings = path.with_extension("later.jsonc");
            fs::write(&self.controls[index].settings, text.replace("\"found\": true", "\"found\": false"))
                .map_err(|error| error.to_string())?;
        }
        if !self.put_config(record, config, Duration::from_secs(20)) {
            return Err("the first configuration was not acknowledged".to_owned());
        }
        let deadline = Instant::now() + Duration::from_secs(15);
        for gateway in &self.gateways {
            let status = format!("{}:8785", gateway.ip);
            while http::call(&status, "GET", "/-/ready", &[], "", Duration::from_secs(1))
                .is_none_or(|response| response.status != 200)
            {
                if Instant::now() > deadline {
                    return Err(format!("{} is not ready", gateway.host));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        // Every control replica is a voter before the disruption begins.
        while self.gauge(None, "voters") != Some(5) {
            if Instant::now() > deadline {
                return Err("not all control replicas became voters".to_owned());
            }
            thread::sleep(Duration::from_millis(200));
        }
        Ok(())
    }

    /// Sends a configuration to one replica after the other until one acknowledges it.
    pub fn put_config(&self, record: &Record, config: &str, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        let mut index = 0;
        while Instant::now() < deadline {
            let address = self.operator(index % self.controls.len());
            let second = Duration::from_secs(1);
            let response = http::call(&address, "PUT", "/-/config", &[], config, second);
            let version = &config[..config.find(',').unwrap_or(0)];
            let status = response.map_or(0, |response| response.status);
            record.line(&format!("operator: PUT /-/config {version}.. at {address} -> {status}"));
            if status == 200 {
                return true;
            }
            index += 1;
            thread::sleep(Duration::from_millis(150));
        }
        false
    }

    /// Returns the highest value of a gauge over one control replica or all.
    pub fn gauge(&self, index: Option<usize>, name: &str) -> Option<u64> {
        let mut highest = None;
        for (position, control) in self.controls.iter().enumerate() {
            if index.is_some_and(|index| index != position) {
                continue;
            }
            let address = format!("{}:7455", control.ip);
            let limit = Duration::from_millis(300);
            let response = http::call(&address, "GET", "/metrics", &[], "", limit);
            let Some(response) = response else { continue };
            for line in response.body.lines() {
                let Some((metric, value)) = line.rsplit_once(' ') else { continue };
                if metric.ends_with(&format!("directory_{}", name.replace('.', "_"))) {
                    highest = highest.max(value.parse::<f64>().ok().map(|value| value as u64));
                }
            }
        }
        highest
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in self.controls.iter_mut().chain(&mut self.gateways) {
            process.signal(SIGCONT);
            process.kill();
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
