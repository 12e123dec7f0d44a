"""The packet front end: balancers and agents that carry the raw packets of TCP-like flows.

The ends of a flow settle which upstream owns it, so nothing is claimed before a flow opens. The
agent beside an upstream knows the flows that its upstream holds; balancers cache the owners.
"""
