use crate::headers;
use crate::scanner;

/// The maximum number of headers that `async-h1` decodes.
pub(crate) const MAX_HEADERS: usize = 128;

/// Returns the length of the head in `bytes`, or none if it is incomplete. The bytes before `from` have been searched
/// already.
pub(crate) fn end(bytes: &[u8], from: usize) -> Option<usize> {
    let from = from.saturating_sub(3);
    bytes[from..]
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .map(|offset| from + offset + 4)
}

/// Converts parsed headers. The error describes what is invalid.
///
/// Values that are not ASCII are rejected, because `async-h1` panics on them.
pub(crate) fn to_headers(
    parsed: &[httparse::Header<'_>],
) -> Result<headers::Headers, &'static str> {
    let mut headers = headers::Headers::new();
    for header in parsed {
        let value = std::str::from_utf8(header.value)
            .ok()
            .filter(|value| value.is_ascii());
        headers.append(header.name, value.ok_or("header value is not ASCII")?);
    }
    Ok(headers)
}

/// Determines from the headers how the end of the body is found. The error describes what is invalid.
pub(crate) fn framing(headers: &headers::Headers) -> Result<scanner::Framing, &'static str> {
    let mut length = None;
    for value in headers.all("content-length") {
        if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err("invalid content-length");
        }
        let value = value.parse::<u64>().map_err(|_| "invalid content-length")?;
        if length.replace(value).is_some_and(|other| other != value) {
            return Err("content-length headers differ");
        }
    }
    let mut encodings = headers.all("transfer-encoding");
    match (encodings.next(), encodings.next(), length) {
        (None, _, None) => Ok(scanner::Framing::None),
        (None, _, Some(length)) => Ok(scanner::Framing::Length(length)),
        (Some(_), _, Some(_)) => Err("both content-length and transfer-encoding"),
        (Some(encoding), None, None) if encoding.eq_ignore_ascii_case("chunked") => {
            Ok(scanner::Framing::Chunked)
        }
        _ => Err("unsupported transfer-encoding"),
    }
}
