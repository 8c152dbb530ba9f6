//! HTTP/1.1 server and client of the carawaycleat serving system.
//!
//! [`Server`] checks every request head and body length before the handler runs and sends the error responses itself.
//! [`Pool`] reports whether any byte of a failed request may have been sent, and [`Reader`] never reports a truncated
//! body as complete. Messages are decoded and responses encoded by `async-h1`.

#[macro_use]
extern crate quick_error;

mod body;
mod budget;
mod error;
mod head;
mod headers;
mod limits;
mod memory;
mod pace;
mod pool;
mod request;
mod response;
mod scanner;
mod server;
pub mod sse;
mod stream;

pub use body::Body;
pub use error::Error;
pub use error::Result;
pub use headers::Headers;
pub use limits::Limits;
pub use memory::Memory;
pub use memory::Reservation;
pub use pace::Pace;
pub use pool::Cause;
pub use pool::Connections;
pub use pool::Failure;
pub use pool::Pool;
pub use pool::Reader;
pub use pool::Reply;
pub use pool::Stage;
pub use request::Request;
pub use response::Response;
pub use server::Counts;
pub use server::Handle;
pub use server::Reason;
pub use server::Server;
pub use server::Unanswered;
pub use stream::Stream;
pub use stream::Writer;
pub use stream::stream;
pub use stream::stream_of;

/// The executor that runs servers.
pub type Executor = async_executor::Executor<'static>;
