"""Identifiers of the things that primroseledge manages."""

from typing import NewType

CellId = NewType('CellId', str)
"""A group of services whose requests one owner dispatches."""

EntryId = NewType('EntryId', str)
"""An entry instance; one process of this program."""

GrantId = NewType('GrantId', str)
"""One permission to run one attempt on one upstream."""

InstanceId = NewType('InstanceId', str)
"""An instance of a pool; an upstream when it serves requests."""

JobId = NewType('JobId', str)
KeyId = NewType('KeyId', str)
PoolId = NewType('PoolId', str)
RackId = NewType('RackId', str)
RequestId = NewType('RequestId', str)
ServiceId = NewType('ServiceId', str)
TeamId = NewType('TeamId', str)
WaveId = NewType('WaveId', str)
WriteId = NewType('WriteId', str)
ZoneId = NewType('ZoneId', str)

Incarnation = NewType('Incarnation', int)
"""Tells the runs of one entry instance apart; later runs are larger."""

Revision = NewType('Revision', int)
"""The store's counter of changes; every change raises it."""

LaneId = NewType('LaneId', int)
"""One of the sequences of transactions that an owner has, from 0 on."""

PackKey = NewType('PackKey', str)
"""The store's key of an item with records of jobs."""

Epoch = NewType('Epoch', int)
"""Counts the owners of one right; a later owner has a larger epoch."""

QueueId = NewType('QueueId', str)
"""A queue of jobs, as callers address it."""

WorkerId = NewType('WorkerId', str)
"""One life of an instance, in which it runs tasks."""

Boot = NewType('Boot', int)
"""Tells the boots of a worker apart; it says nothing of their order.

It is the time of day at which the worker's process started, in ms since 1970.
Such a clock may be set back.
"""

WorkspaceId = NewType('WorkspaceId', str)
"""Who hands jobs in, with keys, a share and a limit."""
