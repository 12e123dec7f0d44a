"""The packet front end: balancers and agents that forward the raw packets of TCP-like flows.

A flow belongs to the upstream that accepts it and that the client then uses, so no balancer has to
claim a flow before it opens. An agent runs beside each upstream and knows the flows that the
upstream holds; balancers cache which upstream owns which flow.
"""
