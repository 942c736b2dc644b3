//! Which of many equal log lines are written.

use crate::{collections::FastMap, time::Micros};

/// Shortest time between two written lines of one kind; an outage repeats its line for every request.
const LINE_INTERVAL: Micros = Micros::from_secs(1);

/// Limit of log lines that repeat, one a second for each kind.
#[derive(Clone, Debug, Default)]
pub struct LineLimit {
    kinds: FastMap<&'static str, WrittenLine>,
}

#[derive(Clone, Copy, Debug)]
struct WrittenLine {
    at: Micros,
    left_out: u64,
}

impl LineLimit {
    /// Returns how many lines of a kind were left out since the last one, or `None` if this one is left out
    /// too.
    pub fn admit(&mut self, kind: &'static str, now: Micros) -> Option<u64> {
        let Some(line) = self.kinds.get_mut(kind) else {
            self.kinds.insert(kind, WrittenLine { at: now, left_out: 0 });
            return Some(0);
        };
        if now.since(line.at) < LINE_INTERVAL {
            line.left_out += 1;
            return None;
        }
        line.at = now;
        Some(std::mem::take(&mut line.left_out))
    }
}
