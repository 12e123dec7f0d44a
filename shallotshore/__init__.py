"""Shallotshore: a layer-4 load balancer with the state of flows kept beside the upstreams."""

__all__ = ["__version__"]

__version__ = "0.1.0"
