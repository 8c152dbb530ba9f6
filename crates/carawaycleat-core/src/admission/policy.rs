/// The order in which requests are taken from a [`Queue`](super::Queue).
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// Weighted deficit round robin over workspaces, counted in tokens, with more urgent classes first.
    #[default]
    Fair,
    /// The order of arrival over all workspaces and classes. A request that cannot run blocks those behind it.
    ///
    /// A baseline for comparisons with the fair policy.
    Fifo,
}
