"""Unit tests and scenarios; run them all with `python -m tests`."""

import standins  # noqa: F401  puts the adapter of the users' platform on the path
