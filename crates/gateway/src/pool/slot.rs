//! Slots of a target: the right of one statement to run or queue there.

use {
    super::target::TargetPool,
    banyansill_core::{names::SharedName, queue::SlotTicket, time::Micros},
    banyansill_target::StatementProtocol,
    bytes::Bytes,
    std::rc::Rc,
};

/// What a statement needs of a target's slots.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotOptions<'a> {
    /// Caller's identifier of the request; empty if the statement is not a caller's.
    pub(crate) request: &'a Bytes,
    /// Database of the session.
    pub(crate) database: &'a SharedName,
    /// Priority of its route.
    pub(crate) priority: u32,
    /// Time at which the answer is worthless.
    pub(crate) deadline: Micros,
}

/// What a slot is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SlotKind {
    /// A statement or transaction that needs a connection, if need be of another entry.
    Fresh { detour: bool },
    /// A statement of a transaction, which has a connection and goes first.
    Continued,
}

/// A place in the queue or a slot; dropping it gives it back.
#[derive(Debug)]
pub(crate) struct SlotGuard<P>
where
    P: StatementProtocol,
{
    pub(super) pool: Rc<TargetPool<P>>,
    pub(super) ticket: SlotTicket,
    /// When the statement was sent, while its answer is outstanding.
    pub(super) asked: Option<Micros>,
    /// Time that the target took.
    pub(super) ran: Option<Micros>,
}

impl<P> SlotGuard<P>
where
    P: StatementProtocol,
{
    pub(super) const fn new(pool: Rc<TargetPool<P>>, ticket: SlotTicket) -> Self {
        Self { pool, ticket, asked: None, ran: None }
    }

    pub(super) const fn record_answer(&mut self, ran: Micros) {
        self.asked = None;
        self.ran = Some(ran);
    }
}

impl<P> Drop for SlotGuard<P>
where
    P: StatementProtocol,
{
    fn drop(&mut self) {
        self.pool.end_slot(self.ticket, self.ran, self.asked);
    }
}
