"""State kept in the state service: record types, their in-memory copy, and transactions on them."""
