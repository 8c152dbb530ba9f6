/// The result of a probe of an upstream from which responses broke off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// It responded.
    Alive,
    /// No process accepts requests at its address, or another one does.
    Gone,
    /// It did not respond in time.
    Silent,
}
