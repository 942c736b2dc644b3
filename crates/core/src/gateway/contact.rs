//! Order and pace in which an entry contacts control replicas.

use {
    super::{placement::Distance, share::rendezvous_weight},
    crate::{collections::FastMap, directory::ProcessHost, names::SharedName, time::Micros},
    std::collections::VecDeque,
};

/// Time without a connection after which an entry without routes connects to the next replica too. A replica in its
/// region accepts within a few milliseconds, one in another region within 40, so that with three seeds the first to
/// accept is usually a near one; a connection that is not used costs the replica no answer.
const URGENT_CONNECT_STAGGER: Micros = Micros::from_millis(10);

/// Time without an answer after which an entry without routes asks the next replica too; a replica in another region
/// that is up answers within 50 ms.
const URGENT_ASK_STAGGER: Micros = Micros::from_millis(100);

/// The same for an entry that serves its callers from the routes that it has.
const CALM_STAGGER: Micros = Micros::from_millis(1_200);

/// Timeout of a connection while no routes are known: regions are 20 ms apart, and a request for a connection that a
/// host without power missed is repeated by the network only after a second.
const URGENT_CONNECT_TIMEOUT: Micros = Micros::from_millis(100);

/// The same for an entry that has routes.
const CALM_CONNECT_TIMEOUT: Micros = Micros::from_millis(250);

/// Time after its start for which an entry without routes is in a hurry.
const URGENT_PERIOD: Micros = Micros::from_secs(3);

/// How fast an entry contacts one replica after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactPace {
    /// Callers wait for the first routes.
    Urgent,
    /// Replicas may be slow because of their load, which more contacts would add to.
    Calm,
}

impl ContactPace {
    /// Returns the pace of an entry that started `running_for` ago.
    ///
    /// Designed for 300 entries before control replicas that answer late: with five contacts of each entry every
    /// second, the replicas would be busy with nothing else.
    #[must_use]
    pub const fn new(has_routes: bool, running_for: Micros) -> Self {
        if has_routes || running_for.0 >= URGENT_PERIOD.0 { Self::Calm } else { Self::Urgent }
    }

    /// Returns the timeout of a connection to a replica.
    #[must_use]
    pub const fn connect_timeout(self) -> Micros {
        match self {
            Self::Urgent => URGENT_CONNECT_TIMEOUT,
            Self::Calm => CALM_CONNECT_TIMEOUT,
        }
    }

    const fn connect_stagger(self) -> Micros {
        match self {
            Self::Urgent => URGENT_CONNECT_STAGGER,
            Self::Calm => CALM_STAGGER,
        }
    }

    const fn ask_stagger(self) -> Micros {
        match self {
            Self::Urgent => URGENT_ASK_STAGGER,
            Self::Calm => CALM_STAGGER,
        }
    }
}

/// Returns the addresses of control replicas, the nearest ones first; the order within a distance differs between hosts.
///
/// Designed for zones without a replica: their entries receive the whole directory, and a confirmation five times a
/// second, which cost least within the region.
#[must_use]
pub fn nearest_replicas<'a, Replicas, Distances>(
    own: &ProcessHost,
    replicas: Replicas,
    distance: Distances,
) -> Vec<SharedName>
where
    Replicas: IntoIterator<Item = &'a ProcessHost>,
    Distances: Fn(&SharedName) -> Distance,
{
    let mut ordered: Vec<&ProcessHost> = replicas.into_iter().collect();
    ordered.sort_by_cached_key(|replica| {
        (distance(&replica.zone), rendezvous_weight(&replica.host, &own.host))
    });
    ordered.into_iter().map(|replica| replica.address.clone()).collect()
}

/// Returns whether no replica is nearer than the one at `address`; an unknown one counts as remote.
#[must_use]
pub fn is_nearest<'a, Replicas, Distances>(
    address: &SharedName,
    replicas: Replicas,
    distance: Distances,
) -> bool
where
    Replicas: IntoIterator<Item = &'a ProcessHost>,
    Distances: Fn(&SharedName) -> Distance,
{
    let (mut nearest, mut followed) = (Distance::Remote, Distance::Remote);
    for replica in replicas {
        let distance = distance(&replica.zone);
        nearest = nearest.min(distance);
        if replica.address == *address {
            followed = distance;
        }
    }
    followed <= nearest
}

/// Timeout of the first message of a replica while no routes are known. It is short because callers are waiting and
/// another replica may already have a leader.
const FIRST_MESSAGE_TIMEOUT: Micros = Micros::from_millis(500);

/// The same for an entry that has routes; a replica that is connected to its leader sends a message every 400 ms.
const MESSAGE_TIMEOUT: Micros = Micros::from_millis(1_200);

/// Longest timeout of the first message.
const MAX_FIRST_TIMEOUT: Micros = Micros::from_secs(5);

/// Shortest and longest delay before an entry contacts a replica again.
const RECONNECT_DELAYS: (Micros, Micros) = (Micros::from_millis(50), Micros::from_secs(1));

/// How long an entry waits for control, by the replicas that it left without a message in a row.
///
/// Designed for replicas that answer late because all entries contact them at once: an entry that leaves after a fixed
/// time asks the next replica for the same work again, and no answer is ever used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowPatience {
    losses: u32,
}

impl FollowPatience {
    /// Records that a replica was left without a message.
    pub const fn record_loss(&mut self) {
        self.losses = self.losses.saturating_add(1);
    }

    /// Records a message.
    pub const fn record_message(&mut self) {
        self.losses = 0;
    }

    /// Returns the timeout of the first message on a new stream.
    #[must_use]
    pub fn first_timeout(&self, has_routes: bool) -> Micros {
        let usual = if has_routes { MESSAGE_TIMEOUT } else { FIRST_MESSAGE_TIMEOUT };
        self.doubled(usual).min(MAX_FIRST_TIMEOUT)
    }

    /// Returns the delay before the next contact; it differs between hosts, so that they do not return together.
    #[must_use]
    pub fn reconnect_delay(&self, host: &str) -> Micros {
        let longest = self.doubled(RECONNECT_DELAYS.0).min(RECONNECT_DELAYS.1);
        let spread = rendezvous_weight(host, &self.losses.to_string()) % (longest.0 / 2 + 1);
        Micros(longest.0 - spread)
    }

    fn doubled(self, span: Micros) -> Micros {
        Micros(span.0.saturating_mul(1_u64.checked_shl(self.losses).unwrap_or(u64::MAX)))
    }
}

/// Time for which a replica that was lost is contacted only after the others. It covers one round over five replicas
/// that accept a contact and then stay silent for 1.2 s each.
const LOSS_TTL: Micros = Micros::from_secs(8);

/// Time for which a replica that has no directory yet is contacted only after the others: it joins within a second.
const UNREADY_TTL: Micros = Micros::from_secs(1);

/// Replicas that were lost recently.
///
/// Designed for a split of control: the replicas of the smaller half accept contacts but know no leader and send
/// nothing, and an entry that only passed over the last one that it lost would alternate between two of them.
#[derive(Clone, Debug, Default)]
pub struct ReplicaHistory {
    /// Last failed contact, by address.
    failures: FastMap<SharedName, ReplicaFailure>,
}

/// Failed contact with a replica.
#[derive(Clone, Copy, Debug)]
struct ReplicaFailure {
    at: Micros,
    /// Time for which the replica is contacted after the others.
    ttl: Micros,
}

impl ReplicaHistory {
    /// Records that a replica was lost.
    pub fn record_loss(&mut self, address: SharedName, now: Micros) {
        self.record(address, now, LOSS_TTL);
    }

    /// Records that a replica has no directory yet.
    ///
    /// Designed for the founding of control: one replica has the directory at first, and the entries of the other
    /// regions would stay with it for as long as after a loss.
    pub fn record_unready(&mut self, address: SharedName, now: Micros) {
        self.record(address, now, UNREADY_TTL);
    }

    fn record(&mut self, address: SharedName, now: Micros, ttl: Micros) {
        self.forget_old(now);
        self.failures.insert(address, ReplicaFailure { at: now, ttl });
    }

    /// Sorts addresses, in order of preference, so that the replicas lost most recently come last.
    pub fn order(&mut self, addresses: &mut [SharedName], now: Micros) {
        self.forget_old(now);
        addresses.sort_by_key(|address| self.failures.get(address).map(|failure| failure.at));
    }

    /// Returns whether no replica was lost recently, so that the preferred one should be followed.
    pub fn is_clear(&mut self, now: Micros) -> bool {
        self.forget_old(now);
        self.failures.is_empty()
    }

    fn forget_old(&mut self, now: Micros) {
        self.failures.retain(|_, failure| now.since(failure.at) < failure.ttl);
    }
}

/// Next step of a [`ContactPlan`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ContactStep {
    /// Connect to this replica now.
    Connect(SharedName),
    /// Ask again at this time, or once a contact has made progress.
    WaitUntil(Micros),
    /// Every replica was contacted; wait for the answers that are outstanding.
    Wait,
    /// Every replica was contacted and every contact failed.
    Exhausted,
}

/// Plan that contacts replicas one after the other, and the next one early if one is silent.
///
/// Designed for a loss of all power: replicas that are still down, suspended or cut off do not answer at all, and an
/// entry that waited for each of them in turn would refuse its callers meanwhile. Connections are opened in quick
/// succession until one is accepted; only an accepted one is used to ask for the routes, and the next replica is asked
/// later, since each answer is work for a replica whose followers all return at once.
#[derive(Clone, Debug)]
pub struct ContactPlan {
    addresses: VecDeque<SharedName>,
    /// Contacts that have neither failed nor answered.
    outstanding: usize,
    next_at: Micros,
    /// Time until which the last replica that was asked may answer before another one is asked.
    asked_until: Micros,
    pace: ContactPace,
}

impl ContactPlan {
    /// Creates a plan over `addresses`, the preferred one first.
    #[must_use]
    pub fn new(addresses: Vec<SharedName>, pace: ContactPace) -> Self {
        Self {
            addresses: addresses.into(),
            outstanding: 0,
            next_at: Micros::ZERO,
            asked_until: Micros::ZERO,
            pace,
        }
    }

    /// Returns the next step at `now`.
    pub fn next_step(&mut self, now: Micros) -> ContactStep {
        if self.addresses.is_empty() {
            return if self.outstanding == 0 { ContactStep::Exhausted } else { ContactStep::Wait };
        }
        let next_at = self.next_at.max(self.asked_until);
        if now < next_at {
            return ContactStep::WaitUntil(next_at);
        }
        let Some(address) = self.addresses.pop_front() else { return ContactStep::Wait };
        self.outstanding += 1;
        self.next_at = now + self.pace.connect_stagger();
        ContactStep::Connect(address)
    }

    /// Records that a replica accepted a connection; returns whether to ask it for the routes now.
    ///
    /// Otherwise another replica was asked a moment ago: the connection is closed, and the replica is contacted again
    /// if the other one does not answer.
    #[must_use]
    pub fn record_connected(&mut self, address: &SharedName, now: Micros) -> bool {
        if now < self.asked_until {
            self.outstanding = self.outstanding.saturating_sub(1);
            self.addresses.push_front(address.clone());
            return false;
        }
        self.asked_until = now + self.pace.ask_stagger();
        true
    }

    /// Records that a contact failed; the next replica is contacted at once, unless one that was asked may still
    /// answer.
    pub const fn record_failure(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.next_at = Micros::ZERO;
    }

    /// Records that a replica that was asked failed; another one may be asked at once.
    pub const fn record_refusal(&mut self) {
        self.record_failure();
        self.asked_until = Micros::ZERO;
    }
}
