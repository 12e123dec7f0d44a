"""Unit tests and scenarios; run them all with `python -m tests`."""

import standins  # noqa: F401  adds `platform/`, which has the platform adapter, to sys.path
