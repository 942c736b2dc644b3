//! Load of control replicas by entries that contact them at once, on virtual time.
//!
//! The model follows the stream of updates: a contact ends once the replica accepts the stream, and the entry then waits
//! for the first message. A replica shares its processor among all work that waits, which is the worst case: a process
//! whose tasks each finish what they began lies between this and a queue.

use {
    banyansill_core::{
        gateway::{ContactPace, ContactPlan, ContactStep, ReplicaHistory},
        names::SharedName,
        time::Micros,
    },
    std::collections::VecDeque,
};

/// Step of the virtual time.
const STEP: Micros = Micros::from_millis(5);

/// Length of a run.
const RUN_STEPS: u64 = 1_600;

/// Replicas of control.
const REPLICAS: usize = 5;

/// Share of a processor that a replica has.
const PROCESSOR_SHARE: f64 = 0.6;

/// Processor time of a replica for a connection and its request, in microseconds.
const CONTACT_COST: f64 = 1_000.0;

/// Fixed part of a first answer, in microseconds.
const ANSWER_COST: f64 = 300.0;

/// Part of a first answer for each entry that it lists, in microseconds: `docs/CAPACITY.md` has 7 to 15 us for 311 B,
/// and the record of an entry takes about 45 B.
const ANSWER_COST_PER_ENTRY: f64 = 1.5;

/// Timeout of the first message while no routes are known.
const FIRST_MESSAGE_TIMEOUT: Micros = Micros::from_millis(500);

/// Timeout of a contact, and of the first message of an entry that has routes.
const MESSAGE_TIMEOUT: Micros = Micros::from_millis(1_200);

/// Pause of an entry after it lost a replica.
const RECONNECT_DELAY: Micros = Micros::from_millis(50);

/// First answers that a replica prepares at a time under [`AnswerRule::Queued`].
const MAX_OPEN_ANSWERS: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    /// All entries start at once, without routes.
    Restart,
    /// The same, and one replica is ten times slower.
    SlowReplica,
    /// The first replica is lost; its followers, which have routes, contact the others.
    LeaderLost,
}

/// How a replica answers the followers that it accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerRule {
    /// All first answers at once; a follower without one leaves in time.
    Shared,
    /// Few at a time and in order; those that wait receive empty messages.
    Queued,
}

/// Work of a replica for one contact.
struct ReplicaWork {
    entry: usize,
    contact: u64,
    /// Processor time left, in microseconds.
    left: f64,
}

#[derive(Default)]
struct ReplicaModel {
    contacts: Vec<ReplicaWork>,
    answers: VecDeque<ReplicaWork>,
}

#[derive(Default)]
struct EntryModel {
    history: ReplicaHistory,
    plan: Option<ContactPlan>,
    /// Contacts that no replica accepted yet: number, replica and time.
    contacting: Vec<(u64, usize, Micros)>,
    /// Accepted stream without a message: number of its contact, replica and time limit.
    stream: Option<(u64, usize, Micros)>,
    has_routes: bool,
    followed: bool,
    resumes_at: Micros,
    contacts: usize,
}

#[derive(Debug)]
struct LoadReport {
    /// Time until every entry had its first answer.
    settled: Option<Micros>,
    contacts: usize,
    most_contacts: usize,
}

impl LoadReport {
    fn settled_within(&self, limit: Micros) -> bool {
        self.settled.is_some_and(|settled| settled <= limit)
    }
}

fn address(index: usize) -> SharedName {
    index.to_string().into()
}

struct OverloadModel {
    entries: Vec<EntryModel>,
    replicas: Vec<ReplicaModel>,
    disturbance: Disturbance,
    rule: AnswerRule,
    start: Micros,
    last_contact: u64,
}

impl OverloadModel {
    fn new(count: usize, disturbance: Disturbance, rule: AnswerRule) -> Self {
        let has_routes = disturbance == Disturbance::LeaderLost;
        let mut entries = Vec::new();
        for number in 0..count {
            let followed = has_routes && number % REPLICAS != 0;
            entries.push(EntryModel { has_routes, followed, ..EntryModel::default() });
        }
        let replicas = (0..REPLICAS).map(|_| ReplicaModel::default()).collect();
        let start = Micros::from_secs(3_600);
        Self { entries, replicas, disturbance, rule, start, last_contact: 0 }
    }

    fn step_entry(&mut self, number: usize, now: Micros) {
        let elapsed = now.since(self.start);
        let entry = &mut self.entries[number];
        if entry.followed || now < entry.resumes_at {
            return;
        }
        if let Some((_, replica, limit)) = entry.stream {
            if now >= limit {
                entry.history.record_loss(address(replica), now);
                entry.stream = None;
                entry.resumes_at = now + RECONNECT_DELAY;
            }
            return;
        }
        let history = &mut entry.history;
        let plan = entry.plan.get_or_insert_with(|| {
            let mut addresses: Vec<SharedName> =
                (0..REPLICAS).map(|offset| address((number + offset) % REPLICAS)).collect();
            history.order(&mut addresses, now);
            ContactPlan::new(addresses, ContactPace::new(entry.has_routes, elapsed))
        });
        entry.contacting.retain(|(_, replica, since)| {
            let is_late = now.since(*since) >= MESSAGE_TIMEOUT;
            if is_late {
                history.record_loss(address(*replica), now);
                plan.record_failure();
            }
            !is_late
        });
        let lost = (self.disturbance == Disturbance::LeaderLost).then_some(0);
        let is_up = |replica: usize| lost != Some(replica);
        loop {
            let entry = &mut self.entries[number];
            let Some(plan) = entry.plan.as_mut() else { return };
            match plan.next_step(now) {
                ContactStep::Connect(to) => {
                    entry.contacts += 1;
                    let replica: usize = to.parse().expect("a number");
                    if is_up(replica) {
                        assert!(plan.record_connected(&to, now), "one is asked at a time");
                    } else {
                        let entry = &mut self.entries[number];
                        entry.history.record_loss(to, now);
                        entry.plan.as_mut().expect("a plan").record_failure();
                        continue;
                    }
                    self.last_contact += 1;
                    let contact = self.last_contact;
                    self.entries[number].contacting.push((contact, replica, now));
                    let work = ReplicaWork { entry: number, contact, left: CONTACT_COST };
                    self.replicas[replica].contacts.push(work);
                }
                ContactStep::WaitUntil(_) | ContactStep::Wait => return,
                ContactStep::Exhausted => {
                    entry.plan = None;
                    entry.resumes_at = now + RECONNECT_DELAY;
                    return;
                }
            }
        }
    }

    fn step_replica(&mut self, index: usize, now: Micros) {
        let slow = self.disturbance == Disturbance::SlowReplica && index == 1;
        let speed = if slow { PROCESSOR_SHARE / 10.0 } else { PROCESSOR_SHARE };
        let Self { entries, replicas, rule, .. } = self;
        let replica = &mut replicas[index];
        let is_awaited =
            |work: &ReplicaWork| entries[work.entry].stream.is_some_and(|it| it.0 == work.contact);
        replica.answers.retain(is_awaited);
        let open_answers = match rule {
            AnswerRule::Shared => replica.answers.len(),
            AnswerRule::Queued => replica.answers.len().min(MAX_OPEN_ANSWERS),
        };
        let tasks = replica.contacts.len() + open_answers;
        let share = STEP.0 as f64 * speed / tasks.max(1) as f64;
        for work in replica.answers.iter_mut().take(open_answers) {
            work.left -= share;
            if work.left <= 0.0 {
                entries[work.entry].followed = true;
            }
        }
        replica.answers.retain(|work| work.left > 0.0);
        for work in &mut replica.contacts {
            work.left -= share;
        }
        let answer_cost = ANSWER_COST_PER_ENTRY.mul_add(entries.len() as f64, ANSWER_COST);
        for work in replica.contacts.extract_if(.., |work| work.left <= 0.0) {
            let entry = &mut entries[work.entry];
            let is_wanted = entry.contacting.iter().any(|(contact, ..)| *contact == work.contact);
            if !is_wanted {
                continue;
            }
            entry.contacting.clear();
            entry.plan = None;
            let limit = match rule {
                AnswerRule::Queued => Micros(u64::MAX),
                AnswerRule::Shared if entry.has_routes => now + MESSAGE_TIMEOUT,
                AnswerRule::Shared => now + FIRST_MESSAGE_TIMEOUT,
            };
            entry.stream = Some((work.contact, index, limit));
            replica.answers.push_back(ReplicaWork { left: answer_cost, ..work });
        }
    }

    fn play(mut self) -> LoadReport {
        let mut settled = None;
        for step in 0..RUN_STEPS {
            let now = self.start + Micros(STEP.0 * step);
            for number in 0..self.entries.len() {
                self.step_entry(number, now);
            }
            for index in 0..REPLICAS {
                self.step_replica(index, now);
            }
            if self.entries.iter().all(|entry| entry.followed) {
                settled = Some(now.since(self.start));
                break;
            }
        }
        let contacts = || self.entries.iter().map(|entry| entry.contacts);
        let most_contacts = contacts().max().unwrap_or_default();
        LoadReport { settled, contacts: contacts().sum(), most_contacts }
    }
}

// Guards against replicas that stay busy with contacts: at 300 entries, the load ends within 5 s, and no entry makes more
// than three contacts.
#[test]
fn control_leaves_the_load_of_300_entries() {
    use Disturbance::{LeaderLost, Restart, SlowReplica};
    for disturbance in [Restart, SlowReplica, LeaderLost] {
        let report = OverloadModel::new(300, disturbance, AnswerRule::Shared).play();
        assert!(report.settled_within(Micros::from_secs(5)), "{disturbance:?}: {report:?}");
        assert!(report.most_contacts <= 3, "{disturbance:?}: {report:?}");
        assert!(report.contacts <= 2 * 300, "{disturbance:?}: {report:?}");
    }
}

// Guards the finding of `docs/design/control-overload.md`: where the present rule breaks in the model, and that a queue
// of first answers, which is not built, would carry 1,000 entries.
#[test]
fn first_answers_in_order_carry_1_000_entries() {
    use Disturbance::{LeaderLost, Restart, SlowReplica};
    for disturbance in [Restart, SlowReplica] {
        let report = OverloadModel::new(1_000, disturbance, AnswerRule::Shared).play();
        assert_eq!(report.settled, None, "{disturbance:?}: {report:?}");
    }
    for disturbance in [Restart, SlowReplica, LeaderLost] {
        let report = OverloadModel::new(1_000, disturbance, AnswerRule::Queued).play();
        assert!(report.settled_within(Micros::from_secs(5)), "{disturbance:?}: {report:?}");
    }
}
