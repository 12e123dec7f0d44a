"""Stand-ins for the platform, upstreams and callers, and tools that drive the system."""

import sys
from pathlib import Path

# The adapter of the users' platform is a package in `platform/`, which is none itself.
sys.path.append(str(Path(__file__).resolve().parent.parent / "platform"))
