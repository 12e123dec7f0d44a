"""Stand-ins for the platform, upstreams and callers, and tools that drive the system."""
