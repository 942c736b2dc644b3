//! Rate limit for repeated log lines.

use crate::{collections::FastMap, time::Micros};

/// Minimum interval between two written lines of one kind; during an outage every request logs one.
const LOG_INTERVAL: Micros = Micros::from_secs(1);

/// Rate limiter for repeated log lines: one per second for each kind.
#[derive(Clone, Debug, Default)]
pub struct LogRateLimiter {
    kinds: FastMap<&'static str, LastWritten>,
}

#[derive(Clone, Copy, Debug)]
struct LastWritten {
    at: Micros,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Decides whether to write a log line of a kind.
    ///
    /// Returns the number of lines suppressed since the last written one, or `None` if this line is
    /// to be suppressed too.
    pub fn admit(&mut self, kind: &'static str, now: Micros) -> Option<u64> {
        let Some(line) = self.kinds.get_mut(kind) else {
            self.kinds.insert(kind, LastWritten { at: now, suppressed: 0 });
            return Some(0);
        };
        if now.since(line.at) < LOG_INTERVAL {
            line.suppressed += 1;
            return None;
        }
        line.at = now;
        Some(std::mem::take(&mut line.suppressed))
    }
}
