use std::net;

use crate::name;
use crate::quarantine;
use crate::timeline;

/// An output of the [`Reducer`](super::Reducer), which the daemon carries out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a command to the task of a request.
    Command(super::Id, super::Command),
    /// Find out whether the upstream at this address still responds.
    Probe(name::Name, net::SocketAddr),
    /// Tell all hosts about the crash of an upstream.
    Publish(quarantine::Crash),
    /// Send a report to the coordinator at once.
    Report,
    /// Write records of streams to the store for other hosts.
    StoreStreams(Vec<super::StreamRecord>),
    /// Read the record of versions, and then the records of streams of all hosts, which
    /// [`Event::StreamsRead`](super::Event::StreamsRead) returns.
    ReadStreams,
    /// Replace the store's record of the software versions in service. Only the coordinator's host writes it.
    StoreVersions(Vec<super::Origin>),
    /// Record in the store that the software versions are complete again after its restoration to this era. Only the
    /// coordinator's host writes it.
    StoreSettlement(u64),
    /// Keep at most this many connections to an address open, idle ones included; none ends the limit.
    LimitConnections(net::SocketAddr, Option<u32>),
    /// Add a request that has ended to the metrics.
    Measure(super::Summary),
    /// Log a decision.
    Record(timeline::Decision),
}
