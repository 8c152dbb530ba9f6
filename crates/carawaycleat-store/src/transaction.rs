/// Writes that take effect together if all conditions hold.
///
/// # Examples
///
/// ```
/// use carawaycleat_store as store;
///
/// let transaction = store::Transaction::new()
///     .when(store::Condition::Absent("/a".to_owned()))
///     .write(store::Write::put("/a", b"1"))
///     .otherwise_get("/a");
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    pub(crate) conditions: Vec<Condition>,
    pub(crate) writes: Vec<Write>,
    pub(crate) reads: Vec<String>,
}

/// A condition of a [`Transaction`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Condition {
    /// The key does not exist.
    Absent(String),
    /// The last write of the key was at this revision.
    Modified(String, u64),
    /// The key was created at this revision.
    Created(String, u64),
}

/// A write of a [`Transaction`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Write {
    /// Creates or replaces a key.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The lease that the key is bound to; 0 for none.
        lease: i64,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        key: String,
    },
}

impl Write {
    /// Returns a write that creates or replaces `key`.
    pub fn put(key: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        Self::Put {
            key: key.into(),
            value: value.into(),
            lease: 0,
        }
    }

    /// Returns a write that deletes `key`.
    pub fn delete(key: impl Into<String>) -> Self {
        Self::Delete { key: key.into() }
    }

    /// Binds the key of a put to `lease` and returns the write.
    #[must_use]
    pub fn bound_to(mut self, id: i64) -> Self {
        if let Self::Put { lease, .. } = &mut self {
            *lease = id;
        }
        self
    }
}

impl Transaction {
    /// Returns a transaction without conditions and writes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition and returns the transaction.
    #[must_use]
    pub fn when(mut self, condition: Condition) -> Self {
        self.conditions.push(condition);
        self
    }

    /// Adds a write and returns the transaction.
    #[must_use]
    pub fn write(mut self, write: Write) -> Self {
        self.writes.push(write);
        self
    }

    /// Adds a key to read when a condition does not hold, and returns the transaction.
    #[must_use]
    pub fn otherwise_get(mut self, key: impl Into<String>) -> Self {
        self.reads.push(key.into());
        self
    }
}
