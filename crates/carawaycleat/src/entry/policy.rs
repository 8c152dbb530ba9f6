use carawaycleat_core::entry;
use carawaycleat_core::placement;

/// The policies of an entry host, as values that a benchmark can replace by a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Policy {
    /// The options of the reducer. The limits of the queue and the shards of the rates come from the settings.
    pub options: entry::Options,
    /// The placement of models.
    pub placement: placement::Policy,
}
