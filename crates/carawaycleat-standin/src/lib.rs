//! Stand-ins for the systems around carawaycleat, a load generator and a demonstration.
