//! Digests that all hosts compute alike, whatever version they run.

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns how close two names are to each other for the choice between them: the higher, the closer. The result is the same at
/// all hosts, and evenly spread.
#[must_use]
pub fn affinity(one: &str, other: &str) -> u64 {
    let bytes = one.bytes().chain([0]).chain(other.bytes());
    let hash = bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    // FNV-1a spreads the last bytes over the low bits only, so that names with a common beginning would be ordered alike.
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}
