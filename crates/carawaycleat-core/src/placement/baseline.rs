mod fixed;
mod least_recently_used;

pub use fixed::Fixed;
pub use least_recently_used::LeastRecentlyUsed;
