//! Request mixes of the two deployments.

use std::time::Duration;

/// One kind of request in a mix.
#[derive(Clone, Debug)]
pub struct MixEntry {
    /// Name of the kind in the sheet.
    pub kind: &'static str,
    /// Application that sends it.
    pub application: &'static str,
    /// Statement with its kind tag; `$1` is a row number.
    pub statement: &'static str,
    /// Whether the statement writes.
    pub writes: bool,
    /// Whether it runs many times longer than the others.
    pub long: bool,
    /// Share of the arrivals, in requests per thousand.
    pub weight: u32,
    /// Time after which an answer is worthless.
    pub deadline: Duration,
}

/// A deployment's mix with its tables.
#[derive(Clone, Debug)]
pub struct RequestMix {
    /// Name of the mix.
    pub name: &'static str,
    /// Statements that create the tables.
    pub setup: &'static [&'static str],
    /// Short kinds.
    pub entries: Vec<MixEntry>,
    /// Long kind, sent at a rate of its own.
    pub report: MixEntry,
}

const SECOND: Duration = Duration::from_secs(1);

const HAMPER_SETUP: &[&str] = &[
    "CREATE TABLE IF NOT EXISTS stock (item bigint PRIMARY KEY, quantity bigint)",
    "CREATE TABLE IF NOT EXISTS orders (id bigserial PRIMARY KEY, item bigint, caller text)",
];

const MAGNOLIA_SETUP: &[&str] = &[
    "CREATE TABLE IF NOT EXISTS repairs (item bigint PRIMARY KEY, quantity bigint)",
    "CREATE TABLE IF NOT EXISTS bookings (id bigserial PRIMARY KEY, item bigint, caller text)",
];

impl RequestMix {
    /// Returns the mix with the given name, `hamper-board` or `magnolia`.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "hamper-board" => Some(Self::hamper_board()),
            "magnolia" => Some(Self::magnolia()),
            _ => None,
        }
    }

    /// Stock checks dominate; some orders; a reconciliation now and then.
    #[must_use]
    pub fn hamper_board() -> Self {
        let stock_check = MixEntry {
            kind: "stock-check",
            application: "depot",
            statement: "/* kind=stock-check */ SELECT item, quantity, pg_is_in_recovery() FROM stock WHERE item = $1",
            writes: false,
            long: false,
            weight: 850,
            deadline: SECOND,
        };
        let order = MixEntry {
            kind: "order",
            application: "coordinator",
            statement: "/* kind=order */ INSERT INTO orders (item, caller) VALUES ($1, 'load') RETURNING item",
            writes: true,
            long: false,
            weight: 100,
            deadline: 5 * SECOND,
        };
        let status = MixEntry {
            kind: "order-status",
            application: "coordinator",
            statement: "/* kind=order-status */ SELECT item, quantity, pg_is_in_recovery() FROM stock WHERE item = $1",
            writes: false,
            long: false,
            weight: 50,
            deadline: SECOND,
        };
        let report = MixEntry {
            kind: "reconciliation",
            application: "finance",
            statement: "/* kind=reconciliation */ SELECT item, quantity, pg_is_in_recovery(), pg_sleep(2) FROM stock WHERE item = $1",
            writes: false,
            long: true,
            weight: 0,
            deadline: 120 * SECOND,
        };
        Self {
            name: "hamper-board",
            setup: HAMPER_SETUP,
            entries: vec![stock_check, order, status],
            report,
        }
    }

    /// Readiness checks dominate; bookings; a report now and then.
    #[must_use]
    pub fn magnolia() -> Self {
        let readiness = MixEntry {
            kind: "readiness",
            application: "customer",
            statement: "/* kind=readiness */ SELECT item, quantity, pg_is_in_recovery() FROM repairs WHERE item = $1",
            writes: false,
            long: false,
            weight: 800,
            deadline: SECOND,
        };
        let booking = MixEntry {
            kind: "booking",
            application: "customer",
            statement: "/* kind=booking */ INSERT INTO bookings (item, caller) VALUES ($1, 'load') RETURNING item",
            writes: true,
            long: false,
            weight: 200,
            deadline: 5 * SECOND,
        };
        let report = MixEntry {
            kind: "report",
            application: "shop",
            statement: "/* kind=report */ SELECT item, quantity, pg_is_in_recovery(), pg_sleep(2) FROM repairs WHERE item = $1",
            writes: false,
            long: true,
            weight: 0,
            deadline: 120 * SECOND,
        };
        Self { name: "magnolia", setup: MAGNOLIA_SETUP, entries: vec![readiness, booking], report }
    }

    /// Returns the table that the short reads use.
    #[must_use]
    pub fn table(&self) -> &'static str {
        if self.name == "magnolia" { "repairs" } else { "stock" }
    }
}
