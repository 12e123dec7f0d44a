"""Measurements; run them all with `python -m bench`."""
