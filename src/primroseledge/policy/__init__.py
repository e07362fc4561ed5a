"""Maintenance, capacity and jobs by the product's own protocols."""
