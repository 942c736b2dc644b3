//! Metrics that are kept in the process and exposed in the Prometheus text format.
//!
//! A `cadence` sink that sums counters, keeps the latest value of gauges and counts times in a histogram.

use {
    cadence::{MetricSink, StatsdClient},
    std::{
        collections::BTreeMap,
        fmt::Write,
        io,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// Upper bounds of the histogram buckets in milliseconds; callers' latency goals lie between 500 and 1,500.
const BUCKET_BOUNDS_MS: [u64; 14] =
    [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 1_500, 2_000, 5_000, 10_000];

#[derive(Clone, Debug, Default)]
struct Histogram {
    counts: [u64; BUCKET_BOUNDS_MS.len() + 1],
    sum: u64,
}

#[derive(Debug, Default)]
struct RegistryState {
    counters: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
    histograms: BTreeMap<String, Histogram>,
}

/// Metrics of a process; clones share them.
#[derive(Clone, Debug, Default)]
pub struct MetricRegistry {
    state: Arc<Mutex<RegistryState>>,
}

impl MetricRegistry {
    /// Returns a client that records its metrics in this registry, with names that begin with `prefix`.
    #[must_use]
    pub fn client(&self, prefix: &str) -> StatsdClient {
        StatsdClient::from_sink(prefix, RegistrySink(self.clone()))
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let state = self.lock();
        let mut text = String::new();
        for (name, value) in state.counters.iter().chain(&state.gauges) {
            let _ = writeln!(text, "{name} {value}");
        }
        for (name, histogram) in &state.histograms {
            let (base, labels) = split_labels(name);
            let mut sum = 0;
            for (index, count) in histogram.counts.iter().enumerate() {
                sum += count;
                let bound = BUCKET_BOUNDS_MS
                    .get(index)
                    .map_or_else(|| "+Inf".to_owned(), ToString::to_string);
                let _ = writeln!(text, "{base}_bucket{{{labels}le=\"{bound}\"}} {sum}");
            }
            let labels = labels.trim_end_matches(',');
            let _ = writeln!(text, "{base}_sum{{{labels}}} {}", histogram.sum);
            let _ = writeln!(text, "{base}_count{{{labels}}} {sum}");
        }
        text
    }

    /// Records a metric in statsd format; ignores a malformed one.
    fn record(&self, metric: &str) {
        let Some((name, rest)) = metric.split_once(':') else { return };
        let mut parts = rest.split('|');
        let (Some(value), Some(kind)) = (parts.next(), parts.next()) else { return };
        let Ok(value) = value.parse::<u64>() else { return };
        let name = prometheus_name(name, parts.find_map(|part| part.strip_prefix('#')));
        let mut state = self.lock();
        match kind {
            "c" => *state.counters.entry(name).or_default() += value,
            "g" => {
                state.gauges.insert(name, value);
            }
            "ms" | "h" => {
                let histogram = state.histograms.entry(name).or_default();
                let bucket = BUCKET_BOUNDS_MS.partition_point(|bound| *bound < value);
                histogram.counts[bucket] += 1;
                histogram.sum += value;
            }
            _ => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Converts `a.b` with the tags `x:1,y:2` into `a_b{x="1",y="2"}`.
fn prometheus_name(name: &str, tags: Option<&str>) -> String {
    let mut text = name.replace(['.', '-'], "_");
    let Some(tags) = tags else { return text };
    let mut labels = Vec::new();
    for tag in tags.split(',') {
        let (key, value) = tag.split_once(':').unwrap_or((tag, ""));
        labels.push(format!("{key}=\"{value}\""));
    }
    let _ = write!(text, "{{{}}}", labels.join(","));
    text
}

/// Splits `a{x="1"}` into `a` and `x="1",`.
fn split_labels(name: &str) -> (&str, String) {
    match name.split_once('{') {
        Some((base, labels)) => (base, format!("{},", labels.trim_end_matches('}'))),
        None => (name, String::new()),
    }
}

struct RegistrySink(MetricRegistry);

impl MetricSink for RegistrySink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.0.record(metric);
        Ok(metric.len())
    }
}
