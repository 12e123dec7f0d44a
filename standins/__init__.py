"""Stand-ins for the platform, upstreams and callers, and tools that run whole deployments."""

import sys
from pathlib import Path

# `platform/` is no package itself; the adapter of the users' platform is a package inside it.
sys.path.append(str(Path(__file__).resolve().parent.parent / "platform"))
