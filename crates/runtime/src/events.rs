//! Events of this process, which form its part of the time line.

use {
    crate::clock::wall_millis,
    banyansill_core::{
        event::{EventNumber, HybridStamp},
        names::SharedName,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// Maximum number of events kept in memory for the time line; older ones are only in the log.
const MAX_EVENTS_KEPT: usize = 4_096;

/// Event on the time line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// When it happened.
    pub stamp: HybridStamp,
    /// Host that recorded it.
    pub host: SharedName,
    /// Number of the event in the catalogue.
    pub number: u16,
    /// Short description of the event.
    pub text: String,
    /// Fields that the catalogue lists for the number.
    pub fields: BTreeMap<String, String>,
}

#[derive(Debug)]
struct EventState {
    stamp: HybridStamp,
    records: VecDeque<EventRecord>,
}

/// Records numbered events in memory and in the log; clones share the records.
#[derive(Clone, Debug)]
pub struct EventSink {
    host: SharedName,
    state: Arc<Mutex<EventState>>,
}

impl EventSink {
    /// Creates a sink for the events of a host.
    #[must_use]
    pub fn new(host: SharedName) -> Self {
        let state = EventState { stamp: HybridStamp::default(), records: VecDeque::new() };
        Self { host, state: Arc::new(Mutex::new(state)) }
    }

    /// Records an event with its fields.
    pub fn record(&self, number: EventNumber, fields: &[(&str, String)]) {
        let mut state = self.lock();
        state.stamp = state.stamp.next(wall_millis());
        let mut map = BTreeMap::new();
        for (name, value) in fields {
            map.insert((*name).to_owned(), value.clone());
        }
        let record = EventRecord {
            stamp: state.stamp,
            host: self.host.clone(),
            number: number.number(),
            text: number.text().to_owned(),
            fields: map,
        };
        log::info!(target: "event", "{number} host={} {}", self.host, format_fields(&record.fields));
        if state.records.len() == MAX_EVENTS_KEPT {
            state.records.pop_front();
        }
        state.records.push_back(record);
    }

    /// Advances the clock past a stamp received with a message and returns the new stamp.
    #[must_use]
    pub fn observe(&self, remote: HybridStamp) -> HybridStamp {
        let mut state = self.lock();
        state.stamp = state.stamp.merge(remote, wall_millis());
        state.stamp
    }

    /// Returns the latest stamp, for an outgoing message.
    #[must_use]
    pub fn stamp(&self) -> HybridStamp {
        self.lock().stamp
    }

    /// Returns the events in memory with a stamp above `after`, oldest first.
    #[must_use]
    pub fn since(&self, after: HybridStamp) -> Vec<EventRecord> {
        let state = self.lock();
        let mut records = Vec::new();
        for record in &state.records {
            if record.stamp > after {
                records.push(record.clone());
            }
        }
        records
    }

    fn lock(&self) -> MutexGuard<'_, EventState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn format_fields(fields: &BTreeMap<String, String>) -> String {
    let mut text = String::new();
    for (name, value) in fields {
        if !text.is_empty() {
            text.push(' ');
        }
        text.push_str(name);
        text.push('=');
        text.push_str(value);
    }
    text
}
