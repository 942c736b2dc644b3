//! Reports of runs: table over the seeds, CSV, JSON, quantiles and SVG plots per kind.

use {
    crate::{
        driver::{LoadFigures, LoadPhase},
        mix::RequestMix,
        overhead::new_histogram,
    },
    hdrhistogram::Histogram,
    plotters::prelude::{
        BLUE, ChartBuilder, IntoDrawingArea, IntoLogRange, LineSeries, RED, SVGBackend, WHITE,
    },
    serde::Serialize,
    std::{collections::BTreeMap, error::Error, path::Path},
};

/// Figures of one side under one seed.
#[derive(Clone, Debug)]
pub struct SeedRun {
    /// Name of the side, `banyansill` or `naive`.
    pub side: &'static str,
    /// Seed of arrivals and keys.
    pub seed: u64,
    /// Figures by phase and kind.
    pub figures: LoadFigures,
}

/// What the servers of a group could serve at most.
#[derive(Clone, Copy, Debug)]
pub struct SlotCapacity {
    /// Servers of the group, the primary included.
    pub servers: f64,
    /// Statements that a server runs at a time.
    pub slots: f64,
    /// Seconds that a short statement takes.
    pub statement: f64,
    /// Seconds that a long statement takes.
    pub report: f64,
}

impl SlotCapacity {
    /// Returns how many short requests all slots together could serve in a phase.
    ///
    /// Writes run on the primary only. Long requests take their slots for their whole time, up to
    /// what arrives, and leave one slot per server.
    #[must_use]
    pub fn servable(&self, phase: &LoadPhase, reads: u64, writes: u64) -> f64 {
        let span = phase.span.as_secs_f64();
        let total = self.servers * self.slots;
        let long = (phase.reports * self.report).min(total - self.servers);
        let all = (total - long) / self.statement * span;
        #[allow(clippy::cast_precision_loss)]
        let (reads, writes) = (reads as f64, writes as f64);
        let writes = writes.min(self.slots / self.statement * span);
        writes + reads.min((all - writes).max(0.0))
    }
}

/// One row of the report.
#[derive(Clone, Debug, Serialize)]
pub struct ReportRow {
    /// Name of the side, `banyansill` or `naive`.
    pub side: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Phase of the run.
    pub phase: &'static str,
    /// Kind of request.
    pub kind: &'static str,
    /// Requests that arrived.
    pub offered: u64,
    /// Whole correct answers within the deadline.
    pub in_time: u64,
    /// Requests without an answer at their deadline.
    pub late: u64,
    /// Answers that say not run.
    pub refused: u64,
    /// Requests that got no connection.
    pub unconnected: u64,
    /// Other errors.
    pub failed: u64,
    /// Wrong answers.
    pub wrong: u64,
    /// Requests whose deadline had not passed when the run ended.
    pub unfinished: u64,
    /// Answers from a replica.
    pub from_replica: u64,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile in microseconds.
    pub p99_us: u64,
    /// 99th percentile of the time to a refusal in microseconds.
    pub refusal_p99_us: u64,
}

/// Returns the rows of all runs.
#[must_use]
pub fn rows(runs: &[SeedRun]) -> Vec<ReportRow> {
    let mut rows = Vec::new();
    for run in runs {
        for ((phase, kind), part) in &run.figures {
            rows.push(ReportRow {
                side: run.side,
                seed: run.seed,
                phase,
                kind,
                offered: part.offered,
                in_time: part.in_time,
                late: part.late,
                refused: part.refused,
                unconnected: part.unconnected,
                failed: part.failed,
                wrong: part.wrong,
                unfinished: part.unfinished,
                from_replica: part.from_replica,
                p50_us: part.latency.value_at_quantile(0.5),
                p99_us: part.latency.value_at_quantile(0.99),
                refusal_p99_us: part.refusal.value_at_quantile(0.99),
            });
        }
    }
    rows
}

/// Shares of the short requests of one phase.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PhaseShares {
    /// Answers to reads in time that came from replicas, in parts of all answers to reads in time.
    pub replica: f64,
    /// Whole correct answers within their deadline / offered.
    pub service: f64,
    /// Whole correct answers within their deadline / what the slots could serve at most.
    pub of_servable: f64,
}

/// Returns the shares of a phase.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn shares(
    figures: &LoadFigures,
    mix: &RequestMix,
    phase: &LoadPhase,
    capacity: &SlotCapacity,
) -> PhaseShares {
    let (mut reads, mut answered, mut writes, mut replica, mut in_time) = (0, 0, 0, 0, 0);
    for entry in &mix.entries {
        let Some((_, part)) = figures.iter().find(|(key, _)| **key == (phase.name, entry.kind))
        else {
            continue;
        };
        in_time += part.in_time;
        if entry.writes {
            writes += part.offered;
            continue;
        }
        reads += part.offered;
        answered += part.in_time;
        replica += part.from_replica;
    }
    let servable = capacity.servable(phase, reads, writes);
    PhaseShares {
        replica: replica as f64 / answered.max(1) as f64,
        service: in_time as f64 / (reads + writes).max(1) as f64,
        of_servable: in_time as f64 / servable.max(1.0),
    }
}

/// Median with the least and the greatest value.
fn spread<T>(mut values: Vec<T>, show: impl Fn(&T) -> String) -> String
where
    T: PartialOrd,
{
    values.sort_by(|left, right| left.partial_cmp(right).unwrap_or(std::cmp::Ordering::Equal));
    let (Some(first), Some(last)) = (values.first(), values.last()) else { return String::new() };
    let middle = show(&values[values.len() / 2]);
    if values.len() == 1 {
        return middle;
    }
    format!("{middle} [{}..{}]", show(first), show(last))
}

#[allow(clippy::cast_precision_loss)]
fn millis(value: &u64) -> String {
    format!("{:.1}", *value as f64 / 1_000.0)
}

/// Returns the report as a table for people: medians and ranges over the seeds.
#[must_use]
pub fn table(rows: &[ReportRow]) -> String {
    let mut groups: BTreeMap<(&str, &str, &str), Vec<&ReportRow>> = BTreeMap::new();
    for row in rows {
        groups.entry((row.phase, row.kind, row.side)).or_default().push(row);
    }
    let mut text = format!(
        "{:<10} {:<15} {:<11} {:>8} {:>8} {:>7} {:>8} {:>7} {:>6} {:>6} {:>24} {:>26} {:>10}\n",
        "phase",
        "kind",
        "side",
        "offered",
        "in time",
        "late",
        "refused",
        "unconn.",
        "failed",
        "wrong",
        "p50 ms",
        "p99 ms",
        "refusal"
    );
    for ((phase, kind, side), group) in groups {
        let sum = |value: fn(&ReportRow) -> u64| -> u64 {
            let mut sum = 0;
            for row in &group {
                sum += value(row);
            }
            sum
        };
        let mut quantiles = (Vec::new(), Vec::new(), Vec::new());
        for row in &group {
            quantiles.0.push(row.p50_us);
            quantiles.1.push(row.p99_us);
            quantiles.2.push(row.refusal_p99_us);
        }
        quantiles.2.sort_unstable();
        let refusal = millis(&quantiles.2[quantiles.2.len() / 2]);
        text.push_str(&format!(
            "{phase:<10} {kind:<15} {side:<11} {:>8} {:>8} {:>7} {:>8} {:>7} {:>6} {:>6} {:>24} {:>26} {refusal:>10}\n",
            sum(|row| row.offered),
            sum(|row| row.in_time),
            sum(|row| row.late + row.unfinished),
            sum(|row| row.refused),
            sum(|row| row.unconnected),
            sum(|row| row.failed),
            sum(|row| row.wrong),
            spread(quantiles.0, millis),
            spread(quantiles.1, millis),
        ));
    }
    text
}

/// Returns the shares of each phase and side for people: medians and ranges over the seeds.
#[must_use]
pub fn share_table(
    runs: &[SeedRun],
    mix: &RequestMix,
    phases: &[LoadPhase],
    capacity: &SlotCapacity,
) -> String {
    let mut text = String::new();
    for phase in phases {
        let mut sides: BTreeMap<&str, Vec<PhaseShares>> = BTreeMap::new();
        for run in runs {
            let part = shares(&run.figures, mix, phase, capacity);
            sides.entry(run.side).or_default().push(part);
        }
        for (side, parts) in sides {
            let column = |value: fn(&PhaseShares) -> f64| {
                let mut values = Vec::new();
                for part in &parts {
                    values.push(value(part) * 100.0);
                }
                spread(values, |value| format!("{value:.1}"))
            };
            text.push_str(&format!(
                "{:<10} {side:<11} reads from replicas {}%  service {}%  of servable {}%\n",
                phase.name,
                column(|part| part.replica),
                column(|part| part.service),
                column(|part| part.of_servable),
            ));
        }
    }
    text
}

/// Writes `report.csv`, `report.json`, `quantiles.csv` and one `latency-KIND.svg` per kind into a
/// folder.
///
/// # Errors
///
/// Returns an error if a file cannot be written.
pub fn write(folder: &Path, runs: &[SeedRun]) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(folder)?;
    let rows = rows(runs);
    let mut writer = csv::Writer::from_path(folder.join("report.csv"))?;
    for row in &rows {
        writer.serialize(row)?;
    }
    writer.flush()?;
    std::fs::write(folder.join("report.json"), serde_json::to_vec_pretty(&rows)?)?;
    let merged = merge(runs)?;
    let mut writer = csv::Writer::from_path(folder.join("quantiles.csv"))?;
    writer.write_record(["kind", "phase", "side", "quantile", "latency_us", "count"])?;
    for ((kind, phase, side), histogram) in &merged {
        for value in histogram.iter_quantiles(4) {
            writer.write_record([
                (*kind).to_owned(),
                (*phase).to_owned(),
                (*side).to_owned(),
                value.quantile_iterated_to().to_string(),
                value.value_iterated_to().to_string(),
                value.count_since_last_iteration().to_string(),
            ])?;
        }
    }
    writer.flush()?;
    let mut kinds = Vec::new();
    for (kind, _, _) in merged.keys() {
        if kinds.last() != Some(kind) {
            kinds.push(*kind);
        }
    }
    for kind in kinds {
        plot(&folder.join(format!("latency-{kind}.svg")), kind, &merged)?;
    }
    Ok(())
}

type MergedFigures = BTreeMap<(&'static str, &'static str, &'static str), Histogram<u64>>;

fn merge(runs: &[SeedRun]) -> Result<MergedFigures, Box<dyn Error>> {
    let mut merged = MergedFigures::new();
    for run in runs {
        for ((phase, kind), part) in &run.figures {
            let histogram = merged.entry((*kind, *phase, run.side)).or_insert_with(new_histogram);
            histogram.add(&part.latency)?;
        }
    }
    Ok(merged)
}

/// Plots latency over percentile of one kind, one line per phase and side.
fn plot(path: &Path, kind: &str, merged: &MergedFigures) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, (800, 500)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..100.0, (100.0..100_000_000.0).log_scale())?;
    chart.configure_mesh().x_desc("percentile").y_desc("latency, µs").draw()?;
    for ((known, _, side), histogram) in merged {
        if *known != kind || histogram.is_empty() {
            continue;
        }
        let mut points = Vec::new();
        for step in 0..=1_000 {
            let quantile = f64::from(step) / 1_000.0;
            #[allow(clippy::cast_precision_loss)]
            let value = histogram.value_at_quantile(quantile).max(100) as f64;
            points.push((quantile * 100.0, value));
        }
        let color = if *side == "naive" { RED } else { BLUE };
        chart.draw_series(LineSeries::new(points, color))?;
    }
    root.present()?;
    Ok(())
}
