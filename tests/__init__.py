"""The tests of primroseledge."""
