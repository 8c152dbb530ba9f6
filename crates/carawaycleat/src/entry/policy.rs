use carawaycleat_core::entry;
use carawaycleat_core::placement;

/// The policies of an entry host as plain values, so that measurements can compare them with baselines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Policy {
    /// The options of the reducer. The bounds of the queue and the division of the rates come from the settings.
    pub options: entry::Options,
    /// The placement of models.
    pub placement: placement::Policy,
}
