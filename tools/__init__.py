"""Tools for developers of primroseledge."""
