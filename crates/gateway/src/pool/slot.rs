//! Execution slots of a target and places in the queue for them.

use {
    super::target::TargetPool,
    banyansill_core::{names::SharedName, queue::SlotTicket, time::Micros},
    banyansill_target::StatementProtocol,
    bytes::Bytes,
    std::rc::Rc,
};

/// Parameters of a request for a slot of a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotOptions<'a> {
    /// Caller's identifier of the request; empty for a statement that the entry itself runs.
    pub(crate) request: &'a Bytes,
    /// Database of the session.
    pub(crate) database: &'a SharedName,
    /// Team of the session; empty if it has none.
    pub(crate) team: &'a SharedName,
    /// Priority of the session's route; lower values are served first.
    pub(crate) priority: u32,
    /// Time after which an answer is useless.
    pub(crate) deadline: Micros,
}

/// Purpose of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SlotKind {
    /// A statement or transaction that still needs a connection; with `detour` it may use one of another entry
    /// if this one cannot reach the target.
    Fresh { detour: bool },
    /// A statement of an open transaction, which has a connection and is served first.
    Continued,
}

/// Guard of a slot or of a place in the queue, which is released when the guard is dropped.
#[derive(Debug)]
pub(crate) struct SlotGuard<P>
where
    P: StatementProtocol,
{
    pub(super) pool: Rc<TargetPool<P>>,
    pub(super) ticket: SlotTicket,
    /// Time at which the statement was sent, while its answer is outstanding.
    pub(super) sent_at: Option<Micros>,
    /// Response time of the target, once the statement is answered.
    pub(super) ran: Option<Micros>,
}

impl<P> SlotGuard<P>
where
    P: StatementProtocol,
{
    pub(super) const fn new(pool: Rc<TargetPool<P>>, ticket: SlotTicket) -> Self {
        Self { pool, ticket, sent_at: None, ran: None }
    }

    pub(super) const fn record_answer(&mut self, ran: Micros) {
        self.sent_at = None;
        self.ran = Some(ran);
    }
}

impl<P> Drop for SlotGuard<P>
where
    P: StatementProtocol,
{
    fn drop(&mut self) {
        self.pool.end_slot(self.ticket, self.ran, self.sent_at);
    }
}
