//! The HTTP interface for callers: parses chat and completion requests and encodes responses and refusals.

mod refusal;
mod request;
mod response;

pub use refusal::Refusal;
pub use request::Form;
pub use request::Request;
pub use response::Response;
pub use response::Usage;

use carawaycleat_core::name;

/// Number of bytes of prompt text that count as one token.
///
/// Prompt tokens are counted at admission, so that the charge to a workspace does not depend on the engine that runs
/// the request.
pub const BYTES_PER_PROMPT_TOKEN: usize = 4;

quick_error! {
    /// The error of parsing a request.
    #[derive(Debug)]
    pub enum Error {
        /// The body is not valid JSON, or a field has the wrong type.
        Json(source: serde_json::Error) {
            display("{}: {source}", if source.is_data() { "the body has a wrong field" } else { "the body is not valid JSON" })
            source(source)
            from()
        }
        /// The body is valid JSON, but not an object.
        Object {
            display("the body must be a JSON object")
        }
        /// A field has a value that is not allowed.
        Field(field: &'static str, allowed: &'static str) {
            display("field `{field}` must be {allowed}")
        }
        /// A header has a value that is not allowed.
        Header(header: &'static str, allowed: &'static str) {
            display("header `{header}` must be {allowed}")
        }
        /// The model or adapter is not a valid name.
        Name(source: name::Error) {
            display("field `model` is not valid: {source}")
            source(source)
            from()
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
