"""A cluster for tests and trials: simulated counterparts of everything that a controller talks to, and a rule checker.

The service itself does not import this package.
"""
