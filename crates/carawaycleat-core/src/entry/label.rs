macro_rules! label {
    ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum $name {
            $($(#[$doc])* $variant,)*
        }

        impl $name {
            /// All values, in the order of their declaration.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the value of the metric label.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }
        }
    };
}

label! {
    /// Why the number of tokens in a workspace's bucket changed.
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
    /// Decision about a retry after a failed attempt.
    Decision {
        /// The request was sent again from the start.
        Retried = "retried",
        /// The stream was resumed at its position.
        Resumed = "resumed",
        /// The operation must run at most once and may have run.
        NotIdempotent = "not_idempotent",
        /// No other upstream became available before the deadline.
        NoCandidate = "no_candidate",
        /// Another attempt cannot help, or the limit of attempts, the retry budget or the deadline was reached.
        Exhausted = "exhausted",
    }
}
