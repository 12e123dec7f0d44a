"""Unit tests and scenarios; run them all with `python -m tests`."""
