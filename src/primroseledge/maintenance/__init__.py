"""Maintenance of instances and their moves between pools."""
