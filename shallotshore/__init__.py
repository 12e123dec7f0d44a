"""Shallotshore: a layer-4 load balancer with the state of flows kept beside the upstreams."""

__all__ = ["__version__"]

import os

# grpcio reads this at its import. It would write a line for every refused handshake, and strangers
# can cause those at will.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")

__version__ = "0.1.0"
