"""Operators' commands. They speak to controllers by the protocol and hold no state of their own."""
