"""Requests of callers: their entry, the dispatch by an owner, their ends."""
