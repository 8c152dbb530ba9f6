/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Transition {
    /// The order was sent for the first time.
    Sent,
    /// The order was sent again with the same id.
    Resent,
    /// The engine reports the effect of the order.
    Landed,
    /// The engine rejected the order.
    Rejected,
    /// The order was not reported as done and can no longer land.
    Expired,
}

impl Transition {
    /// All values.
    pub const ALL: [Self; 5] = [
        Self::Sent,
        Self::Resent,
        Self::Landed,
        Self::Rejected,
        Self::Expired,
    ];

    /// Returns the text used in metrics and the timeline.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Resent => "resent",
            Self::Landed => "landed",
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
    /// What the order asks for.
    pub kind: super::Kind,
    /// The item.
    pub id: super::Id,
    /// What became of the order.
    pub transition: Transition,
}

impl Change {
    /// The kinds of orders in metrics and the timeline.
    pub const KINDS: [&str; 5] = ["load", "load_adapter", "unload", "unload_adapter", "fence"];

    pub(super) fn of(order: &super::Order, transition: Transition) -> Self {
        Self {
            order: order.id,
            kind: order.kind,
            id: order.item.id.clone(),
            transition,
        }
    }

    /// Returns the kind of the order, one of [`Change::KINDS`].
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
