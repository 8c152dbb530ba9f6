/// Returns the value of `key` in a query string.
pub(super) fn value<'a>(query: Option<&'a str>, key: &str) -> Option<&'a str> {
    let mut pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(name, _)| *name == key).map(|(_, value)| value)
}
