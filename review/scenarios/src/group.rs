//! Replicated database service: one log, replicas that receive it over the network, terms and promotion.
//!
//! It follows the page on the protocol: a commit reaches each replica after the network's delay. With `sync_replicas` 1
//! it is acknowledged once one replica has received it and the confirmation has returned. What a primary has not sent
//! when it crashes never arrives. A promoted server leads with what it has received, and replicas that were ahead of it
//! are rolled back.

use {
    crate::record::Record,
    std::{
        sync::{Condvar, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Committed write or transaction.
#[derive(Clone, Debug)]
pub struct LogEntry {
    pub term: u64,
    pub number: u64,
    /// Identifiers of the writes, and of the commit of a transaction.
    pub ids: Vec<String>,
    committed_at: Instant,
}

/// One server of the service.
#[derive(Clone, Debug)]
pub struct Member {
    pub id: String,
    /// One-way delay of the network from the primary.
    pub delay: Duration,
    /// Whether the process runs.
    pub running: bool,
    /// Number of log entries that it has received.
    pub received: usize,
    paused: bool,
    /// Whether the server has been promoted or paused under this term.
    held_term: u64,
}

/// Promotion that took effect.
#[derive(Clone, Debug)]
pub struct Promotion {
    pub id: String,
    pub fence: u64,
    /// Number of log entries that the promoted server had received.
    pub received: usize,
    /// Acknowledged commits that it had not received.
    pub lost: Vec<LogEntry>,
}

/// Position, role and terms of a server, as it reports them.
#[derive(Clone, Copy, Debug)]
pub struct View {
    pub primary: bool,
    pub term: u64,
    pub position: (u64, u64),
    pub held_term: u64,
}

#[derive(Debug)]
struct State {
    term: u64,
    /// Number of the server that leads or led last.
    leader: usize,
    /// Whether the leader was demoted and nobody has been promoted since.
    demoted: bool,
    log: Vec<LogEntry>,
    /// Positions of the acknowledged commits.
    acknowledged: Vec<(u64, u64)>,
    rolled_back: Vec<(u64, u64)>,
    members: Vec<Member>,
    promotions: Vec<Promotion>,
}

/// State of a service, shared by its servers.
#[derive(Debug)]
pub struct Group {
    pub name: String,
    pub sync_replicas: usize,
    record: Record,
    state: Mutex<State>,
    changed: Condvar,
}

impl Group {
    /// Creates a service; the first of `members`, names and delays, is its primary.
    #[must_use]
    pub fn new(
        name: &str,
        sync_replicas: usize,
        members: &[(&str, Duration)],
        record: Record,
    ) -> Self {
        let members = members.iter().map(|(id, delay)| member(id, *delay, 0)).collect();
        let state = State {
            term: 1,
            leader: 0,
            demoted: false,
            log: Vec::new(),
            acknowledged: Vec::new(),
            rolled_back: Vec::new(),
            members,
            promotions: Vec::new(),
        };
        let (state, changed) = (Mutex::new(state), Condvar::new());
        Self { name: name.to_owned(), sync_replicas, record, state, changed }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.deliver(Instant::now());
        state
    }

    /// Adds a server that holds the log of another one, and returns its number.
    pub fn add_with_log_of(&self, id: &str, other: usize) -> usize {
        let mut state = self.lock();
        let (delay, received) = (state.members[other].delay, state.members[other].received);
        state.members.push(member(id, delay, received));
        state.members.len() - 1
    }

    /// Empties the log of a server that is about to start again; it receives everything from the primary.
    pub fn empty(&self, server: usize) {
        self.lock().members[server].received = 0;
    }

    /// Ends the process of a server, or starts it again with its log.
    pub fn set_running(&self, server: usize, running: bool) {
        let mut state = self.lock();
        state.members[server].running = running;
        if running {
            state.members[server].paused = false;
        }
        self.changed.notify_all();
    }

    /// Returns whether a server's process runs.
    #[must_use]
    pub fn is_running(&self, server: usize) -> bool {
        self.lock().members[server].running
    }

    /// Returns the number of the server with a name.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<usize> {
        self.lock().members.iter().position(|member| member.id == id)
    }

    /// Returns what a server reports about itself.
    #[must_use]
    pub fn view(&self, server: usize) -> View {
        let state = self.lock();
        let member = &state.members[server];
        let last = member.received.checked_sub(1).and_then(|last| state.log.get(last));
        let primary = state.leader == server && !state.demoted;
        View {
            primary,
            term: state.term,
            position: last.map_or((1, 0), |entry| (entry.term, entry.number)),
            held_term: member.held_term,
        }
    }

    /// Returns whether a server has received the log up to a position.
    #[must_use]
    pub fn has_position(&self, server: usize, position: (u64, u64)) -> bool {
        self.view(server).position >= position
    }

    /// Commits on a server and returns the position, or `None` if it does not lead.
    pub fn commit(&self, server: usize, ids: Vec<String>) -> Option<(u64, u64)> {
        let mut state = self.lock();
        if state.leader != server || state.demoted || !state.members[server].running {
            return None;
        }
        let (term, number) = (state.term, state.log.len() as u64 + 1);
        state.log.push(LogEntry { term, number, ids, committed_at: Instant::now() });
        state.members[server].received = state.log.len();
        Some((term, number))
    }

    /// Waits until a commit may be acknowledged; returns false if it is rolled back or the server ends or is demoted.
    pub fn wait_acknowledged(&self, server: usize, position: (u64, u64)) -> bool {
        loop {
            let mut state = self.lock();
            let lost = state.rolled_back.contains(&position)
                || state.leader != server
                || state.demoted
                || !state.members[server].running;
            if lost {
                return false;
            }
            if state.confirmations(server, position, Instant::now()) >= self.sync_replicas {
                state.acknowledged.push(position);
                return true;
            }
            // A confirmation arrives with time, not with a change.
            let wait = Duration::from_millis(1);
            drop(self.changed.wait_timeout(state, wait));
        }
    }

    /// Stops a replica from receiving, if the term is above the one that it holds.
    pub fn pause(&self, server: usize, term: u64) {
        let mut state = self.lock();
        let is_replica = state.leader != server || state.demoted;
        if is_replica && term > state.term {
            let member = &mut state.members[server];
            member.paused = true;
            member.held_term = member.held_term.max(term);
        }
    }

    /// Lets a paused replica receive again.
    pub fn resume(&self, server: usize) {
        self.lock().members[server].paused = false;
    }

    /// Makes a primary of a lower term a replica.
    pub fn demote(&self, server: usize, term: u64) {
        let mut state = self.lock();
        if state.leader == server && state.term < term {
            state.demoted = true;
            state.members[server].held_term = state.members[server].held_term.max(term);
            self.changed.notify_all();
        }
    }

    /// Makes a server the primary of the next term, unless it is the primary.
    pub fn promote(&self, server: usize, fence: u64) {
        let mut state = self.lock();
        if !state.members[server].running || (state.leader == server && !state.demoted) {
            return;
        }
        let retained = state.members[server].received;
        let removed = state.log.split_off(retained);
        let mut lost = Vec::new();
        for entry in removed {
            let position = (entry.term, entry.number);
            state.rolled_back.push(position);
            if state.acknowledged.contains(&position) {
                lost.push(entry);
            }
        }
        state.term += 1;
        state.leader = server;
        state.demoted = false;
        for member in &mut state.members {
            member.received = member.received.min(retained);
            member.paused = false;
        }
        let (id, term) = (state.members[server].id.clone(), state.term);
        let mut ids = Vec::new();
        for entry in &lost {
            ids.push(format!("{}.{} ({})", entry.term, entry.number, entry.ids.join(" ")));
        }
        self.record.say(&format!(
            "service {}: {id} leads term {term} with {retained} commits; acknowledged commits that it lacks: {}",
            self.name,
            if ids.is_empty() { "none".to_owned() } else { ids.join(", ") }
        ));
        state.promotions.push(Promotion { id, fence, received: retained, lost });
        self.changed.notify_all();
    }

    /// Returns the promotions that took effect.
    #[must_use]
    pub fn promotions(&self) -> Vec<Promotion> {
        self.lock().promotions.clone()
    }

    /// Returns the name of each server, whether it runs, and how many commits it has.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.lock().members.clone()
    }
}

fn member(id: &str, delay: Duration, received: usize) -> Member {
    Member { id: id.to_owned(), delay, running: true, received, paused: false, held_term: 0 }
}

impl State {
    /// Delivers to each replica what has arrived by now; nothing more arrives once the primary has ended.
    fn deliver(&mut self, now: Instant) {
        let Self { log, members, leader, demoted, .. } = self;
        if *demoted || !members[*leader].running {
            return;
        }
        for (number, member) in members.iter_mut().enumerate() {
            if number == *leader || !member.running || member.paused {
                continue;
            }
            while log
                .get(member.received)
                .is_some_and(|entry| entry.committed_at + member.delay <= now)
            {
                member.received += 1;
            }
        }
    }

    /// Returns how many replicas have confirmed a commit to the primary.
    fn confirmations(&self, primary: usize, position: (u64, u64), now: Instant) -> usize {
        let Some(entry) =
            usize::try_from(position.1).ok().and_then(|number| self.log.get(number - 1))
        else {
            return 0;
        };
        let mut confirmed = 0;
        for (number, member) in self.members.iter().enumerate() {
            let received = number != primary
                && member.running
                && member.received as u64 >= position.1
                && entry.committed_at + 2 * member.delay <= now;
            confirmed += usize::from(received);
        }
        confirmed
    }
}
