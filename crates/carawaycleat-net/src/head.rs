use crate::headers;
use crate::scanner;

/// The number of headers that `async-h1` decodes.
pub(crate) const MAX_HEADERS: usize = 128;

/// Returns the length of the head in `bytes`, or none when it is not complete.
pub(crate) fn end(bytes: &[u8], from: usize) -> Option<usize> {
    let from = from.saturating_sub(3);
    bytes[from..]
        .windows(4)
        .position(|part| part == b"\r\n\r\n")
        .map(|at| from + at + 4)
}

/// Returns the headers in owned form. The error is a description of the fault.
///
/// `async-h1` panics on a header value that is not ASCII.
pub(crate) fn own(parsed: &[httparse::Header<'_>]) -> Result<headers::Headers, &'static str> {
    let mut headers = headers::Headers::new();
    for header in parsed {
        let value = std::str::from_utf8(header.value)
            .ok()
            .filter(|value| value.is_ascii());
        headers.append(header.name, value.ok_or("header value is not ASCII")?);
    }
    Ok(headers)
}

/// Returns how the body ends. The error is a description of the fault.
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
