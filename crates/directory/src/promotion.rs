//! The platform's part in a change of primary.

use {banyansill_core::names::SharedName, std::future::Future};

/// Order to make a target the primary of its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionOrder {
    /// Group.
    pub group: SharedName,
    /// Target that is to lead.
    pub target: SharedName,
    /// Host that gives the order.
    pub holder: SharedName,
    /// Fence: higher than that of every earlier order for the group. An order that is repeated keeps
    /// it, an order for another target gets a new one.
    pub fence: u64,
}

/// What the platform said of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromotionReply {
    /// The target leads or is about to.
    Accepted,
    /// A higher fence was seen, or the target is not running.
    Refused,
    /// Too many orders; this one was not carried out.
    Busy,
    /// No answer; the order may still be carried out, even seconds later.
    Unknown(String),
}

/// Way of orders to the platform.
pub trait PromotionPort: Clone + Send + Sync + 'static {
    /// Sends an order once and returns what the platform said.
    fn promote(&self, order: &PromotionOrder) -> impl Future<Output = PromotionReply> + Send;
}
