/// A workspace, which keys and rates belong to.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The share of the service that the workspace gets under contention, relative to other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

const MAX_WEIGHT: u32 = 1_000;

const fn default_weight() -> u32 {
    1
}

impl Workspace {
    pub(super) fn validate(&self) -> super::Result<()> {
        if !(1..=MAX_WEIGHT).contains(&self.weight) {
            return Err(super::Error::Field("weight", "from 1 to 1000"));
        }
        Ok(())
    }
}
