//! A control replica that stood for election in the term that another one won.
//!
//! The leader and one follower hold changes that no majority has received. The follower has asked for votes and is frozen
//! before the answers are read; meanwhile another replica wins the term that the follower is about to stand in. The rule is
//! checked long after all replicas are back.

use {
    crate::{
        Outcome,
        database::Group,
        http,
        line::Session,
        process::{Deployment, SIGCONT, SIGKILL, SIGSTOP},
        record::Record,
    },
    std::{
        collections::BTreeSet,
        thread,
        time::{Duration, Instant},
    },
};

/// Time after the acknowledgement of a configuration from which it must be in force, `config_apply_ms`.
const CONFIG_APPLY: Duration = Duration::from_millis(4_000);

/// Time without any disruption before the change that is judged: `recovery_s`, then `stability_window_ms`.
const CALM: Duration = Duration::from_millis(12_000 + 5_000);

/// Time of the case after which no further hand-over begins, in milliseconds; the checks after the last one take 60 s.
const LAST_BEGINNING: u64 = 55_000;

/// Number of times that the whole core is killed for the last check, so that another replica may lead each time.
const CORE_KILLS: usize = 8;

/// Time between two hand-overs, after which the gateways follow their nearest control replicas again.
const PAUSE: Duration = Duration::from_millis(10_000);

/// Number of changes without the disruption.
const QUIET_ROUNDS: usize = 3;

const SERVICE: &str = "ledger7a";

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let mut deployment = Deployment::create()?;
    let group = Group::open(record, &deployment, SERVICE);
    deployment.start(record, &config(1, &["home"]))?;
    group.wait_until_known(&deployment)?;
    for gateway in 0..5 {
        if !read(record, &deployment, gateway, "home") {
            return Err(format!("gateway {gateway} does not serve before the disruption"));
        }
    }
    let mut version = 1;
    let mut round = 0;
    loop {
        round += 1;
        let name = format!("new{round}");
        let first = version + 1;
        version += 10;
        if trouble {
            disrupt(record, &mut deployment, first, version, &name)?;
        } else {
            for step in 0..4 {
                let draft = config(first + step, &["home", "draft"]);
                deployment.put_config(record, &draft, Duration::from_secs(10));
            }
            acknowledge(record, &deployment, version, &name)?;
        }
        let acknowledged = Instant::now();
        thread::sleep(CONFIG_APPLY + Duration::from_millis(500));
        // Nothing is judged yet: the core has just been disturbed. If every gateway serves the route, the next hand-over begins.
        let again = if trouble { record.now() < LAST_BEGINNING } else { round < QUIET_ROUNDS };
        if again && judge(record, &deployment, &name, 1).is_empty() {
            thread::sleep(if trouble { PAUSE } else { Duration::ZERO });
            continue;
        }
        record.line(&format!("no disruption for {} s", CALM.as_secs()));
        thread::sleep(CALM);
        record.line(&format!(
            "version {version} was acknowledged {:.1} s ago; all processes have run undisturbed since",
            acknowledged.elapsed().as_secs_f64()
        ));
        let broken_gateways = judge(record, &deployment, &name, 3);
        if !broken_gateways.is_empty() {
            record.line(&format!(
                "CONFIG broken: gateways {broken_gateways:?} handle requests as only versions before {version} allow: they refuse the \
                 route {name}, which it added"
            ));
            for gateway in &broken_gateways {
                if read(record, &deployment, *gateway, "draft") {
                    record.line(&format!(
                        "CONFIG broken: gateway {gateway} runs a request on the route draft, which version {version} dropped"
                    ));
                }
            }
        }
        let is_older = read_back(record, &mut deployment, version, trouble)?;
        if !broken_gateways.is_empty() || is_older {
            return Ok(false);
        }
        if record.now() >= LAST_BEGINNING || !again {
            return Ok(true);
        }
    }
}

/// Returns a configuration with one route of each name.
fn config(version: u64, names: &[&str]) -> String {
    let mut routes = Vec::new();
    for name in names {
        routes.push(format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{name}\",\"path_prefix\":\"/\",\"type\":\"primary\",\"timeout_ms\":1000,\
             \"target_latency_ms\":800,\"priority\":1,\"service\":\"{SERVICE}\",\"attempts\":2}}"
        ));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\
         \"max_conns\":71,\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":0}}],\"limits\":{{\"tx_idle_ms\":3000}}}}",
        routes.join(",")
    )
}

fn read(record: &Record, deployment: &Deployment, gateway: usize, database: &str) -> bool {
    let address = deployment.callers(gateway);
    let (session, start) = Session::open(&address, database, Duration::from_secs(2));
    let Some(mut session) = session else {
        record.line(&format!("caller at gateway {gateway}: STARTUP {database} -> {}", start.outcome));
        return false;
    };
    let answer = session.query(&format!("q{}", record.now()), "READ 1a4");
    record.line(&format!(
        "caller at gateway {gateway}: STARTUP {database} -> READY, READ 1a4 -> {}",
        answer.outcome
    ));
    answer.is_success()
}

/// Asks every gateway for the route of the acknowledged version, a few times with pauses; returns those that never served it.
fn judge(record: &Record, deployment: &Deployment, name: &str, times: usize) -> BTreeSet<usize> {
    let mut broken: BTreeSet<usize> = (0..5).collect();
    for _ in 0..times {
        for gateway in 0..5 {
            if read(record, deployment, gateway, name) {
                broken.remove(&gateway);
            }
        }
        thread::sleep(Duration::from_millis(700));
    }
    broken
}

/// Reads the configuration back at every replica, then kills the whole core, and so on; returns whether a read is answered with
/// an older version than the acknowledged one.
fn read_back(
    record: &Record,
    deployment: &mut Deployment,
    version: u64,
    trouble: bool,
) -> Result<bool, String> {
    for kill in 0..=CORE_KILLS {
        let leading = leader(deployment)?;
        record.line(&format!("core-{} leads", leading + 1));
        let mut is_older = false;
        for index in 0..5 {
            let address = deployment.operator(index);
            let second = Duration::from_secs(1);
            let Some(response) = http::call(&address, "GET", "/-/config", &[], "", second) else { continue };
            let text = response.body.strip_prefix("{\"version\":").unwrap_or_default();
            let found = text.split(',').next().unwrap_or_default();
            let status = response.status;
            record.line(&format!("operator: GET /-/config at {address} -> {status}, version {found}"));
            if found.parse::<u64>().is_ok_and(|found| found < version) {
                record.line(&format!(
                    "CONFIG broken: the read is answered with version {found}, and version {version} was acknowledged"
                ));
                is_older = true;
            }
        }
        if is_older || !trouble || kill == CORE_KILLS || record.now() > 105_000 {
            return Ok(is_older);
        }
        record.line("disruption: SIGKILL all control processes at the same moment; they are back after 0.3 s");
        for control in &deployment.controls {
            control.signal(SIGKILL);
        }
        for control in &mut deployment.controls {
            control.kill();
        }
        thread::sleep(Duration::from_millis(300));
        for control in &mut deployment.controls {
            control.start()?;
        }
        thread::sleep(Duration::from_millis(2_000));
    }
    Ok(false)
}

fn acknowledge(
    record: &Record,
    deployment: &Deployment,
    version: u64,
    name: &str,
) -> Result<(), String> {
    let text = config(version, &["home", name]);
    if deployment.put_config(record, &text, Duration::from_secs(20)) {
        return Ok(());
    }
    Err(format!("version {version} was not acknowledged"))
}

fn leader(deployment: &Deployment) -> Result<usize, String> {
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline {
        for index in 0..5 {
            if deployment.gauge(Some(index), "leading") == Some(1) {
                return Ok(index);
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    Err("no control replica leads".to_owned())
}

/// Plays the hand-over: the operator's changes from `first` on get no answer, and `version` is acknowledged.
fn disrupt(
    record: &Record,
    deployment: &mut Deployment,
    first: u64,
    version: u64,
    name: &str,
) -> Result<(), String> {
    let old = leader(deployment)?;
    let others: Vec<usize> = (1..5).map(|step| (old + step) % 5).collect();
    let &[frozen, early, also_early, late] = &others[..] else { return Err("no roles".to_owned()) };
    let say = |text: String| record.line(&format!("disruption: {text}"));
    let label = |index: usize| format!("core-{}", index + 1);
    say(format!(
        "{} leads; SIGKILL {}, {} and {} at the same moment",
        label(old),
        label(early),
        label(also_early),
        label(late)
    ));
    for index in [early, also_early, late] {
        deployment.controls[index].signal(SIGKILL);
    }
    for index in [early, also_early, late] {
        deployment.controls[index].kill();
    }
    // Four orders are in progress at once; they reach the leader and one follower, so none can be acknowledged.
    let address = deployment.operator(old);
    let mut calls = Vec::new();
    for step in 0..4 {
        let (address, record) = (address.clone(), record.clone());
        let text = config(first + step, &["home", "draft"]);
        calls.push(thread::spawn(move || {
            let second = Duration::from_secs(1);
            let response = http::call(&address, "PUT", "/-/config", &[], &text, second);
            let status = response.map_or("no answer".to_owned(), |response| response.status.to_string());
            record.line(&format!("operator: PUT /-/config version {} at {address} -> {status}", first + step));
        }));
        thread::sleep(Duration::from_millis(12));
    }
    thread::sleep(Duration::from_millis(30));
    deployment.controls[old].kill();
    let killed = Instant::now();
    let until = |millis: u64| {
        let due = killed + Duration::from_millis(millis);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    };
    say(format!("SIGKILL {}", label(old)));
    let start = |deployment: &mut Deployment, index: usize| deployment.controls[index].start();
    start(deployment, early)?;
    start(deployment, also_early)?;
    say(format!("{} and {} start again", label(early), label(also_early)));
    until(110);
    deployment.controls[early].signal(SIGSTOP);
    deployment.controls[also_early].signal(SIGSTOP);
    say(format!("{} and {} freeze", label(early), label(also_early)));
    wait_for_vote_request(deployment, frozen, killed);
    deployment.controls[frozen].signal(SIGSTOP);
    say(format!("{} freezes; it has just asked for votes", label(frozen)));
    deployment.controls[early].signal(SIGCONT);
    deployment.controls[also_early].signal(SIGCONT);
    say(format!("{} and {} wake", label(early), label(also_early)));
    start(deployment, late)?;
    say(format!("{} starts again", label(late)));
    acknowledge_at(record, deployment, &[early, also_early, late], version, name)?;
    // Heartbeats that say that the version is committed are on their way to the frozen replica.
    thread::sleep(Duration::from_millis(250));
    deployment.controls[frozen].signal(SIGCONT);
    say(format!("{} wakes", label(frozen)));
    thread::sleep(Duration::from_millis(500));
    start(deployment, old)?;
    say(format!("{} starts again; all processes run from here on", label(old)));
    for call in calls {
        let _ = call.join();
    }
    // Orders without a clear response are sent again unchanged; they are acknowledged and change nothing by now.
    for step in 0..4 {
        deployment.put_config(record, &config(first + step, &["home", "draft"]), CALM);
    }
    Ok(())
}

/// Waits until a replica has given up its leader: until then it passes reads of the configuration on to it.
fn wait_for_vote_request(deployment: &Deployment, index: usize, killed: Instant) {
    let address = deployment.operator(index);
    while killed.elapsed() < Duration::from_millis(800) {
        let limit = Duration::from_millis(30);
        let response = http::call(&address, "GET", "/-/config", &[], "", limit);
        if response.is_some_and(|response| !response.body.contains("leader: ")) {
            return;
        }
        thread::sleep(Duration::from_millis(3));
    }
}

/// Sends a configuration to the given replicas until one acknowledges it.
fn acknowledge_at(
    record: &Record,
    deployment: &Deployment,
    indexes: &[usize],
    version: u64,
    name: &str,
) -> Result<(), String> {
    let text = config(version, &["home", name]);
    let deadline = Instant::now() + Duration::from_secs(10);
    let mut step = 0;
    while Instant::now() < deadline {
        let address = deployment.operator(indexes[step % indexes.len()]);
        let response =
            http::call(&address, "PUT", "/-/config", &[], &text, Duration::from_secs(1));
        let status = response.map_or(0, |response| response.status);
        record.line(&format!("operator: PUT /-/config version {version} at {address} -> {status}"));
        if status == 200 {
            return Ok(());
        }
        step += 1;
        thread::sleep(Duration::from_millis(40));
    }
    Err(format!("version {version} was not acknowledged"))
}
