"""A test cluster: simulated users, workers, cloud and state service, and an oracle that checks the rules of PROTOCOL.

The service itself does not import this package.
"""
