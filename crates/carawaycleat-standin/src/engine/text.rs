//! The text of the engine's answers, a pure function of the request.

const WORDS: [&str; 32] = [
    "river", "stone", "amber", "field", "north", "paper", "light", "green", "maple", "cloud",
    "quiet", "seven", "wheat", "ocean", "brick", "lemon", "tower", "early", "glass", "plain",
    "round", "south", "table", "under", "vivid", "water", "young", "cedar", "delta", "eagle",
    "forge", "grain",
];

/// Returns the tokens of a whole answer. Each has a leading space.
///
/// # Examples
///
/// ```
/// use carawaycleat_standin::engine;
///
/// let long = engine::expected("small", None, "a prompt", 5);
/// let short = engine::expected("small", None, "a prompt", 3);
/// assert_eq!(long[..3], short[..]);
/// ```
pub fn expected(model: &str, adapter: Option<&str>, prompt: &str, max_tokens: u32) -> Vec<String> {
    let seed = seed(model, adapter, prompt);
    (0..max_tokens).map(|n| token(seed, n)).collect()
}

/// Returns the number that an answer's tokens are derived from.
pub(super) fn seed(model: &str, adapter: Option<&str>, prompt: &str) -> u64 {
    let mut hash = hash(0, model.as_bytes());
    hash = self::hash(hash, adapter.unwrap_or_default().as_bytes());
    self::hash(hash, prompt.as_bytes())
}

/// Returns token `n` of the answer of `seed`: a word and a number, so that answers seldom agree by chance.
pub(super) fn token(seed: u64, n: u32) -> String {
    let mixed = mix(seed ^ mix(u64::from(n) + 1));
    let word = WORDS[usize::try_from(mixed % 32).unwrap_or(0)];
    format!(" {word}{}", (mixed >> 32) % 1_000)
}

/// Returns the prompt that a chat's messages stand for.
pub fn chat_prompt<'a>(contents: impl IntoIterator<Item = &'a str>) -> String {
    contents.into_iter().collect::<Vec<_>>().join("\n")
}

/// Extends a hash by `bytes` and their length (FNV-1a with a final mix).
pub(super) fn hash(start: u64, bytes: &[u8]) -> u64 {
    let mut hash = start ^ 0xcbf2_9ce4_8422_2325;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    mix(hash ^ bytes.len() as u64)
}

fn mix(number: u64) -> u64 {
    let mut z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
