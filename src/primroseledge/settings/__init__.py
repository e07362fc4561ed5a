"""The settings of an entry instance, and their checks."""
