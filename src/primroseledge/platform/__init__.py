"""Adapter between the fleet manager and the users' platform.

Translates the platform's HTTP calls, store keys and documents. No other
package uses the platform's names.
"""
