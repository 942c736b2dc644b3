//! Command line of the load tool.

use {
    banyansill_load::{
        driver::{self, LoadPhase, LoadPlan},
        mix::RequestMix,
        naive::NaiveProxy,
        overhead, report,
    },
    miette::{IntoDiagnostic, Result, miette},
    std::{net::SocketAddr, path::PathBuf, time::Duration},
};

mod flags {
    #![allow(missing_docs, clippy::all, clippy::must_use_candidate, clippy::missing_errors_doc)]
    #![allow(clippy::missing_const_for_fn, clippy::unwrap_used)]

    use std::{net::SocketAddr, path::PathBuf};

    xflags::xflags! {
        /// Load and experiment tool of banyansill.
        cmd banyansill-load {
            /// Prints the version.
            optional --version

            /// Compares short statements through an entry with the server reached directly.
            cmd overhead {
                /// Connection string of the entry.
                required --entry entry: String
                /// Connection string of the server.
                required --direct direct: String
                /// Callers, separated by commas.
                optional --callers callers: String
                /// Seconds per run.
                optional --seconds seconds: u64
                /// Runs per number of callers; the median is reported.
                optional --runs runs: usize
            }

            /// Runs a deployment's mix with open-loop arrivals.
            cmd run {
                /// Mix: hamper-board or magnolia.
                required --mix mix: String
                /// Connection string of an entry; may be repeated.
                repeated --entry entry: String
                /// Connection string of the naive proxy for the second column.
                optional --naive naive: String
                /// Connection string at which tables are created; the first entry unless given.
                optional --setup setup: String
                /// Short requests per second before the crest.
                optional --rate rate: f64
                /// Long requests per second while reports run.
                optional --reports reports: f64
                /// Factor of the crest.
                optional --crest crest: f64
                /// Seconds per phase.
                optional --seconds seconds: u64
                /// Sessions per kind.
                optional --sessions sessions: usize
                /// Seed of arrivals and keys.
                optional --seed seed: u64
                /// Folder for CSV, JSON and SVG.
                optional --output output: PathBuf
            }

            /// Runs the naive proxy until it is interrupted.
            cmd naive {
                /// Address to listen on.
                required --listen listen: SocketAddr
                /// Address of the primary.
                required --primary primary: SocketAddr
            }
        }
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    if std::env::args().any(|argument| argument == "--version") {
        println!("banyansill-load {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    match flags::BanyansillLoad::from_env_or_exit().subcommand {
        flags::BanyansillLoadCmd::Overhead(arguments) => run_overhead(arguments).await,
        flags::BanyansillLoadCmd::Run(arguments) => run_mix(arguments).await,
        flags::BanyansillLoadCmd::Naive(arguments) => {
            run_naive(arguments.listen, arguments.primary).await
        }
    }
}

async fn run_naive(listen: SocketAddr, primary: SocketAddr) -> Result<()> {
    let proxy = NaiveProxy::bind(listen, primary).await.into_diagnostic()?;
    println!("naive proxy at {}", proxy.address());
    tokio::signal::ctrl_c().await.into_diagnostic()
}

async fn run_overhead(arguments: flags::Overhead) -> Result<()> {
    let list = arguments.callers.unwrap_or_else(|| "1,16,64".to_owned());
    let span = Duration::from_secs(arguments.seconds.unwrap_or(3));
    let runs = arguments.runs.unwrap_or(5).max(1);
    println!("callers  side    answers/s     p50 µs     p99 µs   (median of {runs} runs)");
    for callers in list.split(',') {
        let callers: usize = callers.trim().parse().into_diagnostic()?;
        let (mut entry, mut direct) = (Vec::new(), Vec::new());
        for _ in 0..runs {
            direct.push(overhead::run(&arguments.direct, callers, span).await.into_diagnostic()?);
            entry.push(overhead::run(&arguments.entry, callers, span).await.into_diagnostic()?);
        }
        let direct = median(direct);
        let entry = median(entry);
        for (side, run) in [("direct", &direct), ("entry", &entry)] {
            println!(
                "{callers:>7}  {side:<6} {:>10.0} {:>10} {:>10}",
                run.throughput,
                run.latency.value_at_quantile(0.5),
                run.latency.value_at_quantile(0.99)
            );
        }
        println!("{callers:>7}  ratio of throughput {:.2}", entry.throughput / direct.throughput);
    }
    Ok(())
}

fn median(mut runs: Vec<overhead::OverheadRun>) -> overhead::OverheadRun {
    runs.sort_by(|left, right| left.throughput.total_cmp(&right.throughput));
    let middle = runs.len() / 2;
    runs.swap_remove(middle)
}

async fn run_mix(arguments: flags::Run) -> Result<()> {
    let mix = RequestMix::named(&arguments.mix)
        .ok_or_else(|| miette!("unknown mix {:?}: hamper-board or magnolia", arguments.mix))?;
    let first = arguments.entry.first().ok_or_else(|| miette!("--entry is missing"))?;
    let setup = arguments.setup.as_ref().unwrap_or(first);
    let rate = arguments.rate.unwrap_or(500.0);
    let reports = arguments.reports.unwrap_or(1.0);
    let span = Duration::from_secs(arguments.seconds.unwrap_or(10));
    let phase = |name, rate, reports| LoadPhase { name, rate, reports, span };
    let plan = LoadPlan {
        mix: mix.clone(),
        phases: vec![
            phase("1-base", rate, 0.0),
            phase("2-reports", rate, reports),
            phase("3-crest", rate * arguments.crest.unwrap_or(3.0), reports),
        ],
        sessions: arguments.sessions.unwrap_or(100),
        seed: arguments.seed.unwrap_or(1),
    };
    driver::prepare(setup, &mix).await.into_diagnostic()?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let ours = driver::run(&arguments.entry, &plan).await.into_diagnostic()?;
    let mut sides = vec![("banyansill", ours)];
    if let Some(naive) = arguments.naive {
        let urls = [naive];
        sides.push(("naive", driver::run(&urls, &plan).await.into_diagnostic()?));
    }
    print_report(&mix, &plan, &sides, arguments.output)
}

fn print_report(
    mix: &RequestMix,
    plan: &LoadPlan,
    sides: &[(&'static str, driver::LoadFigures)],
    output: Option<PathBuf>,
) -> Result<()> {
    let mut rows = Vec::new();
    for (side, figures) in sides {
        rows.extend(report::rows(side, figures));
    }
    println!("mix {}, seed {}", mix.name, plan.seed);
    print!("{}", report::table(&rows));
    for phase in &plan.phases {
        for (side, figures) in sides {
            let (replica, service) = report::shares(figures, mix, phase.name);
            println!(
                "{:<14} {side:<11} reads from replicas {:.1}%  service {:.1}%",
                phase.name,
                replica * 100.0,
                service * 100.0
            );
        }
    }
    if let Some(folder) = output {
        let mut references = Vec::new();
        for (side, figures) in sides {
            references.push((*side, figures));
        }
        report::write(&folder, &rows, &references).map_err(|error| miette!("{error}"))?;
    }
    Ok(())
}
