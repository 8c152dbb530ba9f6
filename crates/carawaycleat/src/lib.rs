//! Serving system for many models on fewer accelerators.
