"""Fakes of the external systems, for tests, the demo and the soak.

The product code imports none of these modules.
"""
