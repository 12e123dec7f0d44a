"""Benchmarks; `python -m bench` runs all of them."""
