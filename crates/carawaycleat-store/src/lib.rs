//! Adapter to the key-value service that holds the configuration.
