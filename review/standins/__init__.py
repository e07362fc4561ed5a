"""Stand-ins of the platform, its workers and callers, for the cases."""
