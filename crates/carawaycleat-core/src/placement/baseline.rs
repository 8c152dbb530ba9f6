mod fixed;
mod recent;

pub use fixed::Fixed;
pub use recent::LeastRecentlyUsed;
