//! Interface to the platform, which carries out promotions.

use {banyansill_core::names::SharedName, std::future::Future};

/// Order to make a target the primary of its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionOrder {
    /// Group of the target.
    pub group: SharedName,
    /// Target that becomes the primary.
    pub target: SharedName,
    /// Host of the control replica that gives the order.
    pub holder: SharedName,
    /// Fencing number, higher than that of every earlier promotion of the group. A repeated order keeps it; an
    /// order for another target gets a new one.
    pub fence: u64,
}

/// Response of the platform to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromotionReply {
    /// The target is the primary or is about to become it.
    Accepted,
    /// The platform has seen a higher fencing number, or the target is not running.
    Refused,
    /// The platform received too many orders and did not carry out this one.
    Busy,
    /// The outcome is unknown for the given reason; the order may still be carried out, even seconds later.
    Unknown(String),
}

/// Connection to the platform, implemented by its adapter.
pub trait PromotionPort: Clone + Send + Sync + 'static {
    /// Sends an order once, without retries, and returns the response.
    fn promote(&self, order: &PromotionOrder) -> impl Future<Output = PromotionReply> + Send;
}
