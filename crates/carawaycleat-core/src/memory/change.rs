/// A step in the life cycle of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Transition {
    /// The order was sent for the first time.
    Sent,
    /// The order was sent again with the same identifier.
    Resent,
    /// The engine reported the effect of the order.
    Applied,
    /// The engine rejected the order.
    Rejected,
    /// The engine never reported the order as done, and it can no longer be applied.
    Expired,
}

impl Transition {
    /// All transitions, in the order of their declaration.
    pub const ALL: [Self; 5] = [
        Self::Sent,
        Self::Resent,
        Self::Applied,
        Self::Rejected,
        Self::Expired,
    ];

    /// Returns the name used in metrics and the timeline.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Resent => "resent",
            Self::Applied => "landed",
            Self::Rejected => "rejected",
            Self::Expired => "expired",
        }
    }
}

/// A change of an order, for metrics and the timeline.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The identifier of the order.
    pub order: u64,
    /// What the order does.
    pub kind: super::Kind,
    /// The item of the order.
    pub id: super::Id,
    /// The step that the order took.
    pub transition: Transition,
}

impl Change {
    /// The names of the kinds of orders in metrics and the timeline.
    pub const KINDS: [&str; 5] = ["load", "load_adapter", "unload", "unload_adapter", "fence"];

    pub(super) fn of(order: &super::Order, transition: Transition) -> Self {
        Self {
            order: order.id,
            kind: order.kind,
            id: order.item.id.clone(),
            transition,
        }
    }

    /// Returns the name of the kind of the order, one of [`Change::KINDS`].
    pub const fn kind(&self) -> &'static str {
        match (self.kind, self.id.adapter.is_some()) {
            (super::Kind::Load, false) => "load",
            (super::Kind::Load, true) => "load_adapter",
            (super::Kind::Unload, false) => "unload",
            (super::Kind::Unload, true) => "unload_adapter",
            (super::Kind::Fence, _) => "fence",
        }
    }
}
