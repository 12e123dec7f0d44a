"""Shallotshore: a layer-4 load balancer that keeps the state of flows beside their upstreams."""

__all__ = ["__version__"]

import os

# grpcio reads this variable when it is imported. By default grpcio logs a line for every refused
# handshake, so any host without a certificate could flood the log.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")

__version__ = "0.1.0"
