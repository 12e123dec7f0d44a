"""Unit tests and scenarios; run them all with `python -m tests`."""

import standins  # noqa: F401  adds the folder of the users' platform's adapter to sys.path
