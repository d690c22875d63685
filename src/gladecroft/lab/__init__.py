"""A cluster to try things on: stand-ins for all that a controller speaks to, and an oracle of the rules.

Nothing of the daemon imports it.
"""
