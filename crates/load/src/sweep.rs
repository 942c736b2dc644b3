//! Runs of a mix over several seeds and sides.

use {
    crate::{
        driver::{self, LoadPhase, LoadPlan},
        mix::RequestMix,
        report::{self, SeedRun, SlotCapacity},
    },
    std::time::Duration,
    tokio_postgres::Error,
};

/// Rates, lengths and seeds of a series of runs.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// Short requests per second before the crest.
    pub rate: f64,
    /// Long requests per second while reports run.
    pub reports: f64,
    /// Factor of the crest.
    pub crest: f64,
    /// Length of a phase.
    pub span: Duration,
    /// Greatest number of connections per kind.
    pub connections: usize,
    /// First seed.
    pub seed: u64,
    /// Number of seeds.
    pub seeds: u64,
}

impl RunOptions {
    /// Returns the phases: short work alone, beside reports, and at the crest beside reports.
    #[must_use]
    pub fn phases(&self) -> Vec<LoadPhase> {
        let phase = |name, rate, reports| LoadPhase { name, rate, reports, span: self.span };
        vec![
            phase("1-base", self.rate, 0.0),
            phase("2-reports", self.rate, self.reports),
            phase("3-crest", self.rate * self.crest, self.reports),
        ]
    }

    /// Runs every seed against every side.
    ///
    /// # Errors
    ///
    /// Returns an error if a side accepts no connection at the start of a run.
    pub async fn run(
        &self,
        mix: &RequestMix,
        sides: &[(&'static str, Vec<String>)],
    ) -> Result<Vec<SeedRun>, Error> {
        let mut runs = Vec::new();
        for seed in self.seed..self.seed + self.seeds.max(1) {
            let plan = LoadPlan {
                mix: mix.clone(),
                phases: self.phases(),
                connections: self.connections,
                seed,
            };
            for (side, urls) in sides {
                runs.push(SeedRun { side, seed, figures: driver::run(urls, &plan).await? });
            }
        }
        Ok(runs)
    }

    /// Returns the printed report of the runs.
    #[must_use]
    pub fn report(&self, mix: &RequestMix, runs: &[SeedRun], capacity: &SlotCapacity) -> String {
        format!(
            "mix {}, seeds {}..{}, counts summed over the seeds, quantiles and shares as median \
             [least..greatest]\n{}{}",
            mix.name,
            self.seed,
            self.seed + self.seeds.max(1) - 1,
            report::table(&report::rows(runs)),
            report::share_table(runs, mix, &self.phases(), capacity)
        )
    }
}
