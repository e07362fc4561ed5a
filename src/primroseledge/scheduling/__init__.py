"""Decisions about jobs under load: what is admitted, and what runs where.

The package uses neither the store nor the network. Its state and the actions
that it returns are those of the owner.
"""
