//! HTTP/1.1 server and client of the carawaycleat serving system.
