"""Events of the evacuation of availability zones (722 to 726)."""

from primroseledge.observability.event_info import info
from primroseledge.observability.event_info import warning

ZONE_EVACUATED_INFO = info(
    722,
    'zone {zone} is evacuated: nothing starts on its {workers} workers, '
    '{runs} runs are left there',
    'The owner acts on the evacuation; each new owner says so again.',
    'Nothing; see event 724 for its completion.',
)

ZONE_RETURNED_INFO = info(
    723,
    'zone {zone} is used again, {seconds} s after this owner left it',
    'The key of the evacuation was removed.',
    'Nothing.',
)

ZONE_EMPTY_INFO = info(
    724,
    'nothing runs in the evacuated zone {zone} any more, after {seconds} s',
    'The evacuation is complete: no run there is planned or may be running.',
    'The zone may be taken down.',
)

ALL_ZONES_EVACUATED_INFO = warning(
    725,
    'all zones are evacuated: {zones}',
    'No job can start; jobs are accepted and wait.',
    'Return a zone: `primroseledge zone return`.',
)

ZONE_UNKNOWN_INFO = warning(
    726,
    'evacuated zone {zone} is named by no worker or instance',
    'The key may be misspelled; it affects no other zone.',
    'Look at the name: `primroseledge running zones`.',
)
