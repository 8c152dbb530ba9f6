//! Prompts of a given length.
//!
//! A word of three letters and a space is one token both for the entry host, which counts four bytes as one, and for
//! the stand-in engine, which counts words.

use super::draw;

/// The role of the one message of a request.
pub(super) const ROLE: &str = "user";

const BYTES_PER_TOKEN: usize = 4;

/// Appends `tokens` words.
pub(super) fn words(random: &mut fastrand::Rng, tokens: u32, out: &mut String) {
    for _ in 0..tokens {
        for _ in 0..BYTES_PER_TOKEN - 1 {
            out.push(random.lowercase());
        }
        out.push(' ');
    }
}

/// Returns shared prefix `number` of the load `purpose`.
pub(super) fn prefix(seed: u64, purpose: u64, number: u32, tokens: u32) -> String {
    let mut random = draw::generator(seed ^ purpose.rotate_left(32), u64::from(number) + 1);
    let mut text = String::new();
    words(&mut random, tokens, &mut text);
    text
}

/// Returns the tokens that entry hosts count for a chat of one message with this text.
pub fn counted(prompt: &str) -> u64 {
    // The role and two line ends belong to the prompt text.
    let bytes = ROLE.len() + prompt.len() + 2;
    bytes.div_ceil(BYTES_PER_TOKEN) as u64
}
