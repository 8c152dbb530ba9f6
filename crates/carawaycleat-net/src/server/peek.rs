use std::io;
use std::net;

/// What a caller has done since its request, as far as its socket shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Peek {
    /// It waits.
    Waiting,
    /// It has sent more bytes. They may hide a disconnect, because they stay unread.
    Sent,
    /// It has closed its sending side, or the connection is broken.
    Disconnected,
}

impl Peek {
    /// Looks at the unread bytes of a non-blocking socket.
    pub(super) fn new(stream: &async_io::Async<net::TcpStream>) -> Self {
        match stream.get_ref().peek(&mut [0]) {
            Ok(0) => Self::Disconnected,
            Ok(_) => Self::Sent,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Self::Waiting,
            Err(_) => Self::Disconnected,
        }
    }
}
