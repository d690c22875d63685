"""Command-line tools for operators. They send requests to running controllers and keep no state."""
