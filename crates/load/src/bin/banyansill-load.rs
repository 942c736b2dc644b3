//! Command line of the load tool.

use {
    banyansill_load::{
        driver,
        mix::RequestMix,
        naive::NaiveProxy,
        overhead,
        report::{self, SlotCapacity},
        sweep::RunOptions,
    },
    miette::{IntoDiagnostic, Result, miette},
    std::{net::SocketAddr, time::Duration},
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
                /// Greatest number of connections per kind.
                optional --connections connections: usize
                /// First seed of arrivals and keys.
                optional --seed seed: u64
                /// Number of seeds; the table shows medians and ranges.
                optional --seeds seeds: u64
                /// Servers of the group, for the bound of what can be served.
                optional --servers servers: f64
                /// Slots per server, for the bound of what can be served.
                optional --slots slots: f64
                /// Microseconds that a short statement takes, for the bound of what can be served.
                optional --statement-us statement_us: f64
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
    let first = arguments.entry.first().or(arguments.naive.as_ref());
    let first = first.ok_or_else(|| miette!("--entry or --naive is missing"))?;
    let setup = arguments.setup.as_ref().unwrap_or(first);
    let options = RunOptions {
        rate: arguments.rate.unwrap_or(500.0),
        reports: arguments.reports.unwrap_or(1.0),
        crest: arguments.crest.unwrap_or(3.0),
        span: Duration::from_secs(arguments.seconds.unwrap_or(10)),
        connections: arguments.connections.unwrap_or(driver::CONNECTION_LIMIT),
        seed: arguments.seed.unwrap_or(1),
        seeds: arguments.seeds.unwrap_or(1),
    };
    driver::prepare(setup, &mix).await.into_diagnostic()?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut sides = Vec::new();
    if !arguments.entry.is_empty() {
        sides.push(("banyansill", arguments.entry));
    }
    if let Some(naive) = arguments.naive {
        sides.push(("naive", vec![naive]));
    }
    let runs = options.run(&mix, &sides).await.into_diagnostic()?;
    let capacity = SlotCapacity {
        servers: arguments.servers.unwrap_or(3.0),
        slots: arguments.slots.unwrap_or(if mix.name == "magnolia" { 3.0 } else { 5.0 }),
        statement: arguments.statement_us.unwrap_or(2_000.0) / 1_000_000.0,
        report: 2.0,
    };
    print!("{}", options.report(&mix, &runs, &capacity));
    if let Some(folder) = arguments.output {
        report::write(&folder, &runs).map_err(|error| miette!("{error}"))?;
    }
    Ok(())
}
