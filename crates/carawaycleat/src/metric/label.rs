macro_rules! label {
    ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum $name {
            $($(#[$doc])* $variant,)*
        }

        impl $name {
            /// All values.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the text of the label.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }
        }
    };
}

label! {
    /// Where tokens of a workspace's bucket went.
    Flow {
        /// Reserved for an admitted request.
        Admitted = "admitted",
        /// Returned because the request used less than its reservation.
        Refunded = "refunded",
        /// Lent to another host.
        Lent = "lent",
        /// Borrowed from another host.
        Borrowed = "borrowed",
    }
}

label! {
    /// What was decided about another attempt after a failure.
    Decision {
        /// The request was sent again from the start.
        Retried = "retried",
        /// The stream was resumed at its position.
        Resumed = "resumed",
        /// The operation must run at most once and may have run.
        NotIdempotent = "not_idempotent",
        /// No other upstream can serve the request.
        NoCandidate = "no_candidate",
        /// The limit of attempts or the deadline was reached.
        Exhausted = "exhausted",
    }
}

label! {
    /// A kind of call to the key-value service.
    Call {
        /// A read.
        Range = "range",
        /// A transaction.
        Transaction = "transaction",
        /// The grant, renewal or revocation of a lease.
        Lease = "lease",
        /// The start of a watch.
        Watch = "watch",
    }
}

label! {
    /// Why a sidecar refused a job.
    Refusal {
        /// The upstream is leaving.
        UpstreamLeaving = "upstream_leaving",
        /// The idempotency key was already executed.
        DuplicateRequest = "duplicate_request",
        /// The limit of requests is reached.
        Overloaded = "overloaded",
        /// The engine or service is not reachable.
        NoUpstream = "no_upstream",
        /// The message is malformed.
        InvalidRequest = "invalid_request",
    }
}

label! {
    /// What became of a placement order.
    Settlement {
        /// The order was sent for the first time.
        Sent = "sent",
        /// The order was sent again with the same id.
        Resent = "resent",
        /// The engine reports the effect of the order.
        Landed = "landed",
        /// The engine rejected the order.
        Rejected = "rejected",
        /// The order can no longer land.
        Expired = "expired",
    }
}
