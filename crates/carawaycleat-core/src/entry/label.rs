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

            /// Returns the text used in metrics.
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
        /// No other upstream became free before the deadline.
        NoCandidate = "no_candidate",
        /// Another attempt cannot help, or the limit of attempts, the retry budget or the deadline was reached.
        Exhausted = "exhausted",
    }
}
