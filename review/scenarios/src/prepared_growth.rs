//! Callers prepare statements that differ from each other, run each once and close it.
//!
//! Nothing is disturbed. The platform ends a process that uses more than its memory, and starts it again.

use {
    crate::{
        Scenario, Verdict,
        callers::{End, Session},
        cluster::{Cluster, Network, Sizes, StopFlag, ZONES},
        group::Group,
        platform,
        record::Record,
        server::{Place, Runs, Server, ServerContext},
    },
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const SERVICE: &str = "hamper1";
const DATABASE: &str = "orders1";

const SIZES: Sizes = Sizes { controls: 5, gateways: 3, tolerated_losses: 2, grace_s: 6 };

/// Memory of a `front` machine of the site in MB.
const MEMORY_MB: u64 = 182;

/// Ends of its own per machine from which the rule is broken, and the number of machines.
const ENDS: usize = 3;
const MACHINES: usize = 2;

/// Time after which a process that was killed is started again.
const RESTART_TIME: Duration = Duration::from_millis(500);

/// Interval at which the platform looks at the memory.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Length of the load.
const LOAD_TIME: Duration = Duration::from_secs(75);

/// Statements of one session.
const SESSION_STATEMENTS: u64 = 100;

const CALLERS: usize = 60;

/// Runs the scenario.
///
/// # Errors
///
/// Returns an error if it could not run.
pub fn run(scenario: &Scenario) -> io::Result<Verdict> {
    let record = scenario.record.clone();
    let network = Network::choose()?;
    let delay = Duration::from_millis(1);
    let members = [("srv-p", Duration::ZERO), ("srv-r", delay), ("srv-s", delay)];
    let group = Arc::new(Group::new(SERVICE, 0, &members, record.clone()));
    let promote_time = Duration::from_millis(600);
    platform::start(network.cloud(), vec![Arc::clone(&group)], promote_time, record.clone())?;
    let cluster =
        Cluster::start(network, SIZES, &scenario.programs, &scenario.folder, record.clone())?;
    let context = ServerContext {
        controls: cluster.controls(),
        runs: Arc::new(Runs::default()),
        work: Duration::from_millis(5),
        record: record.clone(),
    };
    let mut servers = Vec::new();
    for (number, (id, _)) in members.iter().enumerate() {
        let place = Place { address: network.server(number), zone: ZONES[number].0 };
        servers.push(Server::start(&context, &group, id, place)?);
    }
    let config = crate::config(SERVICE, DATABASE)
        .replace("\"sync_replicas\":1", "\"sync_replicas\":0")
        .replace(
            "\"type\":\"primary\"",
            "\"type\":\"bounded_staleness\",\"max_staleness_ms\":1500",
        );
    cluster.put_config(&config)?;
    cluster.wait_ready()?;
    let (stop, served) = (StopFlag::default(), Arc::new(AtomicU64::new(0)));
    let mut threads = Vec::new();
    for number in 0..CALLERS {
        let front = network.front(number % SIZES.gateways);
        let caller = Caller {
            number,
            front,
            distinct: scenario.trouble,
            stop: stop.clone(),
            served: Arc::clone(&served),
            record: record.clone(),
        };
        threads.push(thread::spawn(move || caller.run()));
    }
    let begun = Instant::now();
    let mut ends = vec![0; SIZES.gateways];
    let mut seen = Instant::now();
    while begun.elapsed() < LOAD_TIME {
        thread::sleep(CHECK_INTERVAL);
        for (number, count) in ends.iter_mut().enumerate() {
            let name = format!("gateway-{number}");
            let memory = cluster.memory_mb(&name).unwrap_or(0);
            if seen.elapsed() >= Duration::from_secs(5) || memory > MEMORY_MB {
                record.say(&format!(
                    "{name}: {memory} MB, {} statements served",
                    served.load(Ordering::Acquire)
                ));
            }
            if memory > MEMORY_MB {
                *count += 1;
                cluster.kill(&name);
                thread::sleep(RESTART_TIME);
                cluster.start_all()?;
            }
        }
        if seen.elapsed() >= Duration::from_secs(5) {
            seen = Instant::now();
        }
        if ends.iter().filter(|count| **count >= ENDS).count() >= MACHINES {
            break;
        }
    }
    stop.set();
    for thread in threads {
        let _ = thread.join();
    }
    for (id, server) in context.runs.all() {
        record.line(&format!("run {id} on {server}"));
    }
    record.say(&format!("processes that ended over their memory, by gateway: {ends:?}"));
    if served.load(Ordering::Acquire) == 0 {
        return Err(io::Error::other("no statement was served"));
    }
    let broken = ends.iter().filter(|count| **count >= ENDS).count() >= MACHINES;
    Ok(if broken { Verdict::Broken } else { Verdict::Kept })
}

/// Caller with one short session after the other.
struct Caller {
    number: usize,
    front: SocketAddr,
    /// Whether each statement has a text of its own.
    distinct: bool,
    stop: StopFlag,
    served: Arc<AtomicU64>,
    record: Record,
}

impl Caller {
    fn run(&self) {
        let mut statement = 0_u64;
        while !self.stop.is_set() {
            let name = format!("c{}", self.number);
            let Ok(mut session) = Session::open(self.front, DATABASE, &name) else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            for _ in 0..SESSION_STATEMENTS {
                statement += 1;
                if self.stop.is_set() || self.run_statement(&mut session, statement).is_err() {
                    break;
                }
            }
        }
    }

    /// Prepares a statement, runs it and closes its name.
    fn run_statement(&self, session: &mut Session, statement: u64) -> io::Result<()> {
        let first =
            if self.distinct { statement * 100_000 + self.number as u64 * 1_500 } else { 0 };
        let items: Vec<String> = (first..first + 2_000).map(|item| item.to_string()).collect();
        let shape = format!("select stock where item in ({})", items.join(","));
        let id = format!("c{}-{statement}", self.number);
        session.run(&format!("{id}p"), &format!("PREPARE s READ {shape}"))?;
        let end = session.run(&id, &format!("EXECUTE s {}", statement % 50))?;
        self.record.line(&format!("caller: {id}, prepared with {} bytes: {end:?}", shape.len()));
        if end == End::Acknowledged {
            self.served.fetch_add(1, Ordering::AcqRel);
        } else {
            thread::sleep(Duration::from_millis(50));
        }
        session.run(&format!("{id}c"), "CLOSE s")?;
        Ok(())
    }
}
