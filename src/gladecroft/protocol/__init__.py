"""Messages and settings. Only this package knows the field names used on the wire and in settings files."""
