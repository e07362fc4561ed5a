"""Run entry instances as a cluster with one owner of the whole fleet.

The instances elect the owner through the store. The owner schedules jobs
and maintenance; the others forward their callers' requests to it.
"""
