/// The order in which requests leave a [`Queue`](super::Queue).
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// Weighted deficit round robin over workspaces, in tokens, with the classes in order.
    #[default]
    Fair,
    /// The order of arrival over all workspaces and classes; a request that cannot run blocks those behind it.
    ///
    /// This is the baseline that the fair policy is measured against.
    Fifo,
}
