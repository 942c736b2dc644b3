//! Reports of a run: table, CSV, JSON and an SVG plot.

use {
    crate::{driver::LoadFigures, mix::RequestMix},
    plotters::prelude::{
        BLUE, ChartBuilder, IntoDrawingArea, IntoLogRange, LineSeries, RED, SVGBackend, WHITE,
    },
    serde::Serialize,
    std::{error::Error, path::Path},
};

/// One row of the report.
#[derive(Clone, Debug, Serialize)]
pub struct ReportRow {
    /// Name of the side, `banyansill` or `naive`.
    pub side: &'static str,
    /// Phase of the run.
    pub phase: &'static str,
    /// Kind of request.
    pub kind: &'static str,
    /// Requests that arrived.
    pub offered: u64,
    /// Whole correct answers within the deadline.
    pub in_time: u64,
    /// Whole correct answers after the deadline.
    pub late: u64,
    /// Answers that say not run.
    pub refused: u64,
    /// Other errors.
    pub failed: u64,
    /// Wrong answers.
    pub wrong: u64,
    /// Answers from a replica.
    pub from_replica: u64,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile in microseconds.
    pub p99_us: u64,
}

/// Returns the rows of one side.
#[must_use]
pub fn rows(side: &'static str, figures: &LoadFigures) -> Vec<ReportRow> {
    let mut rows = Vec::new();
    for ((phase, kind), part) in figures {
        rows.push(ReportRow {
            side,
            phase,
            kind,
            offered: part.offered,
            in_time: part.in_time,
            late: part.late,
            refused: part.refused,
            failed: part.failed,
            wrong: part.wrong,
            from_replica: part.from_replica,
            p50_us: part.latency.value_at_quantile(0.5),
            p99_us: part.latency.value_at_quantile(0.99),
        });
    }
    rows
}

/// Share of the short reads of a phase that replicas answered, and service (in time / offered).
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn shares(figures: &LoadFigures, mix: &RequestMix, phase: &str) -> (f64, f64) {
    let (mut reads, mut replica, mut offered, mut in_time) = (0, 0, 0, 0);
    for entry in &mix.entries {
        let Some((_, part)) = figures.iter().find(|(key, _)| **key == (phase, entry.kind)) else {
            continue;
        };
        offered += part.offered;
        in_time += part.in_time;
        if entry.writes {
            continue;
        }
        reads += part.in_time + part.late;
        replica += part.from_replica;
    }
    (replica as f64 / reads.max(1) as f64, in_time as f64 / offered.max(1) as f64)
}

/// Returns the report as a table for people.
#[must_use]
pub fn table(rows: &[ReportRow]) -> String {
    let mut text = format!(
        "{:<11} {:<14} {:<15} {:>8} {:>8} {:>6} {:>8} {:>7} {:>6} {:>8} {:>9} {:>9}\n",
        "side",
        "phase",
        "kind",
        "offered",
        "in time",
        "late",
        "refused",
        "failed",
        "wrong",
        "replica",
        "p50 µs",
        "p99 µs"
    );
    for row in rows {
        text.push_str(&format!(
            "{:<11} {:<14} {:<15} {:>8} {:>8} {:>6} {:>8} {:>7} {:>6} {:>8} {:>9} {:>9}\n",
            row.side,
            row.phase,
            row.kind,
            row.offered,
            row.in_time,
            row.late,
            row.refused,
            row.failed,
            row.wrong,
            row.from_replica,
            row.p50_us,
            row.p99_us
        ));
    }
    text
}

/// Writes `report.csv`, `report.json` and `latency.svg` into a folder.
///
/// # Errors
///
/// Returns an error if a file cannot be written.
pub fn write(
    folder: &Path,
    rows: &[ReportRow],
    sides: &[(&'static str, &LoadFigures)],
) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(folder)?;
    let mut writer = csv::Writer::from_path(folder.join("report.csv"))?;
    for row in rows {
        writer.serialize(row)?;
    }
    writer.flush()?;
    std::fs::write(folder.join("report.json"), serde_json::to_vec_pretty(rows)?)?;
    plot(&folder.join("latency.svg"), sides)
}

/// Plots latency over quantile of all short requests, one line per side.
fn plot(path: &Path, sides: &[(&'static str, &LoadFigures)]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, (800, 500)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..100.0, (10.0..100_000_000.0).log_scale())?;
    chart.configure_mesh().x_desc("percentile").y_desc("latency, µs").draw()?;
    for (index, (_, figures)) in sides.iter().enumerate() {
        let mut merged = crate::overhead::new_histogram();
        for part in figures.values() {
            merged.add(&part.latency)?;
        }
        let mut points = Vec::new();
        for step in 0..=1_000 {
            let quantile = f64::from(step) / 1_000.0;
            #[allow(clippy::cast_precision_loss)]
            let value = merged.value_at_quantile(quantile).max(10) as f64;
            points.push((quantile * 100.0, value));
        }
        let color = if index == 0 { BLUE } else { RED };
        chart.draw_series(LineSeries::new(points, color))?;
    }
    root.present()?;
    Ok(())
}
