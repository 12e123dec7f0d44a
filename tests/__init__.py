"""Tests; they mirror the modules."""

import standins  # noqa: F401  puts the adapter of the users' platform on the path
