"""Messages and settings: the only layer that knows the names used on the wire."""
